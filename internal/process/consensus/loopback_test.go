package consensus

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/certs"
)

// counter is a state machine that counts its commands.
type counter struct {
	mu sync.Mutex
	n  uint64
}

func (c *counter) Apply(uint64, []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return binary.LittleEndian.AppendUint64(nil, c.n), nil
}

func (c *counter) Restore(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n = binary.LittleEndian.Uint64(b)
	return nil
}

type loopbackNode struct {
	*Node
	state  *counter
	client *peer.Client
	server *peer.Server
}

func (l *loopbackNode) stop() {
	_ = l.server.Close()
	l.Stop()
	_ = l.client.Close()
}

func startLoopbackNode(t *testing.T, authority *certs.Authority, folder string, members []Member, i int, listen string) *loopbackNode {
	t.Helper()
	files, err := authority.Issue(peer.Identity{ID: members[i].ID, Role: peer.RoleControl})
	assert.NilError(t, err)
	keys, err := peer.LoadCredentials(files)
	assert.NilError(t, err)
	l := &loopbackNode{state: &counter{}, client: peer.NewClient(keys)}
	l.Node, err = Start(Options{
		ID:           members[i].ID,
		Members:      members,
		DataFolder:   filepath.Join(folder, members[i].ID),
		Transport:    NewPeerTransport(l.client),
		StateMachine: l.state,
	})
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.Handle(l.Handler())
	l.server, err = peer.Listen(listen, keys, mux)
	assert.NilError(t, err)
	return l
}

func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

// awaitLeader waits until a node leads with a quorum and returns its position.
func awaitLeader(t *testing.T, nodes []*loopbackNode) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for i, n := range nodes {
			if n != nil && n.ReadBarrier(ctx) == nil {
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no leader")
	return -1
}

func TestThreeNodesOverQUIC(t *testing.T) {
	folder := t.TempDir()
	authority, err := certs.OpenAuthority(filepath.Join(folder, "keys"))
	assert.NilError(t, err)
	var members []Member
	for _, id := range []string{"a", "b", "c"} {
		members = append(members, Member{ID: id, Address: freeAddress(t)})
	}
	nodes := make([]*loopbackNode, 3)
	for i := range nodes {
		nodes[i] = startLoopbackNode(t, authority, folder, members, i, members[i].Address)
	}
	ctx := context.Background()
	leader := awaitLeader(t, nodes)
	for want := uint64(1); want <= 20; want++ {
		got, err := nodes[leader].Propose(ctx, []byte("x"))
		assert.NilError(t, err)
		assert.Equal(t, got, any(want))
	}

	nodes[leader].stop()
	stopped := leader
	nodes[stopped] = nil
	leader = awaitLeader(t, nodes)
	got, err := nodes[leader].Propose(ctx, []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, got, any(uint64(21)))

	nodes[stopped] = startLoopbackNode(t, authority, folder, members, stopped, members[stopped].Address)
	for nodes[stopped].Status().AppliedIndex < nodes[leader].Status().AppliedIndex {
		time.Sleep(10 * time.Millisecond)
	}
	for _, n := range nodes {
		n.stop()
	}
}
