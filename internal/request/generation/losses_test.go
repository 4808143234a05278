package generation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// resetBound and silenceBound are the promised times from a loss to the next token.
const (
	resetBound = 500 * time.Millisecond
	lossBound  = 2 * time.Second
)

func TestSingleLosses(t *testing.T) {
	cases := []struct {
		name  string
		bound time.Duration
		// attempts is how many attempts the generation may take.
		attempts uint64
		lose     func(*world)
	}{
		{"nothing", 50 * time.Millisecond, 1, func(*world) {}},
		{"connection cut", resetBound, 1, func(w *world) { w.routers[0].network.cut(false) }},
		{"connection muted", lossBound, 1, func(w *world) { w.routers[0].network.mute() }},
		{"engine killed", resetBound, 2, func(w *world) { w.engines[0].kill() }},
		{"engine frozen", lossBound, 2, func(w *world) { w.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true}) }},
		{"engine frozen and thawed", lossBound, 2, func(w *world) {
			w.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true})
			time.AfterFunc(700*time.Millisecond, func() { w.engines[0].SetFaults(&chicoryv1.Faults{}) })
		}},
		{"chunk skipped", resetBound, 1, func(w *world) { w.engines[0].SetFaults(&chicoryv1.Faults{SkipAfterTokens: 30}) }},
		{"chunks repeated", resetBound, 1, func(w *world) { w.engines[0].SetFaults(&chicoryv1.Faults{RepeatChunks: true}) }},
		{"too many tokens", resetBound, 1, func(w *world) { w.engines[0].SetFaults(&chicoryv1.Faults{Overrun: true}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, "v1", "v1", "v1")
				defer w.close()
				x := &text{}
				x.on = func(n int) {
					if n == 20 {
						go c.lose(w)
					}
				}
				err := w.routers[0].Generate(context.Background(), testRequest(100), x.take)
				assert.NilError(t, err)
				checkWhole(t, x, 100)
				assert.Assert(t, x.longestGap() <= c.bound, "gap %v", x.longestGap())
				attempts := uint64(0)
				for _, e := range w.engines {
					attempts += e.Counts("").GetGenerations()
				}
				assert.Equal(t, attempts, c.attempts)
				t.Logf("longest gap %v", x.longestGap())
			})
		})
	}
}
