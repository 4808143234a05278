package call

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// network connects routers to targets in memory.
type network struct {
	mu        sync.Mutex // guards listeners
	listeners map[string]*pipeListener
}

func newNetwork() *network {
	return &network{listeners: map[string]*pipeListener{}}
}

// listen returns the listener of an address; it replaces a closed one.
func (n *network) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testTarget is a stand-in replica that listens in memory.
type testTarget struct {
	*standin.Replica
	server *http.Server
}

func startTarget(n *network, address string) *testTarget {
	r := standin.NewReplica(standin.Options{Address: address, Version: "v1"})
	s := standin.NewServer(r)
	ln := n.listen(address)
	go func() { _ = s.Serve(ln) }()
	return &testTarget{Replica: r, server: s}
}

// kill ends the target as a crash does.
func (t *testTarget) kill() {
	_ = t.server.Close()
	t.Replica.Close()
}

// roundRobin picks targets in turn.
type roundRobin struct {
	mu      sync.Mutex // guards next
	targets []*chicoryv1.Target
	next    int
}

func (r *roundRobin) Pick(_ request.Work, exclude []string) (request.Placement, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range r.targets {
		t := r.targets[r.next%len(r.targets)]
		r.next++
		if !slices.Contains(exclude, t.GetAddress()) {
			return request.Placement{Target: t, Done: func(request.Result, time.Duration) {}}, nil
		}
	}
	return request.Placement{}, fault.New(fault.NoTarget, "no target")
}

// openAdmitter admits all, or refuses with err.
type openAdmitter struct {
	err error
}

func (a openAdmitter) Admit(context.Context, request.Work) (func(int), error) {
	return func(int) {}, a.err
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

// localLedger is a Ledger without replication.
type localLedger struct {
	mu    sync.Mutex // guards state
	state *ledger.Ledger
}

func newLocalLedger() *localLedger {
	return &localLedger{state: ledger.New(ledger.DefaultSettings())}
}

func (l *localLedger) Claim(_ context.Context, c *chicoryv1.Claim) (*chicoryv1.ClaimResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Claim(c, time.Now()), nil
}

func (l *localLedger) Close(_ context.Context, c *chicoryv1.Claim) (chicoryv1.ClaimState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Close(c, time.Now()), nil
}

// cell is a set of targets and what routers need to call them.
type cell struct {
	network *network
	targets []*testTarget
	ledger  Ledger
	lookups bool
	budget  *budget
	seen    *observations
}

func newCell(addresses ...string) *cell {
	c := &cell{
		network: newNetwork(),
		ledger:  newLocalLedger(),
		budget:  &budget{left: 1000},
		seen:    &observations{},
	}
	for _, a := range addresses {
		c.targets = append(c.targets, startTarget(c.network, a))
	}
	return c
}

func (c *cell) close() {
	for _, t := range c.targets {
		t.kill()
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
	for _, t := range c.targets {
		conf.Targets = append(conf.Targets, &chicoryv1.Target{Address: t.Address(), Service: "desk", Version: "v1"})
	}
	return conf
}

// testRouter is one router's call service with connections of its own.
type testRouter struct {
	*Service
	pool *target.Pool
}

func (c *cell) router(id string, change ...func(*Options)) *testRouter {
	h := &config.Holder{}
	_, _ = h.ApplyFull(c.configuration())
	pool := target.NewPool(c.network.dial)
	o := Options{
		Holder:      h,
		Pool:        pool,
		Picker:      &roundRobin{targets: h.Current().Targets("desk")},
		Admitter:    openAdmitter{},
		Chooser:     firstVersion{},
		Budget:      c.budget,
		Recorder:    c.seen,
		Ledger:      c.ledger,
		RouterID:    id,
		Incarnation: "1",
		Logger:      logging.Discard(),
	}
	for _, f := range change {
		f(&o)
	}
	return &testRouter{Service: New(o), pool: pool}
}

// close ends the router after its calls.
func (r *testRouter) close(t *testing.T) {
	t.Helper()
	assert.NilError(t, r.Drain(context.Background()))
	r.pool.Close()
}

// arrivals sums the arrivals of a key over the targets.
func (c *cell) arrivals(key string) uint32 {
	n := uint32(0)
	for _, t := range c.targets {
		n += t.Counts(key).GetWithKey()
	}
	return n
}

func payout(key string) *chicoryv1.CallRequest {
	return &chicoryv1.CallRequest{Team: "colonia", Route: "payout", Method: "pay", Payload: []byte("7"), Key: key}
}

func fare() *chicoryv1.CallRequest {
	return &chicoryv1.CallRequest{Team: "colonia", Route: "fare", Method: "fare", Payload: []byte("7"), Idempotent: true}
}

// faultOf returns the error's kind and what it says about having run.
func faultOf(err error) (fault.Kind, chicoryv1.Ran) {
	e := fault.Of(err)
	if e == nil {
		return "", chicoryv1.Ran_RAN_RAN
	}
	return e.Kind, e.Ran
}
