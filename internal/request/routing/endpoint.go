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
)

// reasonsKept is the number of reasons that an endpoint remembers.
const reasonsKept = 8

// latencyWeight is the weight of a new latency in the moving average.
const latencyWeight = 0.2

// endpoint is a target with its health as this router's requests see it.
type endpoint struct {
	target *chicoryv1.Target
	state  *observe.State
	local  bool
	// slowness multiplies the load when targets are compared: the latency relative
	// to the median of the peers, as float64 bits; 1 means as fast as they.
	slowness atomic.Uint64
	// ejectedUntil is the Unix time in nanoseconds of the end of an ejection, 0 for
	// a target in use. After that time the target is probed.
	ejectedUntil atomic.Int64
	// nextProbe is the Unix time in nanoseconds before which no probe is sent.
	nextProbe atomic.Int64
	// waitingSince is the Unix time in nanoseconds since which requests wait with no
	// success, 0 when none does.
	waitingSince atomic.Int64
	// stallAfter is the time without a success, in nanoseconds, after which calls
	// avoid the target; 0 means not known yet.
	stallAfter atomic.Int64
	// nextTrial is the Unix time in nanoseconds before which a stalled target is avoided.
	nextTrial atomic.Int64
	// lastSuccess is the Unix time in nanoseconds of the last success.
	lastSuccess atomic.Int64

	mu sync.Mutex // guards the fields below
	// rows count results of one kind without a success between.
	errorRow, silentRow, resetRow, lateRow int
	// good and bad count recent results; review lets them fade.
	good, bad float64
	// latency is a moving average; 0 means none yet.
	latency time.Duration
	// ejections counts ejections since the target was last healthy for long.
	ejections    int
	probesPassed int
	returnedAt   time.Time
	leavingTold  bool
	silentTold   bool
	versionTold  bool
	reasons      []string
}

func newEndpoint(t *chicoryv1.Target, s *observe.State, zone string) *endpoint {
	e := &endpoint{target: t, state: s, local: t.GetAvailabilityZone() == zone}
	e.setSlowness(1)
	return e
}

// isSame reports whether both stand for the same target with the same state.
func (e *endpoint) isSame(other *endpoint) bool {
	return e.state == other.state && proto.Equal(e.target, other.target)
}

func (e *endpoint) setSlowness(x float64) { e.slowness.Store(math.Float64bits(x)) }

// capacity returns the requests that the target runs at once.
func (e *endpoint) capacity(fallback int) int {
	if c := e.target.GetCapacity(); c > 0 {
		return int(c)
	}
	if r := e.state.Report(); r != nil && r.Capacity > 0 {
		return r.Capacity
	}
	return fallback
}

// score is the load that one more request would meet, in shares of capacity,
// stretched by slowness. The lowest is best.
func (e *endpoint) score(now time.Time, m measure) float64 {
	capacity := float64(e.capacity(m.fallback))
	load := (e.state.Load(now) + 1) / capacity
	if float64(e.state.InFlight()+1) > capacity/m.routers {
		load += partPenalty
	}
	slowness := math.Float64frombits(e.slowness.Load())
	if m.isCall && e.isAvoided(now) {
		slowness = slowMax
	}
	return load * slowness
}

// measure is what a score depends on beside the endpoint.
type measure struct {
	// fallback is the capacity of targets that tell none.
	fallback int
	// routers is the number of live routers.
	routers float64
	isCall  bool
}

// partPenalty is added to the load, in shares of capacity, of a target of which
// this router already uses its part. Reports lag, so that only keeping to one's
// part keeps routers from filling the same target at the same time.
const partPenalty = 0.5

// isStalled reports whether calls wait at the target and none has succeeded for
// much longer than usual.
func (e *endpoint) isStalled(now time.Time) bool {
	since, after := e.waitingSince.Load(), e.stallAfter.Load()
	return since != 0 && after != 0 && now.UnixNano()-since > after
}

// isAvoided reports whether calls avoid a stalled target. Now and then one tries it.
func (e *endpoint) isAvoided(now time.Time) bool {
	return e.isStalled(now) && now.UnixNano() < e.nextTrial.Load()
}

// noteBegin notes that a request begins to wait at the target.
func (e *endpoint) noteBegin(now time.Time) {
	e.waitingSince.CompareAndSwap(0, now.UnixNano())
	e.nextTrial.Store(now.Add(trialInterval).UnixNano())
}

