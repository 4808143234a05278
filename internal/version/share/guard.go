package share

import (
	"fmt"
	"sort"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

const (
	// minRequests is the number of requests of each version in the window that a
	// comparison needs.
	minRequests = 10
	// A version is stopped for its bad requests only if there are at least
	// minBadRequests of them, in at least minBadSeconds different seconds. Otherwise
	// the crash of a single target could stop it.
	minBadRequests = 5
	minBadSeconds  = 3
	// minBadRateIncrease is the minimum difference between the new version's rate of
	// bad requests and the old version's.
	minBadRateIncrease = 0.25
	// minBadRateFactor is the multiple of the old version's rate that the new version's
	// rate must also exceed.
	minBadRateFactor = 3
	// minCrossed is the number of crossed answers, which carry another request's
	// identity, that stop the new version if the old version has none.
	minCrossed = 3
	// minSlowdown is the minimum quotient of the mean latencies. It is computed from at
	// least minTimedRequests requests of each version.
	minSlowdown      = 3
	minTimedRequests = 20
	// stopDuration is how long a stop lasts. The version then gets its share again,
	// unless the control leader has rolled the move back.
	stopDuration = 60 * time.Second
)

// Guard is a circuit breaker for the new versions of open moves on this router. It
// compares the observations of both versions, and stops new requests to a new version
// that is clearly worse. It never stops an old version, and a fault common to both
// versions stops neither. It passes every observation on to the next recorder.
type Guard struct {
	source ConfigSource
	next   request.Recorder
	clock  func() time.Time
	log    *logging.Logger

	mu      sync.Mutex
	byRoute map[string]*breaker
}

// breaker is the state of the Guard for the open move of a route.
type breaker struct {
	moveID       string
	version      string
	window       window
	stoppedUntil time.Time
}

var _ request.Recorder = (*Guard)(nil)

// NewGuard returns a Guard that passes observations on to next.
func NewGuard(source ConfigSource, next request.Recorder, clock func() time.Time, log *logging.Logger) *Guard {
	return &Guard{source: source, next: next, clock: clock, log: log, byRoute: make(map[string]*breaker)}
}

// Record passes o on, and counts it if its route has an open move.
func (g *Guard) Record(o request.Observation) {
	g.next.Record(o)
	v := g.source.Current()
	if v == nil {
		return
	}
	m := v.Move(o.Route)
	in := m.GetIntent()
	if m == nil || o.Version != in.GetFrom() && o.Version != in.GetTo() {
		return
	}
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.breakerFor(m)
	if now.Before(b.stoppedUntil) {
		return
	}
	if o.Version == in.GetFrom() {
		b.window.secondAt(now).old.add(o)
		return
	}
	b.window.secondAt(now).new.add(o)
	if reason := stopReason(b.window.total()); reason != "" {
		b.stop(now)
		g.log.Warn(logging.VersionStopped, logging.Fields{
			"route": o.Route, "version": o.Version, "move": m.GetId(), "reason": reason,
		})
	}
}

// breakerFor returns the breaker of the move. It replaces the breaker of an earlier
// move of the same route.
func (g *Guard) breakerFor(m *chicoryv1.Move) *breaker {
	route := m.GetIntent().GetRoute()
	b := g.byRoute[route]
	if b == nil || b.moveID != m.GetId() {
		b = &breaker{moveID: m.GetId(), version: m.GetIntent().GetTo()}
		g.byRoute[route] = b
	}
	return b
}

// stop stops the version for stopDuration and clears the window.
func (b *breaker) stop(now time.Time) {
	b.stoppedUntil = now.Add(stopDuration)
	b.window = window{}
}

// stopped reports whether new requests to the move's new version are stopped.
func (g *Guard) stopped(m *chicoryv1.Move) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.byRoute[m.GetIntent().GetRoute()]
	return b != nil && b.moveID == m.GetId() && g.clock().Before(b.stoppedUntil)
}

// Stopped returns the versions that are stopped now, as "route/version" in sorted order.
func (g *Guard) Stopped() []string {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for route, b := range g.byRoute {
		if now.Before(b.stoppedUntil) {
			out = append(out, route+"/"+b.version)
		}
	}
	sort.Strings(out)
	return out
}

// stopReason returns why the new version must be stopped, or "" if it is not clearly
// worse than the old version in the same window.
func stopReason(p versionCounts) string {
	if p.new.crossed >= minCrossed && p.old.crossed == 0 && p.old.requests >= minRequests {
		return fmt.Sprintf("%d of %d answers crossed, old version 0 of %d", p.new.crossed, p.new.requests, p.old.requests)
	}
	if p.new.requests < minRequests || p.old.requests < minRequests {
		return ""
	}
	oldRate, newRate := p.old.badRate(), p.new.badRate()
	enough := p.new.bad >= minBadRequests && p.new.badSeconds >= minBadSeconds
	if enough && newRate-oldRate >= minBadRateIncrease && newRate > oldRate*minBadRateFactor {
		return fmt.Sprintf("%.0f%% of %d requests failed, were crossed or resumed, old version %.0f%% of %d",
			100*newRate, p.new.requests, 100*oldRate, p.old.requests)
	}
	timed := p.new.timed >= minTimedRequests && p.old.timed >= minTimedRequests
	if slow := p.new.slowdownOver(p.old); timed && slow >= minSlowdown {
		return fmt.Sprintf("%.1f times as slow as the old version over %d requests", slow, p.new.timed)
	}
	return ""
}
