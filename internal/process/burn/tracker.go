package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// maxSeries bounds the memory of a tracker; a series takes about 4 KB.
const maxSeries = 8192

// seriesKey identifies requests that are counted together. An empty version or team
// stands for all of them.
type seriesKey struct {
	route, version, team string
	objective            Objective
}

// Tracker counts evidence over all windows, in one series of counts for each route,
// version, team and objective. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	series  map[seriesKey][]*ring
	budgets map[seriesKey]float64 // by route and objective alone
	dropped uint64                // counts
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{series: make(map[seriesKey][]*ring), budgets: make(map[seriesKey]float64)}
}

// Add counts evidence that arrived at the time now. route returns the configuration
// of a route, or nil; evidence of unknown routes is ignored.
func (t *Tracker) Add(now time.Time, list []*chicoryv1.VersionEvidence, route func(name string) *chicoryv1.Route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range list {
		configured := route(e.GetRoute()).GetObjectives()
		for _, o := range objectives {
			if budget, ok := o.budget(configured); ok {
				t.budgets[seriesKey{route: e.GetRoute(), objective: o}] = budget
				t.record(now, e, o, o.countMissed(e, configured))
			}
		}
	}
}

// record adds c to the series of the route, of the version and of the team.
func (t *Tracker) record(now time.Time, e *chicoryv1.VersionEvidence, o Objective, c count) {
	if c.requests == 0 {
		return
	}
	t.addToSeries(now, seriesKey{route: e.GetRoute(), objective: o}, c)
	t.addToSeries(now, seriesKey{route: e.GetRoute(), version: e.GetVersion(), objective: o}, c)
	if e.GetTeam() != "" {
		t.addToSeries(now, seriesKey{e.GetRoute(), e.GetVersion(), e.GetTeam(), o}, c)
	}
}

// addToSeries adds c to one series, which it creates unless there are already maxSeries.
func (t *Tracker) addToSeries(now time.Time, k seriesKey, c count) {
	rings, ok := t.series[k]
	if !ok {
		if len(t.series) >= maxSeries {
			t.dropped++
			return
		}
		for _, w := range windows {
			rings = append(rings, newRing(w))
		}
		t.series[k] = rings
	}
	for _, r := range rings {
		r.add(now, c)
	}
}

// Dropped returns how many counts were dropped because there were already maxSeries.
func (t *Tracker) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dropped
}

// Rows returns the burn rates of a route, or of all routes when the name is empty,
// sorted by route, version, team, objective and window. Series without a request in
// the budget period are deleted.
func (t *Tracker) Rows(now time.Time, route string) []*chicoryv1.BurnRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []*chicoryv1.BurnRow
	for k, rings := range t.series {
		if route != "" && k.route != route {
			continue
		}
		period := rings[len(rings)-1].total(now)
		if period.requests == 0 {
			delete(t.series, k)
			continue
		}
		budget := t.budgets[seriesKey{route: k.route, objective: k.objective}]
		for i, w := range windows {
			c := rings[i].total(now)
			rows = append(rows, &chicoryv1.BurnRow{
				Route: k.route, Version: k.version, Team: k.team, Objective: string(k.objective),
				WindowSeconds: uint32(w.length.Seconds()), Requests: c.requests, Bad: c.bad,
				BurnRate: burnRate(c, budget), BudgetLeft: 1 - burnRate(period, budget),
			})
		}
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

// burnRate returns the share of missed requests as a multiple of the budget.
func burnRate(c count, budget float64) float64 {
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
