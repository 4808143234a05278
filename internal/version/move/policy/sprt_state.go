package policy

// testFloats is the length of the encoded tests.
const testFloats = 8 * int(signalCount) * (1 + groupCount)

// sprtStateID is the first number of an encoded state. It identifies the layout.
const sprtStateID = 101

const sprtFloats = 1 + groupCount + referenceFloats + testFloats + 6*int(signalCount)

// encode returns the stored form of the state.
func (st *sprtState) encode() []float64 {
	out := make([]float64, 0, sprtFloats)
	out = append(out, sprtStateID)
	out = append(out, st.teams[:]...)
	out = st.ref.encode(out)
	for s := range int(signalCount) {
		out = st.overall[s].encode(out)
		for g := range groupCount {
			out = st.groups[s][g].encode(out)
		}
		out = append(out, boolFloat(st.proved[s]), st.evaluated[s], st.oddsRatio[s])
		out = append(out, st.related[s].sum, st.related[s].baseline.bad, st.related[s].baseline.all)
	}
	return out
}

// decodeSPRT decodes the output of encode. For any other input it returns the initial
// state.
func decodeSPRT(src []float64) *sprtState {
	if len(src) != sprtFloats || src[0] != sprtStateID {
		return &sprtState{ref: newReference()}
	}
	st := &sprtState{}
	copy(st.teams[:], src[1:])
	src = src[1+groupCount:]
	st.ref = decodeReference(src)
	src = src[referenceFloats:]
	for s := range int(signalCount) {
		src = st.overall[s].decode(src)
		for g := range groupCount {
			src = st.groups[s][g].decode(src)
		}
		st.proved[s], st.evaluated[s], st.oddsRatio[s] = src[0] == 1, src[1], src[2]
		st.related[s] = relatedTest{src[3], ratio{src[4], src[5]}}
		src = src[6:]
	}
	return st
}

func boolFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// encode appends the numbers of the test to dst.
func (t *sequentialTest) encode(dst []float64) []float64 {
	return append(dst, t.sum, t.old.bad, t.old.all, t.new.bad, t.new.all, t.sameTeam.bad, t.sameTeam.all, t.recentRise)
}

// decode decodes the output of encode and returns the rest of src.
func (t *sequentialTest) decode(src []float64) []float64 {
	t.sum, t.old, t.new = src[0], ratio{src[1], src[2]}, ratio{src[3], src[4]}
	t.sameTeam, t.recentRise = ratio{src[5], src[6]}, src[7]
	return src[8:]
}
