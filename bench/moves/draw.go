package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// versionKind is the kind of a simulated new version: good, or bad with one defect.
type versionKind int

const (
	good versionKind = iota
	goodCommonFaults
	goodNonIdempotent
	goodRelatedRoute
	errorsFromStart
	errorsNonIdempotent
	errorsRelatedRoute
	errorsWhileGrowing
	errorsWhileWatching
	errorsUnderLoad
	errorsSomeTeams
	crossedAnswers
	resumesCaused
	slowFirstToken
	slowGaps
	slowCalls
	kindCount
)

// kindNames are the names in the tables and, with hyphens, in the lines of the goals.
var kindNames = [kindCount]string{
	"good", "good, common faults", "good, non-idempotent", "good, non-idempotent with related route",
	"errors at once", "errors, non-idempotent", "errors, non-idempotent with good related route", "errors while growing", "errors after full share",
	"errors under load", "errors for some teams", "crossed answers", "resumes caused",
	"slow first token", "slow gaps", "slow calls",
}

// isGood reports whether the version has no defect.
func (k versionKind) isGood() bool { return k <= goodRelatedRoute }

// nonIdempotent reports whether the route's calls are non-idempotent.
func (k versionKind) nonIdempotent() bool {
	return k == goodNonIdempotent || k == errorsNonIdempotent || k.hasRelatedRoute()
}

// hasRelatedRoute reports whether an idempotent route of the same service moves
// between the same versions at the same time. Its share is at the cap, and the new
// version has no defect on it.
func (k versionKind) hasRelatedRoute() bool { return k == goodRelatedRoute || k == errorsRelatedRoute }

// badFromStart reports whether the version has its defect from the first request.
func (k versionKind) badFromStart() bool {
	return !k.isGood() && k != errorsWhileGrowing && k != errorsWhileWatching
}

// trafficLevel is a request rate with the window between start and deadline that an
// operator would plan for it.
type trafficLevel struct {
	rate   float64 // requests per second of the route
	window time.Duration
	step   time.Duration // simulated time between two decisions
}

var trafficLevels = []trafficLevel{
	{1, 8 * time.Hour, 48 * time.Second},
	{10, 2 * time.Hour, 12 * time.Second},
	{100, 20 * time.Minute, 2 * time.Second},
	{1000, 10 * time.Minute, time.Second},
}

const (
	zoneCount = 3
	// loadCycles is the number of load cycles in a window.
	loadCycles = 12
	// highLoadFraction is the part of each load cycle at a high load level.
	highLoadFraction = 0.3
	// highLoadLatencyFactor multiplies both versions' latencies at a high load level.
	highLoadLatencyFactor = 1.4
)

// teamShares are the teams' shares of the requests; a few teams send most of them.
var teamShares = []float64{0.4, 0.3, 0.15, 0.1, 0.05}

// fault is a period in which one or both versions have more errors or are slower.
type fault struct {
	from, until   time.Duration
	zone          int // -1 for all zones
	onOld         bool
	onNew         bool
	errorShare    float64 // added to the share of errors
	latencyFactor float64
}

// scenario is one random new version, with the traffic and the faults during its move.
type scenario struct {
	kind    versionKind
	traffic trafficLevel
	seed    uint64
	// isModelService is true for a model service and false for a transactional one.
	isModelService bool
	// baseErrorShare is the share of errors of both versions without faults and defects.
	baseErrorShare float64
	// goodLatencyFactor is a harmless difference in the new version's latency. It is
	// drawn but not applied to any latency.
	goodLatencyFactor float64
	// severity is the defect's size: the share of bad requests that it adds, or the
	// factor by which it multiplies a latency.
	severity float64
	// onsetSharePermille is the new version's share from which errorsWhileGrowing has
	// its defect.
	onsetSharePermille uint32
	// onsetWatchFraction is the part of the planned watch after which
	// errorsWhileWatching has its defect.
	onsetWatchFraction float64
	// badTeams has the one team on whose requests errorsSomeTeams has its defect.
	badTeams [5]bool
	faults   []fault
}

