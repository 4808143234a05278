// Package routing chooses the target of each attempt. The picker is a load balancer
// of the "power of two choices" kind: it compares two random targets by load, where
// lagging load reports are corrected by the router's own requests in flight. Within a
// bound on the extra load it prefers targets of its own availability zone and targets
// that have the prompt prefix cached. It ejects failing and unresponsive targets for a
// time and gives no new work to targets that are leaving.
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
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Options configures a Picker.
type Options struct {
	Holder *config.Holder
	// Zone is the router's own availability zone.
	Zone string
	// Routers returns the number of live routers, this one included; nil means one.
	Routers func() int
	// Loads is the observed state of the targets.
	Loads *observe.Table
	// Limits are the limits that targets name; nil means that they name none.
	Limits request.RateLimits
	// Speeds estimates how fast targets are; nil means that all are equally fast.
	Speeds *speed.Table
	Logger *logging.Logger
	// Rand returns uniform random 64-bit numbers and must be safe for concurrent use;
	// nil selects math/rand/v2.
	Rand     func() uint64
	Settings Settings
}

// Picker implements request.Picker. It is safe for concurrent use.
type Picker struct {
	opts  Options
	table atomic.Pointer[table]
	mu    sync.Mutex // serializes rebuilds of table
}

// table holds the groups and endpoints of one configuration.
type table struct {
	view *config.View
	// forgotten is the number of states that Loads had dropped when the table was
	// built.
	forgotten uint64
	groups    map[groupKey]*group
	endpoints map[string]*endpoint // by address
}

// NewPicker returns a Picker. Each Pick uses the configuration in force at that time.
func NewPicker(opts Options) *Picker {
	if opts.Rand == nil {
		opts.Rand = rand.Uint64
	}
	if opts.Limits == nil {
		opts.Limits = request.Unlimited{}
	}
	if opts.Routers == nil {
		opts.Routers = func() int { return 1 }
	}
	return &Picker{opts: opts}
}

// current returns the table of the configuration in force, or nil when there is no
// configuration.
func (p *Picker) current() *table {
	view := p.opts.Holder.Current()
	t := p.table.Load()
	if t != nil && t.view == view && t.forgotten == p.opts.Loads.Removals() {
		return t
	}
	if view == nil {
		return nil
	}
	return p.rebuild()
}

// rebuild builds the table of the configuration in force. Unchanged endpoints keep
// their health, and groups that still have endpoints keep their state.
func (p *Picker) rebuild() *table {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.table.Load()
	if old == nil {
		old = &table{}
	}
	next := &table{
		view:      p.opts.Holder.Current(),
		forgotten: p.opts.Loads.Removals(),
		groups:    map[groupKey]*group{},
		endpoints: map[string]*endpoint{},
	}
	members := map[groupKey][]*endpoint{}
	for _, t := range next.view.Raw().GetTargets() {
		e := newEndpoint(t, p.opts.Loads.State(t.GetAddress()), p.opts.Zone)
		if previous := old.endpoints[t.GetAddress()]; previous != nil && previous.isEquivalent(e) {
			e = previous
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
		return request.Placement{}, p.noTargetError(w)
	}
	g.review(now)
	e, err := p.choosePermitted(g, &w, exclude, now)
	if err != nil {
		return request.Placement{}, err
	}
	if w.PrefixHash != 0 {
		p.opts.Loads.Hints.Add(w.PrefixHash, e.target.GetAddress(), now)
	}
	e.lastPick.Store(g.picks.Add(1))
	return newPlacement(g, e, now, w.Tokens == 0), nil
}

// newPlacement counts the request as in flight at e until Done is called, and returns
// its placement. Repeated calls of Done have no effect.
func newPlacement(g *group, e *endpoint, start time.Time, isCall bool) request.Placement {
	e.state.RequestStarted()
	e.recordStart(start)
	var done atomic.Bool
	return request.Placement{
		Target: e.target,
		Done: func(r request.Result, latency time.Duration) {
			if done.Swap(true) {
				return
			}
			e.state.RequestEnded()
			elapsed := time.Duration(0)
			if isCall {
				elapsed = time.Since(start)
			}
			g.recordResult(e, r, latency, elapsed)
		},
	}
}

// Retry time of the error when there is no target.
const (
	minNoTargetRetryAfter    = 500 * time.Millisecond
	noTargetRetryAfterSpread = time.Second
)

// noTargetError returns a NoTarget error with a random retry time.
func (p *Picker) noTargetError(w request.Work) error {
	retryAfter := minNoTargetRetryAfter + time.Duration(p.opts.Rand()%uint64(noTargetRetryAfterSpread))
	e := fault.New(fault.NoTarget, "service %q has no target", w.Route.GetService())
	if w.Version != "" {
		e = fault.New(fault.NoTarget, "service %q has no target of version %q", w.Route.GetService(), w.Version)
	}
	return e.WithRetryAfter(retryAfter)
}

// Explain returns the last reasons why the target at address was taken out of use or
// restored, oldest first.
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

// HasImpairedTargets reports whether any target is ejected, dead or stalled.
func (p *Picker) HasImpairedTargets() bool {
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

// Capacity returns the number of requests that the usable targets of a service version
// can run concurrently, and their estimated load from all routers. When no target is
// usable, it returns the figures of the ejected ones. Both are 0 without a target.
func (p *Picker) Capacity(service, version string) (slots, load int) {
	t := p.current()
	if t == nil || t.groups[groupKey{service, version}] == nil {
		return 0, 0
	}
	g := t.groups[groupKey{service, version}]
	now := time.Now()
	if slots, load = p.sumCapacity(g, usable, now); slots > 0 {
		return slots, load
	}
	return p.sumCapacity(g, ejected, now)
}

// sumCapacity returns the total capacity and load of the endpoints with a status.
func (p *Picker) sumCapacity(g *group, want status, now time.Time) (slots, load int) {
	totalLoad := 0.0
	for _, e := range g.members() {
		if e.status(now) == want {
			slots += e.capacity(p.opts.Settings.DefaultCapacity)
			totalLoad += e.state.Load(now)
		}
	}
	return slots, int(totalLoad)
}
