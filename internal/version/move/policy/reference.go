package policy

import (
	"math"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

const (
	// shortHalfLife is the memory of the reference for trouble that is going on.
	shortHalfLife = 10 * time.Second
	// longHalfLife is the memory of the reference for the ordinary share.
	longHalfLife = time.Hour
	// zoneWeight is how many requests the route's share counts against the zone's.
	zoneWeight = 20
	// shortWeight is how many requests the ordinary share counts against the present one.
	shortWeight = 10
	// longWeight is how many requests the prior counts against the ordinary share.
	longWeight = 200
	// minLoadSamples of the old version at a load level allow latencies to be compared there.
	minLoadSamples = 30
)

// reference is the old version's behaviour over the same time, by signal and load.
type reference struct {
	thresholds  [signalCount]int
	short, long [signalCount][loadLevels]ratio
}

func newReference() reference {
	var r reference
	for s := range r.thresholds {
		r.thresholds[s] = noThreshold
	}
	return r
}

// update adds the strata's old evidence.
func (r *reference) update(in Input) {
	decayShort := decay(in.Elapsed, shortHalfLife)
	decayLong := decay(in.Elapsed, longHalfLife)
	for s := signal(0); s < signalCount; s++ {
		if s.isLatency() && r.thresholds[s] == noThreshold {
			r.thresholds[s] = fixThreshold(s, in.OldTotal)
		}
		for l := range loadLevels {
			r.short[s][l] = r.short[s][l].times(decayShort)
			r.long[s][l] = r.long[s][l].times(decayLong)
		}
		for _, st := range in.Strata {
			v := s.sample(st.Old, r.thresholds[s])
			l := level(st.LoadLevel)
			r.short[s][l] = r.short[s][l].plus(v)
			r.long[s][l] = r.long[s][l].plus(v)
		}
	}
}

func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

func level(l uint32) int { return int(min(l, loadLevels-1)) }

// usable reports whether the signal can be judged at the load level.
func (r *reference) usable(s signal, l int) bool {
	return !s.isLatency() || r.thresholds[s] != noThreshold && r.long[s][l].all >= minLoadSamples
}

// share returns the share of bad requests expected now of a version that is as
// good as the old one. zone is what was seen of the old one in the same zone.
func (r *reference) share(s signal, l int, zone ratio) float64 {
	prior := priorShares[s]
	ordinary := r.long[s][0].plus(r.long[s][1]).toward(prior, longWeight)
	ordinary = r.long[s][l].toward(ordinary, longWeight)
	now := r.short[s][l].toward(ordinary, shortWeight)
	return min(max(zone.toward(now, zoneWeight), prior*minShareFactor), maxReferenceShare)
}

// maxReferenceShare leaves room for a worse version.
const maxReferenceShare = 0.98

// zoneCell names an availability zone at a load level.
type zoneCell struct {
	zone string
	load int
}

// oldByZone sums the old version's samples of one signal.
func oldByZone(s signal, threshold int, strata []evidence.Stratum) map[zoneCell]ratio {
	out := make(map[zoneCell]ratio, 2*loadLevels)
	for _, st := range strata {
		c := zoneCell{st.AvailabilityZone, level(st.LoadLevel)}
		out[c] = out[c].plus(s.sample(st.Old, threshold))
	}
	return out
}

// referenceFloats is the length of an encoded reference.
const referenceFloats = int(signalCount) * (1 + 4*loadLevels)

func (r *reference) encode(dst []float64) []float64 {
	for s := range int(signalCount) {
		dst = append(dst, float64(r.thresholds[s]))
		for l := range loadLevels {
			dst = append(dst, r.short[s][l].bad, r.short[s][l].all, r.long[s][l].bad, r.long[s][l].all)
		}
	}
	return dst
}

// decodeReference reads what encode wrote; src is long enough.
func decodeReference(src []float64) reference {
	var r reference
	for s := range int(signalCount) {
		r.thresholds[s] = int(src[0])
		src = src[1:]
		for l := range loadLevels {
			r.short[s][l] = ratio{src[0], src[1]}
			r.long[s][l] = ratio{src[2], src[3]}
			src = src[4:]
		}
	}
	return r
}
