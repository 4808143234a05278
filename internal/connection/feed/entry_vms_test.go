package feed

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

func testPeer(n int) Peer {
	return Peer{ID: fmt.Sprintf("entry-%03d", n), PeerAddress: fmt.Sprintf("10.%d.0.%d:7200", n%3+1, n%200+20), AvailabilityZone: fmt.Sprintf("uy-sur-%c", 'a'+n%3)}
}

func sharePeer(s *SharedState, p Peer) {
	s.Update(&chicoryv1.ShareRequest{EntryId: p.ID, EntryVm: p.EntryVM()}, time.Now())
}

// peerFeed is one follower with the feed that a control VM sends it.
type peerFeed struct {
	sent     *followerState
	follower *Follower
	received *feedState
}

func newPeerFeed(server *Server, follower *Follower) *peerFeed {
	return &peerFeed{sent: &followerState{server: server, entryID: follower.opts.ID}, follower: follower, received: &feedState{}}
}

func newPeerFollower(id string) (*Follower, *entryVM) {
	sink := &entryVM{}
	return NewFollower(FollowerOptions{ID: id, Sink: sink, Logger: logging.Discard()}), sink
}

// next delivers the next message, as it arrives over a connection, and returns it. It is nil
// if there was none.
func (f *peerFeed) next(t assert.TestingT) *chicoryv1.FollowResponse {
	sent, _, _ := f.sent.nextMessage()
	if sent == nil {
		return nil
	}
	encoded, err := proto.Marshal(sent)
	assert.NilError(t, err)
	m := &chicoryv1.FollowResponse{}
	assert.NilError(t, proto.Unmarshal(encoded, m))
	assert.NilError(t, f.follower.deliver(m, f.received, "c1"))
	return m
}

func leadingServer(state *SharedState) (*Server, *staticSource) {
	source := &staticSource{members: []string{"c1"}}
	return NewServer(source, state), source
}

// The addresses of hundreds of VMs, repeated in each message of 100 ms to each of them, would
// be most of what a leader sends.
func TestLeaderSendsChangesOfEntryVMsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := NewSharedState()
		server, _ := leadingServer(state)
		for n := range 3 {
			sharePeer(state, testPeer(n))
		}
		follower, sink := newPeerFollower(testPeer(0).ID)
		feed := newPeerFeed(server, follower)
		m := feed.next(t)
		assert.Assert(t, m.GetEntryVmsAreWhole())
		assert.Equal(t, len(m.GetEntryVms()), 3)
		assert.DeepEqual(t, sink.otherVMs(), []Peer{testPeer(1), testPeer(2)})

		time.Sleep(KeepaliveInterval)
		for n := range 3 {
			sharePeer(state, testPeer(n))
		}
		m = feed.next(t)
		assert.Assert(t, !m.GetEntryVmsAreWhole())
		assert.Equal(t, len(m.GetEntryVms())+len(m.GetEntryVmsGone()), 0, "sharing again changes nothing")
		assert.DeepEqual(t, sink.otherVMs(), []Peer{testPeer(1), testPeer(2)})

		cutOff := testPeer(2)
		cutOff.CutOff = true
		sharePeer(state, cutOff)
		m = feed.next(t)
		assert.Equal(t, len(m.GetEntryVms()), 1)
		assert.DeepEqual(t, sink.otherVMs(), []Peer{testPeer(1), cutOff})
	})
}

// A VM that stopped, or is cut off from the leader, can't help others: connections that are
// opened through it fail.
func TestEntryVMThatStopsSharingIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := NewSharedState()
		server, _ := leadingServer(state)
		follower, sink := newPeerFollower("self")
		feed := newPeerFeed(server, follower)
		sharePeer(state, testPeer(1))
		sharePeer(state, testPeer(2))
		feed.next(t)
		for elapsed := time.Duration(0); elapsed <= loadLifetime+2*ShareInterval; elapsed += ShareInterval {
			time.Sleep(ShareInterval)
			sharePeer(state, testPeer(1))
			if m := feed.next(t); len(m.GetEntryVmsGone()) > 0 {
				assert.DeepEqual(t, m.GetEntryVmsGone(), []string{testPeer(2).ID})
				assert.Assert(t, elapsed >= loadLifetime, "removed while its share was valid")
			}
		}
		assert.DeepEqual(t, sink.otherVMs(), []Peer{testPeer(1)})
		sharePeer(state, testPeer(2))
		feed.next(t)
		assert.DeepEqual(t, sink.otherVMs(), []Peer{testPeer(1), testPeer(2)})

		// Its ID is kept for feeds that began before, and not forever.
		for range 2 {
			time.Sleep(loadLifetime + goneRetention + ShareInterval)
			feed.next(t)
		}
		assert.Equal(t, len(state.entryVMs.byID)+state.entryVMs.byChange.Len(), 0)
		assert.Equal(t, len(sink.otherVMs()), 0)
	})
}

