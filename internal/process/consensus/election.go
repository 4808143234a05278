package consensus

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

// campaign is an attempt to become leader. It starts with a pre-vote, so that a
// replica that can't win doesn't disrupt the cluster with a new term.
type campaign struct {
	preVote bool
	term    uint64
	granted map[replica]bool
}

// runTimers checks the timeouts. An election starts exactly at its randomized deadline,
// not at the next periodic check: replicas that start at the same time would then
// campaign at the same time and split the votes.
func (n *Node) runTimers() {
	for pause.For(n.ctx, n.untilNextCheck(time.Now())) {
		n.checkTimeouts(time.Now())
	}
}

// untilNextCheck returns the time until the timeouts are checked again.
func (n *Node) untilNextCheck(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	wait := n.options.HeartbeatInterval / 2
	if n.role != Leader && n.electionDeadline.After(now) {
		// The deadline has passed only when the time is after it.
		wait = min(wait, n.electionDeadline.Sub(now)+time.Nanosecond)
	}
	return wait
}

func (n *Node) checkTimeouts(now time.Time) {
	n.mu.Lock()
	c := n.campaign
	n.syncPeerSenders()
	switch {
	case n.failure != nil:
	case n.role == Leader && n.lostQuorum(now):
		n.stepDown()
	case n.role == Leader:
		n.maintainMembership(now)
	case now.After(n.electionDeadline):
		c = n.startPreVote(now)
	}
	n.mu.Unlock()
	n.countVotes(c)
}

// lostQuorum reports whether for two election timeouts the leader has had no response
// from a quorum or its own disk write has not completed. The caller holds mu.
func (n *Node) lostQuorum(now time.Time) bool {
	limit := 2 * n.options.ElectionTimeout
	if !n.writeStart.IsZero() && now.Sub(n.writeStart) > limit {
		return true
	}
	members, _ := n.log.latestMembership()
	return !members.hasQuorum(func(r replica) bool {
		p := n.progress[r]
		return r == n.self || p != nil && now.Sub(p.lastContact) <= limit
	})
}

// startPreVote starts a campaign by asking the voters whether they would elect this
// replica. It returns nil when this replica is not a voter. The caller holds mu.
func (n *Node) startPreVote(now time.Time) *campaign {
	n.resetElectionDeadline(now)
	members, _ := n.log.latestMembership()
	if !members.isVoter(n.self) {
		n.setLeadership(Follower, replica{})
		return nil
	}
	n.campaign = &campaign{
		preVote: true,
		term:    n.term + 1,
		granted: map[replica]bool{n.self: true},
	}
	n.renewRoleCtx()
	n.setLeadership(Candidate, replica{})
	n.wakePeerSenders()
	return n.campaign
}

// countVotes advances a campaign that has the votes of a quorum: from the pre-vote to
// the election, and from the election to leadership.
func (n *Node) countVotes(c *campaign) {
	n.mu.Lock()
	won := c != nil && n.campaign == c && n.hasVotes(c)
	if won && !c.preVote {
		n.becomeLeader()
	}
	n.mu.Unlock()
	if won && c.preVote {
		n.countVotes(n.startElection(c))
	}
}

func (n *Node) hasVotes(c *campaign) bool {
	members, _ := n.log.latestMembership()
	return members.hasQuorum(func(r replica) bool { return c.granted[r] })
}

// startElection starts a new term with a durable vote for this replica and requests
// votes. It returns nil when the pre-vote campaign has ended in the meantime.
func (n *Node) startElection(c *campaign) *campaign {
	if n.writeMu.lock(n.ctx) != nil {
		return nil
	}
	defer n.writeMu.unlock()
	n.mu.Lock()
	term := n.term + 1
	current := n.campaign == c
	n.mu.Unlock()
	if !current || n.persist(n.newReplicaState(term, n.self), nil) != nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.term = term
	n.vote = n.self
	if n.campaign != c {
		return nil
	}
	n.campaign = &campaign{term: term, granted: map[replica]bool{n.self: true}}
	n.renewRoleCtx()
	n.wakePeerSenders()
	return n.campaign
}

// becomeLeader makes this replica the leader and proposes an empty entry for the new term,
// because entries of earlier terms are committed only along with one of this term. The
// caller holds mu.
func (n *Node) becomeLeader() {
	now := time.Now()
	n.campaign = nil
	n.renewRoleCtx()
	n.progress = map[replica]*progress{}
	n.pending = map[uint64]*proposal{}
	n.joinRequests = map[string]replica{}
	n.termStartIndex = n.log.lastIndex() + 1
	n.writeStart = time.Time{}
	n.proposalQueue = []*proposal{{entry: &chicoryv1.LogEntry{}}}
	members, _ := n.log.latestMembership()
	for _, m := range members {
		n.progress[m.replica] = n.newProgress(now)
	}
	n.setLeadership(Leader, n.self)
	n.writeWake.notify()
	n.wakePeerSenders()
}

// stepDown ends leadership or a campaign and fails the pending calls. The caller
// holds mu.
func (n *Node) stepDown() {
	n.campaign = nil
	n.renewRoleCtx()
	n.setLeadership(Follower, replica{})
	n.resetElectionDeadline(time.Now())
	n.failProposals()
	n.failPendingReads()
	n.progress = nil
	n.joinRequests = nil
}

// renewRoleCtx cancels the messages of the previous role or campaign. The caller
// holds mu.
func (n *Node) renewRoleCtx() {
	n.cancelRoleCtx()
	n.roleCtx, n.cancelRoleCtx = context.WithCancel(n.ctx)
}

// observeTerm adopts a higher term from a response.
func (n *Node) observeTerm(term uint64) {
	n.mu.Lock()
	if term > n.term && n.role != Follower {
		n.stepDown()
	}
	n.mu.Unlock()
	if n.writeMu.lock(n.ctx) != nil {
		return
	}
	defer n.writeMu.unlock()
	_ = n.adoptTerm(term, replica{})
}

// adoptTerm makes a higher term, or a vote in the term, durable before it takes
// effect. The caller holds writeMu.
func (n *Node) adoptTerm(term uint64, vote replica) error {
	n.mu.Lock()
	done := term < n.term || term == n.term && (vote == replica{} || vote == n.vote)
	n.mu.Unlock()
	if done {
		return nil
	}
	if err := n.persist(n.newReplicaState(term, vote), nil); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if term > n.term && n.role != Follower {
		n.stepDown()
	}
	n.term = term
	n.vote = vote
	return nil
}
