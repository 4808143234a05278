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

// controlVM answers reports as its mode says.
type controlVM struct {
	chicoryv1connect.UnimplementedControlServiceHandler
	mode   mode
	leader string // named by a VM that doesn't lead
	asked  atomic.Int32
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
	v.asked.Add(1)
	switch v.mode {
	case frozen:
		<-ctx.Done()
		return nil, ctx.Err()
	case follows:
		return nil, fault.Answer(fault.New(fault.NotLeader, "not the leader").WithLeader(v.leader), "")
	case refuses:
		return nil, fault.Answer(fault.New(fault.InvalidArgument, "too large"), "")
	}
	return connect.NewResponse(&chicoryv1.ReportResponse{CommittedRevision: 1}), nil
}

// newVMs returns a client of the VMs a, b, c.
func newVMs(vms ...*controlVM) *Client {
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

func ask(ctx context.Context, c *Client) error {
	_, err := c.Report(ctx, &chicoryv1.ReportRequest{})
	return err
}

func TestLeaderIsFoundByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &controlVM{mode: dead}
		c := newVMs(&controlVM{mode: follows, leader: "c"}, b, &controlVM{mode: leads})
		assert.NilError(t, ask(t.Context(), c))
		assert.NilError(t, ask(t.Context(), c))
		assert.Equal(t, b.asked.Load(), int32(0))
	})
}

// While none leads, the VMs are asked until the caller's time ends: surely nothing
// was committed.
func TestNoLeaderEndsWithTheCallersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := &controlVM{mode: follows}
		c := newVMs(first, &controlVM{mode: follows}, &controlVM{mode: follows})
		ctx, cancel := context.WithTimeout(t.Context(), 9*electionPause/2)
		defer cancel()
		began := time.Now()
		assert.Assert(t, fault.Is(ask(ctx, c), fault.NotLeader))
		assert.Equal(t, time.Since(began), 9*electionPause/2)
		asked := first.asked.Load()
		assert.Assert(t, fault.Is(ask(ctx, c), fault.NotLeader))
		assert.Equal(t, first.asked.Load(), asked)
	})
}

// A lost answer is not asked for again, and each VM that is dead or frozen costs one
// request of many callers no more than one bound.
func TestLostAnswerIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stuck, leader := &controlVM{mode: frozen}, &controlVM{mode: leads}
		c := newVMs(stuck, &controlVM{mode: dead}, leader)
		began := time.Now()
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() { assert.Check(t, fault.Is(ask(t.Context(), c), fault.NoQuorum)) })
		}
		callers.Wait()
		assert.Equal(t, time.Since(began), attemptTimeout)
		assert.Equal(t, stuck.asked.Load(), int32(8))
		assert.Equal(t, leader.asked.Load(), int32(0))
		assert.Assert(t, fault.Is(ask(t.Context(), c), fault.NoQuorum))
		assert.NilError(t, ask(t.Context(), c))
		assert.Equal(t, time.Since(began), attemptTimeout)
	})
}

// A refusal by the leader, or a caller that went away, doesn't tell against it.
func TestLeaderThatRefusesStaysPresumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm, other := &controlVM{mode: refuses}, &controlVM{mode: follows}
		c := newVMs(vm, other)
		assert.Assert(t, fault.Is(ask(t.Context(), c), fault.InvalidArgument))
		assert.Equal(t, c.presumedLeader().ID, "a")
		vm.mode = frozen
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		assert.Assert(t, fault.Is(ask(ctx, c), fault.NoQuorum))
		assert.Equal(t, c.presumedLeader().ID, "a")
	})
}

// A connection that went silent for good is replaced although it always carries
// some caller's request.
func TestBusyConnectionThatWentSilentIsReplaced(t *testing.T) {
	authority, err := certs.OpenAuthority(t.TempDir())
	assert.NilError(t, err)
	keysOf := func(id peer.Identity) *peer.Keys {
		files, err := authority.Issue(id)
		assert.NilError(t, err)
		keys, err := peer.LoadKeys(files)
		assert.NilError(t, err)
		return keys
	}
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewControlServiceHandler(&controlVM{}))
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.ListenOn(udp, keysOf(peer.Identity{ID: "c1", Role: peer.RoleControl}), mux)
	defer func() { _ = server.Close() }()
	between, err := forwardertest.Start(udp.LocalAddr().String())
	assert.NilError(t, err)
	defer between.Close()
	client := peer.NewClient(keysOf(peer.Identity{ID: "r1", Role: peer.RoleRouter}))
	defer func() { _ = client.Close() }()
	c := NewClient([]VM{{ID: "c1", Address: between.Address()}}, client)
	assert.NilError(t, ask(t.Context(), c))
	between.LoseFlows()
	var callers sync.WaitGroup
	for i := range 10 {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * attemptTimeout / 10)
			failed := 0
			for ask(t.Context(), c) != nil {
				failed++
			}
			assert.Check(t, failed <= 2, "%d requests of one caller failed", failed)
		})
	}
	callers.Wait()
}
