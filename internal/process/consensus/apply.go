package consensus

import (
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// runApplier is the only user of the state machine after Start.
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

// applyNext applies the next committed entries. It returns false when there
// were none.
func (n *Node) applyNext() bool {
	restore, entries := n.nextToApply()
	if restore != nil {
		return n.applySnapshot(restore)
	}
	for _, e := range entries {
		n.applyEntry(e)
	}
	n.mu.Lock()
	n.releaseBarriers()
	due := n.applied >= n.snapshot+uint64(n.options.SnapshotEntries)
	n.mu.Unlock()
	if due {
		n.takeSnapshot()
	}
	return len(entries) > 0
}

func (n *Node) nextToApply() (*chicoryv1.SnapshotFile, []*chicoryv1.LogEntry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.restore; s != nil {
		n.restore = nil
		return s, nil
	}
	if n.applied >= n.commit {
		return nil, nil
	}
	entries := n.log.from(n.applied + 1)
	if surplus := n.applied + uint64(len(entries)) - n.commit; int64(surplus) > 0 {
		entries = entries[:uint64(len(entries))-surplus]
	}
	return nil, entries
}

func (n *Node) applyEntry(e *chicoryv1.LogEntry) {
	var result any
	if len(e.GetCommand()) > 0 {
		result = n.options.StateMachine.Apply(e.GetIndex(), e.GetCommand())
	}
	n.mu.Lock()
	n.applied = e.GetIndex()
	p := n.waiting[e.GetIndex()]
	delete(n.waiting, e.GetIndex())
	n.mu.Unlock()
	if p != nil {
		p.finish(outcome{result: result})
	}
}

// applySnapshot gives an installed snapshot to the state machine.
func (n *Node) applySnapshot(s *chicoryv1.SnapshotFile) bool {
	if err := n.options.StateMachine.Restore(s.GetData()); err != nil {
		n.fail(fault.New(fault.StorageFailed, "restore snapshot at entry %d: %v", s.GetIndex(), err))
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applied = s.GetIndex()
	return true
}

// takeSnapshot stores the applied state and drops the entries that it covers,
// but for those that a follower only a little behind still wants.
func (n *Node) takeSnapshot() {
	data, err := n.options.StateMachine.Snapshot()
	if err != nil {
		n.fail(fault.New(fault.StorageFailed, "the state machine gave no snapshot: %v", err))
		return
	}
	s := n.describeSnapshot(data)
	if s == nil || n.saveSnapshot(s) != nil {
		return
	}
	if err := n.compact(s.GetIndex()); err != nil {
		n.fail(err)
		return
	}
	n.logger.Info(logging.SnapshotTaken, logging.Fields{"index": s.GetIndex(), "bytes": len(data)})
}

// describeSnapshot returns nil when a newer snapshot was installed meanwhile.
func (n *Node) describeSnapshot(data []byte) *chicoryv1.SnapshotFile {
	n.mu.Lock()
	defer n.mu.Unlock()
	term, ok := n.log.term(n.applied)
	if !ok {
		return nil
	}
	return &chicoryv1.SnapshotFile{
		Index:      n.applied,
		Term:       term,
		Membership: n.log.membershipAt(n.applied).message(),
		Data:       data,
	}
}

// compact drops entries up to index. A snapshot of index is durable.
func (n *Node) compact(index uint64) error {
	if n.io.lock(n.ctx) != nil {
		return nil
	}
	defer n.io.unlock()
	n.mu.Lock()
	n.snapshot = max(n.snapshot, index)
	trailing := uint64(n.options.SnapshotEntries / 2)
	if index > trailing {
		n.log.compact(index - trailing)
	}
	n.mu.Unlock()
	return errors.Trace(n.storage.wal.Compact(index))
}
