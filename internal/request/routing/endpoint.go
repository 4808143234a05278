package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

// maxReasons is the number of reasons that an endpoint keeps for Picker.Explain.
const maxReasons = 8

// latencyWeight is the weight of a new latency in an endpoint's moving average.
const latencyWeight = 0.2

// recoveryWeight is the weight of a shorter latency of a target that counts as slow: it gets few
// calls that show whether it still is.
const recoveryWeight = 0.35

// endpoint is a target and its health as observed by this router's requests.
type endpoint struct {
	target *chicoryv1.Target
	state  *observe.State
	// sameZone is set when the target is in the router's own availability zone.
	sameZone bool
	// slowness, as float64 bits, is the factor by which the load is scaled when
	// targets are compared: the latency relative to the median of the group.
	slowness atomic.Uint64
	// lastPick is the number of picks of the group when the target was picked last, and
	// nextTrialAt the Unix time in nanoseconds before which it gets no trial call while it is slow.
	lastPick    atomic.Uint64
	nextTrialAt atomic.Int64
	// ejectedUntil is the Unix time in nanoseconds after which an ejected target is
	// probed; 0 when the target is not ejected.
	ejectedUntil atomic.Int64
	// nextProbeAt is the Unix time in nanoseconds before which no probe is sent.
	nextProbeAt atomic.Int64
	// waitingSince is the Unix time in nanoseconds since which requests have been in
	// flight without a success; 0 when none is in flight.
	waitingSince atomic.Int64
	// stallAfter is the time without a success, in nanoseconds, after which the target
	// counts as stalled; 0 means not known yet.
	stallAfter atomic.Int64
	// nextStallProbeAt is the Unix time in nanoseconds before which calls avoid the
	// target while it is stalled.
	nextStallProbeAt atomic.Int64
	// replacedUntil is the Unix time in nanoseconds until which the target gets no work, because
	// another start has its address. A list with that start ends it.
	replacedUntil atomic.Int64
	// lastSuccess is the Unix time in nanoseconds of the last success.
	lastSuccess atomic.Int64

	mu sync.Mutex // guards the fields below
	// The consecutive counts are numbers of results of one kind since the last
	// success.
	consecutiveErrors, consecutiveSilences, consecutiveResets, consecutiveLate int
	// successes and failures count recent results; review decays them exponentially.
	successes, failures float64
	// meanLatency is a moving average; 0 means that there is no sample yet.
	meanLatency time.Duration
	// ejections is the number of ejections since the target was last healthy for
	// ejectionCountLifetime.
	ejections    int
	probesPassed int
	restoredAt   time.Time
	// The logged flags are set while the condition has been logged as present.
	leavingLogged      bool
	silenceLogged      bool
	wrongVersionLogged bool
	// reasons are the last reasons for ejections and restorations, oldest first.
	reasons []string
}

func newEndpoint(t *chicoryv1.Target, s *observe.State, zone string) *endpoint {
	e := &endpoint{target: t, state: s, sameZone: t.GetAvailabilityZone() == zone}
	e.setSlowness(1)
	return e
}

// isEquivalent reports whether both endpoints have the same target configuration and
// the same observed state.
func (e *endpoint) isEquivalent(other *endpoint) bool {
	return e.state == other.state && proto.Equal(e.target, other.target)
}

func (e *endpoint) setSlowness(x float64) { e.slowness.Store(math.Float64bits(x)) }

// capacity returns the number of requests that the target can run concurrently.
func (e *endpoint) capacity(defaultCapacity int) int {
	if c := e.target.GetCapacity(); c > 0 {
		return int(c)
	}
	if r := e.state.Report(); r != nil && r.Capacity > 0 {
		return r.Capacity
	}
	return defaultCapacity
}

// score returns the load of the target with one more request, as a fraction of its
// capacity, scaled by its slowness. The lowest score is best.
func (e *endpoint) score(now time.Time, params scoreParams) float64 {
	capacity := float64(e.capacity(params.defaultCapacity))
	load := (e.state.Load(now) + 1) / capacity
	if float64(e.state.InFlight()+1) > capacity/params.routers {
		load += routerSharePenalty
	}
	slowness := e.expectedSlowness(now, params.speeds)
	if params.isCall && e.isAvoidedByCalls(now) {
		slowness = maxSlowness
	}
	return load * slowness
}

