package main

import (
	"math"
	"math/rand/v2"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// Ordinary latencies: log-normal with these medians.
const (
	firstTokenMedian = 400 * time.Millisecond
	gapMedian        = 37 * time.Millisecond
	callMedian       = 30 * time.Millisecond
	latencySigma     = 0.35
	// maxTimed latencies are drawn for each stratum of a step, evenly thinned.
	maxTimed = 12
)

// reports holds the strata of one step; they are used again for the next one.
type reports []evidence.Stratum

func newReports() reports {
	rs := make(reports, zones*len(teamShares))
	for i := range rs {
		rs[i].AvailabilityZone, rs[i].Team = zoneNames[i/len(teamShares)], teamNames[i%len(teamShares)]
		rs[i].Old, rs[i].New = newEvidence(), newEvidence()
	}
	return rs
}

func newEvidence() *chicoryv1.VersionEvidence {
	histogram := func() *chicoryv1.Histogram {
		return &chicoryv1.Histogram{Buckets: make([]uint32, 0, evidence.BucketCount)}
	}
	return &chicoryv1.VersionEvidence{FirstToken: histogram(), TokenGap: histogram(), CallLatency: histogram()}
}

// stepEvidence draws into rs what routers report of one step. onset says whether
// the badness that comes later has come.
func (d *drawn) stepEvidence(rs reports, step int, at time.Duration, share uint32, onset bool) {
	r := rand.New(rand.NewPCG(d.seed, uint64(step)))
	high := d.highLoad(at)
	for z := range zones {
		oldFault, newFault := d.faultsAt(at, z)
		for t, part := range teamShares {
			n := poisson(r, d.traffic.rate*d.traffic.step.Seconds()*part/zones)
			moved := binomial(r, n, float64(share)/1000)
			bad := onset && (d.kind != errorsSomeTeams || d.badTeams[t]) && (d.kind != errorsUnderLoad || high)
			s := &rs[z*len(teamShares)+t]
			s.LoadLevel = 0
			if high {
				s.LoadLevel = 1
			}
			base := d.baseErrors * teamErrorFactors[t]
			d.draw(r, s.Old, n-moved, base, oldFault, false, high)
			d.draw(r, s.New, moved, base, newFault, bad, high)
		}
	}
}

var (
	zoneNames = [zones]string{"a", "b", "c"}
	teamNames = [5]string{"colonia", "montevideo", "rocha", "punta", "salto"}
	// teamErrorFactors multiply the ordinary share of errors.
	teamErrorFactors = [5]float64{1, 0.5, 1, 3, 1}
)

func (d *drawn) highLoad(at time.Duration) bool {
	wave := float64(at) / float64(d.traffic.window) * loadPeriods
	return wave-math.Floor(wave) < highLoadPart
}

// trouble is what faults add.
type trouble struct {
	errors   float64
	slowness float64
}

// faultsAt returns the faults' effect in a zone over the step that starts at at.
// A fault that covers a part of the step counts for that part.
func (d *drawn) faultsAt(at time.Duration, zone int) (old, now trouble) {
	old.slowness, now.slowness = 1, 1
	for _, f := range d.faults {
		covered := min(f.until, at+d.traffic.step) - max(f.from, at)
		if covered <= 0 || f.zone >= 0 && f.zone != zone {
			continue
		}
		part := float64(covered) / float64(d.traffic.step)
		if f.onOld {
			old.add(f, part)
		}
		if f.onNew {
			now.add(f, part)
		}
	}
	return old, now
}

func (t *trouble) add(f fault, part float64) {
	t.errors += f.errors * part
	t.slowness *= 1 + (f.slowness-1)*part
}

// draw sets e to the evidence of n requests of one version.
func (d *drawn) draw(r *rand.Rand, e *chicoryv1.VersionEvidence, n uint64, base float64, t trouble, bad, high bool) {
	e.Requests, e.Errors, e.Crossed, e.Resumes = n, 0, 0, 0
	for _, h := range []*chicoryv1.Histogram{e.FirstToken, e.TokenGap, e.CallLatency} {
		h.Buckets = h.Buckets[:0]
	}
	if n == 0 {
		return
	}
	errs, crossed, resumes := min(base+t.errors, 1), 0.0, 0.0
	if d.model {
		resumes = errs / 2
	}
	first, gap, call := t.slowness, t.slowness, t.slowness
	if high {
		first, gap, call = first*highLoadFactor, gap*highLoadFactor, call*highLoadFactor
	}
	if bad {
		switch d.kind {
		case crossedAnswers:
			crossed = d.severity
		case resumesCaused:
			resumes += d.severity
		case slowFirstToken:
			first *= d.severity
		case slowGaps:
			gap *= d.severity
		case slowCalls:
			call *= d.severity
		default:
			errs += d.severity
		}
	}
	e.Errors = binomial(r, n, min(errs, 1))
	e.Crossed = binomial(r, n, crossed)
	e.Resumes = binomial(r, n, min(resumes, 1))
	timed := min(n, maxTimed)
	if d.model {
		latencies(r, e.FirstToken, timed, firstTokenMedian, first)
		latencies(r, e.TokenGap, timed, gapMedian, gap)
	} else {
		latencies(r, e.CallLatency, timed, callMedian, call)
	}
}

// latencies draws n latencies into the empty h.
func latencies(r *rand.Rand, h *chicoryv1.Histogram, n uint64, median time.Duration, factor float64) {
	base := math.Log2(float64(median)*factor/float64(time.Millisecond)) * evidence.BucketsPerDoubling
	const sigma = latencySigma * evidence.BucketsPerDoubling / math.Ln2
	for range n {
		b := max(0, min(evidence.BucketCount-1, int(math.Ceil(base+sigma*r.NormFloat64()))))
		for len(h.Buckets) <= b {
			h.Buckets = append(h.Buckets, 0)
		}
		h.Buckets[b]++
	}
}

// sufficient is the number of requests with which an observer who knows both
// shares tells the badness with an error of one in a thousand; the badness counts
// as shown from then on.
func (d *drawn) sufficient() float64 {
	p, q := d.baseErrors, d.baseErrors+d.severity
	switch d.kind {
	case crossedAnswers:
		p, q = 0.00001, d.severity
	case resumesCaused:
		p, q = d.baseErrors/2, d.baseErrors/2+d.severity
	case slowFirstToken, slowGaps, slowCalls:
		p = 0.1
		q = 1 - normalCDF(1.2816-math.Log(d.severity)/latencySigma)
	case errorsSomeTeams:
		return math.Log(1000) / divergence(p, q) / d.badTeamShare()
	case errorsUnderLoad:
		return math.Log(1000) / divergence(p, q) / highLoadPart
	}
	return math.Log(1000) / divergence(p, q)
}

func (d *drawn) badTeamShare() float64 {
	var sum float64
	for t, bad := range d.badTeams {
		if bad {
			sum += teamShares[t]
		}
	}
	return sum
}

func normalCDF(z float64) float64 { return 0.5 * math.Erfc(-z/math.Sqrt2) }

// divergence is the mean log likelihood ratio of a request that is bad with share q.
func divergence(p, q float64) float64 {
	q = min(q, 0.999)
	return q*math.Log(q/p) + (1-q)*math.Log((1-q)/(1-p))
}
