package consensus

import (
	"context"
	"path/filepath"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/snapshot"
	"github.com/chicoryswitch/chicoryswitch/internal/process/wal"
)

// Folders under the data folder.
const (
	logFolder      = "log"
	snapshotFolder = "snapshots"
)

// storage holds the durable files of a replica.
type storage struct {
	wal *wal.Log // used with Node.io held

	snapshotLock ioLock // guards the fields below
	snapshots    *snapshot.Store
	newest       uint64 // index of the newest snapshot
}

// open reads the data folder. A folder without a log is a new replica: it gets
// a new incarnation, made durable here, and what snapshots it has are dropped.
func (n *Node) open() error {
	o := n.options
	log, recovered, err := wal.Open(wal.Options{FS: o.FS, Folder: filepath.Join(o.DataFolder, logFolder)})
	if err != nil {
		return n.refuse(err)
	}
	snapshots, err := snapshot.Open(o.FS, filepath.Join(o.DataFolder, snapshotFolder))
	if err != nil {
		return n.refuse(err)
	}
	n.storage = &storage{wal: log, snapshots: snapshots, snapshotLock: newIOLock()}
	if recovered.CutBytes > 0 {
		n.logger.Warn(logging.LogRepaired, logging.Fields{"cut_bytes": recovered.CutBytes})
	}
	if recovered.State == nil {
		return n.refuse(n.openNew())
	}
	return n.refuse(n.openExisting(recovered))
}

// refuse logs an error that keeps the node from starting.
func (n *Node) refuse(err error) error {
	if err != nil {
		n.logger.Error(logging.StorageFailed, logging.Fields{"reason": err.Error()})
	}
	return errors.Trace(err)
}

func (n *Node) openNew() error {
	if err := n.storage.snapshots.Clear(); err != nil {
		return errors.Trace(err)
	}
	n.self = replica{id: n.options.ID, incarnation: newIncarnation(n.random)}
	return errors.Trace(n.storage.wal.Append(n.stateMessage(), nil))
}

func (n *Node) openExisting(r *wal.Recovered) error {
	n.self = replica{id: n.options.ID, incarnation: r.State.GetIncarnation()}
	n.term = r.State.GetTerm()
	n.vote = replicaOf(r.State.GetVote())
	s, err := n.storage.snapshots.Load()
	if err != nil {
		return errors.Trace(err)
	}
	if s.GetIndex() < r.AfterIndex {
		return fault.New(fault.StorageFailed,
			"the log begins after entry %d but the newest snapshot ends at %d", r.AfterIndex, s.GetIndex())
	}
	if s != nil {
		if err := n.openSnapshot(s); err != nil {
			return errors.Trace(err)
		}
	}
	if err := n.openEntries(r); err != nil {
		return errors.Trace(err)
	}
	n.synced = n.log.last()
	return nil
}

func (n *Node) openSnapshot(s *chicoryv1.SnapshotFile) error {
	if err := n.options.StateMachine.Restore(s.GetData()); err != nil {
		return errors.Annotatef(err, "restore snapshot at entry %d", s.GetIndex())
	}
	n.log.startAt(s)
	n.commit = s.GetIndex()
	n.applied = s.GetIndex()
	n.snapshot = s.GetIndex()
	n.storage.newest = s.GetIndex()
	return nil
}

// openEntries takes the entries after the snapshot. If the snapshot was
// installed over a shorter or diverging log, the log starts anew after it.
func (n *Node) openEntries(r *wal.Recovered) error {
	base := n.log.base
	skip := base - r.AfterIndex
	if skip > uint64(len(r.Entries)) {
		return errors.Trace(n.storage.wal.Reset(n.stateMessage(), base))
	}
	if skip > 0 && r.Entries[skip-1].GetTerm() != n.log.baseTerm {
		return errors.Trace(n.storage.wal.Reset(n.stateMessage(), base))
	}
	n.log.put(r.Entries[skip:])
	return nil
}

func (n *Node) stateMessage() *chicoryv1.ReplicaState {
	return n.stateWith(n.term, n.vote)
}

func (n *Node) stateWith(term uint64, vote replica) *chicoryv1.ReplicaState {
	return &chicoryv1.ReplicaState{
		Incarnation: n.self.incarnation,
		Term:        term,
		Vote:        vote.message(),
	}
}

// persist makes a state and entries durable. io is held, mu is not. A failure
// is final for the node.
func (n *Node) persist(state *chicoryv1.ReplicaState, entries []*chicoryv1.LogEntry) error {
	if err := n.storage.wal.Append(state, entries); err != nil {
		n.fail(err)
		return errors.Trace(err)
	}
	return nil
}

// saveSnapshot makes a snapshot durable unless a newer one is.
func (n *Node) saveSnapshot(s *chicoryv1.SnapshotFile) error {
	_ = n.storage.snapshotLock.lock(context.Background())
	defer n.storage.snapshotLock.unlock()
	if s.GetIndex() <= n.storage.newest {
		return nil
	}
	if err := n.storage.snapshots.Save(s); err != nil {
		n.fail(err)
		return errors.Trace(err)
	}
	n.storage.newest = s.GetIndex()
	return nil
}

// loadSnapshot reads the newest snapshot to send it.
func (n *Node) loadSnapshot() (*chicoryv1.SnapshotFile, error) {
	_ = n.storage.snapshotLock.lock(context.Background())
	defer n.storage.snapshotLock.unlock()
	s, err := n.storage.snapshots.Load()
	if err == nil && s == nil {
		err = fault.New(fault.StorageFailed, "the newest snapshot is gone")
	}
	if err != nil {
		n.fail(err)
	}
	return s, errors.Trace(err)
}

// fail takes the node out for good: it acknowledges nothing any more. Only a
// new start, which reads the disk again, brings it back.
func (n *Node) fail(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return
	}
	n.failed = err
	n.logger.Error(logging.StorageFailed, logging.Fields{"reason": err.Error()})
	n.stepDown()
	n.cancel()
}

func (s *storage) close() {
	_ = s.wal.Close()
}