// expectedSlowness returns the larger of the slowness that this process has learned from calls and
// the estimate that is shared; only the latter shows a target that is faster than usual.
func (e *endpoint) expectedSlowness(now time.Time, speeds *speed.Table) float64 {
	learned := e.learnedSlowness()
	factor := speeds.Factor(e.target.GetAddress(), e.target.GetInstance(), now)
	if learned > 1 {
		return max(learned, factor)
	}
	return factor
}

func (e *endpoint) learnedSlowness() float64 { return math.Float64frombits(e.slowness.Load()) }

// tryTakeTrial reports whether the target counts as slow and is due for a call that shows whether
// it still is. If so, the caller must send the call.
func (e *endpoint) tryTakeTrial(now time.Time, picks, members uint64) bool {
	if e.learnedSlowness() <= 1 || picks-e.lastPick.Load() < max(minTrialPicks, trialPicksPerMember*members) || e.isStalled(now) || e.status(now) != usable {
		return false
	}
	next := e.nextTrialAt.Load()
	return now.UnixNano() >= next && e.nextTrialAt.CompareAndSwap(next, now.Add(trialInterval).UnixNano())
}

// A slow target gets a trial call if it was not picked for minTrialPicks picks of its group, and
// trialPicksPerMember for each target, so that at most a quarter of the calls are trials, and for
// trialInterval. Without trials, a target that was slow once gets no calls while others are idle.
const (
	minTrialPicks       = 20
	trialPicksPerMember = 4
	trialInterval       = time.Second
)

// scoreParams are the inputs of a score other than the endpoint.
type scoreParams struct {
	// defaultCapacity is the capacity of targets whose capacity is unknown.
	defaultCapacity int
	// routers is the number of live routers.
	routers float64
	isCall  bool
	speeds  *speed.Table
}

// routerSharePenalty is added to the load, as a fraction of capacity, of a target at
// which this router already uses its 1/routers share of the capacity. Load reports
// lag, so without the penalty several routers would fill the same target at once.
const routerSharePenalty = 0.5

// isStalled reports whether requests are in flight at the target and none has
// succeeded for stallAfter.
func (e *endpoint) isStalled(now time.Time) bool {
	since, after := e.waitingSince.Load(), e.stallAfter.Load()
	return since != 0 && after != 0 && now.UnixNano()-since > after
}

// isAvoidedByCalls reports whether the target is stalled and not due for the next
// call that checks whether it has recovered.
func (e *endpoint) isAvoidedByCalls(now time.Time) bool {
	return e.isStalled(now) && now.UnixNano() < e.nextStallProbeAt.Load()
}

// recordStart records the start of a request at the target.
func (e *endpoint) recordStart(now time.Time) {
	e.waitingSince.CompareAndSwap(0, now.UnixNano())
	e.nextStallProbeAt.Store(now.Add(stallProbeInterval).UnixNano())
}

// recordSuccess records a success. The time without a success restarts at now for
// the requests that are still in flight.
func (e *endpoint) recordSuccess(now time.Time) {
	e.lastSuccess.Store(now.UnixNano())
	since := int64(0)
	if e.state.InFlight() > 0 {
		since = now.UnixNano()
	}
	e.waitingSince.Store(since)
}

// Parameters of stall detection.
const (
	// stallFactor is the time without a success from which a target counts as
	// stalled, as a multiple of the group's median latency.
	stallFactor = 4
	// minStall is the lower bound of that time.
	minStall = 20 * time.Millisecond
	// stallProbeInterval is the time between two calls to a stalled target.
	stallProbeInterval = 200 * time.Millisecond
)

// status is a target's eligibility for new work.
type status int

const (
	// usable targets get new work.
	usable status = iota
	// ejected targets get probes, and other work only when no target is usable.
	ejected
	// unavailable targets get no new work, even when no other target is usable.
	unavailable
)

// status returns the endpoint's status at now.
func (e *endpoint) status(now time.Time) status {
	if _, leaving := e.state.Leaving(); leaving || e.hasWrongVersion() || now.UnixNano() < e.replacedUntil.Load() {
		return unavailable
	}
	if e.ejectedUntil.Load() != 0 || e.isDead(now) {
		return ejected
	}
	return usable
}

