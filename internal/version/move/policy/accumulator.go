package policy

import (
	"math"
	"time"
)

// accumulator is one running test.
type accumulator struct {
	// sum is the log likelihood ratio of bad against good.
	sum float64
	// old and now are the versions' samples since the sum rose above 0.
	old, now ratio
	// own is the old version's sample of the same team, for the test of a team.
	own ratio
	// spent is how much was added lately; it falls by riseRate.
	spent float64
}

// add adds one update. The sum stays at doubtBound while too little was seen of
// the old version.
func (a *accumulator) add(llr float64, elapsed time.Duration, old, now ratio, floor float64) {
	a.sum = max(floor, a.sum+a.limited(llr, elapsed))
	if a.sum <= 0 {
		a.restart()
		return
	}
	a.old, a.now = a.old.plus(old), a.now.plus(now)
	if a.old.all < minReference {
		a.sum = min(a.sum, doubtBound)
	}
	a.sum = min(a.sum, badBound)
}

// limited bounds what is added: at most maxRise at once and riseRate in the long
// run, so that a burst of a few seconds on one target does not decide.
func (a *accumulator) limited(llr float64, elapsed time.Duration) float64 {
	refill := riseRate * elapsed.Seconds()
	a.spent = max(0, a.spent-refill)
	if llr <= 0 {
		return max(-maxFall, llr)
	}
	rise := min(llr, max(0, max(maxRise, refill)-a.spent))
	a.spent += rise
	return rise
}

// restart drops the samples; the sum stays.
func (a *accumulator) restart() { a.old, a.now, a.own = ratio{}, ratio{}, ratio{} }

// standing is what a test says now.
type standing struct {
	// high: there are signs of badness.
	high bool
	// doubt: they may come from a common fault or from too few requests.
	doubt bool
	bad   bool
}

// standing compares the sum with its bound and both versions directly. ordinary
// is the old version's ordinary behaviour towards those whose requests were
// tested, and limit the share from which a version counts as worse than one of
// the share given.
func (a *accumulator) standing(ordinary ratio, limit func(share float64) float64) standing {
	if a.sum < holdBound {
		return standing{}
	}
	if a.old.all < minReference {
		return standing{high: true, doubt: a.sum >= doubtBound}
	}
	z := min(deviations(a.now, a.old), deviations(a.now, ordinary))
	if a.own.all >= minOwnReference && deviations(a.now, a.own) < holdDeviations {
		z = 0
	}
	decided := a.sum >= badBound
	bad := decided && z >= badDeviations && a.now.share() >= limit(a.old.share())
	high := z >= holdDeviations
	return standing{high: high, doubt: decided && !bad && high, bad: bad}
}

// deviations is by how many standard deviations the share of r is above that of
// o, taking both as drawn from one share.
func deviations(r, o ratio) float64 {
	p := r.plus(o).share()
	if p == 0 || p == 1 || r.all == 0 || o.all == 0 {
		return 0
	}
	return (r.share() - o.share()) / math.Sqrt(p*(1-p)*(1/r.all+1/o.all))
}
