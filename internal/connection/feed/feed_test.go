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
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// world is what control VMs in a test tell.
type world struct {
	mu          sync.Mutex // guards the fields below
	declaration *chicoryv1.Declaration
	changed     chan struct{}
	members     []string
	leader      string
}

func (w *world) declare(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.declaration = &chicoryv1.Declaration{Version: version}
	close(w.changed)
	w.changed = make(chan struct{})
}

// view is the source of one control VM.
type view struct {
	w    *world
	self string
}

func (v *view) Declaration() (*chicoryv1.Declaration, <-chan struct{}) {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return v.w.declaration, v.w.changed
}

func (v *view) Targets() (*chicoryv1.TargetList, bool, <-chan struct{}) {
	return nil, true, nil
}

func (v *view) Members() (addresses []string, leader string, leads bool) {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return v.w.members, v.w.leader, v.w.leader == v.self
}

// startControl serves the feed of one control VM and returns its address.
func startControl(t *testing.T, w *world) string {
	t.Helper()
	v := &view{w: w}
	mux := http.NewServeMux()
	path, h := chicoryv1connect.NewFeedServiceHandler(NewServer(v, NewBoard()))
	mux.Handle(path, h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	v.self = strings.TrimPrefix(s.URL, "http://")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members = append(w.members, v.self)
	return v.self
}

// startSilent accepts calls and never answers.
func startSilent(t *testing.T) string {
	t.Helper()
	stop := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(stop) })
	return strings.TrimPrefix(s.URL, "http://")
}

// entryVM notes what it is told.
type entryVM struct {
	mu      sync.Mutex // guards the fields below
	version uint64
	entries int
	tokens  uint32
}

func (e *entryVM) Declaration(d *chicoryv1.Declaration, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = max(e.version, d.GetVersion())
}

func (e *entryVM) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func (e *entryVM) Shared(o Others) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries, e.tokens = o.Entries, 0
	for _, l := range o.Loads {
		e.tokens += l.GetTokens()
	}
}

func (e *entryVM) Share(bool) *chicoryv1.ShareRequest {
	return &chicoryv1.ShareRequest{Loads: []*chicoryv1.EngineLoad{{Address: "e1", Tokens: 100}}}
}

func (e *entryVM) Targets(*chicoryv1.TargetList)         {}
func (e *entryVM) Fresh()                                {}
func (e *entryVM) Places([]*chicoryv1.PromptPlace, bool) {}
func (e *entryVM) told() (version uint64, entries int, tokens uint32) {
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

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal(what)
}

// TestSilentControlVMDelaysNothing: one seed never answers and one is off; changes come
// through the others, which the feed itself names.
func TestSilentControlVMDelaysNothing(t *testing.T) {
	w := &world{changed: make(chan struct{})}
	first := startControl(t, w)
	startControl(t, w)
	w.leader = first
	e := follow(t, "v1", startSilent(t), "127.0.0.1:1", first)
	w.declare(1)
	eventually(t, "the first declaration does not come", func() bool { return e.Version() == 1 })
	time.Sleep(100 * time.Millisecond)
	begin := time.Now()
	w.declare(2)
	eventually(t, "the second declaration does not come", func() bool { return e.Version() == 2 })
	assert.Assert(t, time.Since(begin) < time.Second)
}

// TestEntryVMsHearOfEachOtherThroughTheLeader, also after it changed.
func TestEntryVMsHearOfEachOtherThroughTheLeader(t *testing.T) {
	w := &world{changed: make(chan struct{})}
	first, second := startControl(t, w), startControl(t, w)
	w.leader = first
	a, b := follow(t, "v1", first, second), follow(t, "v2", second)
	hear := func() bool {
		_, entriesA, tokensA := a.told()
		_, entriesB, tokensB := b.told()
		return entriesA == 2 && entriesB == 2 && tokensA == 100 && tokensB == 100
	}
	eventually(t, "the entry VMs don't hear of each other", hear)
	w.mu.Lock()
	w.leader = second
	w.mu.Unlock()
	a.Shared(Others{})
	b.Shared(Others{})
	eventually(t, "the entry VMs don't hear of each other through the new leader", hear)
}

// TestFeedsAreNotCompressed: a change goes to many entry VMs within a second, and each
// message would be compressed for each of them.
func TestFeedsAreNotCompressed(t *testing.T) {
	asked := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case asked <- r.Header.Get("Connect-Accept-Encoding") + r.Header.Get("Accept-Encoding"):
		default:
		}
	}))
	defer s.Close()
	follow(t, "v1", strings.TrimPrefix(s.URL, "http://"))
	assert.Assert(t, !strings.Contains(<-asked, "gzip"))
}
