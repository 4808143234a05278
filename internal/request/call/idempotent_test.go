package call

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// ask makes one lookup and returns how long it took.
func ask(t *testing.T, r *testRouter) time.Duration {
	t.Helper()
	start := time.Now()
	_, err := r.Call(context.Background(), fare("7"))
	assert.NilError(t, err)
	return time.Since(start)
}

func TestLateLookupIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(2)
		defer c.close()
		r := c.router("r1", "1")
		c.desks[0].setFault(frozen)
		assert.Equal(t, ask(t, r), pace.FirstHedgeDelay+deskTime)
		assert.DeepEqual(t, r.picker.endings(), []request.Result{request.ResultSuccess, request.ResultAbandoned})
		c.desks[0].setFault(healthy)
		r.close(t)
	})
}

func TestHedgeDelayIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(2)
		defer c.close()
		r := c.router("r1", "1")
		for range pace.LatencyRefresh {
			assert.Equal(t, ask(t, r), deskTime)
		}
		c.desks[0].setFault(frozen)
		c.desks[1].setFault(healthy)
		assert.Equal(t, ask(t, r), 2*deskTime)
		c.desks[0].setFault(healthy)
		r.close(t)
	})
}

func TestHedgeAndRetryStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(2)
		defer c.close()
		c.budget.left = 0
		r := c.router("r1", "1")
		c.desks[0].setFault(losesAnswers)
		start := time.Now()
		_, err := r.Call(context.Background(), fare("7"))
		assertKind(t, err, fault.OutcomeUnknown)
		assert.Equal(t, fault.Of(err).RetryAfter, time.Second)
		assert.Equal(t, time.Since(start), deskTime) // at once, not at the deadline
		assert.Equal(t, c.arrivals("7"), 1)
		r.close(t)
	})
}

func TestLateLookupIsNotHedgedWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(2)
		defer c.close()
		c.budget.left = 0
		r := c.router("r1", "1")
		c.desks[0].setFault(frozen)
		_, err := r.Call(context.Background(), fare("7"))
		assertKind(t, err, fault.DeadlineUnknown)
		assert.Equal(t, c.desks[1].arrived("7"), 0)
		c.desks[0].setFault(healthy)
		r.close(t)
	})
}

// TestSilentConnectionIsReplaced: the only target can be reached over new
// connections only.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1)
		defer c.close()
		r := c.router("r1", "1")
		ask(t, r)
		c.network.silence(c.desks[0].address)
		// The first attempt and its hedge go over the silent connection.
		assert.Equal(t, ask(t, r), time.Second/unresponsiveTimeoutDivisor+deskTime)
		assert.Equal(t, ask(t, r), deskTime)
		r.close(t)
	})
}

// TestPingsFindAnIdleSilentConnection: nothing is sent while the connection falls
// silent, and the next call does not meet it.
func TestPingsFindAnIdleSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1)
		defer c.close()
		r := c.router("r1", "1")
		ask(t, r)
		c.network.silence(c.desks[0].address)
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, ask(t, r), deskTime)
		r.close(t)
	})
}

func TestCrossedAnswerIsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(2)
		defer c.close()
		r := c.router("r1", "1")
		c.desks[0].setFault(crosses)
		resp, err := r.Call(context.Background(), fare("7"))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.GetPayload()), "10.0.0.2:1 fare 7 run 1")
		assert.Equal(t, len(c.seen.all), 2)
		assert.Assert(t, c.seen.all[0].Crossed && c.seen.all[0].Error)
		assert.Equal(t, c.seen.all[1].CallLatency, deskTime)
		r.close(t)
	})
}

func TestFinalErrorIsNotRetried(t *testing.T) {
	a := &attempt{status: attemptRefused}
	for _, code := range nonRetryableCodes {
		a.code = code
		assert.Assert(t, a.isNonRetryable())
	}
	a.code = 0
	assert.Assert(t, !a.isNonRetryable())
}

func TestTargetLearnsTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1)
		defer c.close()
		r := c.router("r1", "1")
		req := fare("7")
		req.TimeoutMs = 250
		_, err := r.Call(context.Background(), req)
		assert.NilError(t, err)
		last := c.desks[0].lastRequest()
		assert.Equal(t, last.GetTimeoutMs(), uint32(250))
		assert.Equal(t, last.GetRoute(), "fare")
		assert.Equal(t, last.GetTeam(), "colonia")
		r.close(t)
	})
}

func TestTimeoutIsBounded(t *testing.T) {
	s := &Service{opts: Options{Settings: Settings{}.withDefaults()}}
	route := &chicoryv1.Route{DefaultTimeoutMs: 700}
	for _, c := range []struct {
		asked uint32
		route *chicoryv1.Route
		want  time.Duration
	}{
		{0, &chicoryv1.Route{}, defaultTimeout},
		{0, route, 700 * time.Millisecond},
		{100, route, 100 * time.Millisecond},
		{10_000_000, route, defaultMaxTimeout},
	} {
		assert.Equal(t, s.timeout(&chicoryv1.CallRequest{TimeoutMs: c.asked}, c.route), c.want)
	}
}

// byVersion picks the first target of the version that is not excluded.
type byVersion struct {
	targets []*chicoryv1.Target
}

func (b byVersion) Pick(w request.Work, exclude []string) (request.Placement, error) {
	for _, t := range b.targets {
		if t.GetVersion() == w.Version && !slices.Contains(exclude, t.GetAddress()) {
			return request.Placement{Target: t, Done: func(request.Result, time.Duration) {}}, nil
		}
	}
	return request.Placement{}, fault.New(fault.NoTarget, "no target")
}

type newVersion struct{}

func (newVersion) Choose(*chicoryv1.Route, string) string { return "v2" }

// Every target of a move's new version fails: a lookup that went there is answered
// by the old version at its first retry, also when the budget is used up.
func TestRetryGoesToTheOldVersionWhileAMoveIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		defer c.close()
		c.budget.left = 0
		conf := c.configuration()
		conf.Targets[0].Version, conf.Targets[1].Version = "v2", "v2"
		intent := &chicoryv1.MoveIntent{Route: "fare", From: "v1", To: "v2"}
		conf.Moves = []*chicoryv1.Move{{Id: "m", Intent: intent}}
		h := &config.Holder{}
		_, err := h.ApplyFull(conf)
		assert.NilError(t, err)
		r := c.router("r1", "1", func(o *Options) {
			o.Holder, o.Picker, o.Chooser = h, byVersion{conf.GetTargets()}, newVersion{}
		})
		c.desks[0].setFault(losesAnswers)
		c.desks[1].setFault(losesAnswers)
		resp, err := r.Call(context.Background(), fare("7"))
		assert.NilError(t, err)
		assert.Equal(t, resp.GetVersion(), "v1")
		r.close(t)
	})
}

// Two of three targets are frozen and the deadline is short: the third one is tried
// before it.
func TestLookupReachesTheOnlyHealthyTargetInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		defer c.close()
		r := c.router("r1", "1")
		c.desks[0].setFault(frozen)
		c.desks[1].setFault(frozen)
		req := fare("7")
		req.TimeoutMs = 300
		_, err := r.Call(context.Background(), req)
		assert.NilError(t, err)
		c.desks[0].setFault(healthy)
		c.desks[1].setFault(healthy)
		r.close(t)
	})
}
