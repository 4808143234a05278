package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/forwardertest"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/certs"
)

// controlVM is a fake control VM that responds to reports according to its mode.
type controlVM struct {
	chicoryv1connect.UnimplementedControlServiceHandler
	mode     mode
	leader   string // leader ID in NotLeader errors
	requests atomic.Int32
}

type mode int

const (
	leads mode = iota
	follows
	frozen
	dead
	refuses
)

func (v *controlVM) Report(ctx context.Context, _ *connect.Request[chicoryv1.ReportRequest]) (*connect.Response[chicoryv1.ReportResponse], error) {
	v.requests.Add(1)
	switch v.mode {
	case frozen:
		<-ctx.Done()
		return nil, ctx.Err()
	case follows:
		return nil, fault.ToConnect(fault.New(fault.NotLeader, "not the leader").WithLeader(v.leader), "")
	case refuses:
		return nil, fault.ToConnect(fault.New(fault.InvalidArgument, "too large"), "")
	}
	return connect.NewResponse(&chicoryv1.ReportResponse{CommittedRevision: 1}), nil
}

// newTestClient returns a client of the given VMs, which get the IDs a, b, c.
func newTestClient(vms ...*controlVM) *Client {
	n := newNetwork()
	var list []VM
	for i, vm := range vms {
		id := string(rune('a' + i))
		list = append(list, VM{ID: id, Address: id})
		if vm.mode != dead {
			mux := http.NewServeMux()
			mux.Handle(chicoryv1connect.NewControlServiceHandler(vm))
			n.handlers[id] = mux
		}
	}
	return NewClient(list, n.client())
}

func sendReport(ctx context.Context, c *Client) error {
	_, err := c.Report(ctx, &chicoryv1.ReportRequest{})
	return err
}

func TestClientFollowsLeaderNamedInError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &controlVM{mode: dead}
		c := newTestClient(&controlVM{mode: follows, leader: "c"}, b, &controlVM{mode: leads})
		assert.NilError(t, sendReport(t.Context(), c))
		assert.NilError(t, sendReport(t.Context(), c))
		assert.Equal(t, b.requests.Load(), int32(0))
	})
}

// TestNoLeaderFailsAtDeadline checks that without a leader the VMs are tried until the
// caller's deadline, and that the error says that nothing was committed.
func TestNoLeaderFailsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := &controlVM{mode: follows}
		c := newTestClient(first, &controlVM{mode: follows}, &controlVM{mode: follows})
		ctx, cancel := context.WithTimeout(t.Context(), 9*electionRetryDelay/2)
		defer cancel()
		start := time.Now()
		assert.Assert(t, fault.Is(sendReport(ctx, c), fault.NotLeader))
		assert.Equal(t, time.Since(start), 9*electionRetryDelay/2)
		before := first.requests.Load()
		assert.Assert(t, fault.Is(sendReport(ctx, c), fault.NotLeader))
		assert.Equal(t, first.requests.Load(), before)
	})
}

// TestRequestWithLostResponseIsNotRetried checks that a request is not retried after
// its response was lost, and that a frozen or dead VM delays concurrent callers by no
// more than one attempt timeout.
func TestRequestWithLostResponseIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unresponsive, leader := &controlVM{mode: frozen}, &controlVM{mode: leads}
		c := newTestClient(unresponsive, &controlVM{mode: dead}, leader)
		start := time.Now()
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() { assert.Check(t, fault.Is(sendReport(t.Context(), c), fault.NoQuorum)) })
		}
		callers.Wait()
		assert.Equal(t, time.Since(start), attemptTimeout)
		assert.Equal(t, unresponsive.requests.Load(), int32(8))
		assert.Equal(t, leader.requests.Load(), int32(0))
		assert.Assert(t, fault.Is(sendReport(t.Context(), c), fault.NoQuorum))
		assert.NilError(t, sendReport(t.Context(), c))
		assert.Equal(t, time.Since(start), attemptTimeout)
	})
}

// TestRefusalKeepsPresumedLeader checks that neither an error response of the leader
// nor a canceled request changes the presumed leader.
func TestRefusalKeepsPresumedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm, other := &controlVM{mode: refuses}, &controlVM{mode: follows}
		c := newTestClient(vm, other)
		assert.Assert(t, fault.Is(sendReport(t.Context(), c), fault.InvalidArgument))
		assert.Equal(t, c.presumedLeader().ID, "a")
		vm.mode = frozen
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		assert.Assert(t, fault.Is(sendReport(ctx, c), fault.NoQuorum))
		assert.Equal(t, c.presumedLeader().ID, "a")
	})
}

// TestDeadBusyConnectionIsReplaced checks that a permanently dead connection is replaced
// although there is always a request in flight on it.
func TestDeadBusyConnectionIsReplaced(t *testing.T) {
	authority, err := certs.OpenAuthority(t.TempDir())
	assert.NilError(t, err)
	issueKeys := func(id peer.Identity) *peer.Credentials {
		files, err := authority.Issue(id)
		assert.NilError(t, err)
		keys, err := peer.LoadCredentials(files)
		assert.NilError(t, err)
		return keys
	}
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewControlServiceHandler(&controlVM{}))
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.ListenOn(udp, issueKeys(peer.Identity{ID: "c1", Role: peer.RoleControl}), mux)
	defer func() { _ = server.Close() }()
	forwarder, err := forwardertest.Start(udp.LocalAddr().String())
	assert.NilError(t, err)
	defer forwarder.Close()
	client := peer.NewClient(issueKeys(peer.Identity{ID: "r1", Role: peer.RoleRouter}))
	defer func() { _ = client.Close() }()
	c := NewClient([]VM{{ID: "c1", Address: forwarder.Address()}}, client)
	assert.NilError(t, sendReport(t.Context(), c))
	forwarder.BlockFlows()
	var callers sync.WaitGroup
	for i := range 10 {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * attemptTimeout / 10)
			failed := 0
			for sendReport(t.Context(), c) != nil {
				failed++
			}
			assert.Check(t, failed <= 2, "%d requests of one caller failed", failed)
		})
	}
	callers.Wait()
}
