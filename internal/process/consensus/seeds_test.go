package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
)

// newSeedCluster starts size replicas that know the first three as seeds.
func newSeedCluster(size int, mayFound bool) *cluster {
	c := &cluster{
		net:      newNetwork(3),
		disks:    map[string]*disktest.Disk{},
		spare:    map[string]*disktest.Disk{},
		states:   map[string]*register{},
		down:     map[string]bool{},
		single:   newSingle(),
		random:   rand.New(rand.NewPCG(3, 2)),
		mayFound: mayFound,
	}
	for i := range size {
		c.ids = append(c.ids, seedAddress(i))
	}
	c.seeds = c.ids[:min(3, size)]
	for _, id := range c.ids {
		c.disks[id] = disktest.New()
		c.start(id)
	}
	return c
}

func seedAddress(i int) string {
	return fmt.Sprintf("10.0.0.%d:7200", i+1)
}

// add starts an empty replica at an address that no other had.
func (c *cluster) add(id string) {
	c.ids = append(c.ids, id)
	c.disks[id] = disktest.New()
	c.start(id)
}

// removeForGood ends a replica that never comes back.
func (c *cluster) removeForGood(id string) {
	c.disks[id].Unmount()
	c.halt(id)
	var left []string
	for _, other := range c.ids {
		if other != id {
			left = append(left, other)
		}
	}
	c.ids = left
}

func inSeedCluster(t *testing.T, size int, f func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newSeedCluster(size, true)
		defer c.stop()
		assert.NilError(t, c.awaitRepaired())
		f(c)
		assert.NilError(t, c.single.err())
	})
}

func TestSeedsFoundOnceAndTakeTheOthersIn(t *testing.T) {
	inSeedCluster(t, 5, func(c *cluster) {
		n := c.net.node(c.ids[4])
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, len(n.log.memberships[0].members), 3, "the seeds found the cluster")
	})
}

func TestReplicaWithoutDiskDoesNotFoundAnew(t *testing.T) {
	inSeedCluster(t, 3, func(c *cluster) {
		wiped := c.ids[0]
		c.mayFound = false
		c.replaceDisk(wiped, disktest.New())
		assert.NilError(t, c.awaitRepaired())
	})
}

func TestEmptySeedsDoNotFoundUnlessToldTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeedCluster(3, false)
		defer c.stop()
		time.Sleep(20 * time.Second)
		for _, id := range c.ids {
			assert.Equal(t, c.net.node(id).Status().Term, uint64(0))
		}
	})
}

// TestReplacedVMsLeaveTheVoters replaces two VMs, one after the other, by empty ones
// at other addresses; then the loss of two of five must be bearable again.
func TestReplacedVMsLeaveTheVoters(t *testing.T) {
	inSeedCluster(t, 5, func(c *cluster) {
		c.mayFound = false
		for i, gone := range []string{c.ids[0], c.ids[3]} {
			c.removeForGood(gone)
			c.add(seedAddress(10 + i))
			assert.NilError(t, c.awaitRepaired())
		}
		c.removeForGood(c.ids[0])
		c.removeForGood(c.ids[1])
		time.Sleep(3 * time.Second)
		c.leader(t)
	})
}

// TestSilentVMComesBackAsVoter cuts a VM off for so long that the others take it out.
func TestSilentVMComesBackAsVoter(t *testing.T) {
	inSeedCluster(t, 5, func(c *cluster) {
		cut := c.ids[1]
		c.isolate(cut)
		time.Sleep(15 * time.Second)
		leader := c.net.node(c.leader(t, cut))
		leader.mu.Lock()
		gone := !leader.isMember(cut)
		leader.mu.Unlock()
		assert.Assert(t, gone, "the silent VM costs a loss that the others could bear")
		c.run(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}

// TestVotersStayWhileAnotherLossWouldStopThem cuts two of five off: taking one out
// would leave three of four, of which none may be lost.
func TestVotersStayWhileAnotherLossWouldStopThem(t *testing.T) {
	inSeedCluster(t, 5, func(c *cluster) {
		c.isolate(c.ids[0])
		c.isolate(c.ids[1])
		time.Sleep(20 * time.Second)
		leader := c.net.node(c.leader(t, c.ids[0], c.ids[1]))
		leader.mu.Lock()
		members, _ := leader.log.current()
		leader.mu.Unlock()
		assert.Equal(t, len(members), 5)
		c.run(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}

// TestAllRestartTogether: nine replicas come back at the same moment, as after a loss
// of power, two of them with empty disks. One leads before callers give up on entry
// VMs that have no configuration yet.
func TestAllRestartTogether(t *testing.T) {
	const soon = 600 * time.Millisecond // callers with short deadlines wait no longer
	late := 0
	for round := range uint64(20) {
		inSeedCluster(t, 9, func(c *cluster) {
			c.net.set(func() { c.net.random = rand.New(rand.NewPCG(round, 1)) })
			for _, id := range c.ids {
				c.disks[id].Unmount()
				c.halt(id)
			}
			c.random = rand.New(rand.NewPCG(round, 2))
			for _, id := range c.ids[7:] {
				c.disks[id] = disktest.New()
			}
			c.mayFound = false
			begin := time.Now()
			for _, id := range c.ids {
				c.start(id)
			}
			c.leader(t)
			if time.Since(begin) > soon {
				late++
			}
		})
	}
	assert.Assert(t, late <= 1, "%d of 20 elections took longer than %v", late, soon)
}
