package generation

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// cutRouterAfter generates through the first router until n tokens were received and then
// closes all its connections, as a crash does.
func cutRouterAfter(env *testEnv, received *receivedText, tokens uint32, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	received.onChunk = func(have int) {
		if have == n {
			env.routers[0].network.cut(true)
			cancel()
		}
	}
	_ = env.routers[0].Generate(ctx, testRequest(tokens), received.receive)
	received.onChunk = nil
}

func TestResumeAtAnotherRouter(t *testing.T) {
	cases := []struct {
		name      string
		maxGap    time.Duration
		lose      func(*testEnv)
		tokenOnly bool // resume with the resume token alone
		want      fault.Kind
	}{
		{"router killed", maxResetGap, func(*testEnv) {}, false, ""},
		{"router killed, token alone", maxResetGap, func(*testEnv) {}, true, ""},
		{"router and engine killed", maxResetGap, func(env *testEnv) { env.engines[0].kill() }, false, ""},
		{"router killed, engine frozen", maxSilenceGap, func(env *testEnv) { env.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true}) }, false, ""},
		{"router and engine killed, token alone", maxResetGap, func(env *testEnv) { env.engines[0].kill() }, true, fault.GenerationLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 2, "v1", "v1", "v1")
				defer env.close()
				received := &receivedText{}
				cutRouterAfter(env, received, 60, 25)
				c.lose(env)
				req := received.resumeRequest(testRequest(60))
				if c.tokenOnly {
					req.Received, req.Original = nil, nil
				}
				err := env.routers[1].Resume(context.Background(), req, received.receive)
				if c.want != "" {
					assert.Assert(t, fault.Is(err, c.want), "%v", err)
					assert.Equal(t, len(received.tokens), 25)
					return
				}
				assert.NilError(t, err)
				checkComplete(t, received, 60)
				assert.Assert(t, received.longestGap() <= c.maxGap, "gap %v", received.longestGap())
				t.Logf("longest gap %v", received.longestGap())
			})
		})
	}
}

func TestResumeTokenOfNewAttemptIsSentBeforePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2, "v1", "v1")
		defer env.close()
		received := &receivedText{}
		cutRouterAfter(env, received, 60, 25)
		env.engines[0].kill()
		env.engines[1].SetFaults(&chicoryv1.Faults{SlowFactor: 500}) // a long prefill
		old, start := received.resumeToken, time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		err := env.routers[1].Resume(ctx, received.resumeRequest(testRequest(60)), func(c *chicoryv1.GenerationChunk) error {
			cancel()
			return received.receive(c)
		})
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		assert.Assert(t, received.resumeToken != old)
		assert.Equal(t, len(received.tokens), 25)
		assert.Assert(t, time.Since(start) < maxResetGap)
	})
}

func TestSecondLossDuringResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1", "v1", "v1")
		defer env.close()
		received := &receivedText{}
		received.onChunk = func(n int) {
			switch n {
			case 20:
				env.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true})
				// The new attempt goes to the second engine, which freezes during the prefill.
				env.engines[1].SetFaults(&chicoryv1.Faults{Freeze: true})
			case 40:
				env.engines[0].SetFaults(&chicoryv1.Faults{}) // the engine is no longer frozen after the restart
				env.engines[1].SetFaults(&chicoryv1.Faults{})
			}
		}
		assert.NilError(t, env.routers[0].Generate(context.Background(), testRequest(80), received.receive))
		checkComplete(t, received, 80)
		time.Sleep(100 * time.Millisecond)
		for _, e := range env.engines {
			assert.Equal(t, e.Counts("").GetRunning()[e.address], uint32(0), "an old attempt is still running")
		}
	})
}

func TestVersionChangesOnlyWithoutTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1", "v2", "v1")
		defer env.close()
		received := &receivedText{}
		versions := []string{}
		received.onChunk = func(n int) {
			if n == 10 {
				go env.engines[0].kill()
			}
			if n == 20 {
				go env.engines[2].kill()
			}
		}
		err := env.routers[0].Generate(context.Background(), testRequest(40), func(c *chicoryv1.GenerationChunk) error {
			if c.GetVersion() != "" {
				versions = append(versions, c.GetVersion())
			}
			return received.receive(c)
		})
		assert.NilError(t, err)
		checkComplete(t, received, 40)
		assert.DeepEqual(t, versions, []string{"v1", "v2"})
	})
}

// A generation runs on the new version of a move and loses its engine after that version
// was rolled back. It must continue on the old version, although another engine of the
// new version is still running.
func TestRunContinuesOnOldVersionAfterRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1", "v2", "v2")
		defer env.close()
		deps := env.routers[0].deps
		deps.chosenVersion = "v2"
		received := &receivedText{}
		versions := []string{}
		received.onChunk = func(n int) {
			if n == 10 {
				deps.mu.Lock()
				deps.chosenVersion = ""
				deps.mu.Unlock()
				go env.engines[1].kill()
			}
		}
		err := env.routers[0].Generate(context.Background(), testRequest(40), func(c *chicoryv1.GenerationChunk) error {
			if c.GetVersion() != "" {
				versions = append(versions, c.GetVersion())
			}
			return received.receive(c)
		})
		assert.NilError(t, err)
		checkComplete(t, received, 40)
		assert.DeepEqual(t, versions, []string{"v2", "v1"})
	})
}

func TestExhaustedRetryBudgetFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1", "v1")
		defer env.close()
		env.routers[0].deps.retryWait = 7 * time.Second
		received := &receivedText{}
		received.onChunk = func(n int) {
			if n == 10 {
				go env.engines[0].kill()
			}
		}
		err := env.routers[0].Generate(context.Background(), testRequest(40), received.receive)
		assert.Assert(t, fault.Is(err, fault.GenerationInterrupted), "%v", err)
		assert.Equal(t, fault.Of(err).RetryAfter, 7*time.Second)
		assert.Assert(t, time.Since(received.chunkTimes[len(received.chunkTimes)-1]) < maxResetGap)
		env.routers[0].deps.retryWait = 0
		assert.NilError(t, env.routers[0].Resume(context.Background(), received.resumeRequest(testRequest(40)), received.receive))
		checkComplete(t, received, 40)
	})
}

func TestSlowPrefillIsNotRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1", "v1")
		defer env.close()
		env.engines[0].SetFaults(&chicoryv1.Faults{SlowFactor: 10})
		req := testRequest(5)
		req.Prompt = strings.Repeat("x", 40<<10) // 10 s of prefill
		received := &receivedText{}
		assert.NilError(t, env.routers[0].Generate(context.Background(), req, received.receive))
		checkComplete(t, received, 5)
		assert.Equal(t, env.routers[0].counters.restarted.Count(), int64(0))
	})
}

func TestSlowEngineIsNotRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1", "v1")
		defer env.close()
		received := &receivedText{}
		received.onChunk = func(n int) {
			switch n {
			case 30:
				env.engines[0].SetFaults(&chicoryv1.Faults{SlowFactor: 15}) // 555 ms
			case 60:
				env.engines[0].SetFaults(&chicoryv1.Faults{GapSpread: 16}) // 0 to 592 ms
			}
		}
		assert.NilError(t, env.routers[0].Generate(context.Background(), testRequest(200), received.receive))
		checkComplete(t, received, 200)
		assert.Equal(t, env.routers[0].counters.restarted.Count(), int64(0))
		t.Logf("silences %d, false alarms %d", env.routers[0].counters.silences.Count(), env.routers[0].counters.falseAlarms.Count())
	})
}

// textWithoutRouter returns the text of one attempt that is read directly from an engine.
func textWithoutRouter(t *testing.T, e *engine, tokens uint32) []string {
	n := &network{engines: map[string]*engine{e.address: e}}
	pool := target.NewPool(n.dial)
	defer pool.Close()
	defer n.cut(true)
	stream, err := pool.Clients(e.address).Engine.Generate(context.Background(), connect.NewRequest(
		&chicoryv1.EngineServiceGenerateRequest{GenerationId: "naive", Attempt: 1, Prompt: "p", MaxTokens: tokens}))
	assert.NilError(t, err)
	var out []string
	for stream.Receive() {
		out = append(out, stream.Msg().GetChunk().GetTokens()...)
	}
	assert.NilError(t, stream.Err())
	return out
}

func TestSameTextAsWithoutRouter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tokens := rapid.IntRange(2, 60).Draw(rt, "tokens")
		at := rapid.IntRange(1, tokens-1).Draw(rt, "at")
		kind := rapid.SampledFrom([]string{"none", "cut", "mute", "kill", "freeze"}).Draw(rt, "loss")
		seed := rapid.Uint64().Draw(rt, "seed")
		var want, got []string
		synctest.Test(t, func(t *testing.T) {
			e := startEngine(standin.Options{Address: "10.0.0.1:9000", Version: "v1", Seed: seed})
			want = textWithoutRouter(t, e, uint32(tokens))
			e.kill()
			env := newTestEnv(t, 1, "v1", "v1")
			defer env.close()
			env.engines[0].kill()
			env.engines[0] = startEngine(standin.Options{Address: "10.0.0.1:9000", Version: "v1", Seed: seed})
			env.routers[0].network.engines["10.0.0.1:9000"] = env.engines[0]
			received := &receivedText{}
			received.onChunk = func(n int) {
				if n != at {
					return
				}
				switch kind {
				case "cut":
					env.routers[0].network.cut(false)
				case "mute":
					env.routers[0].network.mute()
				case "kill":
					go env.engines[0].kill()
				case "freeze":
					env.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true})
				}
			}
			assert.NilError(t, env.routers[0].Generate(context.Background(), testRequest(uint32(tokens)), received.receive))
			got = received.tokens
		})
		if len(got) != len(want) {
			rt.Fatalf("got %d tokens, %d without a router", len(got), len(want))
		}
		for i := range got {
			if got[i] != want[i] {
				rt.Fatalf("token %d is %q, but %q without a router", i, got[i], want[i])
			}
		}
	})
}
