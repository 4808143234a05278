package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// groupKey names the targets that can serve a request.
type groupKey struct {
	service, version string
}

// group has the targets of one service and version. It lasts while the
// configuration has such targets.
type group struct {
	key      groupKey
	settings *Settings
	logger   *logging.Logger
	// endpoints is replaced whole by a new configuration.
	endpoints atomic.Pointer[[]*endpoint]

	// reviewed is the Unix time in nanoseconds of the last review.
	reviewed atomic.Int64
	mu       sync.Mutex // serializes reviews, ejections and returns
}

// members returns the endpoints, which must not be changed.
func (g *group) members() []*endpoint {
	return *g.endpoints.Load()
}

// finish takes in the result of one placement. elapsed is how long it took
// without an answer, 0 for generations, which end long after their first token.
func (g *group) finish(e *endpoint, r request.Result, latency, elapsed time.Duration) {
	why := e.count(r, latency, elapsed, g.settings)
	if e.ejectedUntil.Load() != 0 {
		g.finishProbe(e, r, why)
		return
	}
	if why != "" {
		g.eject(e, why, time.Now())
	}
}

// eject takes e out of use unless the floor forbids it.
func (g *group) eject(e *endpoint, why string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.ejectedUntil.Load() != 0 || !g.mayEject(now) {
		return
	}
	g.ejectLocked(e, why, now)
}

// mayEject reports whether one more ejection keeps the floor. Dead targets can
// serve nothing and don't count. The caller holds mu.
func (g *group) mayEject(now time.Time) bool {
	alive, out := 0, 0
	for _, e := range g.members() {
		if e.isDead(now) {
			continue
		}
		alive++
		if e.ejectedUntil.Load() != 0 {
			out++
		}
	}
	return out+1 <= int(float64(alive)*g.settings.MaxEjectedShare)
}

// ejectLocked starts an ejection. The caller holds mu.
func (g *group) ejectLocked(e *endpoint, why string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := g.settings.EjectionTime.Std() << min(e.ejections, maxDoublings)
	d = min(d, g.settings.MaxEjectionTime.Std())
	e.ejections++
	e.probesPassed = 0
	e.clearRows()
	e.good, e.bad = 0, 0
	e.ejectedUntil.Store(now.Add(d).UnixNano())
	e.note(now, "ejected: "+why)
	g.logger.Warn(logging.TargetEjected, logging.Fields{
		"target": e.target.GetAddress(), "service": g.key.service, "version": g.key.version,
		"reason": why, "duration": d.String(),
	})
}

// maxDoublings keeps the ejection time from overflowing.
const maxDoublings = 10

// finishProbe takes in the result of a request to an ejected target.
func (g *group) finishProbe(e *endpoint, r request.Result, why string) {
	now := time.Now()
	if now.UnixNano() < e.ejectedUntil.Load() || r == request.ResultAbandoned {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r != request.ResultSuccess {
		if why == "" {
			why = "probe failed"
		}
		g.ejectLocked(e, why, now)
		return
	}
	e.mu.Lock()
	e.probesPassed++
	passed := e.probesPassed >= g.settings.ProbeSuccesses
	e.mu.Unlock()
	if passed {
		g.returnLocked(e, "probes succeeded", now)
	}
}

// returnLocked ends an ejection. The caller holds mu.
func (g *group) returnLocked(e *endpoint, why string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ejectedUntil.Store(0)
	e.returnedAt = now
	e.good, e.bad = 0, 0
	e.note(now, "returned: "+why)
	g.logger.Info(logging.TargetReturned, logging.Fields{
		"target": e.target.GetAddress(), "service": g.key.service, "version": g.key.version,
		"reason": why,
	})
}
