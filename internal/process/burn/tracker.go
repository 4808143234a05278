package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// maxCells bounds the memory of a tracker; a cell takes about 4 KB.
const maxCells = 8192

// cell names what is counted together. An empty version or team stands for all.
type cell struct {
	route, version, team string
	objective            Objective
}

// Tracker counts evidence over all windows. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	cells   map[cell][]*ring
	budgets map[cell]float64 // by route and objective
	dropped uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{cells: make(map[cell][]*ring), budgets: make(map[cell]float64)}
}

// Add counts evidence that arrived at the time given. route returns the
// configuration of a route, or nil; evidence of unknown routes is left out.
func (t *Tracker) Add(now time.Time, list []*chicoryv1.VersionEvidence, route func(name string) *chicoryv1.Route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range list {
		in := route(e.GetRoute()).GetObjectives()
		for _, o := range objectives {
			if budget, ok := o.budget(in); ok {
				t.budgets[cell{route: e.GetRoute(), objective: o}] = budget
				t.count(now, e, o, o.judge(e, in))
			}
		}
	}
}

// count adds c for the team, for all teams of the version, and for the route.
func (t *Tracker) count(now time.Time, e *chicoryv1.VersionEvidence, o Objective, c count) {
	if c.requests == 0 {
		return
	}
	t.addTo(now, cell{route: e.GetRoute(), objective: o}, c)
	t.addTo(now, cell{route: e.GetRoute(), version: e.GetVersion(), objective: o}, c)
	if e.GetTeam() != "" {
		t.addTo(now, cell{e.GetRoute(), e.GetVersion(), e.GetTeam(), o}, c)
	}
}

// addTo counts c in one cell, which is made when there is room.
func (t *Tracker) addTo(now time.Time, k cell, c count) {
	rings, ok := t.cells[k]
	if !ok {
		if len(t.cells) >= maxCells {
			t.dropped++
			return
		}
		for _, w := range windows {
			rings = append(rings, newRing(w))
		}
		t.cells[k] = rings
	}
	for _, r := range rings {
		r.add(now, c)
	}
}

// Dropped returns how many counts found no room.
func (t *Tracker) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dropped
}

// Rows returns the burn of a route, or of all when the name is empty, in the order
// of route, version, team, objective and window. Cells without a request in the
// budget period are dropped.
func (t *Tracker) Rows(now time.Time, route string) []*chicoryv1.BurnRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []*chicoryv1.BurnRow
	for k, rings := range t.cells {
		if route != "" && k.route != route {
			continue
		}
		period := rings[len(rings)-1].total(now)
		if period.requests == 0 {
			delete(t.cells, k)
			continue
		}
		budget := t.budgets[cell{route: k.route, objective: k.objective}]
		for i, w := range windows {
			c := rings[i].total(now)
			rows = append(rows, &chicoryv1.BurnRow{
				Route: k.route, Version: k.version, Team: k.team, Objective: string(k.objective),
				WindowSeconds: uint32(w.length.Seconds()), Requests: c.requests, Bad: c.bad,
				BurnRate: spent(c, budget), BudgetLeft: 1 - spent(period, budget),
			})
		}
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

// spent is the share of missed requests as a multiple of the budget.
func spent(c count, budget float64) float64 {
	if c.requests == 0 {
		return 0
	}
	return float64(c.bad) / float64(c.requests) / budget
}

func compareRows(a, b *chicoryv1.BurnRow) int {
	return cmp.Or(
		cmp.Compare(a.GetRoute(), b.GetRoute()),
		cmp.Compare(a.GetVersion(), b.GetVersion()),
		cmp.Compare(a.GetTeam(), b.GetTeam()),
		cmp.Compare(a.GetObjective(), b.GetObjective()),
		cmp.Compare(a.GetWindowSeconds(), b.GetWindowSeconds()),
	)
}
