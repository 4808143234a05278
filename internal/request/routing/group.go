package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// groupKey identifies the targets that can serve a request.
type groupKey struct {
	service, version string
}

// group holds the targets of one service version. It exists as long as the configuration
// has such targets.
type group struct {
	key      groupKey
	settings *Settings
	logger   *logging.Logger
	// endpoints is replaced when the configuration changes.
	endpoints atomic.Pointer[[]*endpoint]

	// picks counts the picks.
	picks atomic.Uint64
	// lastReview is the Unix time in nanoseconds of the last review.
	lastReview atomic.Int64
	mu         sync.Mutex // serializes reviews, ejections and restorations
}

// members returns the endpoints. The caller must not modify the slice.
func (g *group) members() []*endpoint {
	return *g.endpoints.Load()
}

// recordResult records the result of one placement and ejects or restores the target
// accordingly. elapsed is the duration of a call; it is 0 for generations, which end
// long after their first token.
func (g *group) recordResult(e *endpoint, r request.Result, latency, elapsed time.Duration) {
	reason := e.recordResult(r, latency, elapsed, g.settings)
	if e.ejectedUntil.Load() != 0 {
		g.recordProbeResult(e, r, reason)
		return
	}
	if reason != "" {
		g.eject(e, reason, time.Now())
	}
}

// eject ejects e unless MaxEjectedShare of the group's targets are ejected already.
func (g *group) eject(e *endpoint, reason string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.ejectedUntil.Load() != 0 || !g.canEject(now) {
		return
	}
	g.ejectLocked(e, reason, now)
}

// canEject reports whether one more ejection stays within MaxEjectedShare of the
// targets. A dead target that is not ejected can't serve requests and doesn't count. An
// ejected one counts even while it is dead: it would still be ejected after it responds
// again. The caller holds mu.
func (g *group) canEject(now time.Time) bool {
	total, ejectedCount := 0, 0
	for _, e := range g.members() {
		switch {
		case e.ejectedUntil.Load() != 0:
			total++
			ejectedCount++
		case !e.isDead(now):
			total++
		}
	}
	return ejectedCount+1 <= int(float64(total)*g.settings.MaxEjectedShare)
}

// ejectLocked ejects e and logs it. Each ejection lasts twice as long as the one
// before, up to MaxEjectionTime. The caller holds mu.
func (g *group) ejectLocked(e *endpoint, reason string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	duration := g.settings.EjectionTime.Std() << min(e.ejections, maxEjectionDoublings)
	duration = min(duration, g.settings.MaxEjectionTime.Std())
	e.ejections++
	e.probesPassed = 0
	e.resetConsecutiveCounts()
	e.successes, e.failures = 0, 0
	e.ejectedUntil.Store(now.Add(duration).UnixNano())
	e.addReason(now, "ejected: "+reason)
	g.logger.Warn(logging.TargetEjected, logging.Fields{
		"target": e.target.GetAddress(), "service": g.key.service, "version": g.key.version,
		"reason": reason, "duration": duration.String(),
	})
}

// maxEjectionDoublings keeps the ejection time from overflowing.
const maxEjectionDoublings = 10

// recordProbeResult records the result of a request to an ejected target. It ejects
// the target again after a failure and restores it after ProbeSuccesses successes.
func (g *group) recordProbeResult(e *endpoint, r request.Result, reason string) {
	now := time.Now()
	if now.UnixNano() < e.ejectedUntil.Load() || r == request.ResultAbandoned || r == request.ResultUnreached {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r != request.ResultSuccess {
		if reason == "" {
			reason = "probe failed"
		}
		g.ejectLocked(e, reason, now)
		return
	}
	e.mu.Lock()
	e.probesPassed++
	passed := e.probesPassed >= g.settings.ProbeSuccesses
	e.mu.Unlock()
	if passed {
		g.restoreLocked(e, "probes succeeded", now)
	}
}

// restoreLocked ends an ejection and logs it. The caller holds mu.
func (g *group) restoreLocked(e *endpoint, reason string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ejectedUntil.Store(0)
	e.restoredAt = now
	e.successes, e.failures = 0, 0
	e.addReason(now, "returned: "+reason)
	g.logger.Info(logging.TargetReturned, logging.Fields{
		"target": e.target.GetAddress(), "service": g.key.service, "version": g.key.version,
		"reason": reason,
	})
}
