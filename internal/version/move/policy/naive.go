package policy

import (
	"fmt"
	"time"
)

const (
	naiveHalfLife    = 30 * time.Second
	naiveMinRequests = 20
	naiveMark        = 103
	naiveFloats      = 5
)

// Naive proceeds in fixed steps of time and takes back when the new version's
// share of errors in the last minute is above the old one's by the limit. It is
// the baseline of the measurements.
type Naive struct{}

var _ Policy = Naive{}

// Name returns the policy's name.
func (Naive) Name() string { return "naive" }

// Update implements Policy.
func (Naive) Update(state []float64, in Input) ([]float64, Verdict) {
	var old, now ratio
	if len(state) == naiveFloats && state[0] == naiveMark {
		old, now = ratio{state[1], state[2]}, ratio{state[3], state[4]}
	}
	d := decay(in.Elapsed, naiveHalfLife)
	old, now = old.times(d), now.times(d)
	for _, x := range in.Strata {
		old = old.plus(errorSignal.sample(x.Old, noThreshold))
		now = now.plus(errorSignal.sample(x.New, noThreshold))
	}
	v := Verdict{
		Proved: in.MoveAge >= in.ProvingTime/2,
		Reason: fmt.Sprintf("%.0f errors of %.0f requests, old version %.0f of %.0f", now.bad, now.all, old.bad, old.all),
	}
	oldShare := old.bad / max(old.all, 1)
	v.Bad = now.all >= naiveMinRequests && now.bad/now.all > oldShare+in.Limits.ErrorIncrease
	return []float64{naiveMark, old.bad, old.all, now.bad, now.all}, v
}
