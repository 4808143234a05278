// Package routing chooses the target of each attempt. The picker compares two
// random targets by load (the lagging reports corrected by the router's own
// requests), prefers its own availability zone and targets that have the prompt
// prefix cached while these are not loaded above the others by a bound, and takes
// failing, silent and leaving targets out of use.
package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Options are what a picker works with.
type Options struct {
	Holder *config.Holder
	// Zone is the router's own availability zone.
	Zone string
	// Routers returns the number of live routers, this one included; nil means one.
	Routers func() int
	// Loads is what was observed of the targets.
	Loads  *observe.Table
	Logger *logging.Logger
	// Rand gives uniform 64-bit numbers and is safe for concurrent use; nil means
	// the runtime's source.
	Rand     func() uint64
	Settings Settings
}

// Picker implements request.Picker. It is safe for concurrent use.
type Picker struct {
	opts  Options
	table atomic.Pointer[table]
	mu    sync.Mutex // serializes rebuilds of table
}

// table is the set of groups for one configuration.
type table struct {
	view      *config.View
	forgotten uint64
	groups    map[groupKey]*group
	endpoints map[string]*endpoint
}

// NewPicker returns a picker for the configuration in force at each Pick.
func NewPicker(opts Options) *Picker {
	if opts.Rand == nil {
		opts.Rand = rand.Uint64
	}
	if opts.Routers == nil {
		opts.Routers = func() int { return 1 }
	}
	return &Picker{opts: opts}
}

// current returns the groups for the configuration in force, or nil.
func (p *Picker) current() *table {
	view := p.opts.Holder.Current()
	t := p.table.Load()
	if t != nil && t.view == view && t.forgotten == p.opts.Loads.Forgotten() {
		return t
	}
	if view == nil {
		return nil
	}
	return p.rebuild()
}

// rebuild makes the table anew. Endpoints that did not change keep their health,
// and groups that still have endpoints go on.
func (p *Picker) rebuild() *table {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.table.Load()
	if old == nil {
		old = &table{}
	}
	next := &table{
		view:      p.opts.Holder.Current(),
		forgotten: p.opts.Loads.Forgotten(),
		groups:    map[groupKey]*group{},
		endpoints: map[string]*endpoint{},
	}
	members := map[groupKey][]*endpoint{}
	for _, t := range next.view.Raw().GetTargets() {
		e := newEndpoint(t, p.opts.Loads.State(t.GetAddress()), p.opts.Zone)
		if before := old.endpoints[t.GetAddress()]; before != nil && before.isSame(e) {
			e = before
		}
		key := groupKey{t.GetService(), t.GetVersion()}
		members[key] = append(members[key], e)
		next.endpoints[t.GetAddress()] = e
	}
	for key, list := range members {
		g := old.groups[key]
		if g == nil {
			g = &group{key: key, settings: &p.opts.Settings, logger: p.opts.Logger}
		}
		g.endpoints.Store(&list)
		next.groups[key] = g
	}
	p.table.Store(next)
	return next
}

// Pick implements request.Picker.
func (p *Picker) Pick(w request.Work, exclude []string) (request.Placement, error) {
	now := time.Now()
	var g *group
	if t := p.current(); t != nil {
		g = t.groups[groupKey{w.Route.GetService(), w.Version}]
	}
	if g == nil {
		return request.Placement{}, p.noTarget(w)
	}
	g.review(now)
	e := p.choose(g, &w, exclude, now)
	if e == nil {
		return request.Placement{}, p.noTarget(w)
	}
	if w.PrefixHash != 0 {
		p.opts.Loads.Hints.Add(w.PrefixHash, e.target.GetAddress(), now)
	}
	return place(g, e, now, w.Tokens == 0), nil
}

// place counts the request in and returns its placement. Done counts it out once.
func place(g *group, e *endpoint, begin time.Time, isCall bool) request.Placement {
	e.state.Begin()
	e.noteBegin(begin)
	var done atomic.Bool
	return request.Placement{
		Target: e.target,
		Done: func(r request.Result, latency time.Duration) {
			if done.Swap(true) {
				return
			}
			e.state.End()
			elapsed := time.Duration(0)
			if isCall {
				elapsed = time.Since(begin)
			}
			g.finish(e, r, latency, elapsed)
		},
	}
}

// Bounds of the advice when there is no target.
const (
	noTargetMinWait = 500 * time.Millisecond
	noTargetSpread  = time.Second
)

// noTarget says that no target can take the work now, and when to come back.
func (p *Picker) noTarget(w request.Work) error {
	wait := noTargetMinWait + time.Duration(p.opts.Rand()%uint64(noTargetSpread))
	e := fault.New(fault.NoTarget, "service %q has no target", w.Route.GetService())
	if w.Version != "" {
		e = fault.New(fault.NoTarget, "service %q has no target of version %q", w.Route.GetService(), w.Version)
	}
	return e.WithRetryAfter(wait)
}

// Explain returns the last reasons for which the target at address was taken out
// of use or came back, the oldest first.
func (p *Picker) Explain(address string) []string {
	t := p.table.Load()
	if t == nil || t.endpoints[address] == nil {
		return nil
	}
	e := t.endpoints[address]
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.reasons)
}

// Impaired reports whether a target is ejected, dead or stalled now.
func (p *Picker) Impaired() bool {
	t := p.current()
	if t == nil {
		return false
	}
	now := time.Now()
	for _, e := range t.endpoints {
		if e.status(now) == ejected || e.isStalled(now) {
			return true
		}
	}
	return false
}

// Capacity returns how many requests the targets in use of a service's version
// run at once, and the estimated number at them now, of all routers. When none is
// in use, the ejected ones count. Both are 0 when there is no target.
func (p *Picker) Capacity(service, version string) (slots, load int) {
	t := p.current()
	if t == nil || t.groups[groupKey{service, version}] == nil {
		return 0, 0
	}
	g := t.groups[groupKey{service, version}]
	now := time.Now()
	if slots, load = p.sum(g, usable, now); slots > 0 {
		return slots, load
	}
	return p.sum(g, ejected, now)
}

// sum adds up the capacity and load of the endpoints of a status.
func (p *Picker) sum(g *group, want status, now time.Time) (slots, load int) {
	sum := 0.0
	for _, e := range g.members() {
		if e.status(now) == want {
			slots += e.capacity(p.opts.Settings.DefaultCapacity)
			sum += e.state.Load(now)
		}
	}
	return slots, int(sum)
}
