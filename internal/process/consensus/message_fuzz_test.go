package consensus

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
)

// FuzzMessages sends a replica arbitrary messages of a peer. It may reject them and, when
// they contradict committed entries, stop. It must not panic, and a new start must be
// able to open its data folder.
func FuzzMessages(f *testing.F) {
	add := func(kind byte, m proto.Message) {
		b, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(kind, b)
	}
	peerReplica := &chicoryv1.Replica{Id: "b", Incarnation: "i"}
	members := membership{{replicaFromProto(peerReplica), true}}.toProto()
	add(0, &chicoryv1.JoinRequest{From: peerReplica})
	add(1, &chicoryv1.VoteRequest{Term: 2, Candidate: peerReplica, LastTerm: 9})
	add(2, &chicoryv1.AppendRequest{Term: 1, Leader: peerReplica, CommitIndex: 2, Entries: []*chicoryv1.LogEntry{
		{Index: 1, Term: 1, Membership: members}, {Index: 2, Term: 1, Command: []byte("x")},
	}})
	add(2, &chicoryv1.AppendRequest{Term: 1, Leader: peerReplica, Entries: []*chicoryv1.LogEntry{{Index: 0}}, PreviousIndex: ^uint64(0)})
	add(3, &chicoryv1.InstallRequest{
		Term: 1, Leader: peerReplica, SnapshotIndex: 5, SnapshotTerm: 1, Membership: members, Data: []byte("5:x"), Last: true,
	})
	f.Fuzz(func(t *testing.T, kind byte, b []byte) {
		d := disktest.New()
		n := fuzzNode(t, d)
		for range 2 {
			deliver(n, kind, b)
		}
		n.Stop()
		fuzzNode(t, d).Stop()
	})
}

func fuzzNode(t *testing.T, d *disktest.Disk) *Node {
	n, err := startPassive(d)
	assert.NilError(t, err)
	return n
}

// deliver decodes the bytes as a message of one kind and passes it to its handler.
func deliver(n *Node, kind byte, b []byte) {
	ctx := context.Background()
	switch kind % 4 {
	case 0:
		decodeAndHandle(b, &chicoryv1.JoinRequest{}, func(m *chicoryv1.JoinRequest) { _, _ = n.handleJoin(ctx, m) })
	case 1:
		decodeAndHandle(b, &chicoryv1.VoteRequest{}, func(m *chicoryv1.VoteRequest) { _, _ = n.handleVote(ctx, m) })
	case 2:
		decodeAndHandle(b, &chicoryv1.AppendRequest{}, func(m *chicoryv1.AppendRequest) {
			m.To = n.self.toProto()
			_, _ = n.handleAppend(ctx, m)
		})
	case 3:
		decodeAndHandle(b, &chicoryv1.InstallRequest{}, func(m *chicoryv1.InstallRequest) {
			m.To = n.self.toProto()
			_, _ = n.handleInstall(ctx, m)
		})
	}
}

func decodeAndHandle[M proto.Message](b []byte, m M, handle func(M)) {
	if proto.Unmarshal(b, m) == nil {
		handle(m)
	}
}

// lenientMachine is a state machine that accepts any snapshot.
type lenientMachine struct{ counter }

func (*lenientMachine) Restore([]byte) error { return nil }
