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
	// minSamples of each version in the window allow a judgement.
	minSamples = 10
	// minBad requests in at least minBadSeconds seconds are needed, so that one
	// target's death does not stop a version.
	minBad        = 5
	minBadSeconds = 3
	// clearIncrease is how far the new version's bad share must be above the old one's.
	clearIncrease = 0.25
	// commonFactor: the old version's bad share, times this, must be below the new one's.
	commonFactor = 3
	// clearCrossed answers of the new version stop it when the old one had none.
	clearCrossed = 3
	// clearSlowness is the factor between the latencies, with minTimed requests of each.
	clearSlowness = 3
	minTimed      = 20
	// stopDuration is how long a stop lasts; the version then gets its share again
	// if control has not taken the move back by then.
	stopDuration = 60 * time.Second
)

// Guard watches the versions of open moves on this router. It passes every
// observation on, and stops new requests to a clearly bad new version. The old
// version is never stopped, and trouble that both have stops neither.
type Guard struct {
	view  Viewer
	next  request.Recorder
	clock func() time.Time
	log   *logging.Logger

	mu     sync.Mutex
	routes map[string]*watch
}

// watch is the guard's state for the open move of one route.
type watch struct {
	moveID  string
	version string
	window  window
	until   time.Time
}

var _ request.Recorder = (*Guard)(nil)

// NewGuard returns a guard that passes observations on to next.
func NewGuard(view Viewer, next request.Recorder, clock func() time.Time, log *logging.Logger) *Guard {
	return &Guard{view: view, next: next, clock: clock, log: log, routes: make(map[string]*watch)}
}

// Record counts o if its route has an open move, and passes it on.
func (g *Guard) Record(o request.Observation) {
	g.next.Record(o)
	v := g.view.Current()
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
	w := g.watchOf(m)
	if now.Before(w.until) {
		return
	}
	if o.Version == in.GetFrom() {
		w.window.at(now).old.add(o)
		return
	}
	w.window.at(now).new.add(o)
	if reason := clearlyBad(w.window.sum()); reason != "" {
		w.stop(now)
		g.log.Warn(logging.VersionStopped, logging.Fields{
			"route": o.Route, "version": o.Version, "move": m.GetId(), "reason": reason,
		})
	}
}

// watchOf returns the state for the move, which starts anew with another move.
func (g *Guard) watchOf(m *chicoryv1.Move) *watch {
	route := m.GetIntent().GetRoute()
	w := g.routes[route]
	if w == nil || w.moveID != m.GetId() {
		w = &watch{moveID: m.GetId(), version: m.GetIntent().GetTo()}
		g.routes[route] = w
	}
	return w
}

// stop stops the version and clears the window for the time after.
func (w *watch) stop(now time.Time) {
	w.until = now.Add(stopDuration)
	w.window = window{}
}

// stopped reports whether new requests to the move's new version are stopped.
func (g *Guard) stopped(m *chicoryv1.Move) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.routes[m.GetIntent().GetRoute()]
	return w != nil && w.moveID == m.GetId() && g.clock().Before(w.until)
}

// Stopped returns the versions that are stopped now as "route/version", sorted.
func (g *Guard) Stopped() []string {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for route, w := range g.routes {
		if now.Before(w.until) {
			out = append(out, route+"/"+w.version)
		}
	}
	sort.Strings(out)
	return out
}

// clearlyBad returns why the new version is clearly worse than the old one over
// the same window, or "".
func clearlyBad(p pair) string {
	if p.new.crossed >= clearCrossed && p.old.crossed == 0 && p.old.requests >= minSamples {
		return fmt.Sprintf("%d crossed answers of %d, old version none of %d", p.new.crossed, p.new.requests, p.old.requests)
	}
	if p.new.requests < minSamples || p.old.requests < minSamples {
		return ""
	}
	oldShare, newShare := p.old.badShare(), p.new.badShare()
	enough := p.new.bad >= minBad && p.new.badSeconds >= minBadSeconds
	if enough && newShare-oldShare >= clearIncrease && newShare > oldShare*commonFactor {
		return fmt.Sprintf("%.0f%% of %d requests bad, old version %.0f%% of %d",
			100*newShare, p.new.requests, 100*oldShare, p.old.requests)
	}
	timed := p.new.timed >= minTimed && p.old.timed >= minTimed
	if slow := p.new.slownessOver(p.old); timed && slow >= clearSlowness {
		return fmt.Sprintf("%.1f times as slow as the old version over %d requests", slow, p.new.timed)
	}
	return ""
}
