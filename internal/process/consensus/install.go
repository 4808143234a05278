package consensus

import (
	"context"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// incomingSnapshot collects the chunks of one snapshot from the leader.
type incomingSnapshot struct {
	leader replica
	term   uint64
	file   *chicoryv1.SnapshotFile
}

// handleInstall receives one chunk of a snapshot. The last chunk is acknowledged when
// the snapshot and a log that begins after it are durable.
func (n *Node) handleInstall(ctx context.Context, req *chicoryv1.InstallRequest) (*chicoryv1.InstallResponse, error) {
	if err := n.writeMu.lock(ctx); err != nil {
		return nil, err
	}
	defer n.writeMu.unlock()
	current, err := n.acceptLeader(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !current {
		return n.installResponse(false), nil
	}
	if n.hasSnapshotEntries(req) {
		return n.installResponse(true), nil
	}
	file, accepted := n.addChunk(req)
	if file != nil {
		if err := n.installSnapshot(file); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return n.installResponse(accepted), nil
}

// hasSnapshotEntries reports whether the log already has all entries that the snapshot
// covers. If so, it marks them as committed.
func (n *Node) hasSnapshotEntries(req *chicoryv1.InstallRequest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	index := req.GetSnapshotIndex()
	if index <= n.commitIndex {
		return true
	}
	if term, ok := n.log.term(index); !ok || term != req.GetSnapshotTerm() {
		return false
	}
	n.commitIndex = index
	n.applyWake.notify()
	return true
}

// addChunk adds a chunk to the incoming snapshot and returns the snapshot when it is
// complete. A chunk that doesn't follow the previous one is rejected, and the leader
// starts over.
func (n *Node) addChunk(req *chicoryv1.InstallRequest) (complete *chicoryv1.SnapshotFile, accepted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if req.GetOffset() == 0 {
		n.incoming = &incomingSnapshot{
			leader: replicaFromProto(req.GetLeader()),
			term:   req.GetTerm(),
			file: &chicoryv1.SnapshotFile{
				Index:      req.GetSnapshotIndex(),
				Term:       req.GetSnapshotTerm(),
				Membership: req.GetMembership(),
			},
		}
	}
	partial := n.incoming
	if partial == nil || !partial.isNextChunk(req) {
		n.incoming = nil
		return nil, false
	}
	partial.file.Data = append(partial.file.Data, req.GetData()...)
	if !req.GetLast() {
		return nil, true
	}
	n.incoming = nil
	return partial.file, true
}

// isNextChunk reports whether the chunk belongs to this snapshot and follows the data
// received so far.
func (s *incomingSnapshot) isNextChunk(req *chicoryv1.InstallRequest) bool {
	return s.leader == replicaFromProto(req.GetLeader()) &&
		s.term == req.GetTerm() &&
		s.file.GetIndex() == req.GetSnapshotIndex() &&
		s.file.GetTerm() == req.GetSnapshotTerm() &&
		uint64(len(s.file.GetData())) == req.GetOffset()
}

// installSnapshot replaces the log and the state with the snapshot. After a crash
// between the two writes, Start finds a snapshot beyond the log and does the second
// write. The caller holds writeMu.
func (n *Node) installSnapshot(s *chicoryv1.SnapshotFile) error {
	if err := n.saveSnapshot(s); err != nil {
		return errors.Trace(err)
	}
	n.mu.Lock()
	state := n.currentState()
	n.mu.Unlock()
	if err := n.storage.wal.Reset(state, s.GetIndex()); err != nil {
		n.fail(err)
		return errors.Trace(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.resetTo(s)
	n.syncedIndex = s.GetIndex()
	n.commitIndex = s.GetIndex()
	n.snapshotIndex = s.GetIndex()
	n.pendingRestore = s
	n.applyWake.notify()
	n.logger.Info(logging.SnapshotInstalled, logging.Fields{"index": s.GetIndex(), "bytes": len(s.GetData())})
	return nil
}

func (n *Node) installResponse(accepted bool) *chicoryv1.InstallResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &chicoryv1.InstallResponse{From: n.self.toProto(), Term: n.term, Accepted: accepted}
}
