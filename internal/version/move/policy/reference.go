package policy

import (
	"math"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

const (
	// ordinaryHalfLife is the memory of the reference for the ordinary share.
	ordinaryHalfLife = time.Hour
	// ordinaryWeight is how many requests the prior counts against the ordinary share.
	ordinaryWeight = 200
	// minLoadSamples of the old version at a load level allow latencies to be compared there.
	minLoadSamples = 30
	// jumpDeviations above the ordinary count mark trouble that is going on.
	jumpDeviations = 3
	// maxLearning is how many times the ordinary share a share counts at most.
	maxLearning = 1.3
	// maxReferenceShare leaves room for a worse version.
	maxReferenceShare = 0.98
)

// recentHalfLives are the memories of the reference for trouble that is going
// on: a short one that follows its onset, and a longer one for low traffic.
var recentHalfLives = [recentCount]time.Duration{2 * time.Second, 15 * time.Second}

const recentCount = 2

// levelReference is the old version's behaviour in one signal at one load level.
type levelReference struct {
	ordinary ratio
	recent   [recentCount]ratio
}

// reference is the old version's behaviour over the same time.
type reference struct {
	thresholds [signalCount]int
	levels     [signalCount][loadLevels]levelReference
	// groups has the ordinary shares of groups of teams.
	groups [signalCount][groupCount]ratio
}

func newReference() reference {
	var r reference
	for s := range r.thresholds {
		r.thresholds[s] = noThreshold
	}
	return r
}

// update adds the strata's old evidence of one signal.
func (r *reference) update(s signal, in Input, groups []int, old []ratio) {
	var sums [loadLevels]ratio
	for i, x := range in.Strata {
		sums[level(x.LoadLevel)] = sums[level(x.LoadLevel)].plus(old[i])
	}
	memory := decay(in.Elapsed, ordinaryHalfLife)
	var kept [loadLevels]float64
	for l := range r.levels[s] {
		lr := &r.levels[s][l]
		lr.ordinary = lr.ordinary.times(memory)
		for i, h := range recentHalfLives {
			lr.recent[i] = lr.recent[i].times(decay(in.Elapsed, h)).plus(sums[l])
		}
		kept[l] = r.keptPart(s, l, sums[l])
		lr.ordinary = lr.ordinary.plus(ratio{sums[l].bad * kept[l], sums[l].all})
	}
	for g := range r.groups[s] {
		r.groups[s][g] = r.groups[s][g].times(memory)
	}
	for i, x := range in.Strata {
		o := ratio{old[i].bad * kept[level(x.LoadLevel)], old[i].all}
		r.groups[s][groups[i]] = r.groups[s][groups[i]].plus(o)
	}
}

// keptPart is the part of a sample's bad requests that counts as ordinary. During
// trouble it is what keeps the sample's share at maxLearning times the ordinary
// one, so that a passing fault does not hide a bad version afterwards.
func (r *reference) keptPart(s signal, l int, sample ratio) float64 {
	base := r.base(s, l)
	most := maxLearning * base * sample.all
	if sample.bad <= most {
		return 1
	}
	for _, recent := range r.levels[s][l].recent {
		if recent.isJump(base) {
			return most / sample.bad
		}
	}
	return 1
}

func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

func level(l uint32) int { return int(min(l, loadLevels-1)) }

// usable reports whether the signal can be judged at the load level.
func (r *reference) usable(s signal, l int) bool {
	if !s.isLatency() {
		return true
	}
	return r.thresholds[s] != noThreshold && r.levels[s][l].ordinary.all >= minLoadSamples
}

// expected is the share of bad requests of a version that is as good as the old
// one, and the number of requests that it was estimated from.
type expected struct {
	share, support float64
}

// base is the ordinary share at a load level.
func (r *reference) base(s signal, l int) float64 {
	prior := priorShares[s]
	other := r.levels[s][1-l].ordinary.toward(prior, ordinaryWeight)
	return max(r.levels[s][l].ordinary.toward(other, ordinaryWeight), prior*minShareFactor)
}

// at returns what is expected now at a load level. Trouble that the old version
// has now, by either recent memory, goes before its ordinary share.
func (r *reference) at(s signal, l int) expected {
	base := r.base(s, l)
	e := expected{share: base, support: math.Inf(1)}
	for _, recent := range r.levels[s][l].recent {
		e = e.orJump(recent, base)
	}
	return e
}

// ordinary is the old version's ordinary behaviour over all load levels.
func (r *reference) ordinary(s signal) ratio {
	return r.levels[s][0].ordinary.plus(r.levels[s][1].ordinary)
}

// orJump returns the sample's share if it is higher than e's and too far above
// the base share to be chance.
func (e expected) orJump(sample ratio, base float64) expected {
	if sample.share() <= e.share || !sample.isJump(base) {
		return e
	}
	return expected{share: min(sample.share(), maxReferenceShare), support: sample.all}
}

// isJump reports whether the sample is too far above the base share to be chance.
func (r ratio) isJump(base float64) bool {
	mean := r.all * base
	return r.bad > mean+jumpDeviations*math.Sqrt(mean)+1
}

// forGroup raises e to the ordinary share of a group of teams.
func (r *reference) forGroup(s signal, g int, e expected) expected {
	e.share = max(e.share, r.groups[s][g].toward(e.share, ordinaryWeight))
	return e
}

// zoneSample is what one update saw of both versions in a zone at a load level.
type zoneSample struct {
	old ratio
	new float64
}

// zoneCells numbers the zones and load levels of the strata, and returns the
// number of each stratum.
func zoneCells(strata []evidence.Stratum) []int {
	out := make([]int, len(strata))
	cells := 0
	for i, x := range strata {
		out[i] = cells
		for j := range i {
			if strata[j].AvailabilityZone == x.AvailabilityZone && level(strata[j].LoadLevel) == level(x.LoadLevel) {
				out[i] = out[j]
				break
			}
		}
		if out[i] == cells {
			cells++
		}
	}
	return out
}

// byZone sums the samples of one signal by cell; there are no more cells than strata.
func byZone(cells []int, old, now []ratio) []zoneSample {
	out := make([]zoneSample, len(cells))
	for i, c := range cells {
		out[c].old, out[c].new = out[c].old.plus(old[i]), out[c].new+now[i].all
	}
	return out
}

// referenceFloats is the length of an encoded reference.
const referenceFloats = int(signalCount) * (1 + 2*loadLevels*(1+recentCount) + 2*groupCount)

func (r *reference) encode(dst []float64) []float64 {
	for s := range int(signalCount) {
		dst = append(dst, float64(r.thresholds[s]))
		for l := range loadLevels {
			lr := &r.levels[s][l]
			dst = append(dst, lr.ordinary.bad, lr.ordinary.all)
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

// decodeReference reads what encode wrote; src is long enough.
func decodeReference(src []float64) reference {
	var r reference
	take := func() ratio {
		x := ratio{src[0], src[1]}
		src = src[2:]
		return x
	}
	for s := range int(signalCount) {
		r.thresholds[s] = int(src[0])
		src = src[1:]
		for l := range loadLevels {
			lr := &r.levels[s][l]
			lr.ordinary = take()
			for i := range lr.recent {
				lr.recent[i] = take()
			}
		}
		for g := range r.groups[s] {
			r.groups[s][g] = take()
		}
	}
	return r
}