// hasWrongVersion reports whether the target's last report names another version than
// the configuration.
func (e *endpoint) hasWrongVersion() bool {
	r := e.state.Report()
	return r != nil && r.Version != "" && r.Version != e.target.GetVersion()
}

// isDead reports whether load polls have been unanswered for the configured time and
// no request has succeeded since.
func (e *endpoint) isDead(now time.Time) bool {
	since, silent := e.state.SilentSince(now)
	return silent && e.lastSuccess.Load() < since.UnixNano()
}

// tryTakeProbe reports whether the ejection time has passed and a probe is due. If so,
// the caller must send the probe: no other caller gets one within interval.
func (e *endpoint) tryTakeProbe(now time.Time, interval time.Duration) bool {
	until := e.ejectedUntil.Load()
	if until == 0 || now.UnixNano() < until || e.isDead(now) {
		return false
	}
	next := e.nextProbeAt.Load()
	return now.UnixNano() >= next && e.nextProbeAt.CompareAndSwap(next, now.Add(interval).UnixNano())
}

// replacedPause is how long a target gets no work after another start has responded at its
// address. The list shows the other one a second or two later.
const replacedPause = time.Second

// lateLatencyFactor is the time without a response from which an abandoned attempt
// counts as late, as a multiple of the mean latency.
const lateLatencyFactor = 2

// recordResult records the result of one attempt. elapsed is the duration of the
// attempt, 0 when it says nothing about the target. It returns the reason to eject
// the target, or "".
func (e *endpoint) recordResult(r request.Result, latency, elapsed time.Duration, s *Settings) (reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r == request.ResultUnreached {
		return ""
	}
	if r == request.ResultAbandoned {
		return e.recordAbandoned(elapsed, s)
	}
	if r == request.ResultReplaced {
		e.replacedUntil.Store(time.Now().Add(replacedPause).UnixNano())
		return ""
	}
	if r == request.ResultSilent {
		e.addLatency(max(elapsed, e.meanLatency))
	}
	if r == request.ResultSuccess {
		e.recordSuccess(time.Now())
		e.resetConsecutiveCounts()
		e.successes++
		e.addLatency(latency)
		return ""
	}
	e.failures++
	switch r {
	case request.ResultError:
		e.consecutiveErrors++
	case request.ResultSilent:
		e.consecutiveSilences++
	case request.ResultReset:
		e.consecutiveResets++
	}
	switch {
	case e.consecutiveErrors >= s.EjectErrors:
		return "errors in a row"
	case e.consecutiveSilences >= s.EjectSilences:
		return "silent requests in a row"
	case e.consecutiveResets >= s.EjectResets:
		return "reset connections in a row"
	}
	return ""
}

// recordAbandoned records an attempt that was abandoned without a response, for example
// because its hedge responded first. The latency is then at least elapsed. The caller
// holds mu.
func (e *endpoint) recordAbandoned(elapsed time.Duration, s *Settings) (reason string) {
	if e.meanLatency == 0 || elapsed < lateLatencyFactor*e.meanLatency {
		return ""
	}
	e.addLatency(elapsed)
	e.consecutiveLate++
	if e.consecutiveLate >= s.EjectLate {
		return "late answers in a row"
	}
	return ""
}

// addLatency updates the moving average. The caller holds mu.
func (e *endpoint) addLatency(d time.Duration) {
	if d <= 0 {
		return
	}
	if e.meanLatency == 0 {
		e.meanLatency = d
		return
	}
	weight := latencyWeight
	if d < e.meanLatency && e.learnedSlowness() > 1 {
		weight = recoveryWeight
	}
	e.meanLatency += time.Duration(weight * float64(d-e.meanLatency))
}

// resetConsecutiveCounts sets the consecutive counts to 0. The caller holds mu.
func (e *endpoint) resetConsecutiveCounts() {
	e.consecutiveErrors, e.consecutiveSilences, e.consecutiveResets, e.consecutiveLate = 0, 0, 0, 0
}

// addReason adds a reason for Picker.Explain. The caller holds mu.
func (e *endpoint) addReason(now time.Time, reason string) {
	if len(e.reasons) == maxReasons {
		e.reasons = append(e.reasons[:0], e.reasons[1:]...)
	}
	e.reasons = append(e.reasons, now.UTC().Format(time.RFC3339Nano)+" "+reason)
}
