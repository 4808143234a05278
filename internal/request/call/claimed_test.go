package call

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// withCluster runs f in virtual time with a cluster of two routers and the given
// number of targets.
func withCluster(t *testing.T, targets int, f func(t *testing.T, c *cluster, one, two *testRouter, key string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(targets)
		defer c.close()
		c.canLookupKeys = true
		one, two := c.startRouter("r1", "1"), c.startRouter("r2", "1")
		f(t, c, one, two, ledger.NewKey(time.Now()))
		if !one.crashed.Load() {
			one.close(t)
		}
		two.close(t)
	})
}

// declareRouterLost puts the open claims of a router in doubt, as the control VMs do.
func (c *cluster) declareRouterLost(r *testRouter) {
	c.ledger.apply(func(l *ledger.Ledger, now time.Time) {
		l.RouterLost(r.opts.RouterID, r.opts.Incarnation, now)
	})
}

func TestResponseDoesNotWaitForOutcomeCommit(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster, one, two *testRouter, key string) {
		time.AfterFunc(2*commitLatency+serviceTime/2, func() { one.leader.setPartitioned(true) })
		start := time.Now()
		first, err := one.Call(context.Background(), keyedRequest(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 2*commitLatency+serviceTime)

		again, err := one.Call(context.Background(), keyedRequest(key, "7"))
		assert.NilError(t, err)
		assert.Assert(t, again.GetReplayed())
		assert.Equal(t, string(again.GetPayload()), string(first.GetPayload()))
		_, err = two.Call(context.Background(), keyedRequest(key, "7"))
		assertKind(t, err, fault.OutcomeUnknown)
		assert.Equal(t, fault.Of(err).Ran, ranUnknown)

		one.leader.setPartitioned(false)
		time.Sleep(5 * time.Second)
		again, err = two.Call(context.Background(), keyedRequest(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, string(again.GetPayload()), string(first.GetPayload()))
		assert.Equal(t, c.arrivals("7"), 1)
	})
}

func TestConcurrentResendsShareOneDispatch(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster, one, two *testRouter, key string) {
		var tasks sync.WaitGroup
		for range 5 {
			tasks.Go(func() {
				resp, err := one.Call(context.Background(), keyedRequest(key, "7"))
				assert.Check(t, err)
				assert.Check(t, resp.GetPayload() != nil)
			})
		}
		tasks.Wait()
		assert.Equal(t, c.arrivals("7"), 1)
	})
}

// TestClaimOfDeadRouterIsResolvedByKeyLookup checks a router crash between the
// dispatch and the response: another router gets the response from the target's key
// lookup once the dead router is declared lost.
func TestClaimOfDeadRouterIsResolvedByKeyLookup(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster, one, two *testRouter, key string) {
		time.AfterFunc(2*commitLatency+serviceTime/2, one.crash)
		_, _ = one.Call(context.Background(), keyedRequest(key, "7"))
		time.Sleep(serviceTime)
		_, err := two.Call(context.Background(), keyedRequest(key, "7"))
		assertKind(t, err, fault.OutcomeUnknown) // the router is not declared lost yet
		c.declareRouterLost(one)
		for range 2 {
			resp, err := two.Call(context.Background(), keyedRequest(key, "7"))
			assert.NilError(t, err)
			assert.Equal(t, string(resp.GetPayload()), "10.0.0.1:1 pay 7 run 1")
			assert.Assert(t, resp.GetReplayed())
		}
		assert.Equal(t, c.arrivals("7"), 1)
	})
}

// TestKeyLookupOfUnseenKeyResolvesNothing checks that a claim stays in doubt when the
// target does not know its key, because the call may still be in transit.
func TestKeyLookupOfUnseenKeyResolvesNothing(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster, one, two *testRouter, key string) {
		c.targets[0].setFault(faultDelay)
		time.AfterFunc(networkDelay/2, one.crash)
		_, _ = one.Call(context.Background(), keyedRequest(key, "7"))
		c.declareRouterLost(one)
		_, err := two.Call(context.Background(), keyedRequest(key, "7"))
		assertKind(t, err, fault.OutcomeUnknown)
		assert.Equal(t, fault.Of(err).Ran, ranUnknown)
		time.Sleep(networkDelay)
		resp, err := two.Call(context.Background(), keyedRequest(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.GetPayload()), "10.0.0.1:1 pay 7 run 1")
		assert.Equal(t, c.arrivals("7"), 1)
	})
}

func TestLostResponseIsLookedUpAtTarget(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster, one, _ *testRouter, key string) {
		c.targets[0].setFault(faultLoseResponse)
		resp, err := one.Call(context.Background(), keyedRequest(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.GetPayload()), "10.0.0.1:1 pay 7 run 1")
		assert.Equal(t, c.arrivals("7"), 1)
	})
}

