package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// maxDecisions is how many recent decisions of routers are kept for explain.
const maxDecisions = 2_000

// routerLife is what the leader knows of one life of a router.
type routerLife struct {
	report *chicoryv1.ReportRequest
	seen   time.Time
}

// routerTable holds the newest report of each router. It lives in the leader's
// memory only and is filled anew by the reports after a leader change.
type routerTable struct {
	mu        sync.Mutex // guards the fields below
	lives     map[string]routerLife
	decisions []string
	changed   chan struct{} // closed at the next report
}

func newRouterTable() *routerTable {
	return &routerTable{lives: map[string]routerLife{}, changed: make(chan struct{})}
}

// receive keeps a report.
func (t *routerTable) receive(r *chicoryv1.ReportRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lives[r.GetRouterId()] = routerLife{report: r, seen: now}
	for _, d := range r.GetDecisions() {
		t.decisions = append(t.decisions, r.GetRouterId()+": "+d)
	}
	if extra := len(t.decisions) - maxDecisions; extra > 0 {
		t.decisions = slices.Clone(t.decisions[extra:])
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// forget drops everything, when this VM begins to lead.
func (t *routerTable) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lives = map[string]routerLife{}
}

// isAlive reports whether the incarnation of the router reported within timeout.
func (t *routerTable) isAlive(id, incarnation string, now time.Time, timeout time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.lives[id]
	return ok && l.report.GetIncarnation() == incarnation && now.Sub(l.seen) < timeout
}

// live returns the number of routers that reported within timeout and stay.
func (t *routerTable) live(now time.Time, timeout time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.lives {
		if now.Sub(l.seen) < timeout && !l.report.GetLeaving() {
			n++
		}
	}
	return n
}

// list returns the routers' lives, sorted by identity.
func (t *routerTable) list() []routerLife {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]routerLife, 0, len(t.lives))
	for _, l := range t.lives {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b routerLife) int {
		return strings.Compare(a.report.GetRouterId(), b.report.GetRouterId())
	})
	return out
}

// inForce reports whether every live router runs the revision, and a channel
// that closes at the next report.
func (t *routerTable) inForce(revision uint64, now time.Time, timeout time.Duration) (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.lives {
		if now.Sub(l.seen) < timeout && !l.report.GetLeaving() && l.report.GetRevision() < revision {
			return false, t.changed
		}
	}
	return true, t.changed
}

// decisionsAbout returns the newest decisions that name the subject.
func (t *routerTable) decisionsAbout(subject string, limit int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for i := len(t.decisions) - 1; i >= 0 && len(out) < limit; i-- {
		if strings.Contains(t.decisions[i], subject) {
			out = append(out, t.decisions[i])
		}
	}
	return out
}
