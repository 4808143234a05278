package generation

import (
	"context"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// openConnections returns the number of open connections to engines.
func (n *network) openConnections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := 0
	for _, c := range n.conns {
		select {
		case <-c.closed:
		default:
			open++
		}
	}
	return open
}

// countBubbleGoroutines counts the goroutines of the current synctest bubble and returns
// all stacks.
func countBubbleGoroutines() (count int, stacks string) {
	buf := make([]byte, 4<<20)
	stacks = string(buf[:runtime.Stack(buf, true)])
	return strings.Count(stacks, "synctest bubble"), stacks
}

func TestConcurrentFaultsLeakNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1", "v1", "v1", "v1")
		defer env.close()
		r := env.routers[0]
		synctest.Wait()
		before, _ := countBubbleGoroutines()
		var wait sync.WaitGroup
		for i := range 40 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				received := &receivedText{onChunk: func(n int) {
					if i%4 == 0 && n == 30 {
						cancel() // never resumes
					}
				}}
				err := r.Generate(ctx, testRequest(100), received.receive)
				assert.Check(t, standin.CheckTokens(received.tokens))
				if i%4 != 0 {
					assert.Check(t, err)
					assert.Check(t, len(received.tokens) == 100)
				}
			}()
		}
		time.Sleep(700 * time.Millisecond)
		r.network.mute()
		env.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true})
		time.Sleep(700 * time.Millisecond)
		r.network.cut(false)
		time.Sleep(time.Second)
		env.engines[1].SetFaults(&chicoryv1.Faults{ResetAfterTokens: 5, CrossedChunkPermille: 100})
		wait.Wait()
		env.engines[0].SetFaults(&chicoryv1.Faults{})
		time.Sleep(3 * time.Minute) // idle connections are closed
		synctest.Wait()
		assert.Equal(t, r.network.openConnections(), 0)
		assert.Equal(t, r.trackedRuns(), 0)
		assert.Equal(t, r.counters.open.Count(), int64(0))
		for _, e := range env.engines {
			assert.Equal(t, runningAttempts(e), uint32(0))
		}
		after, stacks := countBubbleGoroutines()
		assert.Assert(t, after <= before, "%d goroutines, %d before:\n%s", after, before, stacks)
	})
}
