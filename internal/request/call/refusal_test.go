package call

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

const (
	notRun     = chicoryv1.Ran_RAN_NOT_RUN
	hasRun     = chicoryv1.Ran_RAN_RAN
	ranUnknown = chicoryv1.Ran_RAN_UNKNOWN
)

// errorCase is a call that fails with an error of one kind.
type errorCase struct {
	name string
	kind fault.Kind
	ran  chicoryv1.Ran
	// arrivals is how often the payload "7" arrives at the targets in the whole case.
	arrivals int
	targets  int
	options  func(*Options)
	// setUp runs before the failing call and may make calls itself.
	setUp   func(t *testing.T, c *cluster, r *testRouter, key string)
	request func(key string) *chicoryv1.CallRequest
}

func keyedCall(key string) *chicoryv1.CallRequest { return keyedRequest(key, "7") }

func onceCall(string) *chicoryv1.CallRequest { return onceRequest("7") }

func idempotentCall(string) *chicoryv1.CallRequest { return idempotentRequest("7") }

// keyedCallWith returns a function that makes a keyedCall and applies change to it.
func keyedCallWith(change func(*chicoryv1.CallRequest)) func(string) *chicoryv1.CallRequest {
	return func(key string) *chicoryv1.CallRequest {
		req := keyedCall(key)
		change(req)
		return req
	}
}

func withFault(f targetFault) func(*testing.T, *cluster, *testRouter, string) {
	return func(_ *testing.T, c *cluster, _ *testRouter, _ string) {
		for _, ft := range c.targets {
			ft.setFault(f)
		}
	}
}

func withDeadTargets(_ *testing.T, c *cluster, _ *testRouter, _ string) {
	for _, ft := range c.targets {
		ft.kill()
	}
}

// withUnreachableTargets makes dialing block.
func withUnreachableTargets(_ *testing.T, c *cluster, _ *testRouter, _ string) {
	for _, ft := range c.targets {
		ln := c.network.listen(ft.address)
		time.AfterFunc(time.Minute, func() { _ = ln.Close() })
	}
}

func withPartitionedLedger(_ *testing.T, _ *cluster, r *testRouter, _ string) {
	r.leader.setPartitioned(true)
}

func withRejectingAdmission(_ *testing.T, _ *cluster, r *testRouter, _ string) {
	r.admitter.rejecting.Store(true)
}

func withDrain(t *testing.T, _ *cluster, r *testRouter, _ string) {
	assert.NilError(t, r.Drain(context.Background()))
}

func withEarlierCall(t *testing.T, _ *cluster, r *testRouter, key string) {
	_, err := r.Call(context.Background(), keyedCall(key))
	assert.NilError(t, err)
}

func noConfiguration(o *Options) { o.Holder = &config.Holder{} }

