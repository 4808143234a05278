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
	mu    sync.Mutex // guards the fields below
	lives map[string]routerLife
	// ended holds earlier incarnations of routers that came back, whose late reports
	// tell nothing.
	ended map[string]bool
	// since is from when on the routers' reports have come in without a gap.
	since     time.Time
	ticked    time.Time
	decisions []string
	changed   chan struct{} // closed at the next report
}

func newRouterTable() *routerTable {
	return &routerTable{lives: map[string]routerLife{}, ended: map[string]bool{}, changed: make(chan struct{})}
}

// receive keeps a report, unless it is a late one of an earlier life.
func (t *routerTable) receive(r *chicoryv1.ReportRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended[r.GetIncarnation()] {
		return
	}
	if l, ok := t.lives[r.GetRouterId()]; ok && l.report.GetIncarnation() != r.GetIncarnation() {
		t.ended[l.report.GetIncarnation()] = true
	}
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

// begin drops everything, when this VM begins to lead.
func (t *routerTable) begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lives = map[string]routerLife{}
	t.ended = map[string]bool{}
	t.since, t.ticked = now, now
}

// tick is called at least every lostRouterPeriod. After a longer gap this process
// stood still and received no reports meanwhile, so their silence tells nothing.
func (t *routerTable) tick(now time.Time, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.ticked) > lostRouterPeriod+timeout/2 {
		t.since = now
	}
	t.ticked = now
}

// settled reports whether every live router has had the time to report: before
// that, a router that is not in the table may live.
func (t *routerTable) settled(now time.Time, timeout time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSettled(now, timeout)
}

// isSettled is settled for callers that hold mu.
func (t *routerTable) isSettled(now time.Time, timeout time.Duration) bool {
	return now.Sub(t.since) >= timeout
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

// inForce reports whether every live router is known to run the revision, and a
// channel that closes at the next report.
func (t *routerTable) inForce(revision uint64, now time.Time, timeout time.Duration) (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isSettled(now, timeout) {
		return false, t.changed
	}
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
