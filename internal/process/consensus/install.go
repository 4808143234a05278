package consensus

import (
	"context"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// incomingSnapshot collects the chunks of one snapshot.
type incomingSnapshot struct {
	leader replica
	term   uint64
	file   *chicoryv1.SnapshotFile
}

// handleInstall takes one chunk of a snapshot. The last one is confirmed when
// the snapshot and a log that begins after it are durable.
func (n *Node) handleInstall(ctx context.Context, req *chicoryv1.InstallRequest) (*chicoryv1.InstallResponse, error) {
	if err := n.io.lock(ctx); err != nil {
		return nil, err
	}
	defer n.io.unlock()
	current, err := n.hear(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !current {
		return n.installResponse(false), nil
	}
	if n.holds(req) {
		return n.installResponse(true), nil
	}
	file, accepted := n.takeChunk(req)
	if file != nil {
		if err := n.install(file); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return n.installResponse(accepted), nil
}

// holds reports whether the log already has all that the snapshot covers, and
// then marks it as committed.
func (n *Node) holds(req *chicoryv1.InstallRequest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	index := req.GetSnapshotIndex()
	if index <= n.commit {
		return true
	}
	if term, ok := n.log.term(index); !ok || term != req.GetSnapshotTerm() {
		return false
	}
	n.commit = index
	n.applyWake.set()
	return true
}

// takeChunk returns the snapshot when it is whole. A chunk that doesn't follow
// the one before is refused, and the leader begins again.
func (n *Node) takeChunk(req *chicoryv1.InstallRequest) (whole *chicoryv1.SnapshotFile, accepted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if req.GetOffset() == 0 {
		n.incoming = &incomingSnapshot{
			leader: replicaOf(req.GetLeader()),
			term:   req.GetTerm(),
			file: &chicoryv1.SnapshotFile{
				Index:      req.GetSnapshotIndex(),
				Term:       req.GetSnapshotTerm(),
				Membership: req.GetMembership(),
			},
		}
	}
	in := n.incoming
	if in == nil || !in.continues(req) {
		n.incoming = nil
		return nil, false
	}
	in.file.Data = append(in.file.Data, req.GetData()...)
	if !req.GetLast() {
		return nil, true
	}
	n.incoming = nil
	return in.file, true
}

func (s *incomingSnapshot) continues(req *chicoryv1.InstallRequest) bool {
	return s.leader == replicaOf(req.GetLeader()) &&
		s.term == req.GetTerm() &&
		s.file.GetIndex() == req.GetSnapshotIndex() &&
		s.file.GetTerm() == req.GetSnapshotTerm() &&
		uint64(len(s.file.GetData())) == req.GetOffset()
}

// install replaces log and state by the snapshot. io is held. After a crash
// between the two writes, the start finds a snapshot beyond the log and does
// the second one.
func (n *Node) install(s *chicoryv1.SnapshotFile) error {
	if err := n.saveSnapshot(s); err != nil {
		return errors.Trace(err)
	}
	n.mu.Lock()
	state := n.stateMessage()
	n.mu.Unlock()
	if err := n.storage.wal.Reset(state, s.GetIndex()); err != nil {
		n.fail(err)
		return errors.Trace(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.startAt(s)
	n.synced = s.GetIndex()
	n.commit = s.GetIndex()
	n.snapshot = s.GetIndex()
	n.restore = s
	n.applyWake.set()
	n.logger.Info(logging.SnapshotInstalled, logging.Fields{"index": s.GetIndex(), "bytes": len(s.GetData())})
	return nil
}

func (n *Node) installResponse(accepted bool) *chicoryv1.InstallResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &chicoryv1.InstallResponse{From: n.self.message(), Term: n.term, Accepted: accepted}
}