// A VM that the leader names as gone must not stay because the follower's feed was interrupted
// shortly before, as the VMs of an earlier leader do.
func TestEntryVMIsRemovedAfterItsFeedWasInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := NewSharedState()
		server, _ := leadingServer(state)
		follower, sink := newPeerFollower("self")
		sharePeer(state, testPeer(1))
		newPeerFeed(server, follower).next(t)
		time.Sleep(loadLifetime / 2)
		feed := newPeerFeed(server, follower)
		feed.next(t)
		time.Sleep(loadLifetime/2 + ShareInterval)
		feed.next(t)
		assert.Equal(t, len(sink.otherVMs()), 0)
	})
}

// An entry VM whose targets and leader are lost together, with their zone, needs the others
// while there is no leader, and before all of them have shared with the next one.
func TestEntryVMsAreKnownDuringAnElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := NewSharedState(), NewSharedState()
		server, source := leadingServer(first)
		follower, sink := newPeerFollower("self")
		feed := newPeerFeed(server, follower)
		sharePeer(first, testPeer(1))
		sharePeer(first, testPeer(2))
		sharePeer(first, testPeer(3))
		feed.next(t)
		all := []Peer{testPeer(1), testPeer(2), testPeer(3)}
		assert.DeepEqual(t, sink.otherVMs(), all)
		source.follows = "none"
		time.Sleep(loadLifetime)
		feed.next(t)
		assert.DeepEqual(t, sink.otherVMs(), all)

		server, _ = leadingServer(second)
		feed = newPeerFeed(server, follower)
		assert.Assert(t, feed.next(t).GetEntryVmsAreWhole())
		assert.DeepEqual(t, sink.otherVMs(), all)
		for elapsed := time.Duration(0); elapsed <= loadLifetime; elapsed += ShareInterval {
			time.Sleep(ShareInterval)
			sharePeer(second, testPeer(2))
			sharePeer(second, testPeer(4))
			feed.next(t)
		}
		time.Sleep(KeepaliveInterval)
		feed.next(t)
		assert.DeepEqual(t, sink.otherVMs(), []Peer{testPeer(2), testPeer(4)}) // only these shared with the new leader
	})
}

// A control VM that leads again after another one has the VMs of its first time, and the
// follower has those of the other.
func TestEntryVMsAreWholeWhenAControlVMLeadsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := NewSharedState()
		server, source := leadingServer(state)
		follower, sink := newPeerFollower("self")
		feed := newPeerFeed(server, follower)
		sharePeer(state, testPeer(1))
		sharePeer(state, testPeer(2))
		feed.next(t)
		source.follows = "c2"
		time.Sleep(KeepaliveInterval)
		assert.Assert(t, !feed.next(t).GetLeads())
		time.Sleep(loadLifetime)
		sharePeer(state, testPeer(2))
		source.follows = ""
		m := feed.next(t)
		assert.Assert(t, m.GetEntryVmsAreWhole())
		assert.Equal(t, len(m.GetEntryVms()), 1)
		assert.Equal(t, len(m.GetEntryVmsGone()), 0, "VM 1 may not have shared yet")
		assert.DeepEqual(t, sink.otherVMs(), []Peer{testPeer(1), testPeer(2)})
	})
}

// A message with all VMs of a large deployment delays the loads and the list of targets that
// share the link of an entry VM.
func TestManyEntryVMsArriveInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entryVMs = 301
		state := NewSharedState()
		server, _ := leadingServer(state)
		want := []Peer{}
		for n := range entryVMs {
			sharePeer(state, testPeer(n))
			want = append(want, testPeer(n))
		}
		follower, sink := newPeerFollower("self")
		feed := newPeerFeed(server, follower)
		messages := 0
		for more := true; more; messages++ {
			m := feed.next(t)
			assert.Assert(t, len(m.GetEntryVms()) <= maxEntryVMsPerMessage)
			assert.Equal(t, m.GetEntryVmsAreWhole(), messages == 0)
			if more = feed.sent.moreEntryVMs; messages == 1 {
				want[0].CutOff = true // was sent with the first part
				sharePeer(state, want[0])
			}
		}
		assert.Equal(t, messages, (entryVMs+maxEntryVMsPerMessage)/maxEntryVMsPerMessage)
		assert.DeepEqual(t, sink.otherVMs(), want)
	})
}

