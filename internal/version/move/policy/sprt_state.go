package policy

// accumulatorFloats is the number of numbers in the encoded accumulators.
const accumulatorFloats = 8 * int(signalCount) * (1 + groupCount)

// sprtMark is the first number of an encoded state, and tells its layout.
const sprtMark = 101

const sprtFloats = 1 + groupCount + referenceFloats + accumulatorFloats + 6*int(signalCount)

func (st *sprtState) encode() []float64 {
	out := make([]float64, 0, sprtFloats)
	out = append(out, sprtMark)
	out = append(out, st.teams[:]...)
	out = st.ref.encode(out)
	for s := range int(signalCount) {
		out = st.all[s].encode(out)
		for g := range groupCount {
			out = st.groups[s][g].encode(out)
		}
		out = append(out, boolFloat(st.proved[s]), st.judged[s], st.oddsRatio[s])
		out = append(out, st.related[s].sum, st.related[s].ordinary.bad, st.related[s].ordinary.all)
	}
	return out
}

// decodeSPRT reads what encode wrote, or returns a new state.
func decodeSPRT(src []float64) *sprtState {
	if len(src) != sprtFloats || src[0] != sprtMark {
		return &sprtState{ref: newReference()}
	}
	st := &sprtState{}
	copy(st.teams[:], src[1:])
	src = src[1+groupCount:]
	st.ref = decodeReference(src)
	src = src[referenceFloats:]
	for s := range int(signalCount) {
		src = st.all[s].decode(src)
		for g := range groupCount {
			src = st.groups[s][g].decode(src)
		}
		st.proved[s], st.judged[s], st.oddsRatio[s] = src[0] == 1, src[1], src[2]
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

func (a *accumulator) encode(dst []float64) []float64 {
	return append(dst, a.sum, a.old.bad, a.old.all, a.now.bad, a.now.all, a.own.bad, a.own.all, a.spent)
}

// decode reads what encode wrote and returns the rest.
func (a *accumulator) decode(src []float64) []float64 {
	a.sum, a.old, a.now = src[0], ratio{src[1], src[2]}, ratio{src[3], src[4]}
	a.own, a.spent = ratio{src[5], src[6]}, src[7]
	return src[8:]
}
