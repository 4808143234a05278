package consensus

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// peerSender sends messages to one other replica from its own goroutine.
type peerSender struct {
	n      *Node
	member Member
	wake   signal

	// Guarded by Node.mu:
	answeredCampaign *campaign // newest campaign to which the peer has responded
	lastResponder    replica   // member that sent the last response
	unreachable      bool      // the last message failed
}

func newPeerSender(n *Node, m Member) *peerSender {
	return &peerSender{n: n, member: m, wake: newSignal()}
}

// ensurePeerSender starts a sender for a member that has none. The caller holds mu.
func (n *Node) ensurePeerSender(m Member) {
	known := slices.ContainsFunc(n.peers, func(p *peerSender) bool { return p.member.ID == m.ID })
	if known || m.ID == n.options.ID {
		return
	}
	p := newPeerSender(n, m)
	n.peers = append(n.peers, p)
	n.goTask(p.run)
}

// syncPeerSenders starts senders for the seeds, the members in the log and the replicas
// that asked to join. The sender of a removed member stays but sends nothing. The caller
// holds mu.
func (n *Node) syncPeerSenders() {
	if !n.options.discoversMembers() {
		return
	}
	for _, address := range n.options.Seeds {
		n.ensurePeerSender(Member{ID: address, Address: address})
	}
	members, _ := n.log.latestMembership()
	for _, m := range members {
		n.ensurePeerSender(Member{ID: m.replica.id, Address: m.replica.id})
	}
	for id := range n.joinRequests {
		n.ensurePeerSender(Member{ID: id, Address: id})
	}
}

// peerSenders returns a copy of the list of senders.
func (n *Node) peerSenders() []*peerSender {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.peers)
}

// wakePeerSenders makes the senders check whether there is something to send. The
// caller holds mu.
func (n *Node) wakePeerSenders() {
	for _, p := range n.peers {
		p.wake.notify()
	}
}

// run sends the messages that the current role requires, one at a time.
func (p *peerSender) run() {
	heartbeat := time.NewTimer(p.n.options.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-p.n.ctx.Done():
			return
		case <-p.wake:
		case <-heartbeat.C:
		}
		for p.n.ctx.Err() == nil && p.sendNext() {
		}
		heartbeat.Reset(p.n.options.HeartbeatInterval)
	}
}

// sendNext sends one message and handles the response. It returns false when there was
// nothing to send. After a failure it waits for one heartbeat interval, or until the
// role or the campaign changes.
func (p *peerSender) sendNext() bool {
	n := p.n
	n.mu.Lock()
	roleCtx := n.roleCtx
	c := n.campaign
	isLeader := n.role == Leader
	var vote *chicoryv1.VoteRequest
	if c != nil && p.answeredCampaign != c && n.isMember(p.member.ID) {
		vote = n.voteRequest(c)
	}
	n.mu.Unlock()

	sent, err := false, error(nil)
	switch {
	case vote != nil:
		sent, err = true, p.sendVote(roleCtx, c, vote)
	case isLeader:
		sent, err = p.replicate(roleCtx)
	}
	if roleCtx.Err() != nil {
		return true
	}
	if sent {
		p.recordReachability(err)
	}
	if err != nil {
		pause.For(roleCtx, n.options.HeartbeatInterval)
	}
	return sent
}

func (p *peerSender) sendVote(roleCtx context.Context, c *campaign, req *chicoryv1.VoteRequest) error {
	ctx, cancel := p.requestContext(roleCtx)
	defer cancel()
	resp, err := p.n.options.Transport.Vote(ctx, p.member, req)
	if err != nil {
		return errors.Trace(err)
	}
	p.n.mu.Lock()
	p.answeredCampaign = c
	p.n.mu.Unlock()
	p.n.handleVoteResponse(c, resp)
	return nil
}

// requestContext limits one request to the election timeout.
func (p *peerSender) requestContext(roleCtx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(roleCtx, p.n.options.ElectionTimeout)
}

// recordReachability logs when the peer becomes unreachable or reachable.
func (p *peerSender) recordReachability(err error) {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	switch {
	case err != nil && !p.unreachable:
		p.n.logger.Warn(logging.PeerLost, logging.Fields{"peer": p.member.ID, "reason": err.Error()})
	case err == nil && p.unreachable:
		p.n.logger.Info(logging.PeerFound, logging.Fields{"peer": p.member.ID})
	}
	p.unreachable = err != nil
}