// TestJoiningEntryVMIsSentAlone checks that a VM that joins costs the leader its own entry for
// each follower, however many there are. The bound is the size of that entry in a message.
func TestJoiningEntryVMIsSentAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entryVMs = 300
		state := NewSharedState()
		server, _ := leadingServer(state)
		for n := range entryVMs - 1 {
			sharePeer(state, testPeer(n))
		}
		follower, sink := newPeerFollower("self")
		feed := newPeerFeed(server, follower)
		all := 0
		for more := true; more; more = feed.sent.moreEntryVMs {
			m := feed.next(t)
			all += proto.Size(&chicoryv1.FollowResponse{EntryVms: m.GetEntryVms()})
		}
		time.Sleep(KeepaliveInterval)
		keepalive := proto.Size(feed.next(t))
		joining := testPeer(entryVMs - 1)
		sharePeer(state, joining)
		m := feed.next(t)
		assert.Equal(t, len(sink.otherVMs()), entryVMs)
		alone := proto.Size(&chicoryv1.FollowResponse{EntryVms: []*chicoryv1.EntryVM{joining.EntryVM()}})
		t.Logf("%d bytes for the VM that joins, in a message of %d bytes (keepalive: %d bytes); all VMs have %d bytes", alone, proto.Size(m), keepalive, all)
		assert.Assert(t, proto.Size(m) <= keepalive+alone, "a message has %d bytes, a keepalive %d", proto.Size(m), keepalive)
	})
}

// During an upgrade, an entry VM that does not listen for others must not be named to them,
// and the VMs that a leader of an earlier release can't confirm must not be used.
func TestEarlierReleasesNameNoEntryVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := NewSharedState()
		server, _ := leadingServer(state)
		follower, sink := newPeerFollower("self")
		feed := newPeerFeed(server, follower)
		state.Update(&chicoryv1.ShareRequest{EntryId: "earlier"}, time.Now())
		sharePeer(state, testPeer(1))
		m := feed.next(t)
		assert.Equal(t, m.GetEntries(), uint32(2), "it counts for the limits of all VMs")
		assert.DeepEqual(t, sink.otherVMs(), []Peer{testPeer(1)})

		earlierLeader := &chicoryv1.FollowResponse{Leads: true, InQuorum: true, LoadsAreWhole: true, Entries: 2}
		assert.NilError(t, follower.deliver(earlierLeader, &feedState{}, "c2"))
		assert.Equal(t, len(sink.otherVMs()), 0)
	})
}

// TestFollowersKnowOtherEntryVMs checks that the VMs that a follower accumulates are those that
// share, whenever it got its messages and however often its feed began anew.
func TestFollowersKnowOtherEntryVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, now := NewSharedState(), time.Now()
		server, _ := leadingServer(state)
		latest, sharedAt := map[string]Peer{}, map[string]time.Time{}
		feeds := []*peerFeed{}
		for n := range 3 {
			follower, _ := newPeerFollower(testPeer(n).ID)
			feeds = append(feeds, newPeerFeed(server, follower))
		}
		ledAt := make([]time.Time, len(feeds))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, len(feeds)-1).Draw(t, "feed")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				p := testPeer(rapid.IntRange(0, 5).Draw(t, "VM"))
				p.CutOff = rapid.Bool().Draw(t, "cut off")
				state.Update(&chicoryv1.ShareRequest{EntryId: p.ID, EntryVm: p.EntryVM()}, now)
				latest[p.ID], sharedAt[p.ID] = p, now
			case 2:
				feeds[n].sent.wasLeader = false // as after following another leader
			default:
				f := feeds[n]
				state.entryVMs.expiryCheckedAt = time.Time{}
				m := &chicoryv1.FollowResponse{Leads: true}
				f.sent.addLoads(m, now)
				f.sent.addEntryVMs(m, now)
				if m.GetEntryVmsAreWhole() {
					ledAt[n] = now
				}
				f.received.applyEntryVMs(m, now)
				got := map[string]Peer{}
				for _, p := range f.follower.updatePeers(m, f.received, now) {
					got[p.ID] = p
				}
				want := maps.Clone(latest)
				maps.DeleteFunc(want, func(id string, _ Peer) bool {
					return id == f.follower.opts.ID || now.Sub(sharedAt[id]) > loadLifetime
				})
				if now.Sub(ledAt[n]) < loadLifetime {
					// VMs that the feed named before it began anew may be known as well.
					maps.DeleteFunc(got, func(id string, _ Peer) bool { _, shares := want[id]; return !shares })
				}
				assert.DeepEqual(t, got, want)
			}
		}
	})
}

