package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind is a kind of badness, or of a good version.
type kind int

const (
	good kind = iota
	goodCommon
	goodNonIdempotent
	goodRelated
	errorsAtOnce
	errorsNonIdempotent
	errorsRelated
	errorsGrowing
	errorsInWatch
	errorsUnderLoad
	errorsSomeTeams
	crossedAnswers
	resumesCaused
	slowFirstToken
	slowGaps
	slowCalls
	kindCount
)

var kindNames = [kindCount]string{
	"good", "good, common faults", "good, non-idempotent", "good, non-idempotent with related route",
	"errors at once", "errors, non-idempotent", "errors, non-idempotent with good related route", "errors while growing", "errors after full share",
	"errors under load", "errors for some teams", "crossed answers", "resumes caused",
	"slow first token", "slow gaps", "slow calls",
}

func (k kind) isGood() bool { return k <= goodRelated }

func (k kind) nonIdempotent() bool {
	return k == goodNonIdempotent || k == errorsNonIdempotent || k.related()
}

// related: an idempotent route of the same service moves between the same
// versions at the same time, at its cap, and the new version is good on it.
func (k kind) related() bool { return k == goodRelated || k == errorsRelated }

// atOnce reports whether the badness is there from the first request.
func (k kind) atOnce() bool {
	return !k.isGood() && k != errorsGrowing && k != errorsInWatch
}

// traffic is one level of traffic with the window that an operator would give it.
type traffic struct {
	rate   float64 // requests per second of the route
	window time.Duration
	step   time.Duration
}

var traffics = []traffic{
	{1, 8 * time.Hour, 48 * time.Second},
	{10, 2 * time.Hour, 12 * time.Second},
	{100, 20 * time.Minute, 2 * time.Second},
	{1000, 10 * time.Minute, time.Second},
}

const (
	zones = 3
	// loadPeriods is the number of load waves in a window.
	loadPeriods = 12
	// highLoadPart of each wave is at a high load level.
	highLoadPart = 0.3
	// highLoadFactor multiplies both versions' latencies at a high load level.
	highLoadFactor = 1.4
)

// teamShares are the teams' shares of the requests: few large ones.
var teamShares = []float64{0.4, 0.3, 0.15, 0.1, 0.05}

// fault is a time in which one or both versions are worse.
type fault struct {
	from, until time.Duration
	zone        int // every zone when negative
	onOld       bool
	onNew       bool
	errors      float64
	slowness    float64
}

// drawn is one drawn version with all that happens around it.
type drawn struct {
	kind    kind
	traffic traffic
	seed    uint64
	// model: a model service; else a transactional one.
	model bool
	// baseErrors is both versions' ordinary share of errors.
	baseErrors float64
	// goodFactor is the new version's harmless difference in latency.
	goodFactor float64
	// severity is the added share of bad requests, or the factor of the latency.
	severity float64
	// onsetShare is the share in thousandths from which errorsGrowing is bad.
	onsetShare uint32
	// onsetPart is the part of the planned watch after which errorsInWatch is bad.
	onsetPart float64
	badTeams  [5]bool
	faults    []fault
}

// drawVersion draws version i of a kind.
func drawVersion(k kind, i int, seed uint64) drawn {
	s := seed<<32 ^ uint64(k)<<24 ^ uint64(i)
	r := rand.New(rand.NewPCG(s, s^0x9e3779b97f4a7c15))
	d := drawn{kind: k, traffic: traffics[i%len(traffics)], seed: s, model: r.IntN(2) == 0}
	d.baseErrors = logUniform(r, 0.0005, 0.01)
	d.goodFactor = 0.9 + 0.2*r.Float64()
	d.onsetShare = []uint32{100, 250, 500}[r.IntN(3)]
	d.onsetPart = 0.8 * r.Float64()
	d.severity = logUniform(r, 0.04, 0.4)
	switch k {
	case crossedAnswers:
		d.severity = logUniform(r, 0.01, 0.1)
	case resumesCaused:
		d.model = true
	case slowFirstToken, slowGaps:
		d.model, d.severity = true, logUniform(r, 1.8, 4)
	case slowCalls:
		d.model, d.severity = false, logUniform(r, 1.8, 4)
	case goodNonIdempotent, errorsNonIdempotent, goodRelated, errorsRelated:
		d.model = false
	}
	d.badTeams[r.IntN(len(teamShares))] = true
	if k == errorsSomeTeams {
		d.severity = logUniform(r, 0.1, 0.6)
	}
	d.drawFaults(r)
	return d
}

// drawFaults draws common faults for half of the bad versions and for the good
// kind with common faults, and for every version a target's death on each side.
func (d *drawn) drawFaults(r *rand.Rand) {
	w := d.traffic.window
	at := func() time.Duration { return time.Duration(r.Float64() * float64(w)) }
	for side := range 2 {
		from := at()
		d.faults = append(d.faults, fault{
			from: from, until: from + 2*time.Second, zone: r.IntN(zones),
			onOld: side == 0, onNew: side == 1, errors: 0.3, slowness: 1,
		})
	}
	if d.kind != goodCommon && (d.kind.isGood() || r.IntN(2) == 0) {
		return
	}
	for range 1 + r.IntN(4) {
		from := at()
		f := fault{from: from, zone: r.IntN(zones+1) - 1, onOld: true, onNew: true, slowness: 1}
		f.until = from + time.Duration(logUniform(r, 10, 300)*float64(time.Second))
		if r.IntN(2) == 0 {
			f.errors = logUniform(r, 0.05, 0.6)
		} else {
			f.slowness = logUniform(r, 1.5, 5)
		}
		d.faults = append(d.faults, f)
	}
}

func logUniform(r *rand.Rand, low, high float64) float64 {
	return low * math.Exp(r.Float64()*math.Log(high/low))
}

// poisson draws a count; large means are drawn as rounded normals.
func poisson(r *rand.Rand, mean float64) uint64 {
	if mean > 30 {
		return uint64(max(0, math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	var n uint64
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// binomial draws how many of n happen with probability p.
func binomial(r *rand.Rand, n uint64, p float64) uint64 {
	if p <= 0 || n == 0 {
		return 0
	}
	if n <= 16 {
		var k uint64
		for range n {
			if r.Float64() < p {
				k++
			}
		}
		return k
	}
	mean := float64(n) * p
	if mean < 10 {
		return min(n, poisson(r, mean))
	}
	k := math.Round(mean + math.Sqrt(mean*(1-p))*r.NormFloat64())
	return uint64(max(0, min(k, float64(n))))
}
