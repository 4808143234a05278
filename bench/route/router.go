package main

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/admission"
	"github.com/chicoryswitch/chicoryswitch/internal/request/call"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/request/retry"
	"github.com/chicoryswitch/chicoryswitch/internal/request/routing"
)

// router is one router under measurement.
type router interface {
	call(ctx context.Context, req *chicoryv1.CallRequest) error
	close()
}

// fullRouter is the production path of requests: admission, picker and retry budget.
type fullRouter struct {
	pool        *target.Pool
	picker      *routing.Picker
	admitter    *admission.Admitter
	budget      *retry.Budget
	calls       *call.Service
	generations *generation.Service
	log         *logging.Logger
	stop        context.CancelFunc
	watcherDone sync.WaitGroup
}

// newFullRouter starts the i-th of n routers.
func newFullRouter(c *cluster, i, n int, limit admission.LimitMode) *fullRouter {
	log := logging.Discard()
	zone := zoneName(i % zones)
	table := observe.NewTable(observe.Defaults())
	f := &fullRouter{pool: target.NewPool(nil), log: log}
	f.picker = routing.NewPicker(routing.Options{
		Holder: c.holder, Zone: zone, Loads: table, Logger: log, Settings: routing.Defaults(),
		Routers: func() int { return n },
	})
	s := admission.Defaults()
	s.Limit = limit
	f.admitter = admission.New(admission.Options{
		Holder: c.holder, Routers: func() int { return n }, Capacity: f.picker.Capacity, Settings: s,
	})
	f.budget = retry.NewBudget(retry.Options{
		Settings:  retry.Defaults(),
		Saturated: func() bool { return f.admitter.HasQueuedCalls() && !f.picker.HasImpairedTargets() },
	})
	f.calls = call.New(call.Options{
		Holder: c.holder, Pool: f.pool, Picker: f.picker, Admitter: f.admitter, Budget: f.budget,
		Chooser: routeVersion{}, Recorder: noRecorder{}, RouterID: zone, Incarnation: "1",
		AvailabilityZone: zone, Logger: log,
	})
	f.initGenerations(c, zone)
	w := observe.NewWatcher(observe.Options{
		Holder: c.holder, Table: table, Pool: f.pool, Settings: observe.Defaults(),
	})
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.watcherDone.Go(func() { w.Run(ctx) })
	return f
}

func (f *fullRouter) call(ctx context.Context, req *chicoryv1.CallRequest) error {
	_, err := f.calls.Call(ctx, req)
	return err
}

func (f *fullRouter) close() {
	f.stop()
	f.watcherDone.Wait()
	f.pool.Close()
}

// routeVersion always chooses the version that is set in the route.
type routeVersion struct{}

func (routeVersion) Choose(r *chicoryv1.Route, _ string) string { return r.GetVersion() }

// noRecorder discards observations.
type noRecorder struct{}

func (noRecorder) Record(request.Observation) {}

// naiveRouter is the baseline: round robin, and retries after any error.
type naiveRouter struct {
	c      *cluster
	pool   *target.Pool
	picker *routing.RoundRobin
}

// naiveAttempts is the number of attempts of the baseline. Each has an equal part of the
// deadline as its timeout.
const naiveAttempts = 3

func newNaiveRouter(c *cluster) *naiveRouter {
	return &naiveRouter{c: c, pool: target.NewPool(nil), picker: routing.NewRoundRobin(c.holder)}
}

func (n *naiveRouter) call(ctx context.Context, req *chicoryv1.CallRequest) error {
	timeout := callDeadline / naiveAttempts
	var err error
	for range naiveAttempts {
		if err = n.tryCall(ctx, req, timeout); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// tryCall makes one attempt of a call.
func (n *naiveRouter) tryCall(ctx context.Context, req *chicoryv1.CallRequest, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	route := n.c.holder.Current().Route(req.GetRoute())
	p, err := n.picker.Pick(request.Work{Route: route, Version: route.GetVersion()}, nil)
	if err != nil {
		return err
	}
	_, err = n.pool.Clients(p.Target.GetAddress()).Transaction.Invoke(ctx, connect.NewRequest(&chicoryv1.InvokeRequest{
		CallId: req.GetRequestId(), Team: req.GetTeam(), Method: req.GetMethod(), Payload: req.GetPayload(),
		Idempotent: true, Route: req.GetRoute(), Version: versionName,
	}))
	return err
}

func (n *naiveRouter) close() { n.pool.Close() }