// TestCutOffVMIsKnownWithinTwoTenths checks the time until the other VMs no longer open
// connections through a VM that reaches no target itself. Target: 200 ms.
func TestCutOffVMIsKnownWithinTwoTenths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newPipeNetwork(t)
		source := &staticSource{members: []string{"c1:1"}}
		network.serve("c1:1", NewServer(source, NewSharedState()))
		peers := []Peer{testPeer(0), testPeer(1)}
		a, b := network.follow(peers[0], "c1:1"), network.follow(peers[1], "c1:1")
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, a.otherVMs(), peers[1:])
		assert.DeepEqual(t, b.otherVMs(), peers[:1])
		for i := range 10 {
			cutOff := i%2 == 0
			time.Sleep(time.Duration(i) * 37 * time.Millisecond)
			a.setCutOff(cutOff)
			time.Sleep(2 * ShareInterval)
			synctest.Wait()
			assert.Equal(t, b.otherVMs()[0].CutOff, cutOff, "change %d", i)
		}
	})
}

// TestPartsOfEntryVMsFollowAtOnce checks that a VM that starts in a large deployment knows all
// others with the first messages: a part in each message of 100 ms would take it as long as
// many requests have.
func TestPartsOfEntryVMsFollowAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entryVMs = 300
		network := newPipeNetwork(t)
		state := NewSharedState()
		for n := range entryVMs {
			sharePeer(state, testPeer(n))
		}
		network.serve("c1:1", NewServer(&staticSource{members: []string{"c1:1"}}, state))
		e := network.follow(Peer{ID: "self", PeerAddress: "10.1.0.1:7200"}, "c1:1")
		time.Sleep(time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(e.otherVMs()), entryVMs)
	})
}

// The state of a VM that changes is shared at once, and not with the next load.
func TestChangeOfAnEntryVMIsUrgent(t *testing.T) {
	share := func(cutOff bool) *chicoryv1.ShareRequest {
		p := testPeer(1)
		p.CutOff = cutOff
		return &chicoryv1.ShareRequest{EntryVm: p.EntryVM()}
	}
	assert.Assert(t, !isUrgent(share(false), share(false)))
	assert.Assert(t, isUrgent(share(false), share(true)))
	assert.Assert(t, isUrgent(share(true), share(false)))
	assert.Assert(t, isUrgent(&chicoryv1.ShareRequest{}, share(false)))
}

// pipeNetwork connects clients and servers of one test in memory.
type pipeNetwork struct {
	t         *testing.T
	listeners map[string]*pipeListener
}

func newPipeNetwork(t *testing.T) *pipeNetwork {
	return &pipeNetwork{t: t, listeners: map[string]*pipeListener{}}
}

// pipeListener accepts connections that are made by a pipeNetwork. It implements net.Listener.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serve serves a feed at an address until the test ends.
func (n *pipeNetwork) serve(address string, s *Server) {
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewFeedServiceHandler(s))
	l := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	n.t.Cleanup(func() { _ = server.Close() })
}

// follow runs a follower of the seeds until the test ends.
func (n *pipeNetwork) follow(self Peer, seeds ...string) *entryVM {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		client, server := net.Pipe()
		l := n.listeners[address]
		select {
		case l.accepted <- server:
			return client, nil
		case <-l.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	transport := &http.Transport{DialContext: dial, DisableCompression: true}
	e := &entryVM{self: self}
	f := NewFollower(FollowerOptions{ID: self.ID, Seeds: seeds, Client: &http.Client{Transport: transport}, Sink: e, Logger: logging.Discard()})
	ctx, cancel := context.WithCancel(n.t.Context())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	n.t.Cleanup(func() {
		cancel()
		<-done
		transport.CloseIdleConnections()
	})
	return e
}

func (e *entryVM) setCutOff(cutOff bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.self.CutOff = cutOff
}

// otherVMs returns the other entry VMs that the sink received last.
func (e *entryVM) otherVMs() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.peers)
}
