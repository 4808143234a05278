package generation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// maxResetGap and maxSilenceGap are the guaranteed maximum times from a loss to the next
// token, for closed connections and for silent ones.
const (
	maxResetGap   = 500 * time.Millisecond
	maxSilenceGap = 2 * time.Second
)

func TestSingleLosses(t *testing.T) {
	cases := []struct {
		name   string
		maxGap time.Duration
		// attempts is how many attempts the generation must take.
		attempts uint64
		lose     func(*testEnv)
	}{
		{"nothing", 50 * time.Millisecond, 1, func(*testEnv) {}},
		{"connection cut", maxResetGap, 1, func(env *testEnv) { env.routers[0].network.cut(false) }},
		{"connection muted", maxSilenceGap, 1, func(env *testEnv) { env.routers[0].network.mute() }},
		{"engine killed", maxResetGap, 2, func(env *testEnv) { env.engines[0].kill() }},
		{"engine frozen", maxSilenceGap, 2, func(env *testEnv) { env.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true}) }},
		{"engine frozen and thawed", maxSilenceGap, 2, func(env *testEnv) {
			env.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true})
			time.AfterFunc(700*time.Millisecond, func() { env.engines[0].SetFaults(&chicoryv1.Faults{}) })
		}},
		{"chunk skipped", maxResetGap, 1, func(env *testEnv) { env.engines[0].SetFaults(&chicoryv1.Faults{SkipAfterTokens: 30}) }},
		{"chunks repeated", maxResetGap, 1, func(env *testEnv) { env.engines[0].SetFaults(&chicoryv1.Faults{RepeatChunks: true}) }},
		{"too many tokens", maxResetGap, 1, func(env *testEnv) { env.engines[0].SetFaults(&chicoryv1.Faults{Overrun: true}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 1, "v1", "v1", "v1")
				defer env.close()
				received := &receivedText{}
				received.onChunk = func(n int) {
					if n == 20 {
						go c.lose(env)
					}
				}
				err := env.routers[0].Generate(context.Background(), testRequest(100), received.receive)
				assert.NilError(t, err)
				checkComplete(t, received, 100)
				assert.Assert(t, received.longestGap() <= c.maxGap, "gap %v", received.longestGap())
				attempts := uint64(0)
				for _, e := range env.engines {
					attempts += e.Counts("").GetGenerations()
				}
				assert.Equal(t, attempts, c.attempts)
				t.Logf("longest gap %v", received.longestGap())
			})
		})
	}
}
