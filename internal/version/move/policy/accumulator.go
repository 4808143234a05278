package policy

import (
	"math"
	"time"
)

// sequentialTest is the state of one sequential test.
type sequentialTest struct {
	// sum is the log likelihood ratio of a bad version to a good one.
	sum float64
	// old and new are the samples of the versions since the sum rose above 0.
	old, new ratio
	// sameTeam is the old version's sample from the teams of the group under test.
	sameTeam ratio
	// recentRise is what was added to the sum recently. It falls by riseRate a second.
	recentRise float64
}

// add adds the log likelihood ratio and the samples of one update. The sum is limited
// to inconclusiveBound while the old version's sample is smaller than minOldRequests.
func (t *sequentialTest) add(llr float64, elapsed time.Duration, oldSample, newSample ratio, floor float64) {
	t.sum = max(floor, t.sum+t.boundStep(llr, elapsed))
	if t.sum <= 0 {
		t.resetSamples()
		return
	}
	t.old, t.new = t.old.plus(oldSample), t.new.plus(newSample)
	if t.old.all < minOldRequests {
		t.sum = min(t.sum, inconclusiveBound)
	}
	t.sum = min(t.sum, badBound)
}

// boundStep limits what one update adds to the sum: to maxRise at once and to riseRate
// a second in the long run. Otherwise a burst of errors of a single target within a few
// seconds could decide the test.
func (t *sequentialTest) boundStep(llr float64, elapsed time.Duration) float64 {
	refill := riseRate * elapsed.Seconds()
	t.recentRise = max(0, t.recentRise-refill)
	if llr <= 0 {
		return max(-maxFall, llr)
	}
	rise := min(llr, max(0, max(maxRise, refill)-t.recentRise))
	t.recentRise += rise
	return rise
}

// resetSamples clears the samples and keeps the sum.
func (t *sequentialTest) resetSamples() { t.old, t.new, t.sameTeam = ratio{}, ratio{}, ratio{} }

// status is the current result of a test.
type status struct {
	// elevated means that the new version may be bad.
	elevated bool
	// inconclusive means that this may be due to a common fault or to too few requests.
	inconclusive bool
	bad          bool
}

// status compares the sum with its bounds, and the rates of the two versions with each
// other. baseline is the old version's long-term sample for the requests under test.
// limit returns the lowest rate that counts as worse than the given one.
func (t *sequentialTest) status(baseline ratio, limit func(rate float64) float64) status {
	if t.sum < holdBound {
		return status{}
	}
	if t.old.all < minOldRequests {
		return status{elevated: true, inconclusive: t.sum >= inconclusiveBound}
	}
	z := min(zScore(t.new, t.old), zScore(t.new, baseline))
	if t.sameTeam.all >= minTeamRequests && zScore(t.new, t.sameTeam) < holdZScore {
		z = 0
	}
	decided := t.sum >= badBound
	bad := decided && z >= badZScore && t.new.rate() >= limit(t.old.rate())
	elevated := z >= holdZScore
	return status{elevated: elevated, inconclusive: decided && !bad && elevated, bad: bad}
}

// zScore returns by how many standard deviations the rate of r is above that of o, if
// both have the same true rate (the two-proportion z-test with a pooled rate).
func zScore(r, o ratio) float64 {
	p := r.plus(o).rate()
	if p == 0 || p == 1 || r.all == 0 || o.all == 0 {
		return 0
	}
	return (r.rate() - o.rate()) / math.Sqrt(p*(1-p)*(1/r.all+1/o.all))
}
