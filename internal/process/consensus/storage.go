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

// Subfolders of the data folder.
const (
	logFolder      = "log"
	snapshotFolder = "snapshots"
)

// storage holds the durable files of a replica.
type storage struct {
	wal *wal.Log // guarded by Node.writeMu

	snapshotMu  contextMutex // guards the fields below
	snapshots   *snapshot.Store
	newestIndex uint64 // index of the newest snapshot
}

// open opens the data folder. A folder without a log is a new replica: it gets a new,
// durable incarnation, and any snapshots in the folder are deleted.
func (n *Node) open() error {
	o := n.options
	log, recovered, err := wal.Open(wal.Options{FS: o.FS, Folder: filepath.Join(o.DataFolder, logFolder)})
	if err != nil {
		return n.logOpenError(err)
	}
	snapshots, err := snapshot.Open(o.FS, filepath.Join(o.DataFolder, snapshotFolder))
	if err != nil {
		return n.logOpenError(err)
	}
	n.storage = &storage{wal: log, snapshots: snapshots, snapshotMu: newContextMutex()}
	if recovered.TruncatedBytes > 0 {
		n.logger.Warn(logging.LogRepaired, logging.Fields{"cut_bytes": recovered.TruncatedBytes})
	}
	if recovered.State == nil {
		return n.logOpenError(n.createReplica())
	}
	return n.logOpenError(n.recoverReplica(recovered))
}

// logOpenError logs an error that prevents the node from starting.
func (n *Node) logOpenError(err error) error {
	if err != nil {
		n.logger.Error(logging.StorageFailed, logging.Fields{"reason": err.Error()})
	}
	return errors.Trace(err)
}

// createReplica initializes a folder that has no log.
func (n *Node) createReplica() error {
	if err := n.storage.snapshots.Clear(); err != nil {
		return errors.Trace(err)
	}
	n.self = replica{id: n.options.ID, incarnation: newIncarnation(n.random)}
	return errors.Trace(n.storage.wal.Append(n.currentState(), nil))
}

// recoverReplica loads the state, snapshot and log entries of an existing folder.
func (n *Node) recoverReplica(r *wal.Recovered) error {
	n.self = replica{id: n.options.ID, incarnation: r.State.GetIncarnation()}
	n.term = r.State.GetTerm()
	n.vote = replicaFromProto(r.State.GetVote())
	s, err := n.storage.snapshots.Load()
	if err != nil {
		return errors.Trace(err)
	}
	if s.GetIndex() < r.AfterIndex {
		return fault.New(fault.StorageFailed,
			"the log begins after entry %d but the newest snapshot ends at %d", r.AfterIndex, s.GetIndex())
	}
	if s != nil {
		if err := n.restoreSnapshot(s); err != nil {
			return errors.Trace(err)
		}
	}
	if err := n.recoverEntries(r); err != nil {
		return errors.Trace(err)
	}
	n.syncedIndex = n.log.lastIndex()
	return nil
}

// restoreSnapshot restores the state machine and starts the log after the snapshot.
func (n *Node) restoreSnapshot(s *chicoryv1.SnapshotFile) error {
	if err := n.options.StateMachine.Restore(s.GetData()); err != nil {
		return errors.Annotatef(err, "restore snapshot at entry %d", s.GetIndex())
	}
	n.log.resetTo(s)
	n.commitIndex = s.GetIndex()
	n.appliedIndex = s.GetIndex()
	n.snapshotIndex = s.GetIndex()
	n.storage.newestIndex = s.GetIndex()
	return nil
}

// recoverEntries loads the entries after the snapshot. If the snapshot was installed over
// a shorter or conflicting log, the log is reset to start after the snapshot.
func (n *Node) recoverEntries(r *wal.Recovered) error {
	baseIndex := n.log.baseIndex
	skip := baseIndex - r.AfterIndex
	if skip > uint64(len(r.Entries)) {
		return errors.Trace(n.storage.wal.Reset(n.currentState(), baseIndex))
	}
	if skip > 0 && r.Entries[skip-1].GetTerm() != n.log.baseTerm {
		return errors.Trace(n.storage.wal.Reset(n.currentState(), baseIndex))
	}
	n.log.appendEntries(r.Entries[skip:])
	return nil
}

func (n *Node) currentState() *chicoryv1.ReplicaState {
	return n.newReplicaState(n.term, n.vote)
}

func (n *Node) newReplicaState(term uint64, vote replica) *chicoryv1.ReplicaState {
	return &chicoryv1.ReplicaState{
		Incarnation: n.self.incarnation,
		Term:        term,
		Vote:        vote.toProto(),
	}
}

// persist makes a state and entries durable. The caller holds writeMu but not mu. A
// failure is permanent for the node.
func (n *Node) persist(state *chicoryv1.ReplicaState, entries []*chicoryv1.LogEntry) error {
	if err := n.storage.wal.Append(state, entries); err != nil {
		n.fail(err)
		return errors.Trace(err)
	}
	return nil
}

// saveSnapshot makes a snapshot durable unless one that is as new is already stored.
func (n *Node) saveSnapshot(s *chicoryv1.SnapshotFile) error {
	_ = n.storage.snapshotMu.lock(context.Background())
	defer n.storage.snapshotMu.unlock()
	if s.GetIndex() <= n.storage.newestIndex {
		return nil
	}
	if err := n.storage.snapshots.Save(s); err != nil {
		n.fail(err)
		return errors.Trace(err)
	}
	n.storage.newestIndex = s.GetIndex()
	return nil
}

// loadSnapshot reads the newest snapshot from disk.
func (n *Node) loadSnapshot() (*chicoryv1.SnapshotFile, error) {
	_ = n.storage.snapshotMu.lock(context.Background())
	defer n.storage.snapshotMu.unlock()
	s, err := n.storage.snapshots.Load()
	if err == nil && s == nil {
		err = fault.New(fault.StorageFailed, "the newest snapshot is missing")
	}
	if err != nil {
		n.fail(err)
	}
	return s, errors.Trace(err)
}

// fail stops the node permanently: it acknowledges nothing from then on. Recovery
// takes a new Start, which reads the disk again.
func (n *Node) fail(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failure != nil {
		return
	}
	n.failure = err
	n.logger.Error(logging.StorageFailed, logging.Fields{"reason": err.Error()})
	n.stepDown()
	n.cancel()
}

func (s *storage) close() {
	_ = s.wal.Close()
}
