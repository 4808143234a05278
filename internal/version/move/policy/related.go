package policy

import "math"

// relatedPart is the part of a signal's proof that the route's own requests must
// give when related routes have proved the signal.
const relatedPart = 0.5

// relatedTest proves a signal on the requests of related routes. It never calls
// a version bad: their own moves do that.
type relatedTest struct {
	sum      float64
	ordinary ratio
}

// advance adds one update and keeps the sum at or above the bound of a proof.
func (t *relatedTest) advance(s signal, in Input) {
	t.ordinary = t.ordinary.times(decay(in.Elapsed, ordinaryHalfLife))
	var old, now ratio
	for _, x := range in.Related {
		old = old.plus(s.sample(x.Old, noThreshold))
		now = now.plus(s.sample(x.New, noThreshold))
	}
	t.ordinary = t.ordinary.plus(old)
	if now.all == 0 {
		return
	}
	share := t.ordinary.toward(priorShares[s], ordinaryWeight)
	e := expected{share: share, support: math.Inf(1)}.orJump(old, share)
	llr := logLikelihoodRatio(now, e.share, badShare(s, e.share, in.Limits, 1))
	if !math.IsInf(e.support, 1) {
		llr *= e.support / (e.support + now.all)
	}
	t.sum = max(provedBound, min(badBound, t.sum+max(-maxFall, min(maxFall, llr))))
}

// bound is the sum at which the route's own requests prove the signal.
func (t *relatedTest) bound() float64 {
	if t.sum <= provedBound*relatedPart {
		return provedBound * relatedPart
	}
	return provedBound
}
