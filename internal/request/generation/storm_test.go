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

// openConnections returns how many connections to engines are not closed.
func (n *network) openConnections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := 0
	for _, c := range n.conns {
		select {
		case <-c.ended:
		default:
			open++
		}
	}
	return open
}

// bubbleGoroutines counts the goroutines of the bubble that runs.
func bubbleGoroutines() (count int, stacks string) {
	buf := make([]byte, 4<<20)
	stacks = string(buf[:runtime.Stack(buf, true)])
	return strings.Count(stacks, "synctest bubble"), stacks
}

func TestStormLeavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1", "v1", "v1", "v1")
		defer w.close()
		r := w.routers[0]
		synctest.Wait()
		before, _ := bubbleGoroutines()
		var wait sync.WaitGroup
		for i := range 40 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				x := &text{on: func(n int) {
					if i%4 == 0 && n == 30 {
						cancel() // leaves for good
					}
				}}
				err := r.Generate(ctx, testRequest(100), x.take)
				assert.Check(t, standin.CheckText(x.tokens))
				if i%4 != 0 {
					assert.Check(t, err)
					assert.Check(t, len(x.tokens) == 100)
				}
			}()
		}
		time.Sleep(700 * time.Millisecond)
		r.network.mute()
		w.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true})
		time.Sleep(700 * time.Millisecond)
		r.network.cut(false)
		time.Sleep(time.Second)
		w.engines[1].SetFaults(&chicoryv1.Faults{ResetAfterTokens: 5, CrossedChunkPermille: 100})
		wait.Wait()
		w.engines[0].SetFaults(&chicoryv1.Faults{})
		time.Sleep(3 * time.Minute) // idle connections end
		synctest.Wait()
		assert.Equal(t, r.network.openConnections(), 0)
		assert.Equal(t, r.kept(), 0)
		assert.Equal(t, r.counters.open.Count(), int64(0))
		for _, e := range w.engines {
			assert.Equal(t, running(e), uint32(0))
		}
		after, stacks := bubbleGoroutines()
		assert.Assert(t, after <= before, "%d goroutines, %d before:\n%s", after, before, stacks)
	})
}
