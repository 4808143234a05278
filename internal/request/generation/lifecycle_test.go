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

// runningAttempts returns how many attempts the engine is running.
func runningAttempts(e *engine) uint32 {
	return e.Counts("").GetRunning()[e.address]
}

// disconnectAfter generates until n tokens were received and then ends the caller's
// connection.
func disconnectAfter(env *testEnv, received *receivedText, tokens uint32, n int) error {
	ctx, cancel := context.WithCancel(context.Background())
	received.onChunk = func(have int) {
		if have == n {
			cancel()
		}
	}
	err := env.routers[0].Generate(ctx, testRequest(tokens), received.receive)
	received.onChunk = nil
	return err
}

func TestDisconnectedCallerFreesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1")
		defer env.close()
		received := &receivedText{}
		err := disconnectAfter(env, received, 1000, 5)
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		assert.Equal(t, runningAttempts(env.engines[0]), uint32(1))
		time.Sleep(DefaultSettings().CallerGrace.Std() + 100*time.Millisecond)
		synctest.Wait()
		assert.Equal(t, runningAttempts(env.engines[0]), uint32(0))
		assert.Equal(t, env.routers[0].trackedRuns(), 0)
		assert.Equal(t, env.routers[0].counters.cancelled.Count(), int64(1))
	})
}

func TestResumeWithinGraceKeepsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1")
		defer env.close()
		received := &receivedText{}
		_ = disconnectAfter(env, received, 300, 5)
		time.Sleep(time.Second)
		assert.NilError(t, env.routers[0].Resume(context.Background(), received.resumeRequest(testRequest(300)), received.receive))
		checkComplete(t, received, 300)
		assert.Equal(t, env.engines[0].Counts("").GetGenerations(), uint64(1))
	})
}

func TestResumeAtAnotherRouterKeepsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2, "v1")
		defer env.close()
		received := &receivedText{}
		_ = disconnectAfter(env, received, 300, 5)
		time.Sleep(time.Second)
		// The first router's grace period ends while the second router streams.
		assert.NilError(t, env.routers[1].Resume(context.Background(), received.resumeRequest(testRequest(300)), received.receive))
		checkComplete(t, received, 300)
		assert.Equal(t, env.engines[0].Counts("").GetGenerations(), uint64(1))
	})
}

func TestCallerOnASecondConnectionTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1")
		defer env.close()
		r := env.routers[0]
		received := &receivedText{}
		first := make(chan error, 1)
		sent := 0
		receiveFive := func(c *chicoryv1.GenerationChunk) error { // the router doesn't notice that the caller has disconnected
			if sent++; sent > 5 {
				return nil
			}
			return received.receive(c)
		}
		go func() { first <- r.Generate(context.Background(), testRequest(300), receiveFive) }()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.NilError(t, r.Resume(context.Background(), received.resumeRequest(testRequest(300)), received.receive))
		checkComplete(t, received, 300)
		err := <-first
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		assert.Equal(t, env.engines[0].Counts("").GetGenerations(), uint64(1))
		time.Sleep(DefaultSettings().CallerGrace.Std())
		assert.Equal(t, r.trackedRuns(), 0)
	})
}

func TestRefusedResumeFreesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1")
		defer env.close()
		r := env.routers[0]
		received := &receivedText{}
		_ = disconnectAfter(env, received, 1000, 5)
		r.deps.admitErr = fault.New(fault.TeamLimit, "limit")
		err := r.Resume(context.Background(), received.resumeRequest(testRequest(1000)), noChunk(t))
		assert.Assert(t, fault.Is(err, fault.TeamLimit), "%v", err)
		time.Sleep(DefaultSettings().CallerGrace.Std() + 100*time.Millisecond)
		assert.Equal(t, runningAttempts(env.engines[0]), uint32(0))
		assert.Equal(t, r.trackedRuns(), 0)
	})
}

func TestCancelReachesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2, "v1")
		defer env.close()
		received := &receivedText{}
		received.onChunk = func(n int) {
			if n == 5 {
				go func() {
					req := &chicoryv1.CancelRequest{Team: "sticla", ResumeToken: received.resumeToken}
					assert.Check(t, fault.Is(env.routers[0].Cancel(context.Background(), req), fault.PermissionDenied))
					req.Team = testTeam
					assert.Check(t, env.routers[0].Cancel(context.Background(), req))
				}()
			}
		}
		err := env.routers[0].Generate(context.Background(), testRequest(1000), received.receive)
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, runningAttempts(env.engines[0]), uint32(0))
	})
}

func TestDrainFinishesOpenGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1", "v1")
		defer env.close()
		received := &receivedText{}
		received.onChunk = func(n int) {
			if n != 10 {
				return
			}
			go func() {
				assert.Check(t, env.routers[0].Drain(context.Background()))
				assert.Check(t, len(received.tokens) == 100, "drain returned after %d tokens", len(received.tokens))
			}()
			go env.engines[0].kill() // a draining router still recovers lost streams
		}
		refused := make(chan error, 1)
		time.AfterFunc(2*time.Second, func() {
			refused <- env.routers[0].Generate(context.Background(), testRequest(5), noChunk(t))
		})
		assert.NilError(t, env.routers[0].Generate(context.Background(), testRequest(100), received.receive))
		checkComplete(t, received, 100)
		err := <-refused
		assert.Assert(t, fault.Is(err, fault.Draining), "%v", err)
		assert.Equal(t, fault.Of(err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
	})
}

func TestDeadlineEndsTheGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1")
		defer env.close()
		req := testRequest(1000)
		req.TimeoutMs = 2000
		received := &receivedText{}
		err := env.routers[0].Generate(context.Background(), req, received.receive)
		assert.Assert(t, fault.Is(err, fault.DeadlineUnknown), "%v", err)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, runningAttempts(env.engines[0]), uint32(0))
	})
}
