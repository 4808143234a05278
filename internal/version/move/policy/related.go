package policy

import "math"

// relatedProofFraction is the fraction of a signal's proof that must come from the
// route's own requests if related routes give the rest.
const relatedProofFraction = 0.5

// relatedTest contributes to the proof of a signal with the requests of related routes.
// It never calls a version bad, because the moves of the related routes do so.
type relatedTest struct {
	sum      float64
	baseline ratio
}

// advance adds one update. The sum does not fall below provedBound.
func (t *relatedTest) advance(s signal, in Input) {
	t.baseline = t.baseline.times(decayFactor(in.Elapsed, baselineHalfLife))
	var oldSample, newSample ratio
	for _, x := range in.Related {
		oldSample = oldSample.plus(s.sample(x.Old, noThreshold))
		newSample = newSample.plus(s.sample(x.New, noThreshold))
	}
	t.baseline = t.baseline.plus(oldSample)
	if newSample.all == 0 {
		return
	}
	rate := t.baseline.smoothed(priorRates[s], baselinePriorWeight)
	e := expectation{rate: rate, sampleSize: math.Inf(1)}.raiseIfSignificant(oldSample, rate)
	llr := logLikelihoodRatio(newSample, e.rate, limitRate(s, e.rate, in.Limits, 1))
	if !math.IsInf(e.sampleSize, 1) {
		llr *= e.sampleSize / (e.sampleSize + newSample.all)
	}
	t.sum = max(provedBound, min(badBound, t.sum+max(-maxFall, min(maxFall, llr))))
}

// bound returns the sum at which the route's own requests prove the signal.
func (t *relatedTest) bound() float64 {
	if t.sum <= provedBound*relatedProofFraction {
		return provedBound * relatedProofFraction
	}
	return provedBound
}
