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

// loseRouterAt generates at the first router until n tokens came and then cuts
// the router off, as its death does.
func loseRouterAt(w *world, x *text, tokens uint32, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	x.on = func(have int) {
		if have == n {
			w.routers[0].network.cut(true)
			cancel()
		}
	}
	_ = w.routers[0].Generate(ctx, testRequest(tokens), x.take)
	x.on = nil
}

func TestResumeAtAnotherRouter(t *testing.T) {
	cases := []struct {
		name  string
		bound time.Duration
		lose  func(*world)
		bare  bool // the caller brings its token only
		want  fault.Kind
	}{
		{"router killed", resetBound, func(*world) {}, false, ""},
		{"router killed, token alone", resetBound, func(*world) {}, true, ""},
		{"router and engine killed", resetBound, func(w *world) { w.engines[0].kill() }, false, ""},
		{"router killed, engine frozen", lossBound, func(w *world) { w.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true}) }, false, ""},
		{"router and engine killed, token alone", resetBound, func(w *world) { w.engines[0].kill() }, true, fault.GenerationLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2, "v1", "v1", "v1")
				defer w.close()
				x := &text{}
				loseRouterAt(w, x, 60, 25)
				c.lose(w)
				req := x.resumeRequest(testRequest(60))
				if c.bare {
					req.Received, req.Original = nil, nil
				}
				err := w.routers[1].Resume(context.Background(), req, x.take)
				if c.want != "" {
					assert.Assert(t, fault.Is(err, c.want), "%v", err)
					assert.Equal(t, len(x.tokens), 25)
					return
				}
				assert.NilError(t, err)
				checkWhole(t, x, 60)
				assert.Assert(t, x.longestGap() <= c.bound, "gap %v", x.longestGap())
				t.Logf("longest gap %v", x.longestGap())
			})
		})
	}
}

func TestResumedCallerIsToldOfTheNewAttemptBeforeItsPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, "v1", "v1")
		defer w.close()
		x := &text{}
		loseRouterAt(w, x, 60, 25)
		w.engines[0].kill()
		w.engines[1].SetFaults(&chicoryv1.Faults{SlowFactor: 500}) // a long prefill
		old, start := x.token, time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		err := w.routers[1].Resume(ctx, x.resumeRequest(testRequest(60)), func(c *chicoryv1.GenerationChunk) error {
			cancel()
			return x.take(c)
		})
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		assert.Assert(t, x.token != old)
		assert.Equal(t, len(x.tokens), 25)
		assert.Assert(t, time.Since(start) < resetBound)
	})
}

func TestSecondLossDuringResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1", "v1", "v1")
		defer w.close()
		x := &text{}
		x.on = func(n int) {
			switch n {
			case 20:
				w.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true})
				// The resume goes to the second engine, which freezes while it prefills.
				w.engines[1].SetFaults(&chicoryv1.Faults{Freeze: true})
			case 40:
				w.engines[0].SetFaults(&chicoryv1.Faults{}) // thaws late
				w.engines[1].SetFaults(&chicoryv1.Faults{})
			}
		}
		assert.NilError(t, w.routers[0].Generate(context.Background(), testRequest(80), x.take))
		checkWhole(t, x, 80)
		time.Sleep(100 * time.Millisecond)
		for _, e := range w.engines {
			assert.Equal(t, e.Counts("").GetRunning()[e.address], uint32(0), "work of an old attempt goes on")
		}
	})
}

func TestVersionChangesOnlyWithoutTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1", "v2", "v1")
		defer w.close()
		x := &text{}
		versions := []string{}
		x.on = func(n int) {
			if n == 10 {
				go w.engines[0].kill()
			}
			if n == 20 {
				go w.engines[2].kill()
			}
		}
		err := w.routers[0].Generate(context.Background(), testRequest(40), func(c *chicoryv1.GenerationChunk) error {
			if c.GetVersion() != "" {
				versions = append(versions, c.GetVersion())
			}
			return x.take(c)
		})
		assert.NilError(t, err)
		checkWhole(t, x, 40)
		assert.DeepEqual(t, versions, []string{"v1", "v2"})
	})
}

func TestExhaustedBudgetIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1", "v1")
		defer w.close()
		w.routers[0].roles.wait = 7 * time.Second
		x := &text{}
		x.on = func(n int) {
			if n == 10 {
				go w.engines[0].kill()
			}
		}
		err := w.routers[0].Generate(context.Background(), testRequest(40), x.take)
		assert.Assert(t, fault.Is(err, fault.GenerationInterrupted), "%v", err)
		assert.Equal(t, fault.Of(err).RetryAfter, 7*time.Second)
		assert.Assert(t, time.Since(x.times[len(x.times)-1]) < resetBound)
		w.routers[0].roles.wait = 0
		assert.NilError(t, w.routers[0].Resume(context.Background(), x.resumeRequest(testRequest(40)), x.take))
		checkWhole(t, x, 40)
	})
}

func TestSlowPrefillIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1", "v1")
		defer w.close()
		w.engines[0].SetFaults(&chicoryv1.Faults{SlowFactor: 10})
		req := testRequest(5)
		req.Prompt = strings.Repeat("x", 40<<10) // 10 s of prefill
		x := &text{}
		assert.NilError(t, w.routers[0].Generate(context.Background(), req, x.take))
		checkWhole(t, x, 5)
		assert.Equal(t, w.routers[0].counters.restarted.Count(), int64(0))
	})
}

func TestSlowEngineIsNotRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1", "v1")
		defer w.close()
		x := &text{}
		x.on = func(n int) {
			switch n {
			case 30:
				w.engines[0].SetFaults(&chicoryv1.Faults{SlowFactor: 15}) // 555 ms
			case 60:
				w.engines[0].SetFaults(&chicoryv1.Faults{GapSpread: 16}) // 0 to 592 ms
			}
		}
		assert.NilError(t, w.routers[0].Generate(context.Background(), testRequest(200), x.take))
		checkWhole(t, x, 200)
		assert.Equal(t, w.routers[0].counters.restarted.Count(), int64(0))
		t.Logf("silences %d, false alarms %d", w.routers[0].counters.silences.Count(), w.routers[0].counters.falseAlarms.Count())
	})
}

// naiveText is what one attempt without any protection gives.
func naiveText(t *testing.T, e *engine, tokens uint32) []string {
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

func TestSameTextAsNaiveGeneration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tokens := rapid.IntRange(2, 60).Draw(rt, "tokens")
		at := rapid.IntRange(1, tokens-1).Draw(rt, "at")
		kind := rapid.SampledFrom([]string{"none", "cut", "mute", "kill", "freeze"}).Draw(rt, "loss")
		seed := rapid.Uint64().Draw(rt, "seed")
		var want, got []string
		synctest.Test(t, func(t *testing.T) {
			e := startEngine(standin.Options{Address: "10.0.0.1:9000", Version: "v1", Seed: seed})
			want = naiveText(t, e, uint32(tokens))
			e.kill()
			w := newWorld(t, 1, "v1", "v1")
			defer w.close()
			w.engines[0].kill()
			w.engines[0] = startEngine(standin.Options{Address: "10.0.0.1:9000", Version: "v1", Seed: seed})
			w.routers[0].network.engines["10.0.0.1:9000"] = w.engines[0]
			x := &text{}
			x.on = func(n int) {
				if n != at {
					return
				}
				switch kind {
				case "cut":
					w.routers[0].network.cut(false)
				case "mute":
					w.routers[0].network.mute()
				case "kill":
					go w.engines[0].kill()
				case "freeze":
					w.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true})
				}
			}
			assert.NilError(t, w.routers[0].Generate(context.Background(), testRequest(uint32(tokens)), x.take))
			got = x.tokens
		})
		if len(got) != len(want) {
			rt.Fatalf("%d tokens, the naive generation has %d", len(got), len(want))
		}
		for i := range got {
			if got[i] != want[i] {
				rt.Fatalf("token %d is %q, the naive generation has %q", i, got[i], want[i])
			}
		}
	})
}
