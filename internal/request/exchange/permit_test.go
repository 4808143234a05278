package exchange

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// limitedPicker picks "a", which needs a permit.
type limitedPicker struct{ limits *ratelimit.Table }

func (p limitedPicker) Pick(w request.Work, _ []string) (request.Placement, error) {
	if w.Repeat || w.Reserved != "a" && !p.limits.Take("a") {
		return request.Placement{}, fault.New(fault.Overloaded, "no permit")
	}
	return orderedPicker{"a"}.Pick(w, nil)
}

// limitedService returns a service with one target, "a", that names a limit.
func limitedService(handler func(net.Conn, *http.Request)) (*testNetwork, *Service) {
	w := newTestNetwork()
	w.set("a", handler)
	s, _ := w.service(unlimitedBudget{}, "a")
	s.opts.Limits.UpdateTargets([]*chicoryv1.ListedTarget{{Address: "a", Instance: "i-a", Service: "s"}})
	s.opts.Limits.Observe("a", "i-a", 2, time.Now())
	s.opts.Picker = limitedPicker{s.opts.Limits}
	return w, s
}

// grantPermits grants permits for "a" as the leader does.
func (s *Service) grantPermits(n uint32) {
	s.opts.Limits.LocalState(false, time.Now())
	s.opts.Limits.SetRemoteState([]*chicoryv1.TargetLimit{{Address: "a", Instance: "i-a", Rate: 2, Permits: n, Contenders: 1}}, 1, time.Now())
}

// TestCallWaitsForAPermit guards against calls that are refused while all targets are in need,
// although a permit comes in time.
func TestCallWaitsForAPermit(t *testing.T) {
	for _, policy := range []declared.RetryPolicy{declared.AtMostOnce, declared.Retryable} {
		inVirtualTime(t, func(t *testing.T) {
			var w *testNetwork
			w, s := limitedService(func(c net.Conn, r *http.Request) { w.respondWith(200, "answer")(c, r) })
			s.grantPermits(0)
			time.AfterFunc(400*time.Millisecond, func() { s.grantPermits(1) })
			recorder, begin := httptest.NewRecorder(), time.Now()
			assert.NilError(t, s.Serve(t.Context(), recorder, admitted(policy, false)))
			assert.Equal(t, recorder.Body.String(), "answer")
			assert.Equal(t, time.Since(begin), 400*time.Millisecond)
		})
	}
}

// TestCallThatFailedIsNotRepeatedAtALimitedTarget guards against further attempts and hedges that
// use up the rate of a target in need.
func TestCallThatFailedIsNotRepeatedAtALimitedTarget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		var w *testNetwork
		w, s := limitedService(func(c net.Conn, r *http.Request) {
			time.Sleep(time.Second)
			w.respondWith(500, "failed")(c, r)
		})
		s.grantPermits(5)
		recorder := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), recorder, admitted(declared.Retryable, false)))
		assert.Equal(t, recorder.Code, 500)
		assert.Equal(t, w.runs(), 1)
	})
}

// TestCallWithoutAPermitHasNotRun guards against a refusal that says that a call may have run.
func TestCallWithoutAPermitHasNotRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := limitedService(refuseRequest)
		s.grantPermits(0)
		a := admitted(declared.AtMostOnce, false)
		a.Deadline = time.Now().Add(time.Second)
		e := faultOf(t, s.Serve(t.Context(), httptest.NewRecorder(), a))
		assert.Equal(t, e.Ran, chicoryv1.Ran_RAN_NOT_RUN)
		assert.Equal(t, w.runs(), 0)
	})
}

// resultPicker records the results of the attempts at "a".
type resultPicker struct{ results chan request.Result }

func (p resultPicker) Pick(request.Work, []string) (request.Placement, error) {
	return request.Placement{
		Target: &chicoryv1.Target{Address: "a", Instance: "i-a"},
		Done:   func(r request.Result, _ time.Duration) { p.results <- r },
	}, nil
}

// TestRefusalOfALimitedTargetIsNoFault guards against a target in need that is ejected because it
// refuses what is above its limit.
func TestRefusalOfALimitedTargetIsNoFault(t *testing.T) {
	for limit, want := range map[string]request.Result{"": request.ResultError, "Limit: 2\r\n": request.ResultAbandoned} {
		inVirtualTime(t, func(t *testing.T) {
			w := newTestNetwork()
			w.set("a", func(c net.Conn, _ *http.Request) { writeAnswer(c, 503, "Not-Run: yes\r\n"+limit, "") })
			s, _ := w.service(emptyBudget{}, "a")
			p := resultPicker{make(chan request.Result, 1)}
			s.opts.Picker = p
			e := faultOf(t, s.Serve(t.Context(), httptest.NewRecorder(), admitted(declared.AtMostOnce, false)))
			assert.Equal(t, e.Kind, fault.NoTarget)
			assert.Equal(t, <-p.results, want)
		})
	}
}

// countingProber counts the probes of engines, which show that they are alive.
type countingProber struct{ probes *atomic.Int64 }

func (p countingProber) Report(context.Context, string, string) (EngineReport, error) {
	p.probes.Add(1)
	return EngineReport{Running: 1, Generating: 1, HasRequest: true}, nil
}

// TestLimitedEngineIsProbedWithPermitsOnly guards against probes that an engine in need receives
// beside the requests that its limit allows.
func TestLimitedEngineIsProbedWithPermitsOnly(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		for permits, want := range map[uint32]int64{1: 0, 3: 2} {
			w := newTestNetwork()
			w.set("a", w.hang)
			s, _ := w.service(unlimitedBudget{}, "a")
			s.opts.Limits.UpdateTargets([]*chicoryv1.ListedTarget{{Address: "a", Instance: "i-a", Service: "s"}})
			s.opts.Limits.Observe("a", "i-a", 0.05, time.Now()) // its permits outlast the test
			probes := countingProber{&atomic.Int64{}}
			s.opts.Prober = probes
			s.grantPermits(permits)
			limited := placement.NewEngineTable(placement.Defaults(), "a", s.opts.Limits)
			limited.Update([]*chicoryv1.ListedTarget{{Address: "a", Instance: "i-a", Service: "s"}}, func(string) int { return 50_000 })
			s.opts.Engines = limited
			stop := keepInContact(s)
			a := admitted(declared.AtMostOnce, true)
			_ = s.Serve(t.Context(), httptest.NewRecorder(), a)
			stop()
			assert.Equal(t, probes.probes.Load(), want, "%d permits", permits)
		}
	})
}

// keepInContact lets the leader report without granting permits, until the returned function is
// called.
func keepInContact(s *Service) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for pause.For(ctx, 500*time.Millisecond) {
			s.opts.Limits.LocalState(false, time.Now())
			s.opts.Limits.SetRemoteState(nil, 1, time.Now())
		}
	}()
	return cancel
}
