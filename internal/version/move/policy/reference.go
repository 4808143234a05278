package policy

import (
	"math"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

const (
	// baselineHalfLife is the half-life of the samples behind the baseline.
	baselineHalfLife = time.Hour
	// baselinePriorWeight is the number of requests that a prior rate weighs as much as.
	baselinePriorWeight = 200
	// minLoadSamples is the number of latencies of the old version at a load level that
	// a comparison there needs.
	minLoadSamples = 30
	// significantDeviations is the number of standard deviations above the expected
	// number of bad requests from which a sample shows a fault.
	significantDeviations = 3
	// maxBaselineFactor limits the rate at which a sample enters the baseline during a
	// fault, as a multiple of the baseline rate.
	maxBaselineFactor = 1.3
	// maxReferenceRate bounds the expected rate, so that a worse version still differs.
	maxReferenceRate = 0.98
)

// recentHalfLives are the half-lives of the samples that detect a current fault. The
// short one reacts to the onset of a fault, the longer one is for low traffic.
var recentHalfLives = [recentCount]time.Duration{2 * time.Second, 15 * time.Second}

const recentCount = 2

// levelReference holds the old version's samples of one signal at one load level. Their
// weight decays with baselineHalfLife and recentHalfLives.
type levelReference struct {
	baseline ratio
	recent   [recentCount]ratio
}

// reference estimates what the old version's rates are in the same period.
type reference struct {
	thresholds [signalCount]int
	levels     [signalCount][loadLevels]levelReference
	// groups holds the baselines of the groups of teams.
	groups [signalCount][groupCount]ratio
}

func newReference() reference {
	var r reference
	for s := range r.thresholds {
		r.thresholds[s] = noThreshold
	}
	return r
}

// update adds the old version's samples of one signal, which are given by stratum.
func (r *reference) update(s signal, in Input, groups []int, old []ratio) {
	var sums [loadLevels]ratio
	for i, x := range in.Strata {
		sums[clampLevel(x.LoadLevel)] = sums[clampLevel(x.LoadLevel)].plus(old[i])
	}
	factor := decayFactor(in.Elapsed, baselineHalfLife)
	var fractions [loadLevels]float64
	for l := range r.levels[s] {
		lr := &r.levels[s][l]
		lr.baseline = lr.baseline.times(factor)
		for i, h := range recentHalfLives {
			lr.recent[i] = lr.recent[i].times(decayFactor(in.Elapsed, h)).plus(sums[l])
		}
		fractions[l] = r.baselineFraction(s, l, sums[l])
		lr.baseline = lr.baseline.plus(ratio{sums[l].bad * fractions[l], sums[l].all})
	}
	for g := range r.groups[s] {
		r.groups[s][g] = r.groups[s][g].times(factor)
	}
	for i, x := range in.Strata {
		o := ratio{old[i].bad * fractions[clampLevel(x.LoadLevel)], old[i].all}
		r.groups[s][groups[i]] = r.groups[s][groups[i]].plus(o)
	}
}

// baselineFraction returns the fraction of a sample's bad requests that enters the
// baseline. During a fault, it limits the sample's rate to maxBaselineFactor times the
// baseline rate. Otherwise a temporary fault would raise the baseline and hide a bad
// version afterwards.
func (r *reference) baselineFraction(s signal, l int, sample ratio) float64 {
	base := r.baselineRate(s, l)
	maxBad := maxBaselineFactor * base * sample.all
	if sample.bad <= maxBad {
		return 1
	}
	for _, recent := range r.levels[s][l].recent {
		if recent.significantlyAbove(base) {
			return maxBad / sample.bad
		}
	}
	return 1
}

// decayFactor returns the factor by which a weight falls in the elapsed time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

func clampLevel(l uint32) int { return int(min(l, loadLevels-1)) }

// canEvaluate reports whether there are enough samples to test the signal at the load
// level.
func (r *reference) canEvaluate(s signal, l int) bool {
	if !s.isLatency() {
		return true
	}
	return r.thresholds[s] != noThreshold && r.levels[s][l].baseline.all >= minLoadSamples
}

// expectation is the expected rate of bad requests of a version that is as good as the
// old one, and the number of requests from which it was estimated. That number is
// infinite for a baseline rate.
type expectation struct {
	rate, sampleSize float64
}

// baselineRate returns the old version's rate at a load level without faults. Its prior
// is the rate at the other load level.
func (r *reference) baselineRate(s signal, l int) float64 {
	prior := priorRates[s]
	other := r.levels[s][1-l].baseline.smoothed(prior, baselinePriorWeight)
	return max(r.levels[s][l].baseline.smoothed(other, baselinePriorWeight), prior*minPriorFactor)
}

// expectationAt returns the current expectation at a load level: the baseline rate, or
// a higher rate if the recent samples show that the old version has a fault.
func (r *reference) expectationAt(s signal, l int) expectation {
	base := r.baselineRate(s, l)
	e := expectation{rate: base, sampleSize: math.Inf(1)}
	for _, recent := range r.levels[s][l].recent {
		e = e.raiseIfSignificant(recent, base)
	}
	return e
}

// baseline returns the baseline sample over all load levels.
func (r *reference) baseline(s signal) ratio {
	return r.levels[s][0].baseline.plus(r.levels[s][1].baseline)
}

// raiseIfSignificant returns the sample's rate as the expectation if it is higher than
// that of e and significantly above the base rate, and e if not.
func (e expectation) raiseIfSignificant(sample ratio, base float64) expectation {
	if sample.rate() <= e.rate || !sample.significantlyAbove(base) {
		return e
	}
	return expectation{rate: min(sample.rate(), maxReferenceRate), sampleSize: sample.all}
}

// significantlyAbove reports whether r has too many bad requests for the base rate to
// be due to chance. The number of bad requests is taken as Poisson distributed.
func (r ratio) significantlyAbove(base float64) bool {
	mean := r.all * base
	return r.bad > mean+significantDeviations*math.Sqrt(mean)+1
}

// raiseToGroup raises the expected rate to the baseline rate of a group of teams.
func (r *reference) raiseToGroup(s signal, g int, e expectation) expectation {
	e.rate = max(e.rate, r.groups[s][g].smoothed(e.rate, baselinePriorWeight))
	return e
}

// zoneSample is the sample of one update in one availability zone at one load level.
type zoneSample struct {
	old ratio
	// new is the number of requests of the new version.
	new float64
}

// numberZones numbers the pairs of availability zone and load level from 0, and returns
// the number of each stratum's pair.
func numberZones(strata []evidence.Stratum) []int {
	out := make([]int, len(strata))
	zones := 0
	for i, x := range strata {
		out[i] = zones
		for j := range i {
			if strata[j].AvailabilityZone == x.AvailabilityZone && clampLevel(strata[j].LoadLevel) == clampLevel(x.LoadLevel) {
				out[i] = out[j]
				break
			}
		}
		if out[i] == zones {
			zones++
		}
	}
	return out
}

// sumByZone sums the samples of one signal by the numbers that numberZones returned.
// The result has as many elements as there are strata, so that every number fits.
func sumByZone(zones []int, oldSamples, newSamples []ratio) []zoneSample {
	out := make([]zoneSample, len(zones))
	for i, c := range zones {
		out[c].old, out[c].new = out[c].old.plus(oldSamples[i]), out[c].new+newSamples[i].all
	}
	return out
}

// referenceFloats is the length of an encoded reference.
const referenceFloats = int(signalCount) * (1 + 2*loadLevels*(1+recentCount) + 2*groupCount)

// encode appends the numbers of r to dst.
func (r *reference) encode(dst []float64) []float64 {
	for s := range int(signalCount) {
		dst = append(dst, float64(r.thresholds[s]))
		for l := range loadLevels {
			lr := &r.levels[s][l]
			dst = append(dst, lr.baseline.bad, lr.baseline.all)
			for _, x := range lr.recent {
				dst = append(dst, x.bad, x.all)
			}
		}
		for _, g := range r.groups[s] {
			dst = append(dst, g.bad, g.all)
		}
	}
	return dst
}

// decodeReference decodes the output of encode. src must have at least referenceFloats
// elements.
func decodeReference(src []float64) reference {
	var r reference
	next := func() ratio {
		x := ratio{src[0], src[1]}
		src = src[2:]
		return x
	}
	for s := range int(signalCount) {
		r.thresholds[s] = int(src[0])
		src = src[1:]
		for l := range loadLevels {
			lr := &r.levels[s][l]
			lr.baseline = next()
			for i := range lr.recent {
				lr.recent[i] = next()
			}
		}
		for g := range r.groups[s] {
			r.groups[s][g] = next()
		}
	}
	return r
}