var errorCases = []errorCase{
	{name: "malformed key", kind: fault.InvalidArgument, ran: notRun, targets: 1,
		request: keyedCallWith(func(r *chicoryv1.CallRequest) { r.Key = "7" })},
	{name: "no method, no key", kind: fault.InvalidArgument, ran: notRun, targets: 1,
		request: func(string) *chicoryv1.CallRequest { return &chicoryv1.CallRequest{Team: "colonia", Route: "fare"} }},
	{name: "no method, key", kind: fault.InvalidArgument, ran: ranUnknown, targets: 1,
		request: keyedCallWith(func(r *chicoryv1.CallRequest) { r.Method = "" })},
	{name: "payload too large", kind: fault.InvalidArgument, ran: ranUnknown, targets: 1,
		request: keyedCallWith(func(r *chicoryv1.CallRequest) { r.Payload = make([]byte, defaultMaxPayloadBytes+1) })},
	{name: "no configuration, no key", kind: fault.NotReady, ran: notRun, targets: 1, options: noConfiguration, request: idempotentCall},
	{name: "no configuration, key", kind: fault.NotReady, ran: ranUnknown, targets: 1, options: noConfiguration, request: keyedCall},
	{name: "unknown route, no key", kind: fault.UnknownRoute, ran: notRun, targets: 1,
		request: func(string) *chicoryv1.CallRequest {
			return &chicoryv1.CallRequest{Team: "colonia", Route: "x", Method: "m"}
		}},
	{name: "unknown route, key", kind: fault.UnknownRoute, ran: ranUnknown, targets: 1,
		request: keyedCallWith(func(r *chicoryv1.CallRequest) { r.Route = "x" })},
	{name: "no key where one is required", kind: fault.KeyRequired, ran: notRun, targets: 1,
		request: keyedCallWith(func(r *chicoryv1.CallRequest) { r.Key = "" })},
	{name: "no key, marked as idempotent", kind: fault.KeyRequired, ran: notRun, targets: 1,
		request: keyedCallWith(func(r *chicoryv1.CallRequest) { r.Key, r.Idempotent = "", true })},
	{name: "team limit, no key", kind: fault.TeamLimit, ran: notRun, targets: 1, setUp: withRejectingAdmission, request: idempotentCall},
	{name: "team limit, once", kind: fault.TeamLimit, ran: notRun, targets: 1, setUp: withRejectingAdmission, request: onceCall},
	{name: "team limit, key", kind: fault.TeamLimit, ran: ranUnknown, targets: 1, setUp: withRejectingAdmission, request: keyedCall},
	{name: "draining, no key", kind: fault.Draining, ran: notRun, targets: 1, setUp: withDrain, request: idempotentCall},
	{name: "draining, key", kind: fault.Draining, ran: ranUnknown, targets: 1, setUp: withDrain, request: keyedCall},
	{name: "no target, idempotent", kind: fault.NoTarget, ran: notRun, request: idempotentCall},
	{name: "no target, once", kind: fault.NoTarget, ran: notRun, request: onceCall},
	{name: "no target, key", kind: fault.NoTarget, ran: ranUnknown, request: keyedCall},
	{name: "dead targets, idempotent", kind: fault.NoTarget, ran: notRun, targets: 2, setUp: withDeadTargets, request: idempotentCall},
	{name: "dead targets, once", kind: fault.NoTarget, ran: notRun, targets: 2, setUp: withDeadTargets, request: onceCall},
	{name: "dead targets, key", kind: fault.NoTarget, ran: notRun, targets: 2, setUp: withDeadTargets, request: keyedCall},
	{name: "unreachable target, idempotent", kind: fault.DeadlineUnknown, ran: ranUnknown, targets: 1, setUp: withUnreachableTargets, request: idempotentCall},
	{name: "unreachable target, once", kind: fault.DeadlineNotRun, ran: notRun, targets: 1, setUp: withUnreachableTargets, request: onceCall},
	{name: "unreachable target, key", kind: fault.DeadlineNotRun, ran: notRun, targets: 1, setUp: withUnreachableTargets, request: keyedCall},
	{name: "hanging target, idempotent", kind: fault.DeadlineUnknown, ran: ranUnknown, arrivals: 4, targets: 1, setUp: withFault(faultHang), request: idempotentCall},
	{name: "hanging target, once", kind: fault.DeadlineUnknown, ran: ranUnknown, arrivals: 1, targets: 2, setUp: withFault(faultHang), request: onceCall},
	{name: "hanging target, key", kind: fault.DeadlineUnknown, ran: ranUnknown, arrivals: 1, targets: 2, setUp: withFault(faultHang), request: keyedCall},
	{name: "lost response, once", kind: fault.OutcomeUnknown, ran: ranUnknown, arrivals: 1, targets: 2, setUp: withFault(faultLoseResponse), request: onceCall},
	{name: "lost response, key", kind: fault.OutcomeUnknown, ran: ranUnknown, arrivals: 1, targets: 2, setUp: withFault(faultLoseResponse), request: keyedCall},
	{name: "lost responses, idempotent", kind: fault.OutcomeUnknown, ran: ranUnknown, arrivals: 6, targets: 2, setUp: withFault(faultLoseResponse), request: idempotentCall},
	{name: "mismatched response, once", kind: fault.OutcomeUnknown, ran: ranUnknown, arrivals: 1, targets: 2, setUp: withFault(faultWrongCallID), request: onceCall},
	{name: "mismatched response, key", kind: fault.OutcomeUnknown, ran: ranUnknown, arrivals: 1, targets: 2, setUp: withFault(faultWrongCallID), request: keyedCall},
	{name: "mismatched responses, idempotent", kind: fault.OutcomeUnknown, ran: ranUnknown, arrivals: 6, targets: 2, setUp: withFault(faultWrongCallID), request: idempotentCall},
	{name: "error from the target, once", kind: fault.TargetRefused, ran: hasRun, arrivals: 1, targets: 2, setUp: withFault(faultError), request: onceCall},
	{name: "error from the target, key", kind: fault.TargetRefused, ran: hasRun, arrivals: 1, targets: 2, setUp: withFault(faultError), request: keyedCall},
	{name: "error from each target, idempotent", kind: fault.TargetRefused, ran: hasRun, arrivals: 6, targets: 2, setUp: withFault(faultError), request: idempotentCall},
	{name: "ledger partitioned, short deadline", kind: fault.DeadlineUnknown, ran: ranUnknown, targets: 1, setUp: withPartitionedLedger, request: keyedCall},
	{name: "ledger partitioned, long deadline", kind: fault.LedgerUnavailable, ran: ranUnknown, targets: 1, setUp: withPartitionedLedger,
		request: keyedCallWith(func(r *chicoryv1.CallRequest) { r.TimeoutMs = 60_000 })},
	{name: "different payload for the key", kind: fault.KeyConflict, ran: ranUnknown, arrivals: 1, targets: 1, setUp: withEarlierCall,
		request: keyedCallWith(func(r *chicoryv1.CallRequest) { r.Payload = []byte("8") })},
	{name: "key older than the retention period", kind: fault.KeyTooOld, ran: ranUnknown, targets: 1,
		request: keyedCallWith(func(r *chicoryv1.CallRequest) { r.Key = ledger.NewKey(time.Now().Add(-2 * time.Hour)) })},
	{name: "key from the future", kind: fault.KeyTooOld, ran: ranUnknown, targets: 1,
		request: keyedCallWith(func(r *chicoryv1.CallRequest) { r.Key = ledger.NewKey(time.Now().Add(2 * time.Hour)) })},
}

