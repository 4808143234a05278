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

// peerTask serves one other member of the settings with its own goroutine.
type peerTask struct {
	n      *Node
	member Member
	wake   signal

	// Guarded by Node.mu:
	asked *campaign // newest campaign that this peer answered
	seen  replica   // member that answered last
	lost  bool      // the last message failed
}

func newPeerTask(n *Node, m Member) *peerTask {
	return &peerTask{n: n, member: m, wake: newSignal()}
}

// ensurePeer starts the task of a member that has none. mu is held.
func (n *Node) ensurePeer(m Member) {
	known := slices.ContainsFunc(n.peers, func(p *peerTask) bool { return p.member.ID == m.ID })
	if known || m.ID == n.options.ID {
		return
	}
	p := newPeerTask(n, m)
	n.peers = append(n.peers, p)
	n.goTask(p.run)
}

// followMembership starts tasks for the seeds and for the members of the log. The
// task of a member that was removed stays and sends nothing. mu is held.
func (n *Node) followMembership() {
	if !n.options.findsMembers() {
		return
	}
	for _, address := range n.options.Seeds {
		n.ensurePeer(Member{ID: address, Address: address})
	}
	members, _ := n.log.current()
	for _, m := range members {
		n.ensurePeer(Member{ID: m.replica.id, Address: m.replica.id})
	}
	for id := range n.joining {
		n.ensurePeer(Member{ID: id, Address: id})
	}
}

// peerTasks returns the tasks of this moment.
func (n *Node) peerTasks() []*peerTask {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.peers)
}

// wakePeers lets the peers look whether there is something to send. mu is held.
func (n *Node) wakePeers() {
	for _, p := range n.peers {
		p.wake.set()
	}
}

// run sends what the role of the moment asks for, one message at a time.
func (p *peerTask) run() {
	heartbeat := time.NewTimer(p.n.options.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-p.n.ctx.Done():
			return
		case <-p.wake:
		case <-heartbeat.C:
		}
		for p.n.ctx.Err() == nil && p.exchange() {
		}
		heartbeat.Reset(p.n.options.HeartbeatInterval)
	}
}

// exchange sends one message and handles its answer. It returns false when
// there was nothing to send. After a failure it waits for one heartbeat
// interval, or until the role or the campaign changes.
func (p *peerTask) exchange() bool {
	n := p.n
	n.mu.Lock()
	epoch := n.epoch
	c := n.campaign
	isLeader := n.role == Leader
	var vote *chicoryv1.VoteRequest
	if c != nil && p.asked != c && n.isMember(p.member.ID) {
		vote = n.voteRequest(c)
	}
	n.mu.Unlock()

	sent, err := false, error(nil)
	switch {
	case vote != nil:
		sent, err = true, p.sendVote(epoch, c, vote)
	case isLeader:
		sent, err = p.replicate(epoch)
	}
	if epoch.Err() != nil {
		return true
	}
	if sent {
		p.note(err)
	}
	if err != nil {
		pause.For(epoch, n.options.HeartbeatInterval)
	}
	return sent
}

func (p *peerTask) sendVote(epoch context.Context, c *campaign, req *chicoryv1.VoteRequest) error {
	ctx, cancel := p.messageContext(epoch)
	defer cancel()
	resp, err := p.n.options.Transport.Vote(ctx, p.member, req)
	if err != nil {
		return errors.Trace(err)
	}
	p.n.mu.Lock()
	p.asked = c
	p.n.mu.Unlock()
	p.n.handleVoteAnswer(c, resp)
	return nil
}

// messageContext bounds one message.
func (p *peerTask) messageContext(epoch context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(epoch, p.n.options.ElectionTimeout)
}

// note logs when a peer is lost or found again.
func (p *peerTask) note(err error) {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	switch {
	case err != nil && !p.lost:
		p.n.logger.Warn(logging.PeerLost, logging.Fields{"peer": p.member.ID, "reason": err.Error()})
	case err == nil && p.lost:
		p.n.logger.Info(logging.PeerFound, logging.Fields{"peer": p.member.ID})
	}
	p.lost = err != nil
}
