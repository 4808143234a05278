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

// newSeedCluster starts size replicas that have the first three as seeds.
func newSeedCluster(size int, mayFound bool) *cluster {
	c := &cluster{
		net:           newNetwork(3),
		disks:         map[string]*disktest.Disk{},
		replacedDisks: map[string]*disktest.Disk{},
		states:        map[string]*register{},
		down:          map[string]bool{},
		reference:     newReferenceLog(),
		random:        rand.New(rand.NewPCG(3, 2)),
		mayFound:      mayFound,
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

// add starts an empty replica at a new address.
func (c *cluster) add(id string) {
	c.ids = append(c.ids, id)
	c.disks[id] = disktest.New()
	c.start(id)
}

// remove stops a replica permanently.
func (c *cluster) remove(id string) {
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

func withSeedCluster(t *testing.T, size int, f func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newSeedCluster(size, true)
		defer c.stop()
		assert.NilError(t, c.awaitRepaired())
		f(c)
		assert.NilError(t, c.reference.err())
	})
}

func TestSeedsBootstrapOnceAndAddOthers(t *testing.T) {
	withSeedCluster(t, 5, func(c *cluster) {
		n := c.net.node(c.ids[4])
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, len(n.log.memberships[0].members), 3, "the seeds bootstrap the cluster")
	})
}

func TestReplicaWithEmptyDiskDoesNotBootstrapAgain(t *testing.T) {
	withSeedCluster(t, 3, func(c *cluster) {
		wiped := c.ids[0]
		c.mayFound = false
		c.replaceDisk(wiped, disktest.New())
		assert.NilError(t, c.awaitRepaired())
	})
}

func TestEmptySeedsDoNotBootstrapWithoutMayFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeedCluster(3, false)
		defer c.stop()
		time.Sleep(20 * time.Second)
		for _, id := range c.ids {
			assert.Equal(t, c.net.node(id).Status().Term, uint64(0))
		}
	})
}

// TestReplacedVMsAreRemovedFromVoters replaces two VMs, one after the other, with empty ones
// at other addresses. The cluster must then tolerate the loss of two of five again.
func TestReplacedVMsAreRemovedFromVoters(t *testing.T) {
	withSeedCluster(t, 5, func(c *cluster) {
		c.mayFound = false
		for i, gone := range []string{c.ids[0], c.ids[3]} {
			c.remove(gone)
			c.add(seedAddress(10 + i))
			assert.NilError(t, c.awaitRepaired())
		}
		c.remove(c.ids[0])
		c.remove(c.ids[1])
		time.Sleep(3 * time.Second)
		c.leader(t)
	})
}

// TestRemovedVMRejoinsAsVoter isolates a VM until the others remove it, then reconnects it.
func TestRemovedVMRejoinsAsVoter(t *testing.T) {
	withSeedCluster(t, 5, func(c *cluster) {
		cut := c.ids[1]
		c.isolate(cut)
		time.Sleep(15 * time.Second)
		leader := c.net.node(c.leader(t, cut))
		leader.mu.Lock()
		gone := !leader.isMember(cut)
		leader.mu.Unlock()
		assert.Assert(t, gone, "the isolated VM is still a member")
		c.inject(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}

// TestVoterIsNotRemovedIfAnotherLossStopsCluster isolates two of five nodes:
// removing one would leave three of four responsive, of which none may be lost.
func TestVoterIsNotRemovedIfAnotherLossStopsCluster(t *testing.T) {
	withSeedCluster(t, 5, func(c *cluster) {
		c.isolate(c.ids[0])
		c.isolate(c.ids[1])
		time.Sleep(20 * time.Second)
		leader := c.net.node(c.leader(t, c.ids[0], c.ids[1]))
		leader.mu.Lock()
		members, _ := leader.log.latestMembership()
		leader.mu.Unlock()
		assert.Equal(t, len(members), 5)
		c.inject(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}

// TestElectionAfterSimultaneousRestart restarts nine replicas at the same time, as after a
// power failure, two of them with empty disks. A leader must be elected before callers
// time out at entry VMs that have no configuration yet.
func TestElectionAfterSimultaneousRestart(t *testing.T) {
	const soon = 600 * time.Millisecond // callers with short deadlines wait no longer
	late := 0
	for round := range uint64(20) {
		withSeedCluster(t, 9, func(c *cluster) {
			c.net.withLock(func() { c.net.random = rand.New(rand.NewPCG(round, 1)) })
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
