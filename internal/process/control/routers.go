package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// maxDecisions is how many recent decisions of routers are kept for Explain.
const maxDecisions = 2_000

// routerEntry holds the newest report of a router and the time when it arrived.
type routerEntry struct {
	report   *chicoryv1.ReportRequest
	lastSeen time.Time
}

// routerTable holds the newest report of each router. It is kept only in the leader's
// memory; after a leader change, new reports fill it again.
type routerTable struct {
	mu      sync.Mutex // guards the fields below
	entries map[string]routerEntry
	// pastIncarnations holds earlier incarnations of restarted routers. Late reports
	// from them are ignored.
	pastIncarnations map[string]bool
	// reportsSince is the time since which this process has received reports without
	// a gap.
	reportsSince time.Time
	lastTick     time.Time
	decisions    []string
	changed      chan struct{} // closed at the next report
}

func newRouterTable() *routerTable {
	return &routerTable{entries: map[string]routerEntry{}, pastIncarnations: map[string]bool{}, changed: make(chan struct{})}
}

// receive records a report, unless it is a late one of an earlier incarnation.
func (t *routerTable) receive(r *chicoryv1.ReportRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pastIncarnations[r.GetIncarnation()] {
		return
	}
	if e, ok := t.entries[r.GetRouterId()]; ok && e.report.GetIncarnation() != r.GetIncarnation() {
		t.pastIncarnations[e.report.GetIncarnation()] = true
	}
	t.entries[r.GetRouterId()] = routerEntry{report: r, lastSeen: now}
	for _, d := range r.GetDecisions() {
		t.decisions = append(t.decisions, r.GetRouterId()+": "+d)
	}
	if extra := len(t.decisions) - maxDecisions; extra > 0 {
		t.decisions = slices.Clone(t.decisions[extra:])
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// reset removes all routers when this VM becomes the leader.
func (t *routerTable) reset(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = map[string]routerEntry{}
	t.pastIncarnations = map[string]bool{}
	t.reportsSince, t.lastTick = now, now
}

// tick must be called at least every lostRouterCheckInterval. After a longer gap this
// process was stalled and received no reports meanwhile, so a router without a recent
// report is not necessarily lost.
func (t *routerTable) tick(now time.Time, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastTick) > lostRouterCheckInterval+timeout/2 {
		t.reportsSince = now
	}
	t.lastTick = now
}

// settled reports whether every live router has had time to report. Before that, a
// router that is not in the table may be live.
func (t *routerTable) settled(now time.Time, timeout time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settledLocked(now, timeout)
}

// settledLocked is settled for callers that hold t.mu.
func (t *routerTable) settledLocked(now time.Time, timeout time.Duration) bool {
	return now.Sub(t.reportsSince) >= timeout
}

// isLive reports whether the incarnation of the router reported within timeout.
func (t *routerTable) isLive(id, incarnation string, now time.Time, timeout time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	return ok && e.report.GetIncarnation() == incarnation && now.Sub(e.lastSeen) < timeout
}

// liveCount returns the number of routers that reported within timeout and are not
// leaving.
func (t *routerTable) liveCount(now time.Time, timeout time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if now.Sub(e.lastSeen) < timeout && !e.report.GetLeaving() {
			n++
		}
	}
	return n
}

// list returns the entries of all routers, sorted by identity.
func (t *routerTable) list() []routerEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]routerEntry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b routerEntry) int {
		return strings.Compare(a.report.GetRouterId(), b.report.GetRouterId())
	})
	return out
}

// inForce reports whether every live router is known to run the revision. It also
// returns a channel that is closed at the next report.
func (t *routerTable) inForce(revision uint64, now time.Time, timeout time.Duration) (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.settledLocked(now, timeout) {
		return false, t.changed
	}
	for _, e := range t.entries {
		if now.Sub(e.lastSeen) < timeout && !e.report.GetLeaving() && e.report.GetRevision() < revision {
			return false, t.changed
		}
	}
	return true, t.changed
}

// decisionsMentioning returns the newest decisions that mention the subject, at most
// limit of them.
func (t *routerTable) decisionsMentioning(subject string, limit int) []string {
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
