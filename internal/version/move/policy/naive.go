package policy

import (
	"fmt"
	"time"
)

const (
	// naiveHalfLife is the half-life of the counted requests.
	naiveHalfLife = 30 * time.Second
	// naiveMinRequests is the number of requests from which a version can be called bad.
	naiveMinRequests = 20
	// naiveStateID is the first number of an encoded state. It identifies the layout.
	naiveStateID = 103
	naiveFloats  = 5
)

// Naive proves a version by the passing of time, and calls it bad if its recent error
// rate exceeds the old version's by more than the limit. Benchmarks and tests compare
// the other policies with it.
type Naive struct{}

var _ Policy = Naive{}

// Name returns the policy's name.
func (Naive) Name() string { return "naive" }

// Update implements Policy.
func (Naive) Update(state []float64, in Input) ([]float64, Verdict) {
	var oldSample, newSample ratio
	if len(state) == naiveFloats && state[0] == naiveStateID {
		oldSample, newSample = ratio{state[1], state[2]}, ratio{state[3], state[4]}
	}
	d := decayFactor(in.Elapsed, naiveHalfLife)
	oldSample, newSample = oldSample.times(d), newSample.times(d)
	for _, x := range in.Strata {
		oldSample = oldSample.plus(errorSignal.sample(x.Old, noThreshold))
		newSample = newSample.plus(errorSignal.sample(x.New, noThreshold))
	}
	v := Verdict{
		Proved: in.MoveAge >= in.ProvingTime/2,
		Reason: fmt.Sprintf("%.0f errors of %.0f requests, old version %.0f of %.0f", newSample.bad, newSample.all, oldSample.bad, oldSample.all),
	}
	oldRate := oldSample.bad / max(oldSample.all, 1)
	v.Bad = newSample.all >= naiveMinRequests && newSample.bad/newSample.all > oldRate+in.Limits.ErrorIncrease
	return []float64{naiveStateID, oldSample.bad, oldSample.all, newSample.bad, newSample.all}, v
}
