package consensus

import (
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// runApplier applies committed entries. After Start, only its goroutine uses the state
// machine.
func (n *Node) runApplier() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.applyWake:
			for n.ctx.Err() == nil && n.applyNext() {
			}
		}
	}
}

// applyNext restores an installed snapshot or applies the next batch of committed
// entries. It returns false when there is nothing to apply.
func (n *Node) applyNext() bool {
	restore, entries := n.nextToApply()
	if restore != nil {
		return n.applySnapshot(restore)
	}
	for _, e := range entries {
		n.applyEntry(e)
	}
	n.mu.Lock()
	n.completeReads()
	snapshotDue := n.appliedIndex >= n.snapshotIndex+uint64(n.options.SnapshotEntries)
	n.mu.Unlock()
	if snapshotDue {
		n.takeSnapshot()
	}
	return len(entries) > 0
}

// nextToApply returns an installed snapshot to restore or else the next committed
// entries.
func (n *Node) nextToApply() (*chicoryv1.SnapshotFile, []*chicoryv1.LogEntry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.pendingRestore; s != nil {
		n.pendingRestore = nil
		return s, nil
	}
	if n.appliedIndex >= n.commitIndex {
		return nil, nil
	}
	entries := n.log.entriesFrom(n.appliedIndex + 1)
	if excess := n.appliedIndex + uint64(len(entries)) - n.commitIndex; int64(excess) > 0 {
		entries = entries[:uint64(len(entries))-excess]
	}
	return nil, entries
}

func (n *Node) applyEntry(e *chicoryv1.LogEntry) {
	var value any
	if len(e.GetCommand()) > 0 {
		value = n.options.StateMachine.Apply(e.GetIndex(), e.GetCommand())
	}
	n.mu.Lock()
	n.appliedIndex = e.GetIndex()
	p := n.pending[e.GetIndex()]
	delete(n.pending, e.GetIndex())
	n.mu.Unlock()
	if p != nil {
		p.complete(proposalResult{value: value})
	}
}

// applySnapshot restores the state machine from an installed snapshot.
func (n *Node) applySnapshot(s *chicoryv1.SnapshotFile) bool {
	if err := n.options.StateMachine.Restore(s.GetData()); err != nil {
		n.fail(fault.New(fault.StorageFailed, "restore snapshot at entry %d: %v", s.GetIndex(), err))
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.appliedIndex = s.GetIndex()
	return true
}

// takeSnapshot saves the applied state and compacts the log, keeping recent entries
// so that a follower slightly behind doesn't need the whole snapshot.
func (n *Node) takeSnapshot() {
	data, err := n.options.StateMachine.Snapshot()
	if err != nil {
		n.fail(fault.New(fault.StorageFailed, "create snapshot of the state machine: %v", err))
		return
	}
	s := n.newSnapshotFile(data)
	if s == nil || n.saveSnapshot(s) != nil {
		return
	}
	if err := n.compact(s.GetIndex()); err != nil {
		n.fail(err)
		return
	}
	n.logger.Info(logging.SnapshotTaken, logging.Fields{"index": s.GetIndex(), "bytes": len(data)})
}

// newSnapshotFile builds the snapshot file for the applied state. It returns nil when
// a newer snapshot has been installed in the meantime.
func (n *Node) newSnapshotFile(data []byte) *chicoryv1.SnapshotFile {
	n.mu.Lock()
	defer n.mu.Unlock()
	term, ok := n.log.term(n.appliedIndex)
	if !ok {
		return nil
	}
	return &chicoryv1.SnapshotFile{
		Index:      n.appliedIndex,
		Term:       term,
		Membership: n.log.membershipAt(n.appliedIndex).toProto(),
		Data:       data,
	}
}

// compact removes the entries that the durable snapshot at index covers. In memory, the
// last SnapshotEntries/2 of them are kept.
func (n *Node) compact(index uint64) error {
	if n.writeMu.lock(n.ctx) != nil {
		return nil
	}
	defer n.writeMu.unlock()
	n.mu.Lock()
	n.snapshotIndex = max(n.snapshotIndex, index)
	trailing := uint64(n.options.SnapshotEntries / 2)
	if index > trailing {
		n.log.compact(index - trailing)
	}
	n.mu.Unlock()
	return errors.Trace(n.storage.wal.Compact(index))
}
