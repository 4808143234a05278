// Package admission decides whether a request may start now. It enforces rate and
// concurrency limits per team, shares limited capacity between teams by weighted
// fair queueing, keeps bounded queues in deadline order, and refuses a request as
// soon as it is not expected to end by its deadline.
package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Options configures an Admitter.
type Options struct {
	Holder *config.Holder
	// Routers returns the number of live routers, this one included.
	Routers func() int
	// Capacity returns the number of requests that the targets of a service version
	// can run concurrently and their current load, as routing.Picker.Capacity does.
	// With 0 slots the admitter admits every request and the picker refuses it.
	Capacity func(service, version string) (slots, load int)
	// Rand returns uniform random numbers in [0, 1) and must be safe for concurrent
	// use; nil selects math/rand/v2.
	Rand func() float64
	// Registry receives the counters; nil means that they are not exported.
	Registry metrics.Registry
	Settings Settings
}

// Admitter implements request.Admitter. It is safe for concurrent use.
type Admitter struct {
	opts     Options
	admitted metrics.Counter
	refused  map[fault.Kind]metrics.Counter
	// queuedCalls is the number of calls waiting in all queues.
	queuedCalls atomic.Int64

	mu       sync.Mutex // guards the fields below and all pools and teams
	draining bool
	pools    map[poolKey]*pool
	teams    map[string]*team
}

// New returns an Admitter that accepts requests until Drain is called.
func New(opts Options) *Admitter {
	if opts.Rand == nil {
		opts.Rand = rand.Float64
	}
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	a := &Admitter{
		opts:     opts,
		admitted: metrics.GetOrRegisterCounter("admission.admitted", opts.Registry),
		refused:  map[fault.Kind]metrics.Counter{},
		pools:    map[poolKey]*pool{},
		teams:    map[string]*team{},
	}
	for _, k := range []fault.Kind{fault.TeamLimit, fault.Overloaded, fault.DeadlineNotRun, fault.Draining, fault.Cancelled} {
		a.refused[k] = metrics.GetOrRegisterCounter("admission.refused."+string(k), opts.Registry)
	}
	return a
}

// Drain makes the admitter refuse new requests with the kind Draining. Requests
// that are already queued are still served.
func (a *Admitter) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
}

// Admit implements request.Admitter.
func (a *Admitter) Admit(ctx context.Context, w request.Work) (release func(tokensUsed int), err error) {
	req := &requestState{work: w, cost: costOf(&w)}
	p, queued, err := a.admitOrEnqueue(req)
	if queued {
		err = a.waitForDecision(ctx, p, req)
	}
	if err != nil {
		a.refused[fault.Of(err).Kind].Inc(1)
		return nil, err
	}
	a.admitted.Inc(1)
	var once sync.Once
	return func(tokensUsed int) {
		once.Do(func() { a.release(p, req, tokensUsed) })
	}, nil
}

// admitOrEnqueue admits req, queues it or refuses it.
func (a *Admitter) admitOrEnqueue(req *requestState) (p *pool, queued bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.draining {
		return nil, false, fault.New(fault.Draining, "router is shutting down")
	}
	if !req.work.Deadline.IsZero() && !now.Before(req.work.Deadline) {
		return nil, false, fault.New(fault.DeadlineNotRun, "deadline passed before the request was admitted")
	}
	req.team = a.team(req.work.Team)
	lim := a.limits(req.team)
	if err := a.takeRateLimit(req.team, &req.work, lim, now); err != nil {
		return nil, false, err
	}
	p = a.pool(&req.work)
	a.refreshLimit(p, now)
	q := p.queue(req.team)
	q.lastArrival = now
	if a.canStart(p, q, &req.work, a.computeReserve(p, now)) && a.nextQueue(p, now) == nil {
		p.start(req, lim.weight, now)
		return p, false, nil
	}
	if err := a.enqueue(p, req, now); err != nil {
		a.refund(req.team, &req.work, rateLimitCost(&req.work))
		return nil, false, err
	}
	a.dispatch(p, now)
	return p, true, nil
}

// team returns the state of the named team and creates it on first use. The caller
// holds mu.
func (a *Admitter) team(name string) *team {
	t := a.teams[name]
	if t == nil {
		t = &team{name: name}
		a.teams[name] = t
	}
	return t
}

// limits returns the team's current limits in this router. The caller holds mu.
func (a *Admitter) limits(t *team) limits {
	view := a.opts.Holder.Current()
	if view == nil {
		return limits{weight: 1}
	}
	return perRouterLimits(view.Team(t.name), a.opts.Routers())
}

// pool returns the pool for w and creates it on first use. The caller holds mu.
func (a *Admitter) pool(w *request.Work) *pool {
	key := poolKey{w.Route.GetService(), w.Version}
	p := a.pools[key]
	if p == nil {
		p = newPool(key)
		a.pools[key] = p
	}
	return p
}

// refreshLimit recomputes the pool's limit when it is older than
// limitRefreshInterval. The caller holds mu.
func (a *Admitter) refreshLimit(p *pool, now time.Time) {
	if now.Sub(p.limitComputedAt) < limitRefreshInterval {
		return
	}
	p.limitComputedAt = now
	if a.opts.Settings.Limit == LimitLearned {
		p.limit = p.learnedLimit.current()
		return
	}
	slots, load := a.opts.Capacity(p.key.service, p.key.version)
	if slots == 0 {
		p.limit = math.MaxInt32
		return
	}
	routers := float64(max(a.opts.Routers(), 1))
	capacity := float64(slots) * a.opts.Settings.Headroom
	limit := capacity / routers
	if a.opts.Settings.Limit == LimitShared {
		// Take only a 1/routers part of the unused capacity at a time, because the
		// other routers claim the same unused capacity.
		limit = max(limit, float64(p.running)+(capacity-float64(load))/routers)
	}
	p.limit = max(int(limit), 1)
}
