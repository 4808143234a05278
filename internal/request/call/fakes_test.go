package call

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// roundRobin picks targets in turn.
type roundRobin struct {
	mu      sync.Mutex // guards next and results
	targets []*chicoryv1.Target
	next    int
	results []request.Result
}

func (r *roundRobin) Pick(_ request.Work, exclude []string) (request.Placement, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range r.targets {
		t := r.targets[r.next%len(r.targets)]
		r.next++
		if !slices.Contains(exclude, t.GetAddress()) {
			return request.Placement{Target: t, Done: r.done}, nil
		}
	}
	return request.Placement{}, fault.New(fault.NoTarget, "no target")
}

func (r *roundRobin) done(result request.Result, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// endings returns the results in their order, after the attempts have ended.
func (r *roundRobin) endings() []request.Result {
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results
}

// admitter admits all, or refuses with the kind TeamLimit.
type admitter struct {
	closed atomic.Bool
}

func (a *admitter) Admit(context.Context, request.Work) (func(int), error) {
	if a.closed.Load() {
		return nil, fault.New(fault.TeamLimit, "limit used up")
	}
	return func(int) {}, nil
}

type firstVersion struct{}

func (firstVersion) Choose(route *chicoryv1.Route, _ string) string { return route.GetVersion() }

// budget allows a number of further attempts.
type budget struct {
	mu   sync.Mutex // guards left
	left int
}

func (b *budget) OnRequest() {}

func (b *budget) Allow(request.RetryKind) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left--
	return b.left >= 0, time.Second
}

// observations keeps what was recorded.
type observations struct {
	mu  sync.Mutex // guards all
	all []request.Observation
}

func (o *observations) Record(x request.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, x)
}

// cell is desks, a replicated ledger and what routers need to use them.
type cell struct {
	network *network
	desks   []*desk
	ledger  *replicatedLedger
	lookups bool
	http1   bool
	budget  *budget
	seen    *observations
}

func newCell(desks int) *cell {
	c := &cell{
		network: newNetwork(),
		ledger:  newReplicatedLedger(),
		budget:  &budget{left: 1000},
		seen:    &observations{},
	}
	for i := range desks {
		c.desks = append(c.desks, newDesk(c.network, fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	return c
}

func (c *cell) close() {
	for _, d := range c.desks {
		d.close()
	}
}

func (c *cell) configuration() *chicoryv1.Configuration {
	conf := &chicoryv1.Configuration{
		Revision: 1,
		Services: []*chicoryv1.Service{{Name: "desk", CanLookupKeys: c.lookups}},
		Routes: []*chicoryv1.Route{
			{Name: "payout", Service: "desk", Version: "v1", NonIdempotent: true, DefaultTimeoutMs: 1000},
			{Name: "fare", Service: "desk", Version: "v1", DefaultTimeoutMs: 1000},
		},
	}
	for _, d := range c.desks {
		conf.Targets = append(conf.Targets, &chicoryv1.Target{Address: d.address, Service: "desk", Version: "v1"})
	}
	return conf
}

// testRouter is one router's call service with connections of its own.
type testRouter struct {
	*Service
	pool      *target.Pool
	client    *LedgerClient
	link      *leaderLink
	picker    *roundRobin
	admission *admitter
	crashed   atomic.Bool
}

// router starts a router.
func (c *cell) router(id, incarnation string, change ...func(*Options)) *testRouter {
	h := &config.Holder{}
	_, _ = h.ApplyFull(c.configuration())
	r := &testRouter{
		pool:      target.NewPoolWith(target.Options{Dial: c.network.dial, HTTP1: c.http1}),
		link:      &leaderLink{ledger: c.ledger},
		picker:    &roundRobin{targets: h.Current().Targets("desk")},
		admission: &admitter{},
	}
	r.client = NewLedgerClient(r.link, BatchSettings{MaxBatchesInFlight: 2, BatchTimeout: 100 * time.Millisecond})
	o := Options{
		Holder:      h,
		Pool:        r.pool,
		Picker:      r.picker,
		Admitter:    r.admission,
		Chooser:     firstVersion{},
		Budget:      c.budget,
		Recorder:    c.seen,
		Ledger:      r.client,
		RouterID:    id,
		Incarnation: incarnation,
		Logger:      logging.Discard(),
	}
	for _, f := range change {
		f(&o)
	}
	r.Service = New(o)
	return r
}

// close ends the router after its calls and outcomes.
func (r *testRouter) close(t *testing.T) {
	t.Helper()
	assert.NilError(t, r.Drain(context.Background()))
	r.stopTasks()
}

// crash ends the router in the middle of what it does.
func (r *testRouter) crash() {
	r.crashed.Store(true)
	r.link.cutOff(true)
	r.stop()
	r.stopTasks()
}

func (r *testRouter) stopTasks() {
	r.client.Stop()
	r.pool.Close()
}

// arrivals sums the arrivals of a payload over the desks.
func (c *cell) arrivals(payload string) int {
	n := 0
	for _, d := range c.desks {
		n += d.arrived(payload)
	}
	return n
}

func payout(key, payload string) *chicoryv1.CallRequest {
	return &chicoryv1.CallRequest{Team: "colonia", Route: "payout", Method: "pay", Payload: []byte(payload), Key: key}
}

func fare(payload string) *chicoryv1.CallRequest {
	return &chicoryv1.CallRequest{Team: "colonia", Route: "fare", Method: "fare", Payload: []byte(payload), Idempotent: true}
}

func note(payload string) *chicoryv1.CallRequest {
	return &chicoryv1.CallRequest{Team: "colonia", Route: "fare", Method: "note", Payload: []byte(payload)}
}

// assertKind fails the test unless err is of the kind.
func assertKind(t *testing.T, err error, kind fault.Kind) {
	t.Helper()
	assert.Assert(t, fault.Is(err, kind), "%v is not %s", err, kind)
}
