package generation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

func running(e *engine) uint32 {
	return e.Counts("").GetRunning()[e.address]
}

// leaveAt generates until n tokens came; then the caller's connection ends.
func leaveAt(w *world, x *text, tokens uint32, n int) error {
	ctx, cancel := context.WithCancel(context.Background())
	x.on = func(have int) {
		if have == n {
			cancel()
		}
	}
	err := w.routers[0].Generate(ctx, testRequest(tokens), x.take)
	x.on = nil
	return err
}

func TestCallerGoneForGoodFreesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1")
		defer w.close()
		x := &text{}
		err := leaveAt(w, x, 1000, 5)
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		assert.Equal(t, running(w.engines[0]), uint32(1))
		time.Sleep(DefaultSettings().CallerGrace.Std() + 100*time.Millisecond)
		synctest.Wait()
		assert.Equal(t, running(w.engines[0]), uint32(0))
		assert.Equal(t, w.routers[0].kept(), 0)
		assert.Equal(t, w.routers[0].counters.cancelled.Count(), int64(1))
	})
}

func TestCallerBackInTimeKeepsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1")
		defer w.close()
		x := &text{}
		_ = leaveAt(w, x, 300, 5)
		time.Sleep(time.Second)
		assert.NilError(t, w.routers[0].Resume(context.Background(), x.resumeRequest(testRequest(300)), x.take))
		checkWhole(t, x, 300)
		assert.Equal(t, w.engines[0].Counts("").GetGenerations(), uint64(1))
	})
}

func TestCallerAtAnotherRouterKeepsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, "v1")
		defer w.close()
		x := &text{}
		_ = leaveAt(w, x, 300, 5)
		time.Sleep(time.Second)
		// The first router's grace period ends while the second one streams.
		assert.NilError(t, w.routers[1].Resume(context.Background(), x.resumeRequest(testRequest(300)), x.take))
		checkWhole(t, x, 300)
		assert.Equal(t, w.engines[0].Counts("").GetGenerations(), uint64(1))
	})
}

func TestCallerOnASecondConnectionTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1")
		defer w.close()
		r := w.routers[0]
		x := &text{}
		first := make(chan error, 1)
		sent := 0
		silent := func(c *chicoryv1.GenerationChunk) error { // the router does not see that it is gone
			if sent++; sent > 5 {
				return nil
			}
			return x.take(c)
		}
		go func() { first <- r.Generate(context.Background(), testRequest(300), silent) }()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.NilError(t, r.Resume(context.Background(), x.resumeRequest(testRequest(300)), x.take))
		checkWhole(t, x, 300)
		err := <-first
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		assert.Equal(t, w.engines[0].Counts("").GetGenerations(), uint64(1))
		time.Sleep(DefaultSettings().CallerGrace.Std())
		assert.Equal(t, r.kept(), 0)
	})
}

func TestRefusedResumeFreesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1")
		defer w.close()
		r := w.routers[0]
		x := &text{}
		_ = leaveAt(w, x, 1000, 5)
		r.roles.refuse = fault.New(fault.TeamLimit, "limit")
		err := r.Resume(context.Background(), x.resumeRequest(testRequest(1000)), noChunk(t))
		assert.Assert(t, fault.Is(err, fault.TeamLimit), "%v", err)
		time.Sleep(DefaultSettings().CallerGrace.Std() + 100*time.Millisecond)
		assert.Equal(t, running(w.engines[0]), uint32(0))
		assert.Equal(t, r.kept(), 0)
	})
}

func TestCancelReachesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, "v1")
		defer w.close()
		x := &text{}
		x.on = func(n int) {
			if n == 5 {
				go func() {
					req := &chicoryv1.CancelRequest{Team: "sticla", ResumeToken: x.token}
					assert.Check(t, fault.Is(w.routers[0].Cancel(context.Background(), req), fault.PermissionDenied))
					req.Team = testTeam
					assert.Check(t, w.routers[0].Cancel(context.Background(), req))
				}()
			}
		}
		err := w.routers[0].Generate(context.Background(), testRequest(1000), x.take)
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, running(w.engines[0]), uint32(0))
	})
}

func TestDrainCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1", "v1")
		defer w.close()
		x := &text{}
		x.on = func(n int) {
			if n != 10 {
				return
			}
			go func() {
				assert.Check(t, w.routers[0].Drain(context.Background()))
				assert.Check(t, len(x.tokens) == 100, "drain returned after %d tokens", len(x.tokens))
			}()
			go w.engines[0].kill() // a drained router still resumes
		}
		refused := make(chan error, 1)
		time.AfterFunc(2*time.Second, func() {
			refused <- w.routers[0].Generate(context.Background(), testRequest(5), noChunk(t))
		})
		assert.NilError(t, w.routers[0].Generate(context.Background(), testRequest(100), x.take))
		checkWhole(t, x, 100)
		err := <-refused
		assert.Assert(t, fault.Is(err, fault.Draining), "%v", err)
		assert.Equal(t, fault.Of(err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
	})
}

func TestDeadlineEndsTheGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1")
		defer w.close()
		req := testRequest(1000)
		req.TimeoutMs = 2000
		x := &text{}
		err := w.routers[0].Generate(context.Background(), req, x.take)
		assert.Assert(t, fault.Is(err, fault.DeadlineUnknown), "%v", err)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, running(w.engines[0]), uint32(0))
	})
}
