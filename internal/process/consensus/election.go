package consensus

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

// campaign is an attempt to become leader, first asked in advance, so that a
// replica that can't win disturbs nobody by a new term.
type campaign struct {
	advance bool
	term    uint64
	granted map[replica]bool
}

// runClock looks at the timeouts. Elections begin at the very moment that was drawn:
// replicas that start together would find themselves at one tick of the clock, and
// split the votes.
func (n *Node) runClock() {
	for pause.For(n.ctx, n.untilTimeout(time.Now())) {
		n.checkTimeouts(time.Now())
	}
}

// untilTimeout returns the time until the timeouts are looked at again.
func (n *Node) untilTimeout(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	wait := n.options.HeartbeatInterval / 2
	if n.role != Leader && n.electionDeadline.After(now) {
		wait = min(wait, n.electionDeadline.Sub(now)+time.Nanosecond) // a deadline has passed only after its moment
	}
	return wait
}

func (n *Node) checkTimeouts(now time.Time) {
	n.mu.Lock()
	c := n.campaign
	n.followMembership()
	switch {
	case n.failed != nil:
	case n.role == Leader && n.lostQuorum(now):
		n.stepDown()
	case n.role == Leader:
		n.maintainMembership(now)
	case now.After(n.electionDeadline):
		c = n.beginCampaign(now)
	}
	n.mu.Unlock()
	n.countVotes(c)
}

// lostQuorum reports whether the leader has had no answer from a quorum for
// too long, or waits for its own disk for as long. mu is held.
func (n *Node) lostQuorum(now time.Time) bool {
	limit := 2 * n.options.ElectionTimeout
	if !n.writeSince.IsZero() && now.Sub(n.writeSince) > limit {
		return true
	}
	members, _ := n.log.current()
	return !members.quorum(func(r replica) bool {
		p := n.progress[r]
		return r == n.self || p != nil && now.Sub(p.contact) <= limit
	})
}

// beginCampaign asks in advance whether this replica would be elected. It
// returns nil when this replica is no voter. mu is held.
func (n *Node) beginCampaign(now time.Time) *campaign {
	n.resetElectionDeadline(now)
	members, _ := n.log.current()
	if !members.isVoter(n.self) {
		n.setLeadership(Follower, replica{})
		return nil
	}
	n.campaign = &campaign{
		advance: true,
		term:    n.term + 1,
		granted: map[replica]bool{n.self: true},
	}
	n.newEpoch()
	n.setLeadership(Candidate, replica{})
	n.wakePeers()
	return n.campaign
}

// countVotes goes on with a campaign that has the votes of a quorum.
func (n *Node) countVotes(c *campaign) {
	n.mu.Lock()
	won := c != nil && n.campaign == c && n.hasVotes(c)
	if won && !c.advance {
		n.becomeLeader()
	}
	n.mu.Unlock()
	if won && c.advance {
		n.countVotes(n.beginElection(c))
	}
}

func (n *Node) hasVotes(c *campaign) bool {
	members, _ := n.log.current()
	return members.quorum(func(r replica) bool { return c.granted[r] })
}

// beginElection opens a new term with a durable vote for this replica and asks
// for votes. It returns nil when the campaign ended meanwhile.
func (n *Node) beginElection(c *campaign) *campaign {
	if n.io.lock(n.ctx) != nil {
		return nil
	}
	defer n.io.unlock()
	n.mu.Lock()
	term := n.term + 1
	current := n.campaign == c
	n.mu.Unlock()
	if !current || n.persist(n.stateWith(term, n.self), nil) != nil {
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
	n.newEpoch()
	n.wakePeers()
	return n.campaign
}

// becomeLeader opens the term with an entry of its own. mu is held.
func (n *Node) becomeLeader() {
	now := time.Now()
	n.campaign = nil
	n.newEpoch()
	n.progress = map[replica]*progress{}
	n.waiting = map[uint64]*proposal{}
	n.joining = map[string]replica{}
	n.termStart = n.log.last() + 1
	n.writeSince = time.Time{}
	n.queue = []*proposal{{entry: &chicoryv1.LogEntry{}}}
	members, _ := n.log.current()
	for _, m := range members {
		n.progress[m.replica] = n.newProgress(now)
	}
	n.setLeadership(Leader, n.self)
	n.writeWake.set()
	n.wakePeers()
}

// stepDown ends a leadership or a campaign and answers everyone who waits. mu
// is held.
func (n *Node) stepDown() {
	n.campaign = nil
	n.newEpoch()
	n.setLeadership(Follower, replica{})
	n.resetElectionDeadline(time.Now())
	n.dropProposals()
	n.dropBarriers()
	n.progress = nil
	n.joining = nil
}

// newEpoch ends the messages of the role or campaign before. mu is held.
func (n *Node) newEpoch() {
	n.cancelEpoch()
	n.epoch, n.cancelEpoch = context.WithCancel(n.ctx)
}

// observeTerm adopts a higher term that an answer showed.
func (n *Node) observeTerm(term uint64) {
	n.mu.Lock()
	if term > n.term && n.role != Follower {
		n.stepDown()
	}
	n.mu.Unlock()
	if n.io.lock(n.ctx) != nil {
		return
	}
	defer n.io.unlock()
	_ = n.adoptTerm(term, replica{})
}

// adoptTerm makes a higher term, or a vote in it, durable and takes it over. io
// is held.
func (n *Node) adoptTerm(term uint64, vote replica) error {
	n.mu.Lock()
	done := term < n.term || term == n.term && (vote == replica{} || vote == n.vote)
	n.mu.Unlock()
	if done {
		return nil
	}
	if err := n.persist(n.stateWith(term, vote), nil); err != nil {
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
