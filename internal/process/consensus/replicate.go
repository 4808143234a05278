package consensus

import (
	"context"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// progress is the replication state that a leader keeps for another member. It is
// guarded by Node.mu.
type progress struct {
	nextIndex   uint64    // index of the first entry to send
	matchIndex  uint64    // index of the last entry that the member is known to have synced
	ackedCommit uint64    // last commit index that the member has acknowledged
	ackedRound  uint64    // newest heartbeat round that the member has acknowledged
	lastContact time.Time // last response
	lastSent    time.Time
}

// batch is one append request to one member.
type batch struct {
	to        replica
	readRound uint64
	req       *chicoryv1.AppendRequest // nil when the member needs a snapshot
}

func (n *Node) newProgress(now time.Time) *progress {
	return &progress{nextIndex: n.log.lastIndex() + 1, lastContact: now}
}

// progressOf returns the progress of a member and creates it on first use. The caller
// holds Node.mu.
func (n *Node) progressOf(r replica, now time.Time) *progress {
	pr := n.progress[r]
	if pr == nil {
		pr = n.newProgress(now)
		n.progress[r] = pr
	}
	return pr
}

// replicate sends the leader's next message to the peer. It returns false when there is
// none to send.
func (p *peerSender) replicate(roleCtx context.Context) (bool, error) {
	b := p.nextBatch(time.Now())
	switch {
	case b == nil:
		return false, nil
	case b.req == nil:
		return true, p.sendSnapshot(roleCtx, b.to)
	}
	ctx, cancel := p.requestContext(roleCtx)
	defer cancel()
	resp, err := p.n.options.Transport.Append(ctx, p.member, b.req)
	if err != nil {
		return true, errors.Trace(err)
	}
	return true, p.handleAppendResponse(b, resp)
}

// nextBatch returns the next request to the peer, or nil when there is nothing to send
// yet.
func (p *peerSender) nextBatch(now time.Time) *batch {
	n := p.n
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := p.target()
	if n.role != Leader || !ok {
		return nil
	}
	pr := n.progressOf(to, now)
	due := now.Sub(pr.lastSent) >= n.options.HeartbeatInterval
	behind := pr.nextIndex <= n.log.lastIndex() || pr.ackedCommit < n.commitIndex || pr.ackedRound < n.readRound
	if !due && !behind {
		return nil
	}
	pr.lastSent = now
	previousTerm, ok := n.log.term(pr.nextIndex - 1)
	if !ok {
		return &batch{to: to}
	}
	return &batch{to: to, readRound: n.readRound, req: &chicoryv1.AppendRequest{
		Term:          n.term,
		Leader:        n.self.toProto(),
		PreviousIndex: pr.nextIndex - 1,
		PreviousTerm:  previousTerm,
		Entries:       n.log.entriesFrom(pr.nextIndex),
		CommitIndex:   n.commitIndex,
		To:            to.toProto(),
	}}
}

// target returns the member to which messages are addressed: the one that responded
// last or else the newest with the peer's ID. The caller holds Node.mu.
func (p *peerSender) target() (replica, bool) {
	members, _ := p.n.log.latestMembership()
	if _, ok := members.find(p.lastResponder); ok {
		return p.lastResponder, true
	}
	return members.newestOf(p.member.ID)
}

// checkResponder checks that a response came from the member that the request was sent
// to. A response from another incarnation, as after the loss of a disk, is not counted.
func (p *peerSender) checkResponder(to, from replica) error {
	n := p.n
	n.mu.Lock()
	defer n.mu.Unlock()
	members, _ := n.log.latestMembership()
	if _, ok := members.find(from); ok {
		p.lastResponder = from
	}
	if from != to {
		return errors.Errorf("response from incarnation %s instead of %s", from.incarnation, to.incarnation)
	}
	return nil
}

func (p *peerSender) handleAppendResponse(b *batch, resp *chicoryv1.AppendResponse) error {
	n := p.n
	if err := p.checkResponder(b.to, replicaFromProto(resp.GetFrom())); err != nil {
		return errors.Trace(err)
	}
	if resp.GetTerm() > b.req.GetTerm() {
		n.observeTerm(resp.GetTerm())
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	pr := n.progress[b.to]
	if n.role != Leader || n.term != b.req.GetTerm() || pr == nil {
		return nil
	}
	pr.lastContact = time.Now()
	pr.ackedRound = max(pr.ackedRound, b.readRound)
	if !resp.GetAccepted() {
		pr.nextIndex = max(pr.matchIndex+1, min(resp.GetMatchIndex()+1, b.req.GetPreviousIndex()))
	} else {
		pr.matchIndex = max(pr.matchIndex, resp.GetMatchIndex())
		pr.nextIndex = pr.matchIndex + 1
		pr.ackedCommit = max(pr.ackedCommit, b.req.GetCommitIndex())
		n.advanceCommit()
	}
	n.completeReads()
	return nil
}

// sendSnapshot sends the newest snapshot in chunks.
func (p *peerSender) sendSnapshot(roleCtx context.Context, to replica) error {
	s, err := p.n.loadSnapshot()
	if err != nil {
		return errors.Trace(err)
	}
	for offset := 0; ; offset += snapshotChunkBytes {
		end := min(offset+snapshotChunkBytes, len(s.GetData()))
		last := end == len(s.GetData())
		if err := p.sendChunk(roleCtx, to, s, offset, end); err != nil {
			return errors.Trace(err)
		}
		if last {
			return nil
		}
	}
}

func (p *peerSender) sendChunk(roleCtx context.Context, to replica, s *chicoryv1.SnapshotFile, offset, end int) error {
	n := p.n
	n.mu.Lock()
	req := &chicoryv1.InstallRequest{
		Term:          n.term,
		Leader:        n.self.toProto(),
		SnapshotIndex: s.GetIndex(),
		SnapshotTerm:  s.GetTerm(),
		Membership:    s.GetMembership(),
		Offset:        uint64(offset),
		Data:          s.GetData()[offset:end],
		Last:          end == len(s.GetData()),
		To:            to.toProto(),
	}
	isLeader := n.role == Leader
	n.mu.Unlock()
	if !isLeader || roleCtx.Err() != nil {
		return errors.New("no longer the leader")
	}
	ctx, cancel := p.requestContext(roleCtx)
	defer cancel()
	resp, err := n.options.Transport.Install(ctx, p.member, req)
	if err != nil {
		return errors.Trace(err)
	}
	return p.handleInstallResponse(to, req, resp)
}

func (p *peerSender) handleInstallResponse(to replica, req *chicoryv1.InstallRequest, resp *chicoryv1.InstallResponse) error {
	n := p.n
	if err := p.checkResponder(to, replicaFromProto(resp.GetFrom())); err != nil {
		return errors.Trace(err)
	}
	if resp.GetTerm() > req.GetTerm() {
		n.observeTerm(resp.GetTerm())
		return errors.New("superseded by a higher term")
	}
	if !resp.GetAccepted() {
		return errors.New("snapshot chunk rejected")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	pr := n.progress[to]
	if n.role != Leader || n.term != req.GetTerm() || pr == nil {
		return errors.New("no longer the leader")
	}
	pr.lastContact = time.Now()
	if req.GetLast() {
		pr.matchIndex = max(pr.matchIndex, req.GetSnapshotIndex())
		pr.nextIndex = pr.matchIndex + 1
		n.advanceCommit()
	}
	return nil
}
