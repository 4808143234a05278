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

	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
)

// TestMain fixes the seed of the property tests; SEED sets another one.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m, proptest.Flag{Name: "rapid.checks", Value: "300"}, proptest.Flag{Name: "rapid.shrinktime", Value: "5s"}))
}

// plan is a randomly generated simulation.
type plan struct {
	size  int
	seed  uint64
	steps []step
}

func generatePlan(rt *rapid.T) plan {
	faults := []string{
		"crash", "kill", "wipe", "wipe", "put back", "start", "start", "start",
		"cut", "isolate", "heal", "heal", "freeze", "thaw",
	}
	stepGenerator := rapid.Custom(func(rt *rapid.T) step {
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
		steps: rapid.SliceOfN(stepGenerator, 5, 40).Draw(rt, "steps"),
	}
}

// run executes the plan in virtual time and returns the first failed check.
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
			clients.Go(func() { c.runClient(ctx, number) })
		}
		for _, s := range p.steps {
			c.inject(s)
		}
		cancel()
		clients.Wait()
		err = c.healAndVerify()
	})
	if err == nil {
		err = c.reference.err()
	}
	if err == nil {
		err = c.checkLinearizable()
	}
	return c, err
}

// TestRandomFaults injects random crashes, lost writes and disks, partitions, frozen nodes
// and reordered messages. It checks that calls are linearizable, that all replicas apply
// the same commands, and that the cluster recovers completely.
func TestRandomFaults(t *testing.T) {
	calls, wipes, installs := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		c, err := generatePlan(rt).run(t)
		if err != nil {
			t.Logf("seen: %v", err) // goroutine scheduling is not seeded, so a replay may differ
		}
		assert.NilError(rt, err)
		calls += len(c.history)
		wipes += c.wipes
		installs += c.net.installs
	})
	t.Logf("%d calls, %d disks lost, %d snapshots installed", calls, wipes, installs)
	assert.Assert(t, calls > 0 && wipes > 0 && installs > 0)
}