// noteSuccess notes a success; requests still in flight wait from now on.
func (e *endpoint) noteSuccess(now time.Time) {
	e.lastSuccess.Store(now.UnixNano())
	since := int64(0)
	if e.state.InFlight() > 0 {
		since = now.UnixNano()
	}
	e.waitingSince.Store(since)
}

// Bounds of stalls.
const (
	// stallFactor times the usual latency without a success is a stall.
	stallFactor = 4
	minStall    = 20 * time.Millisecond
	// trialInterval is the time after a request at a stalled target in which it
	// gets no other.
	trialInterval = 200 * time.Millisecond
)

// status says whether a target may get new work.
type status int

const (
	// usable: gets work.
	usable status = iota
	// ejected: gets work only when no target is usable, and probes.
	ejected
	// barred: gets no new work whatever the others do.
	barred
)

// status returns the endpoint's status at now.
func (e *endpoint) status(now time.Time) status {
	if _, leaving := e.state.Leaving(); leaving || e.hasWrongVersion() {
		return barred
	}
	if e.ejectedUntil.Load() != 0 || e.isDead(now) {
		return ejected
	}
	return usable
}

// hasWrongVersion reports whether the target says that it serves another version.
func (e *endpoint) hasWrongVersion() bool {
	r := e.state.Report()
	return r != nil && r.Version != "" && r.Version != e.target.GetVersion()
}

// isDead reports whether polls get no answer and no request succeeded meanwhile.
func (e *endpoint) isDead(now time.Time) bool {
	since, silent := e.state.SilentSince(now)
	return silent && e.lastSuccess.Load() < since.UnixNano()
}

// probeDue reports whether the endpoint's ejection is over and a probe may be
// sent, and takes the right to send it.
func (e *endpoint) probeDue(now time.Time, interval time.Duration) bool {
	until := e.ejectedUntil.Load()
	if until == 0 || now.UnixNano() < until || e.isDead(now) {
		return false
	}
	next := e.nextProbe.Load()
	return now.UnixNano() >= next && e.nextProbe.CompareAndSwap(next, now.Add(interval).UnixNano())
}

// lateFactor times the average latency without an answer is a sign of silence.
const lateFactor = 2

// count adds one result to the endpoint's counts. elapsed is how long the attempt
// took, 0 when that says nothing. It returns why the target should be ejected, or "".
func (e *endpoint) count(r request.Result, latency, elapsed time.Duration, s *Settings) (why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r == request.ResultAbandoned {
		return e.countLate(elapsed, s)
	}
	if r == request.ResultSilent {
		e.addLatency(max(elapsed, e.latency))
	}
	if r == request.ResultSuccess {
		e.noteSuccess(time.Now())
		e.clearRows()
		e.good++
		e.addLatency(latency)
		return ""
	}
	e.bad++
	switch r {
	case request.ResultError:
		e.errorRow++
	case request.ResultSilent:
		e.silentRow++
	case request.ResultReset:
		e.resetRow++
	}
	switch {
	case e.errorRow >= s.EjectErrors:
		return "errors in a row"
	case e.silentRow >= s.EjectSilences:
		return "silent requests in a row"
	case e.resetRow >= s.EjectResets:
		return "reset connections in a row"
	}
	return ""
}

// countLate takes in an attempt that was abandoned without an answer, such as one
// that its hedge overtook: the latency is at least the time that it took. The
// caller holds mu.
func (e *endpoint) countLate(elapsed time.Duration, s *Settings) (why string) {
	if e.latency == 0 || elapsed < lateFactor*e.latency {
		return ""
	}
	e.addLatency(elapsed)
	e.lateRow++
	if e.lateRow >= s.EjectLate {
		return "late answers in a row"
	}
	return ""
}

// addLatency updates the moving average. The caller holds mu.
func (e *endpoint) addLatency(d time.Duration) {
	if d <= 0 {
		return
	}
	if e.latency == 0 {
		e.latency = d
		return
	}
	e.latency += time.Duration(latencyWeight * float64(d-e.latency))
}

// clearRows forgets results in a row. The caller holds mu.
func (e *endpoint) clearRows() {
	e.errorRow, e.silentRow, e.resetRow, e.lateRow = 0, 0, 0, 0
}

// note remembers a reason for Explain. The caller holds mu.
func (e *endpoint) note(now time.Time, reason string) {
	if len(e.reasons) == reasonsKept {
		e.reasons = append(e.reasons[:0], e.reasons[1:]...)
	}
	e.reasons = append(e.reasons, now.UTC().Format(time.RFC3339Nano)+" "+reason)
}
