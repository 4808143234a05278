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

// TestWipedDiskDoesNotVoteAsItsFormerSelf commits with two nodes, loses the
// disk of one and the other's process: the wiped and the lagging node must not
// elect a leader without the committed entry.
func TestWipedDiskDoesNotVoteAsItsFormerSelf(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(t)
		wiped, lagging := c.others(leader)[0], c.others(leader)[1]
		c.isolate(lagging)
		assert.NilError(t, c.net.node(leader).propose("committed "))
		c.disks[leader].Unmount()
		c.halt(leader)
		c.wipe(wiped)
		c.run(step{fault: "heal"})
		time.Sleep(20 * time.Second)
		assert.Assert(t, c.net.node(lagging).Status().Role != Leader)
		assert.Assert(t, c.net.node(wiped).Status().Role != Leader)
		c.start(leader)
		assert.NilError(t, c.recover())
		assert.Equal(t, c.states[lagging].read(), "committed ")
	})
}

// TestSecondDiskLostRightAfterRepair loses one disk after the other, each as
// soon as the one before is repaired.
func TestSecondDiskLostRightAfterRepair(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
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

// TestLearnerVotesOnlyWhenCaughtUp holds back the messages to a wiped node.
func TestLearnerVotesOnlyWhenCaughtUp(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(t)
		wiped := c.others(leader)[0]
		former := c.net.node(wiped).self
		c.net.set(func() { c.net.blocked[[2]string{leader, wiped}] = true })
		c.wipe(wiped)
		time.Sleep(10 * time.Second)
		c.net.node(leader).mu.Lock()
		members, _ := c.net.node(leader).log.current()
		c.net.node(leader).mu.Unlock()
		learner, ok := members.find(c.net.node(wiped).self)
		assert.Assert(t, ok && !learner.voter)
		assert.Assert(t, members.isVoter(former), "the former incarnation still counts")
		c.run(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}

func TestNoFoundingWithoutAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(1)
		net.blocked[[2]string{"a", "c"}] = true
		c := newClusterOn(net, 3, 1, disktest.Faults{})
		defer c.stop()
		time.Sleep(20 * time.Second)
		for _, id := range c.ids {
			assert.Equal(t, c.net.node(id).Status().Term, uint64(0))
		}
		c.run(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}

// TestAnswerOfAnotherIncarnationIsNotCounted gives the leader a confirmation
// from a replica with the ID of a member but another incarnation.
func TestAnswerOfAnotherIncarnationIsNotCounted(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		n := c.net.node(c.leader(t))
		p := n.peers[0]
		n.mu.Lock()
		to, _ := p.target()
		before := *n.progress[to]
		req := &chicoryv1.AppendRequest{Term: n.term}
		n.mu.Unlock()
		err := p.handleAppendAnswer(&batch{to: to, round: 1000, req: req}, &chicoryv1.AppendResponse{
			From: &chicoryv1.Replica{Id: to.id, Incarnation: "another"}, Accepted: true, MatchIndex: 1000,
		})
		assert.Assert(t, err != nil)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, n.progress[to].match, before.match)
		assert.Equal(t, n.progress[to].round, before.round)
	})
}

// TestMembershipChangesOneVoterAtATime looks at every membership of a repair:
// the voters of one and the next differ by one, so their quorums intersect.
func TestMembershipChangesOneVoterAtATime(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(t)
		c.wipe(c.others(leader)[0])
		assert.NilError(t, c.awaitRepaired())
		n := c.net.node(leader)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, len(n.log.memberships), 4, "founded, learner, voter, former incarnation removed")
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

// TestOneMembershipChangeAtATime lets two unknown replicas ask a leader that
// can't commit.
func TestOneMembershipChangeAtATime(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
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
		assert.Equal(t, len(n.log.memberships), 2, "the founders and one change")
	})
}

// TestDiskPutBackAfterRepair puts a disk back whose incarnation was replaced:
// it holds a membership that still names it, and has to ask to join, although
// it gets the messages for the other disk and its first question is lost.
func TestDiskPutBackAfterRepair(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		replaced := c.others(c.leader(t))[0]
		c.replaceDisk(replaced, disktest.New())
		assert.NilError(t, c.awaitRepaired())
		for _, other := range c.others(replaced) {
			c.net.set(func() { c.net.blocked[[2]string{replaced, other}] = true })
		}
		c.replaceDisk(replaced, c.spare[replaced])
		time.Sleep(5 * time.Second)
		c.run(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}

// TestDiskPutBackBeforeRepair puts a disk back while the one in its place is
// still a learner.
func TestDiskPutBackBeforeRepair(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(t)
		replaced := c.others(leader)[0]
		c.net.set(func() { c.net.blocked[[2]string{leader, replaced}] = true })
		c.replaceDisk(replaced, disktest.New())
		time.Sleep(5 * time.Second)
		c.replaceDisk(replaced, c.spare[replaced])
		c.run(step{fault: "heal"})
		assert.NilError(t, c.awaitRepaired())
	})
}
