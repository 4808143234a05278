package consensus

import (
	"context"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// progress is what a leader knows of one other member. It is guarded by Node.mu.
type progress struct {
	next    uint64 // first index to send
	match   uint64 // last index known to be synced there
	told    uint64 // commit index that was told
	round   uint64 // newest round of heartbeats that was answered
	contact time.Time
	sent    time.Time
}

// batch is one message of entries to one member.
type batch struct {
	to    replica
	round uint64
	req   *chicoryv1.AppendRequest // nil when a snapshot is wanted
}

func (n *Node) newProgress(now time.Time) *progress {
	return &progress{next: n.log.last() + 1, contact: now}
}

// progressOf returns the progress of a member, which begins when it is first
// asked for. Node.mu is held.
func (n *Node) progressOf(r replica, now time.Time) *progress {
	pr := n.progress[r]
	if pr == nil {
		pr = n.newProgress(now)
		n.progress[r] = pr
	}
	return pr
}

// replicate sends the next message of a leader. It returns false when none is
// due.
func (p *peerTask) replicate(epoch context.Context) (bool, error) {
	b := p.nextBatch(time.Now())
	switch {
	case b == nil:
		return false, nil
	case b.req == nil:
		return true, p.sendSnapshot(epoch, b.to)
	}
	ctx, cancel := p.messageContext(epoch)
	defer cancel()
	resp, err := p.n.options.Transport.Append(ctx, p.member, b.req)
	if err != nil {
		return true, errors.Trace(err)
	}
	return true, p.handleAppendAnswer(b, resp)
}

// nextBatch returns nil when there is nothing to send now.
func (p *peerTask) nextBatch(now time.Time) *batch {
	n := p.n
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := p.target()
	if n.role != Leader || !ok {
		return nil
	}
	pr := n.progressOf(to, now)
	due := now.Sub(pr.sent) >= n.options.HeartbeatInterval
	behind := pr.next <= n.log.last() || pr.told < n.commit || pr.round < n.round
	if !due && !behind {
		return nil
	}
	pr.sent = now
	previousTerm, ok := n.log.term(pr.next - 1)
	if !ok {
		return &batch{to: to}
	}
	return &batch{to: to, round: n.round, req: &chicoryv1.AppendRequest{
		Term:          n.term,
		Leader:        n.self.message(),
		PreviousIndex: pr.next - 1,
		PreviousTerm:  previousTerm,
		Entries:       n.log.from(pr.next),
		CommitIndex:   n.commit,
		To:            to.message(),
	}}
}

// target returns the member that the peer's messages are for: the one that
// answered last or else the newest of its ID. Node.mu is held.
func (p *peerTask) target() (replica, bool) {
	members, _ := p.n.log.current()
	if _, ok := members.find(p.seen); ok {
		return p.seen, true
	}
	return members.newestOf(p.member.ID)
}

// isFrom checks that an answer came from the member that was asked. An answer
// of another incarnation, as after a disk was lost, is not counted.
func (p *peerTask) isFrom(to, from replica) error {
	n := p.n
	n.mu.Lock()
	defer n.mu.Unlock()
	members, _ := n.log.current()
	if _, ok := members.find(from); ok {
		p.seen = from
	}
	if from != to {
		return errors.Errorf("answer of incarnation %s in place of %s", from.incarnation, to.incarnation)
	}
	return nil
}

func (p *peerTask) handleAppendAnswer(b *batch, resp *chicoryv1.AppendResponse) error {
	n := p.n
	if err := p.isFrom(b.to, replicaOf(resp.GetFrom())); err != nil {
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
	pr.contact = time.Now()
	pr.round = max(pr.round, b.round)
	if !resp.GetAccepted() {
		pr.next = max(pr.match+1, min(resp.GetMatchIndex()+1, b.req.GetPreviousIndex()))
	} else {
		pr.match = max(pr.match, resp.GetMatchIndex())
		pr.next = pr.match + 1
		pr.told = max(pr.told, b.req.GetCommitIndex())
		n.advanceCommit()
	}
	n.releaseBarriers()
	return nil
}

// sendSnapshot sends the newest snapshot, chunk by chunk.
func (p *peerTask) sendSnapshot(epoch context.Context, to replica) error {
	s, err := p.n.loadSnapshot()
	if err != nil {
		return errors.Trace(err)
	}
	for offset := 0; ; offset += chunkBytes {
		end := min(offset+chunkBytes, len(s.GetData()))
		last := end == len(s.GetData())
		if err := p.sendChunk(epoch, to, s, offset, end); err != nil {
			return errors.Trace(err)
		}
		if last {
			return nil
		}
	}
}

func (p *peerTask) sendChunk(epoch context.Context, to replica, s *chicoryv1.SnapshotFile, offset, end int) error {
	n := p.n
	n.mu.Lock()
	req := &chicoryv1.InstallRequest{
		Term:          n.term,
		Leader:        n.self.message(),
		SnapshotIndex: s.GetIndex(),
		SnapshotTerm:  s.GetTerm(),
		Membership:    s.GetMembership(),
		Offset:        uint64(offset),
		Data:          s.GetData()[offset:end],
		Last:          end == len(s.GetData()),
		To:            to.message(),
	}
	isLeader := n.role == Leader
	n.mu.Unlock()
	if !isLeader || epoch.Err() != nil {
		return errors.New("leadership ended")
	}
	ctx, cancel := p.messageContext(epoch)
	defer cancel()
	resp, err := n.options.Transport.Install(ctx, p.member, req)
	if err != nil {
		return errors.Trace(err)
	}
	return p.handleInstallAnswer(to, req, resp)
}

func (p *peerTask) handleInstallAnswer(to replica, req *chicoryv1.InstallRequest, resp *chicoryv1.InstallResponse) error {
	n := p.n
	if err := p.isFrom(to, replicaOf(resp.GetFrom())); err != nil {
		return errors.Trace(err)
	}
	if resp.GetTerm() > req.GetTerm() {
		n.observeTerm(resp.GetTerm())
		return errors.New("superseded by a higher term")
	}
	if !resp.GetAccepted() {
		return errors.New("chunk refused")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	pr := n.progress[to]
	if n.role != Leader || n.term != req.GetTerm() || pr == nil {
		return errors.New("leadership ended")
	}
	pr.contact = time.Now()
	if req.GetLast() {
		pr.match = max(pr.match, req.GetSnapshotIndex())
		pr.next = pr.match + 1
		n.advanceCommit()
	}
	return nil
}