func TestOperatorSettlesClaimInDoubt(t *testing.T) {
	for _, ran := range []bool{true, false} {
		withCluster(t, 1, func(t *testing.T, c *cluster, one, two *testRouter, key string) {
			c.targets[0].setFault(faultHang)
			_, err := one.Call(context.Background(), keyedRequest(key, "7"))
			assertKind(t, err, fault.DeadlineUnknown)
			time.Sleep(defaultLateResponseTimeout + time.Second)
			c.ledger.apply(func(l *ledger.Ledger, now time.Time) {
				assert.Equal(t, len(l.InDoubt()), 1)
				assert.Equal(t, l.InDoubt()[0].GetRoute(), "payout")
				assert.NilError(t, l.Settle("colonia", key, ran, now))
			})
			_, err = two.Call(context.Background(), keyedRequest(key, "7"))
			want := map[bool]chicoryv1.Ran{true: hasRun, false: notRun}[ran]
			assert.Equal(t, fault.Of(err).Ran, want)
			c.targets[0].setFault(faultNone)
		})
	}
}

func TestDrainFinishesAcceptedCalls(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster, one, two *testRouter, key string) {
		c.targets[0].setFault(faultSlow)
		var tasks sync.WaitGroup
		for _, req := range []*chicoryv1.CallRequest{keyedRequest(key, "7"), onceRequest("8"), idempotentRequest("9")} {
			tasks.Go(func() {
				_, err := one.Call(context.Background(), req)
				assert.Check(t, err)
			})
		}
		time.Sleep(20 * time.Millisecond)
		assert.NilError(t, one.Drain(context.Background()))
		tasks.Wait()
		_, err := one.Call(context.Background(), idempotentRequest("10"))
		assertKind(t, err, fault.Draining)
		// The outcome is committed before Drain returns.
		resp, err := two.Call(context.Background(), keyedRequest(key, "7"))
		assert.NilError(t, err)
		assert.Assert(t, resp.GetReplayed())
	})
}

func TestUncommittedOutcomesAreLimited(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster, one, two *testRouter, key string) {
		r := c.startRouter("r3", "1", func(o *Options) { o.Settings.MaxUncommittedOutcomes = 1 })
		time.AfterFunc(2*commitLatency+serviceTime/2, func() { r.leader.setPartitioned(true) })
		_, err := r.Call(context.Background(), keyedRequest(key, "7"))
		assert.NilError(t, err)
		_, err = r.Call(context.Background(), keyedRequest(ledger.NewKey(time.Now()), "8"))
		assertKind(t, err, fault.LedgerUnavailable)
		assert.Equal(t, c.arrivals("8"), 0)
		r.leader.setPartitioned(false)
		r.close(t)
	})
}

// TestLateAnswerIsRecorded checks that a call without a response at its deadline
// fails with an unknown outcome and that a resend gets the later response.
func TestLateAnswerIsRecorded(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster, one, two *testRouter, key string) {
		c.targets[0].setFault(faultSlow)
		req := keyedRequest(key, "7")
		req.TimeoutMs = 100
		start := time.Now()
		_, err := one.Call(context.Background(), req)
		assertKind(t, err, fault.DeadlineUnknown)
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
		assert.DeepEqual(t, one.picker.attemptResults(), []request.Result{request.ResultSilent})
		assert.Equal(t, c.targets[0].receivedTimeout(), 98*time.Millisecond)
		time.Sleep(slowServiceTime)
		c.canLookupKeys = false
		resp, err := two.Call(context.Background(), keyedRequest(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.GetPayload()), "10.0.0.1:1 pay 7 run 1")
	})
}

// TestUnwrittenCallIsNotWrittenLate checks that a call that was not written to a
// target by its deadline is not written later.
func TestUnwrittenCallIsNotWrittenLate(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster, one, _ *testRouter, key string) {
		ln := c.network.listen(c.targets[0].address)
		_, err := one.Call(context.Background(), keyedRequest(key, "7"))
		assertKind(t, err, fault.DeadlineNotRun)
		assert.NilError(t, ln.Close())
		c.targets[0].kill()
		c.targets[0].start()
		time.Sleep(time.Minute)
		assert.Equal(t, c.arrivals("7"), 0)
	})
}

func TestLargeResponseIsNotRecorded(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster, one, two *testRouter, key string) {
		payload := string(make([]byte, defaultMaxRecordedPayloadBytes))
		resp, err := one.Call(context.Background(), keyedRequest(key, payload))
		assert.NilError(t, err)
		assert.Assert(t, len(resp.GetPayload()) > defaultMaxRecordedPayloadBytes)
		time.Sleep(time.Second)
		_, err = two.Call(context.Background(), keyedRequest(key, payload))
		assertKind(t, err, fault.TargetRefused)
		assert.Equal(t, fault.Of(err).Ran, hasRun)
		assert.Equal(t, c.arrivals(payload), 1)
	})
}
