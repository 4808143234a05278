package policy

// accumulatorFloats is the number of encoded accumulators' numbers.
const accumulatorFloats = 2 * int(signalCount) * (1 + groupCount)

// sprtMark is the first number of an encoded state, and tells its layout.
const sprtMark = 101

const sprtFloats = 1 + referenceFloats + accumulatorFloats + 2*int(signalCount)

func (st *sprtState) encode() []float64 {
	out := make([]float64, 0, sprtFloats)
	out = append(out, sprtMark)
	out = st.ref.encode(out)
	for s := range int(signalCount) {
		out = append(out, st.all[s].sum, st.all[s].reference)
		for _, a := range st.groups[s] {
			out = append(out, a.sum, a.reference)
		}
		out = append(out, boolFloat(st.proved[s]), st.judged[s])
	}
	return out
}

// decodeSPRT reads what encode wrote, or returns a new state.
func decodeSPRT(src []float64) *sprtState {
	if len(src) != sprtFloats || src[0] != sprtMark {
		return &sprtState{ref: newReference()}
	}
	st := &sprtState{ref: decodeReference(src[1:])}
	src = src[1+referenceFloats:]
	for s := range int(signalCount) {
		st.all[s] = accumulator{src[0], src[1]}
		src = src[2:]
		for g := range groupCount {
			st.groups[s][g] = accumulator{src[0], src[1]}
			src = src[2:]
		}
		st.proved[s], st.judged[s] = src[0] == 1, src[1]
		src = src[2:]
	}
	return st
}

func boolFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
