package consensus

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
)

// withCluster runs f in virtual time with a cluster of three nodes that has a leader.
func withCluster(t *testing.T, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 7, disktest.Faults{})
		defer c.stop()
		assert.NilError(t, c.awaitRepaired())
		f(t, c)
		assert.NilError(t, c.reference.err())
	})
}

// leader waits until a node leads with a quorum, other than those in except.
func (c *cluster) leader(t *testing.T, except ...string) string {
	t.Helper()
	for limit := time.Now().Add(recoveryTimeout); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		for _, id := range c.ids {
			if n := c.net.node(id); n != nil && !strings.Contains(fmt.Sprint(except), id) && n.barrier() == nil {
				return id
			}
		}
	}
	t.Fatalf("no leader: %s", c.describe())
	return ""
}

func (n *Node) barrier() error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return n.ReadBarrier(ctx)
}

func (n *Node) propose(text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := n.Propose(ctx, []byte(text))
	return err
}

// others returns the IDs of the other nodes.
func (c *cluster) others(id string) []string {
	var others []string
	for _, x := range c.ids {
		if x != id {
			others = append(others, x)
		}
	}
	return others
}

func (c *cluster) isolate(id string) {
	for i, x := range c.ids {
		if x == id {
			c.inject(step{fault: "isolate", node: i})
		}
	}
}

func (c *cluster) wipe(id string) {
	c.disks[id].Wipe()
	c.halt(id)
	c.start(id)
}

func TestIsolatedLeaderServesNoReadsOrWrites(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(t)
		assert.NilError(t, c.net.node(old).propose("1 "))
		c.isolate(old)
		began := time.Now()
		proposed := make(chan error, 1)
		go func() { proposed <- c.net.node(old).propose("2 ") }()
		err := c.net.node(old).barrier()
		assert.Assert(t, fault.Is(err, fault.NoQuorum), "%v", err)
		err = <-proposed
		assert.Assert(t, fault.Is(err, fault.NoQuorum), "%v", err)
		assert.Assert(t, time.Since(began) <= 1200*time.Millisecond, "answered after %v", time.Since(began))
		assert.Equal(t, c.net.node(old).Status().LeaderID, "")
		next := c.leader(t, old)
		assert.Assert(t, time.Since(began) < 2*time.Second, "failover took %v", time.Since(began))
		assert.NilError(t, c.net.node(next).propose("3 "))
		assert.Equal(t, c.states[next].read(), "1 3 ")
	})
}

func TestReconnectedNodeDoesNotDisruptLeader(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(t)
		term := c.net.node(leader).Status().Term
		c.isolate(c.others(leader)[0])
		time.Sleep(20 * time.Second)
		c.inject(step{fault: "heal"})
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.leader(t), leader)
		assert.Equal(t, c.net.node(leader).Status().Term, term)
	})
}

// TestFailedDiskStopsAcknowledging fails the leader's disk in two ways: calls to it fail
// with StorageFailed, it logs the failure, and the other nodes continue without it.
func TestFailedDiskStopsAcknowledging(t *testing.T) {
	for name, faults := range map[string]disktest.Faults{
		"sync": {FailSync: true},
		"full": {LimitBytes: true, FreeBytes: 20},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				old := c.leader(t)
				c.disks[old].SetFaults(faults)
				for range 2 {
					err := c.net.node(old).propose("x ")
					assert.Assert(t, fault.Is(err, fault.StorageFailed), "%v", err)
				}
				assert.Assert(t, fault.Is(c.net.node(old).barrier(), fault.StorageFailed))
				assert.Assert(t, c.net.node(old).Status().Err != nil)
				assert.Assert(t, strings.Contains(c.lines.String(), "event=storage_failed id="+old))
				c.disks[old].SetFaults(disktest.Faults{})
				assert.NilError(t, c.net.node(c.leader(t, old)).propose("y "))
				assert.Assert(t, fault.Is(c.net.node(old).propose("z "), fault.StorageFailed))
			})
		})
	}
}

// TestConcurrentProposalsShareSyncs uses a disk whose sync takes 10 ms.
func TestConcurrentProposalsShareSyncs(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		var mu sync.Mutex
		syncs := 0
		leader := c.leader(t)
		c.disks[leader].SetFaults(disktest.Faults{SyncDelay: func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			syncs++
			return 10 * time.Millisecond
		}})
		var calls sync.WaitGroup
		for range 500 {
			calls.Go(func() {
				if err := c.net.node(leader).propose("x"); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		mu.Lock()
		defer mu.Unlock()
		assert.Assert(t, syncs < 10, "%d syncs", syncs)
	})
}

