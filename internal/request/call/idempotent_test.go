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

// measureCall makes an idempotent call and returns its duration.
func measureCall(t *testing.T, r *testRouter) time.Duration {
	t.Helper()
	start := time.Now()
	_, err := r.Call(context.Background(), idempotentRequest("7"))
	assert.NilError(t, err)
	return time.Since(start)
}

func TestSlowIdempotentCallIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		defer c.close()
		r := c.startRouter("r1", "1")
		c.targets[0].setFault(faultHang)
		assert.Equal(t, measureCall(t, r), pace.DefaultHedgeDelay+serviceTime)
		assert.DeepEqual(t, r.picker.attemptResults(), []request.Result{request.ResultSuccess, request.ResultAbandoned})
		c.targets[0].setFault(faultNone)
		r.close(t)
	})
}

func TestHedgeDelayFollowsObservedLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		defer c.close()
		r := c.startRouter("r1", "1")
		for range pace.SamplesPerRefresh {
			assert.Equal(t, measureCall(t, r), serviceTime)
		}
		c.targets[0].setFault(faultHang)
		c.targets[1].setFault(faultNone)
		assert.Equal(t, measureCall(t, r), 2*serviceTime)
		c.targets[0].setFault(faultNone)
		r.close(t)
	})
}

func TestHedgeAndRetryStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		defer c.close()
		c.budget.left = 0
		r := c.startRouter("r1", "1")
		c.targets[0].setFault(faultLoseResponse)
		start := time.Now()
		_, err := r.Call(context.Background(), idempotentRequest("7"))
		assertKind(t, err, fault.OutcomeUnknown)
		assert.Equal(t, fault.Of(err).RetryAfter, time.Second)
		assert.Equal(t, time.Since(start), serviceTime) // fails without waiting for the deadline
		assert.Equal(t, c.arrivals("7"), 1)
		r.close(t)
	})
}

func TestSlowIdempotentCallIsNotHedgedWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		defer c.close()
		c.budget.left = 0
		r := c.startRouter("r1", "1")
		c.targets[0].setFault(faultHang)
		_, err := r.Call(context.Background(), idempotentRequest("7"))
		assertKind(t, err, fault.DeadlineUnknown)
		assert.Equal(t, c.targets[1].arrivalsOf("7"), 0)
		c.targets[0].setFault(faultNone)
		r.close(t)
	})
}

// TestBlackholedConnectionIsReplaced checks that a call succeeds over a new connection
// when all data on the existing connection to the only target is lost.
func TestBlackholedConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		defer c.close()
		r := c.startRouter("r1", "1")
		measureCall(t, r)
		c.network.blackhole(c.targets[0].address)
		// The first attempt and its hedge use the blackholed connection.
		assert.Equal(t, measureCall(t, r), time.Second/unresponsiveTimeoutDivisor+serviceTime)
		assert.Equal(t, measureCall(t, r), serviceTime)
		r.close(t)
	})
}

// TestPingsDetectIdleBlackholedConnection checks that a connection that starts to lose
// all data while it is idle is replaced before the next call.
func TestPingsDetectIdleBlackholedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		defer c.close()
		r := c.startRouter("r1", "1")
		measureCall(t, r)
		c.network.blackhole(c.targets[0].address)
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, measureCall(t, r), serviceTime)
		r.close(t)
	})
}

func TestCrossedAnswerIsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		defer c.close()
		r := c.startRouter("r1", "1")
		c.targets[0].setFault(faultWrongCallID)
		resp, err := r.Call(context.Background(), idempotentRequest("7"))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.GetPayload()), "10.0.0.2:1 fare 7 run 1")
		assert.Equal(t, len(c.recorder.all), 2)
		assert.Assert(t, c.recorder.all[0].Crossed && c.recorder.all[0].Error)
		assert.Equal(t, c.recorder.all[1].CallLatency, serviceTime)
		r.close(t)
	})
}

func TestNonRetryableErrorIsNotRetried(t *testing.T) {
	a := &attempt{status: attemptRefused}
	for _, code := range nonRetryableCodes {
		a.code = code
		assert.Assert(t, a.isNonRetryable())
	}
	a.code = 0
	assert.Assert(t, !a.isNonRetryable())
}

func TestTargetReceivesTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		defer c.close()
		r := c.startRouter("r1", "1")
		req := idempotentRequest("7")
		req.TimeoutMs = 250
		_, err := r.Call(context.Background(), req)
		assert.NilError(t, err)
		last := c.targets[0].lastRequest()
		assert.Equal(t, last.GetTimeoutMs(), uint32(250))
		assert.Equal(t, last.GetRoute(), "fare")
		assert.Equal(t, last.GetTeam(), "colonia")
		r.close(t)
	})
}

func TestTimeoutIsLimited(t *testing.T) {
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

// versionPicker picks the first target of the requested version that is not excluded.
type versionPicker struct {
	targets []*chicoryv1.Target
}

func (b versionPicker) Pick(w request.Work, exclude []string) (request.Placement, error) {
	for _, t := range b.targets {
		if t.GetVersion() == w.Version && !slices.Contains(exclude, t.GetAddress()) {
			return request.Placement{Target: t, Done: func(request.Result, time.Duration) {}}, nil
		}
	}
	return request.Placement{}, fault.New(fault.NoTarget, "no target")
}

type newVersionChooser struct{}

func (newVersionChooser) Choose(*chicoryv1.Route, string) string { return "v2" }

// TestRetryGoesToTheOldVersionWhileAMoveIsOpen checks that, when every target of a
// move's new version fails, the first retry gets a response from the old version even
// with an exhausted budget.
func TestRetryGoesToTheOldVersionWhileAMoveIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		defer c.close()
		c.budget.left = 0
		conf := c.configuration()
		conf.Targets[0].Version, conf.Targets[1].Version = "v2", "v2"
		intent := &chicoryv1.MoveIntent{Route: "fare", From: "v1", To: "v2"}
		conf.Moves = []*chicoryv1.Move{{Id: "m", Intent: intent}}
		h := &config.Holder{}
		_, err := h.ApplyFull(conf)
		assert.NilError(t, err)
		r := c.startRouter("r1", "1", func(o *Options) {
			o.Holder, o.Picker, o.Chooser = h, versionPicker{conf.GetTargets()}, newVersionChooser{}
		})
		c.targets[0].setFault(faultLoseResponse)
		c.targets[1].setFault(faultLoseResponse)
		resp, err := r.Call(context.Background(), idempotentRequest("7"))
		assert.NilError(t, err)
		assert.Equal(t, resp.GetVersion(), "v1")
		r.close(t)
	})
}

// TestIdempotentCallReachesOnlyHealthyTargetBeforeDeadline checks that the third target
// is tried before a short deadline when the other two hang.
func TestIdempotentCallReachesOnlyHealthyTargetBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		defer c.close()
		r := c.startRouter("r1", "1")
		c.targets[0].setFault(faultHang)
		c.targets[1].setFault(faultHang)
		req := idempotentRequest("7")
		req.TimeoutMs = 300
		_, err := r.Call(context.Background(), req)
		assert.NilError(t, err)
		c.targets[0].setFault(faultNone)
		c.targets[1].setFault(faultNone)
		r.close(t)
	})
}
