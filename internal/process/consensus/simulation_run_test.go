package consensus

import (
	"context"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicoryswitch/chicoryswitch/internal/drawn"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
)

// TestMain fixes the seed of drawn tests; SEED draws anew.
func TestMain(m *testing.M) {
	os.Exit(drawn.Main(m, drawn.Flag{Name: "rapid.checks", Value: "300"}, drawn.Flag{Name: "rapid.shrinktime", Value: "5s"}))
}

// plan is one drawn run.
type plan struct {
	size  int
	seed  uint64
	steps []step
}

func drawPlan(rt *rapid.T) plan {
	faults := []string{
		"crash", "kill", "wipe", "wipe", "put back", "start", "start", "start",
		"cut", "isolate", "heal", "heal", "freeze", "thaw",
	}
	drawStep := rapid.Custom(func(rt *rapid.T) step {
		return step{
			fault: rapid.SampledFrom(faults).Draw(rt, "fault"),
			node:  rapid.IntRange(0, 4).Draw(rt, "node"),
			other: rapid.IntRange(0, 4).Draw(rt, "other"),
			pause: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause")) * time.Millisecond,
		}
	})
	return plan{
		size:  rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "size"),
		seed:  rapid.Uint64().Draw(rt, "seed"),
		steps: rapid.SliceOfN(drawStep, 5, 40).Draw(rt, "steps"),
	}
}

// run executes a plan in virtual time and returns what went wrong.
func (p plan) run(t *testing.T) (c *cluster, err error) {
	synctest.Test(t, func(*testing.T) {
		c = newCluster(p.size, p.seed, disktest.Faults{})
		for _, d := range c.disks {
			d.SetFaults(disktest.Faults{SyncDelay: c.net.delay})
		}
		defer c.stop()
		if err = c.awaitRepaired(); err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		var clients sync.WaitGroup
		for number := range 3 {
			clients.Go(func() { c.client(ctx, number) })
		}
		for _, s := range p.steps {
			c.run(s)
		}
		cancel()
		clients.Wait()
		err = c.recover()
	})
	if err == nil {
		err = c.single.err()
	}
	if err == nil {
		err = c.linearizable()
	}
	return c, err
}

// TestDrawnFaults checks, under drawn crashes, lost writes and disks,
// partitions, freezes and messages out of order, that calls are linearizable,
// that every replica applies what a single copy would, and that the cluster
// becomes whole again.
func TestDrawnFaults(t *testing.T) {
	calls, wipes, installs := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		c, err := drawPlan(rt).run(t)
		if err != nil {
			t.Logf("seen: %v", err) // scheduling is not drawn, so a replay may differ
		}
		assert.NilError(rt, err)
		calls += len(c.history)
		wipes += c.wipes
		installs += c.net.installs
	})
	t.Logf("%d calls, %d disks lost, %d snapshots installed", calls, wipes, installs)
	assert.Assert(t, calls > 0 && wipes > 0 && installs > 0)
}
