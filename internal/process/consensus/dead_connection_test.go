package consensus

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/forwardertest"
	"github.com/chicoryswitch/chicoryswitch/internal/process/certs"
)

// TestDeadConnectionsAreReplaced makes forwarders between the replicas lose the state of all
// open connections, while new ones work. The idle timeout of a connection is 12 s;
// commits must not wait for it.
func TestDeadConnectionsAreReplaced(t *testing.T) {
	folder := t.TempDir()
	authority, err := certs.OpenAuthority(filepath.Join(folder, "keys"))
	assert.NilError(t, err)
	var members []Member
	var listen []string
	var forwarders []*forwardertest.Forwarder
	for _, id := range []string{"a", "b", "c"} {
		address := freeAddress(t)
		f, err := forwardertest.Start(address)
		assert.NilError(t, err)
		defer f.Close()
		forwarders = append(forwarders, f)
		listen = append(listen, address)
		members = append(members, Member{ID: id, Address: f.Address()})
	}
	nodes := make([]*loopbackNode, 3)
	for i := range nodes {
		nodes[i] = startLoopbackNode(t, authority, folder, members, i, listen[i])
		defer nodes[i].stop()
	}
	leader := awaitLeader(t, nodes)
	_, err = nodes[leader].Propose(context.Background(), []byte("x"))
	assert.NilError(t, err)
	for _, f := range forwarders {
		f.BlockFlows()
	}
	began := time.Now()
	for err = errors.New("not tried"); err != nil; {
		_, err = nodes[awaitLeader(t, nodes)].Propose(context.Background(), []byte("x"))
	}
	assert.Assert(t, time.Since(began) < 5*time.Second, "committed after %v", time.Since(began))
	t.Logf("committed again after %v", time.Since(began))
}
