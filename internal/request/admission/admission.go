// Package admission decides whether a request may start now: limits per team,
// fair shares of scarce capacity, bounded queues in deadline order, and a refusal
// at once for what can't be served in time.
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

// Options are what an admitter works with.
type Options struct {
	Holder *config.Holder
	// Routers returns the number of live routers, this one included.
	Routers func() int
	// Capacity returns the requests that the targets of a service's version run at
	// once and the number at them now, as routing.Picker.Capacity does. With 0
	// slots the admitter lets requests pass, and the picker refuses them.
	Capacity func(service, version string) (slots, load int)
	// Rand gives uniform numbers from 0 to 1 and is safe for concurrent use; nil
	// means the runtime's source.
	Rand func() float64
	// Registry takes the counters; nil means none.
	Registry metrics.Registry
	Settings Settings
}

// Admitter implements request.Admitter. It is safe for concurrent use.
type Admitter struct {
	opts     Options
	admitted metrics.Counter
	refused  map[fault.Kind]metrics.Counter
	// callsWaiting is the number of calls in queues.
	callsWaiting atomic.Int64

	mu       sync.Mutex // guards the fields below and all pools and teams
	draining bool
	pools    map[poolKey]*pool
	teams    map[string]*team
}

// New returns an admitter that admits.
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

// Drain refuses new requests from now on with the kind Draining. Those that wait
// are still served.
func (a *Admitter) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
}

// Admit implements request.Admitter.
func (a *Admitter) Admit(ctx context.Context, w request.Work) (release func(tokensUsed int), err error) {
	x := &waiter{work: w, cost: costOf(&w)}
	p, queued, err := a.enter(x)
	if queued {
		err = a.await(ctx, p, x)
	}
	if err != nil {
		a.refused[fault.Of(err).Kind].Inc(1)
		return nil, err
	}
	a.admitted.Inc(1)
	var once sync.Once
	return func(tokensUsed int) {
		once.Do(func() { a.release(p, x, tokensUsed) })
	}, nil
}

// enter admits x, puts it into a queue or refuses it.
func (a *Admitter) enter(x *waiter) (p *pool, queued bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.draining {
		return nil, false, fault.New(fault.Draining, "router is shutting down")
	}
	if !x.work.Deadline.IsZero() && !now.Before(x.work.Deadline) {
		return nil, false, fault.New(fault.DeadlineNotRun, "deadline passed before the request was admitted")
	}
	x.team = a.team(x.work.Team)
	l := a.limits(x.team)
	if err := a.reserve(x.team, &x.work, l, now); err != nil {
		return nil, false, err
	}
	p = a.pool(&x.work)
	a.refreshLimit(p, now)
	q := p.queue(x.team)
	q.seen = now
	if a.mayStart(p, q, &x.work, a.reserveOf(p, now)) && a.nextQueue(p, now) == nil {
		p.start(x, l.weight, now)
		return p, false, nil
	}
	if err := a.enqueue(p, x, now); err != nil {
		a.refund(x.team, &x.work, reserved(&x.work))
		return nil, false, err
	}
	a.dispatch(p, now)
	return p, true, nil
}

// team returns the team's state, a new one at first. The caller holds mu.
func (a *Admitter) team(name string) *team {
	t := a.teams[name]
	if t == nil {
		t = &team{name: name}
		a.teams[name] = t
	}
	return t
}

// limits returns the team's limits now. The caller holds mu.
func (a *Admitter) limits(t *team) limits {
	view := a.opts.Holder.Current()
	if view == nil {
		return limits{weight: 1}
	}
	return limitsOf(view.Team(t.name), a.opts.Routers())
}

// pool returns the work's pool, a new one at first. The caller holds mu.
func (a *Admitter) pool(w *request.Work) *pool {
	key := poolKey{w.Route.GetService(), w.Version}
	p := a.pools[key]
	if p == nil {
		p = newPool(key)
		a.pools[key] = p
	}
	return p
}

// refreshLimit computes the pool's limit again when it is old. The caller holds mu.
func (a *Admitter) refreshLimit(p *pool, now time.Time) {
	if now.Sub(p.limitAt) < limitLifetime {
		return
	}
	p.limitAt = now
	if a.opts.Settings.Limit == LimitLearned {
		p.limit = p.learned.current()
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
		// What the others leave unused is taken in steps, as they do the same.
		limit = max(limit, float64(p.running)+(capacity-float64(load))/routers)
	}
	p.limit = max(int(limit), 1)
}
