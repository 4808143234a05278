package consensus

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
	"github.com/chicoryswitch/chicoryswitch/internal/process/snapshot"
	"github.com/chicoryswitch/chicoryswitch/internal/process/wal"
)

// startPassive starts a node that receives no messages and never campaigns.
func startPassive(d *disktest.Disk) (*Node, error) {
	return Start(Options{
		ID: "a", Members: []Member{{ID: "a"}, {ID: "b"}}, DataFolder: "data",
		Transport: nodeTransport{newNetwork(1), "a"}, StateMachine: &lenientMachine{}, FS: d.Mount(),
		ElectionTimeout: time.Hour, HeartbeatInterval: time.Hour,
	})
}

// TestStartAfterCrashDuringInstall starts with a snapshot beyond the log, as after a
// crash before the log was reset.
func TestStartAfterCrashDuringInstall(t *testing.T) {
	for name, lastIndex := range map[string]uint64{"shorter log": 3, "diverging log": 12} {
		t.Run(name, func(t *testing.T) {
			d := disktest.New()
			log, _, err := wal.Open(wal.Options{FS: d.Mount(), Folder: "data/log"})
			assert.NilError(t, err)
			var entries []*chicoryv1.LogEntry
			for i := uint64(1); i <= lastIndex; i++ {
				entries = append(entries, &chicoryv1.LogEntry{Index: i, Term: 1, Command: []byte("old")})
			}
			assert.NilError(t, log.Append(&chicoryv1.ReplicaState{Incarnation: "i", Term: 2}, entries))
			store, err := snapshot.Open(d.Mount(), "data/snapshots")
			assert.NilError(t, err)
			assert.NilError(t, store.Save(&chicoryv1.SnapshotFile{Index: 10, Term: 2}))

			n, err := startPassive(d)
			assert.NilError(t, err)
			assert.Equal(t, n.log.lastIndex(), uint64(10))
			resp, err := n.handleAppend(context.Background(), &chicoryv1.AppendRequest{
				Term: 2, Leader: &chicoryv1.Replica{Id: "b"}, To: n.self.toProto(), PreviousIndex: 10, PreviousTerm: 2,
				Entries: []*chicoryv1.LogEntry{{Index: 11, Term: 2, Command: []byte("new")}},
			})
			assert.NilError(t, err)
			assert.Assert(t, resp.GetAccepted())
			n.Stop()

			n, err = startPassive(d)
			assert.NilError(t, err)
			defer n.Stop()
			assert.Equal(t, n.log.lastIndex(), uint64(11))
		})
	}
}

// TestStartFailsWithoutSnapshot starts with a log whose first entries were removed after a
// snapshot, but without the snapshot.
func TestStartFailsWithoutSnapshot(t *testing.T) {
	d := disktest.New()
	log, _, err := wal.Open(wal.Options{FS: d.Mount(), Folder: "data/log"})
	assert.NilError(t, err)
	assert.NilError(t, log.Reset(&chicoryv1.ReplicaState{Incarnation: "i", Term: 2}, 10))
	_, err = startPassive(d)
	assert.Assert(t, fault.Is(err, fault.StorageFailed), "%v", err)
}

// TestStartWithoutLogCreatesNewReplica removes the log but not the snapshots.
func TestStartWithoutLogCreatesNewReplica(t *testing.T) {
	d := disktest.New()
	n, err := startPassive(d)
	assert.NilError(t, err)
	first := n.self
	n.Stop()
	store, err := snapshot.Open(d.Mount(), "data/snapshots")
	assert.NilError(t, err)
	assert.NilError(t, store.Save(&chicoryv1.SnapshotFile{Index: 10, Term: 2}))
	for _, path := range d.Files(".wal") {
		assert.NilError(t, d.Mount().Remove(path))
	}
	n, err = startPassive(d)
	assert.NilError(t, err)
	defer n.Stop()
	assert.Assert(t, n.self != first)
	assert.Equal(t, n.log.lastIndex(), uint64(0))
}
