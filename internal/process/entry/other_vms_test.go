package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// Other VMs connect to the peer address that a VM shares, and not to that of its callers.
func TestEntryVMSharesItsPeerAddress(t *testing.T) {
	r := newTestRoutingState()
	s := Settings{ID: "e1", AvailabilityZone: "a", CallerAddress: "10.1.0.24:8740", PeerPort: 7200, Seeds: []settings.Address{"10.1.0.27:8748"}}
	r.self = s.peer()
	assert.DeepEqual(t, r.self, feed.Peer{ID: "e1", PeerAddress: "10.1.0.24:7200", AvailabilityZone: "a"})
	shared := func() feed.Peer {
		vm := r.LocalState(false).GetEntryVm()
		return feed.Peer{ID: vm.GetId(), PeerAddress: vm.GetPeerAddress(), AvailabilityZone: vm.GetAvailabilityZone(), CutOff: vm.GetCutOff()}
	}
	assert.DeepEqual(t, shared(), r.self)
	cutOff := true
	r.isCutOff = func() bool { return cutOff }
	assert.Assert(t, shared().CutOff)
	cutOff = false
	assert.Assert(t, !shared().CutOff)
}

// A VM that takes a connection from anything but another entry VM, or opens one to anything
// but a target, lets others reach the whole network through it.
func TestOnlyListedAddressesAreKnown(t *testing.T) {
	r := newTestRoutingState()
	assert.Equal(t, len(r.peers()), 0)
	assert.Assert(t, !r.isEntryVM("10.1.0.24"))
	assert.Assert(t, !r.isTarget("t-1"))

	peers := []feed.Peer{{ID: "e2", PeerAddress: "10.1.0.24:7200"}, {ID: "e3", PeerAddress: "10.2.0.24:7200", CutOff: true}}
	r.SetRemoteState(feed.RemoteState{Peers: peers})
	assert.DeepEqual(t, r.peers(), peers)
	assert.Assert(t, r.isEntryVM("10.1.0.24"))
	assert.Assert(t, r.isEntryVM("::ffff:10.1.0.24"), "the same address on a socket for IPv6")
	assert.Assert(t, r.isEntryVM("10.2.0.24"))
	for _, other := range []string{"10.3.0.24", "10.1.0.24:7200", "e2", ""} {
		assert.Assert(t, !r.isEntryVM(other), other)
	}
	r.SetRemoteState(feed.RemoteState{Peers: peers[1:]})
	assert.DeepEqual(t, r.peers(), peers[1:])

	r.SetTargets(targetList(target("1", false), target("2", true)), readNow())
	assert.Assert(t, r.isTarget("t-1"))
	assert.Assert(t, r.isTarget("t-2"), "requests that it has accepted continue")
	assert.Assert(t, !r.isTarget("t-3"))
	r.SetTargets(targetList(target("2", true)), readNow())
	assert.Assert(t, !r.isTarget("t-1"))
}

// TestVMThatLostTheControlVMsIsStillHelped guards against a VM that loses the control VMs together with
// the targets, and is refused by the others once it is listed no longer.
func TestVMThatLostTheControlVMsIsStillHelped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoutingState()
		peers := []feed.Peer{{ID: "e2", PeerAddress: "10.1.0.24:7200"}, {ID: "e3", PeerAddress: "10.2.0.24:7200"}}
		r.SetRemoteState(feed.RemoteState{Peers: peers})
		time.Sleep(time.Hour)
		r.SetRemoteState(feed.RemoteState{Peers: peers[1:]})
		time.Sleep(formerPeerLifetime / 2)
		r.SetRemoteState(feed.RemoteState{Peers: nil})
		assert.DeepEqual(t, len(r.peers()), 0)
		assert.Assert(t, r.isEntryVM("10.1.0.24"))
		assert.Assert(t, r.isEntryVM("10.2.0.24"))
		time.Sleep(formerPeerLifetime / 2)
		assert.Assert(t, !r.isEntryVM("10.1.0.24"), "a VM that is gone for good")
		assert.Assert(t, r.isEntryVM("10.2.0.24"))
		time.Sleep(formerPeerLifetime / 2)
		assert.Assert(t, !r.isEntryVM("10.2.0.24"))
	})
}

// leader is a control VM that leads and records the entry VMs that share with it. Its feed
// names one other entry VM.
type leader struct {
	address string
	shared  chan *chicoryv1.EntryVM
}

func (l *leader) Follow(ctx context.Context, _ *connect.Request[chicoryv1.FollowRequest], stream *connect.ServerStream[chicoryv1.FollowResponse]) error {
	err := stream.Send(&chicoryv1.FollowResponse{
		Leader: l.address, InQuorum: true, Leads: true, LoadsAreWhole: true,
		EntryVmsAreWhole: true, EntryVms: []*chicoryv1.EntryVM{{Id: "e2", PeerAddress: "10.1.0.24:7200"}},
	})
	<-ctx.Done()
	return err
}

func (l *leader) Share(_ context.Context, r *connect.Request[chicoryv1.ShareRequest]) (*connect.Response[chicoryv1.ShareResponse], error) {
	select {
	case l.shared <- r.Msg.GetEntryVm():
	default:
	}
	return connect.NewResponse(&chicoryv1.ShareResponse{}), nil
}

// noPlatform is the adapter of a VM that serves no requests and reads no list.
type noPlatform struct{ Adapter }

func (noPlatform) ReadTargets(context.Context) ([]*chicoryv1.ListedTarget, error) {
	return nil, errors.New("there is no platform")
}

func (noPlatform) DialEngines(func(ctx context.Context, network, address string) (net.Conn, error)) {}

// TestStartedEntryVMIsKnownToOthers checks that a VM that starts shares its own settings, and
// that it knows the others from its feed.
func TestStartedEntryVMIsKnownToOthers(t *testing.T) {
	control := &leader{shared: make(chan *chicoryv1.EntryVM, 1)}
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewFeedServiceHandler(control))
	ln, err := net.Listen("tcp", "127.0.0.2:0") // entry VMs have the same port at 127.0.0.1
	assert.NilError(t, err)
	server := &httptest.Server{Listener: ln, Config: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}}
	control.address = ln.Addr().String()
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)

	s := Defaults()
	s.ID, s.AvailabilityZone, s.PeerPort = "e1", "a", ln.Addr().(*net.TCPAddr).Port
	s.CallerAddress, s.ReadyAddress, s.MonitorAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Seeds, s.StopGrace = []settings.Address{"127.0.0.2:1"}, settings.Duration(time.Second)
	p, err := Start(s, noPlatform{}, logging.Discard())
	assert.NilError(t, err)
	t.Cleanup(p.Stop)
	select {
	case vm := <-control.shared:
		assert.Equal(t, vm.GetId(), "e1")
		assert.Equal(t, vm.GetPeerAddress(), s.CallerAddress.WithPort(s.PeerPort))
		assert.Equal(t, vm.GetAvailabilityZone(), "a")
	case <-time.After(10 * time.Second):
		t.Fatal("the VM did not share")
	}
	for deadline := time.Now().Add(10 * time.Second); len(p.routingState.peers()) == 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.DeepEqual(t, p.routingState.peers(), []feed.Peer{{ID: "e2", PeerAddress: "10.1.0.24:7200"}})
}
