package main

import (
	"math"
	"math/rand/v2"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// Latencies without faults and defects are log-normal with these medians.
const (
	firstTokenMedian = 400 * time.Millisecond
	gapMedian        = 37 * time.Millisecond
	callMedian       = 30 * time.Millisecond
	latencySigma     = 0.35
	// maxLatencySamples is the largest number of latencies of each kind that are drawn
	// for a version of a stratum in a step. Above it, they are thinned evenly.
	maxLatencySamples = 12
)

// strata is the evidence of one step. Its memory is reused for the next step.
type strata []evidence.Stratum

// newStrata returns an empty stratum for each availability zone and team.
func newStrata() strata {
	ss := make(strata, zoneCount*len(teamShares))
	for i := range ss {
		ss[i].AvailabilityZone, ss[i].Team = zoneNames[i/len(teamShares)], teamNames[i%len(teamShares)]
		ss[i].Old, ss[i].New = newEvidence(), newEvidence()
	}
	return ss
}

// newEvidence returns evidence without requests.
func newEvidence() *chicoryv1.VersionEvidence {
	histogram := func() *chicoryv1.Histogram {
		return &chicoryv1.Histogram{Buckets: make([]uint32, 0, evidence.BucketCount)}
	}
	return &chicoryv1.VersionEvidence{FirstToken: histogram(), TokenGap: histogram(), CallLatency: histogram()}
}

// sampleStep draws into dst the evidence that the routers report for one step.
// defective says whether the new version has its defect by now.
func (sc *scenario) sampleStep(dst strata, step int, at time.Duration, share uint32, defective bool) {
	r := rand.New(rand.NewPCG(sc.seed, uint64(step)))
	highLoad := sc.isHighLoad(at)
	for z := range zoneCount {
		oldFault, newFault := sc.faultsAt(at, z)
		for t, teamShare := range teamShares {
			requests := samplePoisson(r, sc.traffic.rate*sc.traffic.step.Seconds()*teamShare/zoneCount)
			newRequests := sampleBinomial(r, requests, float64(share)/1000)
			bad := defective && (sc.kind != errorsSomeTeams || sc.badTeams[t]) && (sc.kind != errorsUnderLoad || highLoad)
			stratum := &dst[z*len(teamShares)+t]
			stratum.LoadLevel = 0
			if highLoad {
				stratum.LoadLevel = 1
			}
			baseErrorShare := sc.baseErrorShare * teamErrorFactor[t]
			sc.sampleEvidence(r, stratum.Old, requests-newRequests, baseErrorShare, oldFault, false, highLoad)
			sc.sampleEvidence(r, stratum.New, newRequests, baseErrorShare, newFault, bad, highLoad)
		}
	}
}

var (
	zoneNames = [zoneCount]string{"a", "b", "c"}
	teamNames = [5]string{"colonia", "montevideo", "rocha", "punta", "salto"}
	// teamErrorFactor is the factor of baseErrorShare for each team.
	teamErrorFactor = [5]float64{1, 0.5, 1, 3, 1}
)

// isHighLoad reports whether the load level is high at the given time.
func (sc *scenario) isHighLoad(at time.Duration) bool {
	cycle := float64(at) / float64(sc.traffic.window) * loadCycles
	return cycle-math.Floor(cycle) < highLoadFraction
}

// faultEffect is the combined effect of faults on one version.
type faultEffect struct {
	errorShare    float64
	latencyFactor float64
}

// faultsAt returns the effect of the faults on both versions in a zone over the step
// that starts at at. The effect of a fault that covers only part of the step is reduced
// in proportion.
func (sc *scenario) faultsAt(at time.Duration, zone int) (oldEffect, newEffect faultEffect) {
	oldEffect.latencyFactor, newEffect.latencyFactor = 1, 1
	for _, f := range sc.faults {
		covered := min(f.until, at+sc.traffic.step) - max(f.from, at)
		if covered <= 0 || f.zone >= 0 && f.zone != zone {
			continue
		}
		fraction := float64(covered) / float64(sc.traffic.step)
		if f.onOld {
			oldEffect.add(f, fraction)
		}
		if f.onNew {
			newEffect.add(f, fraction)
		}
	}
	return oldEffect, newEffect
}

// add adds the effect of a fault that covers the given fraction of a step.
func (e *faultEffect) add(f fault, fraction float64) {
	e.errorShare += f.errorShare * fraction
	e.latencyFactor *= 1 + (f.latencyFactor-1)*fraction
}

// sampleEvidence sets e to random evidence of n requests of one version, which has its
// defect if bad is set.
func (sc *scenario) sampleEvidence(r *rand.Rand, e *chicoryv1.VersionEvidence, n uint64, baseErrorShare float64, effect faultEffect, bad, highLoad bool) {
	e.Requests, e.Errors, e.Crossed, e.Resumes = n, 0, 0, 0
	for _, h := range []*chicoryv1.Histogram{e.FirstToken, e.TokenGap, e.CallLatency} {
		h.Buckets = h.Buckets[:0]
	}
	if n == 0 {
		return
	}
	errorShare, crossedShare, resumeShare := min(baseErrorShare+effect.errorShare, 1), 0.0, 0.0
	if sc.isModelService {
		resumeShare = errorShare / 2
	}
	firstTokenFactor, gapFactor, callFactor := effect.latencyFactor, effect.latencyFactor, effect.latencyFactor
	if highLoad {
		firstTokenFactor, gapFactor, callFactor = firstTokenFactor*highLoadLatencyFactor, gapFactor*highLoadLatencyFactor, callFactor*highLoadLatencyFactor
	}
	if bad {
		switch sc.kind {
		case crossedAnswers:
			crossedShare = sc.severity
		case resumesCaused:
			resumeShare += sc.severity
		case slowFirstToken:
			firstTokenFactor *= sc.severity
		case slowGaps:
			gapFactor *= sc.severity
		case slowCalls:
			callFactor *= sc.severity
		default:
			errorShare += sc.severity
		}
	}
	e.Errors = sampleBinomial(r, n, min(errorShare, 1))
	e.Crossed = sampleBinomial(r, n, crossedShare)
	e.Resumes = sampleBinomial(r, n, min(resumeShare, 1))
	latencyCount := min(n, maxLatencySamples)
	if sc.isModelService {
		sampleLatencies(r, e.FirstToken, latencyCount, firstTokenMedian, firstTokenFactor)
		sampleLatencies(r, e.TokenGap, latencyCount, gapMedian, gapFactor)
	} else {
		sampleLatencies(r, e.CallLatency, latencyCount, callMedian, callFactor)
	}
}

// sampleLatencies draws n latencies into h, whose buckets are empty. factor multiplies
// the median.
func sampleLatencies(r *rand.Rand, h *chicoryv1.Histogram, n uint64, median time.Duration, factor float64) {
	base := math.Log2(float64(median)*factor/float64(time.Millisecond)) * evidence.BucketsPerDoubling
	const sigma = latencySigma * evidence.BucketsPerDoubling / math.Ln2
	for range n {
		bucket := max(0, min(evidence.BucketCount-1, int(math.Ceil(base+sigma*r.NormFloat64()))))
		for len(h.Buckets) <= bucket {
			h.Buckets = append(h.Buckets, 0)
		}
		h.Buckets[bucket]++
	}
}

// requestsToDetect returns the number of the new version's requests with which an
// observer who knows both shares of bad requests detects the defect with an error
// probability of 1/1000. From then on the defect counts as detectable.
func (sc *scenario) requestsToDetect() float64 {
	p, q := sc.baseErrorShare, sc.baseErrorShare+sc.severity
	switch sc.kind {
	case crossedAnswers:
		p, q = 0.00001, sc.severity
	case resumesCaused:
		p, q = sc.baseErrorShare/2, sc.baseErrorShare/2+sc.severity
	case slowFirstToken, slowGaps, slowCalls:
		// Latencies above the 90th percentile without the defect count as bad. Their
		// logarithm is 1.2816 standard deviations above the mean.
		p = 0.1
		q = 1 - normalCDF(1.2816-math.Log(sc.severity)/latencySigma)
	case errorsSomeTeams:
		return math.Log(1000) / klDivergence(p, q) / sc.badTeamShare()
	case errorsUnderLoad:
		return math.Log(1000) / klDivergence(p, q) / highLoadFraction
	}
	return math.Log(1000) / klDivergence(p, q)
}

// badTeamShare returns the share of requests of the teams that see the defect.
func (sc *scenario) badTeamShare() float64 {
	var sum float64
	for t, bad := range sc.badTeams {
		if bad {
			sum += teamShares[t]
		}
	}
	return sum
}

// normalCDF is the cumulative distribution function of the standard normal distribution.
func normalCDF(z float64) float64 { return 0.5 * math.Erfc(-z/math.Sqrt2) }

// klDivergence returns the Kullback-Leibler divergence of two shares of bad requests:
// the mean log-likelihood ratio per request if the share is q and not p.
func klDivergence(p, q float64) float64 {
	q = min(q, 0.999)
	return q*math.Log(q/p) + (1-q)*math.Log((1-q)/(1-p))
}