func TestRefusalsSayWhetherTheCallRan(t *testing.T) {
	for _, ec := range errorCases {
		t.Run(ec.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { ec.run(t) })
		})
	}
}

func (ec *errorCase) run(t *testing.T) {
	c := newCluster(ec.targets)
	defer c.close()
	options := ec.options
	if options == nil {
		options = func(*Options) {}
	}
	r := c.startRouter("r1", "1", options)
	key := ledger.NewKey(time.Now())
	if ec.setUp != nil {
		ec.setUp(t, c, r, key)
	}
	resp, err := r.Call(context.Background(), ec.request(key))
	assert.Assert(t, err != nil, "got response %q", resp.GetPayload())
	e := fault.Of(err)
	assert.Equal(t, e.Kind, ec.kind, "%s", err)
	assert.Equal(t, e.Ran, ec.ran, "%s", err)
	r.leader.setPartitioned(false)
	for _, ft := range c.targets {
		ft.setFault(faultNone)
	}
	r.close(t)
	time.Sleep(maxTransitTime)
	if ec.ran == notRun {
		assert.Equal(t, c.arrivals("7"), 0)
	}
	assert.Equal(t, c.arrivals("7"), ec.arrivals)
}

func TestDisconnectedCallerGetsCancelled(t *testing.T) {
	for _, request := range []func(string) *chicoryv1.CallRequest{keyedCall, onceCall, idempotentCall} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(1)
			defer c.close()
			c.targets[0].setFault(faultHang)
			r := c.startRouter("r1", "1")
			ctx, cancel := context.WithTimeoutCause(context.Background(), time.Hour, nil)
			time.AfterFunc(100*time.Millisecond, cancel)
			_, err := r.Call(ctx, request(ledger.NewKey(time.Now())))
			assertKind(t, err, fault.Cancelled)
			assert.Equal(t, fault.Of(err).Ran, ranUnknown)
			c.targets[0].setFault(faultNone)
			r.close(t)
		})
	}
}

// TestNotRunIsFinalForTheKey checks that a key whose call was reported as not run is
// never dispatched later, even when the targets are available again.
func TestNotRunIsFinalForTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		defer c.close()
		r := c.startRouter("r1", "1")
		key := ledger.NewKey(time.Now())
		c.targets[0].kill()
		_, err := r.Call(context.Background(), keyedCall(key))
		assert.Equal(t, fault.Of(err).Ran, notRun)
		c.targets[0].start()
		other := c.startRouter("r2", "1")
		time.Sleep(time.Second)
		_, again := other.Call(context.Background(), keyedCall(key))
		assert.Equal(t, fault.Of(again).Ran, notRun)
		assert.Assert(t, strings.Contains(again.Error(), fault.Of(err).Message))
		assert.Equal(t, c.arrivals("7"), 0)
		r.close(t)
		other.close(t)
	})
}
