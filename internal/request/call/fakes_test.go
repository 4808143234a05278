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

// roundRobinPicker picks targets in round-robin order.
type roundRobinPicker struct {
	mu      sync.Mutex // guards next and results
	targets []*chicoryv1.Target
	next    int
	results []request.Result
}

func (r *roundRobinPicker) Pick(_ request.Work, exclude []string) (request.Placement, error) {
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

func (r *roundRobinPicker) done(result request.Result, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// attemptResults waits until the attempts have ended and returns their results in
// order.
func (r *roundRobinPicker) attemptResults() []request.Result {
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results
}

// fakeAdmitter admits all calls, or rejects all with the kind TeamLimit.
type fakeAdmitter struct {
	rejecting atomic.Bool
}

func (a *fakeAdmitter) Admit(context.Context, request.Work) (func(int), error) {
	if a.rejecting.Load() {
		return nil, fault.New(fault.TeamLimit, "limit used up")
	}
	return func(int) {}, nil
}

type routeVersionChooser struct{}

func (routeVersionChooser) Choose(route *chicoryv1.Route, _ string) string { return route.GetVersion() }

// fakeBudget allows a fixed number of further attempts.
type fakeBudget struct {
	mu   sync.Mutex // guards left
	left int
}

func (b *fakeBudget) OnRequest() {}

func (b *fakeBudget) Allow(request.RetryKind) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left--
	return b.left >= 0, time.Second
}

// fakeRecorder keeps all recorded observations.
type fakeRecorder struct {
	mu  sync.Mutex // guards all
	all []request.Observation
}

func (r *fakeRecorder) Record(x request.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

// cluster holds the fake targets, network and ledger that the routers of a test share.
type cluster struct {
	network       *fakeNetwork
	targets       []*fakeTarget
	ledger        *replicatedLedger
	canLookupKeys bool
	http1         bool
	budget        *fakeBudget
	recorder      *fakeRecorder
}

func newCluster(targets int) *cluster {
	c := &cluster{
		network:  newFakeNetwork(),
		ledger:   newReplicatedLedger(),
		budget:   &fakeBudget{left: 1000},
		recorder: &fakeRecorder{},
	}
	for i := range targets {
		c.targets = append(c.targets, newFakeTarget(c.network, fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	return c
}

func (c *cluster) close() {
	for _, ft := range c.targets {
		ft.close()
	}
}

func (c *cluster) configuration() *chicoryv1.Configuration {
	conf := &chicoryv1.Configuration{
		Revision: 1,
		Services: []*chicoryv1.Service{{Name: "desk", CanLookupKeys: c.canLookupKeys}},
		Routes: []*chicoryv1.Route{
			{Name: "payout", Service: "desk", Version: "v1", NonIdempotent: true, DefaultTimeoutMs: 1000},
			{Name: "fare", Service: "desk", Version: "v1", DefaultTimeoutMs: 1000},
		},
	}
	for _, ft := range c.targets {
		conf.Targets = append(conf.Targets, &chicoryv1.Target{Address: ft.address, Service: "desk", Version: "v1"})
	}
	return conf
}

// testRouter is the call service of one router with its own connections.
type testRouter struct {
	*Service
	pool     *target.Pool
	client   *LedgerClient
	leader   *fakeLeaderClient
	picker   *roundRobinPicker
	admitter *fakeAdmitter
	crashed  atomic.Bool
}

// startRouter starts a router. Each change modifies its options.
func (c *cluster) startRouter(id, incarnation string, change ...func(*Options)) *testRouter {
	h := &config.Holder{}
	_, _ = h.ApplyFull(c.configuration())
	r := &testRouter{
		pool:     target.NewPoolWith(target.Options{Dial: c.network.dial, HTTP1: c.http1}),
		leader:   &fakeLeaderClient{ledger: c.ledger},
		picker:   &roundRobinPicker{targets: h.Current().Targets("desk")},
		admitter: &fakeAdmitter{},
	}
	r.client = NewLedgerClient(r.leader, BatchSettings{MaxBatchesInFlight: 2, BatchTimeout: 100 * time.Millisecond})
	o := Options{
		Holder:      h,
		Pool:        r.pool,
		Picker:      r.picker,
		Admitter:    r.admitter,
		Chooser:     routeVersionChooser{},
		Budget:      c.budget,
		Recorder:    c.recorder,
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

// close drains the router and stops it.
func (r *testRouter) close(t *testing.T) {
	t.Helper()
	assert.NilError(t, r.Drain(context.Background()))
	r.stopClients()
}

// crash stops the router without draining it.
func (r *testRouter) crash() {
	r.crashed.Store(true)
	r.leader.setPartitioned(true)
	r.stop()
	r.stopClients()
}

func (r *testRouter) stopClients() {
	r.client.Stop()
	r.pool.Close()
}

// arrivals returns the total arrivals of a payload at all targets.
func (c *cluster) arrivals(payload string) int {
	n := 0
	for _, ft := range c.targets {
		n += ft.arrivalsOf(payload)
	}
	return n
}

func keyedRequest(key, payload string) *chicoryv1.CallRequest {
	return &chicoryv1.CallRequest{Team: "colonia", Route: "payout", Method: "pay", Payload: []byte(payload), Key: key}
}

func idempotentRequest(payload string) *chicoryv1.CallRequest {
	return &chicoryv1.CallRequest{Team: "colonia", Route: "fare", Method: "fare", Payload: []byte(payload), Idempotent: true}
}

func onceRequest(payload string) *chicoryv1.CallRequest {
	return &chicoryv1.CallRequest{Team: "colonia", Route: "fare", Method: "note", Payload: []byte(payload)}
}

// assertKind fails the test unless err is a fault of the given kind.
func assertKind(t *testing.T, err error, kind fault.Kind) {
	t.Helper()
	assert.Assert(t, fault.Is(err, kind), "%v is not %s", err, kind)
}