// newScenario draws scenario i of a kind. The same arguments give the same scenario.
func newScenario(kind versionKind, i int, seed uint64) scenario {
	scenarioSeed := seed<<32 ^ uint64(kind)<<24 ^ uint64(i)
	r := rand.New(rand.NewPCG(scenarioSeed, scenarioSeed^0x9e3779b97f4a7c15))
	sc := scenario{kind: kind, traffic: trafficLevels[i%len(trafficLevels)], seed: scenarioSeed, isModelService: r.IntN(2) == 0}
	sc.baseErrorShare = sampleLogUniform(r, 0.0005, 0.01)
	sc.goodLatencyFactor = 0.9 + 0.2*r.Float64()
	sc.onsetSharePermille = []uint32{100, 250, 500}[r.IntN(3)]
	sc.onsetWatchFraction = 0.8 * r.Float64()
	sc.severity = sampleLogUniform(r, 0.04, 0.4)
	switch kind {
	case crossedAnswers:
		sc.severity = sampleLogUniform(r, 0.01, 0.1)
	case resumesCaused:
		sc.isModelService = true
	case slowFirstToken, slowGaps:
		sc.isModelService, sc.severity = true, sampleLogUniform(r, 1.8, 4)
	case slowCalls:
		sc.isModelService, sc.severity = false, sampleLogUniform(r, 1.8, 4)
	case goodNonIdempotent, errorsNonIdempotent, goodRelatedRoute, errorsRelatedRoute:
		sc.isModelService = false
	}
	sc.badTeams[r.IntN(len(teamShares))] = true
	if kind == errorsSomeTeams {
		sc.severity = sampleLogUniform(r, 0.1, 0.6)
	}
	sc.sampleFaults(r)
	return sc
}

// sampleFaults draws the faults: for every scenario one target failure of each version,
// and for goodCommonFaults and half of the bad versions also faults that are common to
// both versions.
func (sc *scenario) sampleFaults(r *rand.Rand) {
	window := sc.traffic.window
	at := func() time.Duration { return time.Duration(r.Float64() * float64(window)) }
	for version := range 2 {
		from := at()
		sc.faults = append(sc.faults, fault{
			from: from, until: from + 2*time.Second, zone: r.IntN(zoneCount),
			onOld: version == 0, onNew: version == 1, errorShare: 0.3, latencyFactor: 1,
		})
	}
	if sc.kind != goodCommonFaults && (sc.kind.isGood() || r.IntN(2) == 0) {
		return
	}
	for range 1 + r.IntN(4) {
		from := at()
		f := fault{from: from, zone: r.IntN(zoneCount+1) - 1, onOld: true, onNew: true, latencyFactor: 1}
		f.until = from + time.Duration(sampleLogUniform(r, 10, 300)*float64(time.Second))
		if r.IntN(2) == 0 {
			f.errorShare = sampleLogUniform(r, 0.05, 0.6)
		} else {
			f.latencyFactor = sampleLogUniform(r, 1.5, 5)
		}
		sc.faults = append(sc.faults, f)
	}
}

// sampleLogUniform draws a number between low and high whose logarithm is uniform.
func sampleLogUniform(r *rand.Rand, low, high float64) float64 {
	return low * math.Exp(r.Float64()*math.Log(high/low))
}

// samplePoisson draws from a Poisson distribution, which for means above 30 is
// approximated by a normal distribution.
func samplePoisson(r *rand.Rand, mean float64) uint64 {
	if mean > 30 {
		return uint64(max(0, math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	var n uint64
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// sampleBinomial draws from a binomial distribution of n trials with probability p.
// Above 16 trials it is approximated by a Poisson distribution for means below 10 and
// by a normal distribution otherwise.
func sampleBinomial(r *rand.Rand, n uint64, p float64) uint64 {
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
		return min(n, samplePoisson(r, mean))
	}
	k := math.Round(mean + math.Sqrt(mean*(1-p))*r.NormFloat64())
	return uint64(max(0, min(k, float64(n))))
}
