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

// inCell runs f with two routers in virtual time.
func inCell(t *testing.T, desks int, f func(t *testing.T, c *cell, one, two *testRouter, key string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(desks)
		defer c.close()
		c.lookups = true
		one, two := c.router("r1", "1"), c.router("r2", "1")
		f(t, c, one, two, ledger.NewKey(time.Now()))
		if !one.crashed.Load() {
			one.close(t)
		}
		two.close(t)
	})
}

// lostRouter declares a router dead, as the control state does.
func (c *cell) lostRouter(r *testRouter) {
	c.ledger.apply(func(l *ledger.Ledger, now time.Time) {
		l.RouterLost(r.opts.RouterID, r.opts.Incarnation, now)
	})
}

func TestAnswerDoesNotWaitForTheOutcomesCommit(t *testing.T) {
	inCell(t, 2, func(t *testing.T, c *cell, one, two *testRouter, key string) {
		time.AfterFunc(2*commitTime+deskTime/2, func() { one.link.cutOff(true) })
		start := time.Now()
		first, err := one.Call(context.Background(), payout(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 2*commitTime+deskTime)

		again, err := one.Call(context.Background(), payout(key, "7"))
		assert.NilError(t, err)
		assert.Assert(t, again.GetReplayed())
		assert.Equal(t, string(again.GetPayload()), string(first.GetPayload()))
		_, err = two.Call(context.Background(), payout(key, "7"))
		assertKind(t, err, fault.OutcomeUnknown)
		assert.Equal(t, fault.Of(err).Ran, ranUnknown)

		one.link.cutOff(false)
		time.Sleep(5 * time.Second)
		again, err = two.Call(context.Background(), payout(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, string(again.GetPayload()), string(first.GetPayload()))
		assert.Equal(t, c.arrivals("7"), 1)
	})
}

func TestConcurrentResendsGetOneAnswer(t *testing.T) {
	inCell(t, 2, func(t *testing.T, c *cell, one, two *testRouter, key string) {
		var tasks sync.WaitGroup
		for range 5 {
			tasks.Go(func() {
				resp, err := one.Call(context.Background(), payout(key, "7"))
				assert.Check(t, err)
				assert.Check(t, resp.GetPayload() != nil)
			})
		}
		tasks.Wait()
		assert.Equal(t, c.arrivals("7"), 1)
	})
}

// TestDeadRoutersClaimIsSettledByTheTarget: the router dies after the dispatch and
// the target remembers the key.
func TestDeadRoutersClaimIsSettledByTheTarget(t *testing.T) {
	inCell(t, 1, func(t *testing.T, c *cell, one, two *testRouter, key string) {
		time.AfterFunc(2*commitTime+deskTime/2, one.crash)
		_, _ = one.Call(context.Background(), payout(key, "7"))
		time.Sleep(deskTime)
		_, err := two.Call(context.Background(), payout(key, "7"))
		assertKind(t, err, fault.OutcomeUnknown) // not known to be dead
		c.lostRouter(one)
		for range 2 {
			resp, err := two.Call(context.Background(), payout(key, "7"))
			assert.NilError(t, err)
			assert.Equal(t, string(resp.GetPayload()), "10.0.0.1:1 pay 7 run 1")
			assert.Assert(t, resp.GetReplayed())
		}
		assert.Equal(t, c.arrivals("7"), 1)
	})
}

// TestTargetThatHasNotSeenTheKeySettlesNothing: the call may still be travelling.
func TestTargetThatHasNotSeenTheKeySettlesNothing(t *testing.T) {
	inCell(t, 1, func(t *testing.T, c *cell, one, two *testRouter, key string) {
		c.desks[0].setFault(delays)
		time.AfterFunc(deskDelayTime/2, one.crash)
		_, _ = one.Call(context.Background(), payout(key, "7"))
		c.lostRouter(one)
		_, err := two.Call(context.Background(), payout(key, "7"))
		assertKind(t, err, fault.OutcomeUnknown)
		assert.Equal(t, fault.Of(err).Ran, ranUnknown)
		time.Sleep(deskDelayTime)
		resp, err := two.Call(context.Background(), payout(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.GetPayload()), "10.0.0.1:1 pay 7 run 1")
		assert.Equal(t, c.arrivals("7"), 1)
	})
}

func TestLostAnswerIsAskedForAtTheTarget(t *testing.T) {
	inCell(t, 1, func(t *testing.T, c *cell, one, _ *testRouter, key string) {
		c.desks[0].setFault(losesAnswers)
		resp, err := one.Call(context.Background(), payout(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.GetPayload()), "10.0.0.1:1 pay 7 run 1")
		assert.Equal(t, c.arrivals("7"), 1)
	})
}

func TestOperatorSettlesADoubt(t *testing.T) {
	for _, ran := range []bool{true, false} {
		inCell(t, 1, func(t *testing.T, c *cell, one, two *testRouter, key string) {
			c.desks[0].setFault(frozen)
			_, err := one.Call(context.Background(), payout(key, "7"))
			assertKind(t, err, fault.DeadlineUnknown)
			time.Sleep(defaultLateResponseTimeout + time.Second)
			c.ledger.apply(func(l *ledger.Ledger, now time.Time) {
				assert.Equal(t, len(l.InDoubt()), 1)
				assert.Equal(t, l.InDoubt()[0].GetRoute(), "payout")
				assert.NilError(t, l.Settle("colonia", key, ran, now))
			})
			_, err = two.Call(context.Background(), payout(key, "7"))
			want := map[bool]chicoryv1.Ran{true: ranYes, false: ranNot}[ran]
			assert.Equal(t, fault.Of(err).Ran, want)
			c.desks[0].setFault(healthy)
		})
	}
}

func TestDrainFinishesAcceptedCalls(t *testing.T) {
	inCell(t, 1, func(t *testing.T, c *cell, one, two *testRouter, key string) {
		c.desks[0].setFault(slow)
		var tasks sync.WaitGroup
		for _, req := range []*chicoryv1.CallRequest{payout(key, "7"), note("8"), fare("9")} {
			tasks.Go(func() {
				_, err := one.Call(context.Background(), req)
				assert.Check(t, err)
			})
		}
		time.Sleep(20 * time.Millisecond)
		assert.NilError(t, one.Drain(context.Background()))
		tasks.Wait()
		_, err := one.Call(context.Background(), fare("10"))
		assertKind(t, err, fault.Draining)
		// The outcome is committed when the drain is over.
		resp, err := two.Call(context.Background(), payout(key, "7"))
		assert.NilError(t, err)
		assert.Assert(t, resp.GetReplayed())
	})
}

func TestUncommittedOutcomesAreBounded(t *testing.T) {
	inCell(t, 1, func(t *testing.T, c *cell, one, two *testRouter, key string) {
		r := c.router("r3", "1", func(o *Options) { o.Settings.MaxUncommittedOutcomes = 1 })
		time.AfterFunc(2*commitTime+deskTime/2, func() { r.link.cutOff(true) })
		_, err := r.Call(context.Background(), payout(key, "7"))
		assert.NilError(t, err)
		_, err = r.Call(context.Background(), payout(ledger.NewKey(time.Now()), "8"))
		assertKind(t, err, fault.LedgerUnavailable)
		assert.Equal(t, c.arrivals("8"), 0)
		r.link.cutOff(false)
		r.close(t)
	})
}

// TestLateAnswerIsRecorded: the caller is told "unknown" at its deadline and its
// resend gets the answer that came later.
func TestLateAnswerIsRecorded(t *testing.T) {
	inCell(t, 1, func(t *testing.T, c *cell, one, two *testRouter, key string) {
		c.desks[0].setFault(slow)
		req := payout(key, "7")
		req.TimeoutMs = 100
		start := time.Now()
		_, err := one.Call(context.Background(), req)
		assertKind(t, err, fault.DeadlineUnknown)
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
		assert.DeepEqual(t, one.picker.endings(), []request.Result{request.ResultSilent})
		assert.Equal(t, c.desks[0].sawDeadline(), 98*time.Millisecond)
		time.Sleep(deskSlowTime)
		c.lookups = false
		resp, err := two.Call(context.Background(), payout(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.GetPayload()), "10.0.0.1:1 pay 7 run 1")
	})
}

// TestUnwrittenCallIsNotWrittenLate: a call that reaches no target by its deadline
// does not reach it later.
func TestUnwrittenCallIsNotWrittenLate(t *testing.T) {
	inCell(t, 1, func(t *testing.T, c *cell, one, _ *testRouter, key string) {
		ln := c.network.listen(c.desks[0].address)
		_, err := one.Call(context.Background(), payout(key, "7"))
		assertKind(t, err, fault.DeadlineNotRun)
		assert.NilError(t, ln.Close())
		c.desks[0].kill()
		c.desks[0].start()
		time.Sleep(time.Minute)
		assert.Equal(t, c.arrivals("7"), 0)
	})
}

func TestLargeAnswerIsNotRecorded(t *testing.T) {
	inCell(t, 1, func(t *testing.T, c *cell, one, two *testRouter, key string) {
		payload := string(make([]byte, defaultMaxRecordedPayloadBytes))
		resp, err := one.Call(context.Background(), payout(key, payload))
		assert.NilError(t, err)
		assert.Assert(t, len(resp.GetPayload()) > defaultMaxRecordedPayloadBytes)
		time.Sleep(time.Second)
		_, err = two.Call(context.Background(), payout(key, payload))
		assertKind(t, err, fault.TargetRefused)
		assert.Equal(t, fault.Of(err).Ran, ranYes)
		assert.Equal(t, c.arrivals(payload), 1)
	})
}