// TestVoteSurvivesCrash requests two votes in one term, with a crash in between.
func TestVoteSurvivesCrash(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		voter := c.others(c.leader(t))[0]
		c.isolate(voter)
		time.Sleep(2 * time.Second)
		requestVote := func(candidate string) bool {
			resp, err := c.net.node(voter).handleVote(context.Background(), &chicoryv1.VoteRequest{
				Term: 100, LastTerm: 100, LastIndex: 100,
				Candidate: &chicoryv1.Replica{Id: candidate, Incarnation: "i"},
			})
			assert.NilError(t, err)
			return resp.GetGranted()
		}
		assert.Assert(t, requestVote("x"))
		c.disks[voter].Crash(func(int) int { return 0 })
		c.halt(voter)
		c.start(voter)
		assert.Assert(t, !requestVote("y"), "two votes in one term")
		assert.Assert(t, requestVote("x"))
	})
}

// TestNewLeaderReadsCommittedEntries reads as soon as there is a new leader. Its disk
// is slow, so that it can't have committed an entry of its term yet.
func TestNewLeaderReadsCommittedEntries(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(t)
		assert.NilError(t, c.net.node(old).propose("x "))
		c.disks[old].Unmount()
		c.halt(old)
		for _, id := range c.others(old) {
			c.disks[id].SetFaults(disktest.Faults{SyncDelay: func() time.Duration { return 50 * time.Millisecond }})
		}
		var next string
		for next == "" {
			time.Sleep(time.Millisecond)
			for _, id := range c.others(old) {
				if c.net.node(id).Status().Role == Leader {
					next = id
				}
			}
		}
		assert.NilError(t, c.net.node(next).barrier())
		assert.Equal(t, c.states[next].read(), "x ")
	})
}

// TestEntryOfAnEarlierTermIsNotCommittedAlone replicates an entry of term 2 to a quorum
// in term 4: a candidate with an entry of term 3 could still replace it.
func TestEntryOfAnEarlierTermIsNotCommittedAlone(t *testing.T) {
	a, b, c := replica{"a", "1"}, replica{"b", "1"}, replica{"c", "1"}
	members := membership{{a, true}, {b, true}, {c, true}}
	n := &Node{
		self: a, role: Leader, term: 4, syncedIndex: 2, commitIndex: 1,
		progress:  map[replica]*progress{b: {matchIndex: 2}, c: {}},
		applyWake: newSignal(),
	}
	n.log.appendEntries([]*chicoryv1.LogEntry{
		{Index: 1, Term: 1, Membership: members.toProto()},
		{Index: 2, Term: 2},
	})
	n.advanceCommit()
	assert.Equal(t, n.commitIndex, uint64(1))
	n.log.appendEntries([]*chicoryv1.LogEntry{{Index: 3, Term: 4}})
	n.syncedIndex, n.progress[b].matchIndex = 3, 3
	n.advanceCommit()
	assert.Equal(t, n.commitIndex, uint64(3))
}

// TestLeaderCountsItselfOnlyWhenSynced leaves the leader one follower and a slow disk, whose
// sync the commit has to wait for.
func TestLeaderCountsItselfOnlyWhenSynced(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		const slow = 700 * time.Millisecond
		leader := c.leader(t)
		c.isolate(c.others(leader)[0])
		c.disks[leader].SetFaults(disktest.Faults{SyncDelay: func() time.Duration { return slow }})
		began := time.Now()
		assert.NilError(t, c.net.node(leader).propose("x "))
		assert.Assert(t, time.Since(began) >= slow, "committed after %v", time.Since(began))
	})
}

// TestFollowerCommitsOnlyMatchingEntries sends a follower a commit index beyond the last
// entry at which its log is known to match the leader's.
func TestFollowerCommitsOnlyMatchingEntries(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		n := c.net.node(c.others(c.leader(t))[0])
		c.isolate(n.self.id)
		commit := n.Status().CommitIndex
		n.mu.Lock()
		previousTerm, _ := n.log.term(commit)
		n.mu.Unlock()
		appendEntries := func(term uint64, commitIndex uint64, entries ...*chicoryv1.LogEntry) {
			resp, err := n.handleAppend(context.Background(), &chicoryv1.AppendRequest{
				Term: term, Leader: &chicoryv1.Replica{Id: "x", Incarnation: "i"}, CommitIndex: commitIndex,
				PreviousIndex: commit, PreviousTerm: previousTerm, Entries: entries, To: n.self.toProto(),
			})
			assert.NilError(t, err)
			assert.Assert(t, resp.GetAccepted())
		}
		appendEntries(100, commit, &chicoryv1.LogEntry{Index: commit + 1, Term: 100})
		appendEntries(101, commit+1)
		assert.Equal(t, n.Status().CommitIndex, commit)
	})
}
