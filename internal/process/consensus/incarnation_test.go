package consensus

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
)

// TestWipedDiskDoesNotVoteWithPreviousIdentity commits an entry on two of three
// nodes, then wipes the disk of one and stops the other. The wiped node and the lagging
// one must not elect a leader, which would lack the committed entry.
func TestWipedDiskDoesNotVoteWithPreviousIdentity(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(t)
		wiped, lagging := c.others(leader)[0], c.others(leader)[1]
		c.isolate(lagging)
		assert.NilError(t, c.net.node(leader).propose("committed "))
		c.disks[leader].Unmount()
		c.halt(leader)
		c.wipe(wiped)
		c.inject(step{fault: "heal"})
		time.Sleep(20 * time.Second)
		assert.Assert(t, c.net.node(lagging).Status().Role != Leader)
		assert.Assert(t, c.net.node(wiped).Status().Role != Leader)
		c.start(leader)
		assert.NilError(t, c.healAndVerify())
		assert.Equal(t, c.states[lagging].read(), "committed ")
	})
}

// TestDiskLossRightAfterRepair wipes one disk after another, each as soon as the cluster has
// recovered from the loss of the previous one.
func TestDiskLossRightAfterRepair(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		want := ""
		for i := range 9 {
			text := fmt.Sprintf("%d ", i)
			want += text
			assert.NilError(t, c.net.node(c.leader(t)).propose(text))
			c.wipe(c.ids[i%3])
			assert.NilError(t, c.awaitRepaired())
		}
		c.leader(t)
		assert.Equal(t, c.states[c.leader(t)].read(), want)
	})
}

// TestLearnerBecomesVoterOnlyWhenCaughtUp blocks the messages from the leader to a wiped
// node, which must stay a learner.
func TestLearnerBecomesVoterOnlyWhenCaughtUp(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(t)
		wiped := c.others(leader)[0]
		previous := c.net.node(wiped).self
		c.net.withLock(func() { c.net.blocked[[2]string{leader, wiped}] = true })
		c.wipe(wiped)
		time.Sleep(10 * time.Second)
		c.net.node(leader).mu.Lock()
		members, _ := c.net.node(leader).log.latestMembership()
		c.net.node(leader).mu.Unlock()
		learner, ok := members.find(c.net.node(wiped).self)
		assert.Assert(t, ok && !learner.voter)
		assert.Assert(t, members.isVoter(previous), "the previous incarnation is still a voter")
		c.inject(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}

func TestNoBootstrapWithoutAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(1)
		net.blocked[[2]string{"a", "c"}] = true
		c := newClusterOn(net, 3, 1, disktest.Faults{})
		defer c.stop()
		time.Sleep(20 * time.Second)
		for _, id := range c.ids {
			assert.Equal(t, c.net.node(id).Status().Term, uint64(0))
		}
		c.inject(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}

// TestResponseOfAnotherIncarnationIsNotCounted gives the leader an acknowledgement
// from a replica with the ID of a member but another incarnation.
func TestResponseOfAnotherIncarnationIsNotCounted(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		n := c.net.node(c.leader(t))
		p := n.peers[0]
		n.mu.Lock()
		to, _ := p.target()
		before := *n.progress[to]
		req := &chicoryv1.AppendRequest{Term: n.term}
		n.mu.Unlock()
		err := p.handleAppendResponse(&batch{to: to, readRound: 1000, req: req}, &chicoryv1.AppendResponse{
			From: &chicoryv1.Replica{Id: to.id, Incarnation: "another"}, Accepted: true, MatchIndex: 1000,
		})
		assert.Assert(t, err != nil)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, n.progress[to].matchIndex, before.matchIndex)
		assert.Equal(t, n.progress[to].ackedRound, before.ackedRound)
	})
}

// TestMembershipChangesOneVoterAtATime checks every membership during a repair:
// the voters of consecutive memberships differ by at most one, so their quorums intersect.
func TestMembershipChangesOneVoterAtATime(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(t)
		c.wipe(c.others(leader)[0])
		assert.NilError(t, c.awaitRepaired())
		n := c.net.node(leader)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, len(n.log.memberships), 4, "bootstrap, learner, voter, previous incarnation removed")
		for i, at := range n.log.memberships[1:] {
			before := n.log.memberships[i].members
			changed := map[replica]bool{}
			for _, m := range slices.Concat(before, at.members) {
				if before.isVoter(m.replica) != at.members.isVoter(m.replica) {
					changed[m.replica] = true
				}
			}
			assert.Assert(t, len(changed) <= 1, "%v after %v", at.members, before)
		}
	})
}

// TestOneMembershipChangeAtATime lets two unknown replicas ask to join while the leader
// can't commit.
func TestOneMembershipChangeAtATime(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(t)
		n := c.net.node(leader)
		c.isolate(leader)
		for _, id := range c.others(leader) {
			_, err := n.handleJoin(context.Background(), &chicoryv1.JoinRequest{
				From: &chicoryv1.Replica{Id: id, Incarnation: "new"},
			})
			assert.NilError(t, err)
		}
		time.Sleep(500 * time.Millisecond)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, n.role, Leader)
		assert.Equal(t, len(n.log.memberships), 2, "the initial membership and one change")
	})
}

// TestDiskPutBackAfterRepair puts back a disk whose incarnation was replaced. Its
// membership still includes it, but it has to ask to join, although it receives the
// messages for the other disk and its first join request is lost.
func TestDiskPutBackAfterRepair(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		replaced := c.others(c.leader(t))[0]
		c.replaceDisk(replaced, disktest.New())
		assert.NilError(t, c.awaitRepaired())
		for _, other := range c.others(replaced) {
			c.net.withLock(func() { c.net.blocked[[2]string{replaced, other}] = true })
		}
		c.replaceDisk(replaced, c.replacedDisks[replaced])
		time.Sleep(5 * time.Second)
		c.inject(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}

// TestDiskPutBackBeforeRepair puts a disk back while its replacement is still a
// learner.
func TestDiskPutBackBeforeRepair(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(t)
		replaced := c.others(leader)[0]
		c.net.withLock(func() { c.net.blocked[[2]string{leader, replaced}] = true })
		c.replaceDisk(replaced, disktest.New())
		time.Sleep(5 * time.Second)
		c.replaceDisk(replaced, c.replacedDisks[replaced])
		c.inject(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}
