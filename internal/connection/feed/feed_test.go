package feed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// testCluster is the state that the control VMs of a test serve.
type testCluster struct {
	mu          sync.Mutex // guards the fields below
	declaration *chicoryv1.Declaration
	changed     chan struct{}
	members     []string
	leader      string
}

func (c *testCluster) declare(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.declaration = &chicoryv1.Declaration{Version: version}
	close(c.changed)
	c.changed = make(chan struct{})
}

// controlVM implements Source for one control VM.
type controlVM struct {
	cluster     *testCluster
	selfAddress string
}

func (v *controlVM) Declaration() (*chicoryv1.Declaration, <-chan struct{}) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return v.cluster.declaration, v.cluster.changed
}

func (v *controlVM) Targets() (*chicoryv1.TargetList, observe.Reading, <-chan struct{}) {
	return &chicoryv1.TargetList{}, observe.Reading{Began: time.Now(), Ended: time.Now()}, nil
}

func (v *controlVM) Members() (addresses []string, leader string, leads bool) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return v.cluster.members, v.cluster.leader, v.cluster.leader == v.selfAddress
}

// startControl serves the feed of one control VM and returns its address.
func startControl(t *testing.T, c *testCluster) string {
	t.Helper()
	v := &controlVM{cluster: c}
	mux := http.NewServeMux()
	path, h := chicoryv1connect.NewFeedServiceHandler(NewServer(v, NewSharedState()))
	mux.Handle(path, h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	v.selfAddress = strings.TrimPrefix(s.URL, "http://")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = append(c.members, v.selfAddress)
	return v.selfAddress
}

// startSilent starts a server that accepts calls and never responds, and returns its
// address.
func startSilent(t *testing.T) string {
	t.Helper()
	stop := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(stop) })
	return strings.TrimPrefix(s.URL, "http://")
}

// entryVM implements Sink and records what it receives.
type entryVM struct {
	mu      sync.Mutex // guards the fields below
	version uint64
	entries int
	tokens  uint32
	peers   []Peer
	// self is shared if it has an ID.
	self Peer
	// waiting is shared, remoteWaiting the number of streams that wait at others.
	waiting       []*chicoryv1.WaitingDemand
	remoteWaiting uint32
}

func (e *entryVM) ApplyDeclaration(d *chicoryv1.Declaration, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = max(e.version, d.GetVersion())
}

func (e *entryVM) DeclaredVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func (e *entryVM) SetRemoteState(o RemoteState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries, e.tokens, e.peers = o.EntryVMs, 0, o.Peers
	for _, l := range o.Loads {
		e.tokens += l.GetTokens()
	}
	e.remoteWaiting = 0
	for _, w := range o.Waiting {
		e.remoteWaiting += w.GetRequests()
	}
}

func (e *entryVM) LocalState(bool) *chicoryv1.ShareRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &chicoryv1.ShareRequest{Loads: []*chicoryv1.EngineLoad{{Address: "e1", Tokens: 100}}, EntryVm: e.self.EntryVM(), Waiting: e.waiting}
}

func (e *entryVM) SetTargets(*chicoryv1.TargetList, observe.Reading) {}
func (e *entryVM) ConfirmTargets()                                   {}
func (e *entryVM) AddPromptLocations([]*chicoryv1.PromptPlace, bool) {}

func (e *entryVM) MergeSuspects([]*chicoryv1.SuspectPart, bool) {}
func (e *entryVM) received() (version uint64, entries int, tokens uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.entries, e.tokens
}

func follow(t *testing.T, id string, seeds ...string) *entryVM {
	t.Helper()
	e := &entryVM{}
	f := NewFollower(FollowerOptions{
		ID: id, Seeds: seeds, Client: peer.NewPlainClient(), Sink: e, Logger: logging.Discard(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

// eventually waits until condition returns true and fails the test with message if that
// takes longer than 10 s.
func eventually(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal(message)
}

// TestUnresponsiveSeedsCauseNoDelay checks that declarations arrive in time although one
// seed never responds and another is down. The addresses of the remaining control VMs come
// from the feed.
func TestUnresponsiveSeedsCauseNoDelay(t *testing.T) {
	c := &testCluster{changed: make(chan struct{})}
	first := startControl(t, c)
	startControl(t, c)
	c.leader = first
	e := follow(t, "v1", startSilent(t), "127.0.0.1:1", first)
	c.declare(1)
	eventually(t, "the first declaration did not arrive", func() bool { return e.DeclaredVersion() == 1 })
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	c.declare(2)
	eventually(t, "the second declaration did not arrive", func() bool { return e.DeclaredVersion() == 2 })
	assert.Assert(t, time.Since(start) < time.Second)
}

// TestEntryVMsExchangeLoadsThroughLeader checks that entry VMs receive each other's loads
// through the leader, also after a leader change.
func TestEntryVMsExchangeLoadsThroughLeader(t *testing.T) {
	c := &testCluster{changed: make(chan struct{})}
	first, second := startControl(t, c), startControl(t, c)
	c.leader = first
	a, b := follow(t, "v1", first, second), follow(t, "v2", second)
	complete := func() bool {
		_, entriesA, tokensA := a.received()
		_, entriesB, tokensB := b.received()
		return entriesA == 2 && entriesB == 2 && tokensA == 100 && tokensB == 100
	}
	eventually(t, "the entry VMs did not receive each other's loads", complete)
	c.mu.Lock()
	c.leader = second
	c.mu.Unlock()
	a.SetRemoteState(RemoteState{})
	b.SetRemoteState(RemoteState{})
	eventually(t, "the entry VMs did not receive each other's loads through the new leader", complete)
}

// TestFeedsAreNotCompressed checks that followers do not ask for compression. A change
// is sent to many entry VMs within a second, and every message would be compressed
// separately for each of them.
func TestFeedsAreNotCompressed(t *testing.T) {
	encodings := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case encodings <- r.Header.Get("Connect-Accept-Encoding") + r.Header.Get("Accept-Encoding"):
		default:
		}
	}))
	defer s.Close()
	follow(t, "v1", strings.TrimPrefix(s.URL, "http://"))
	assert.Assert(t, !strings.Contains(<-encodings, "gzip"))
}
