package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/watch"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// watchServer serves watches of one holder, or keeps silent.
type watchServer struct {
	chicoryv1connect.UnimplementedControlServiceHandler
	watches *watch.Server
	silent  bool
}

func (s *watchServer) Watch(ctx context.Context, req *connect.Request[chicoryv1.WatchRequest], stream *connect.ServerStream[chicoryv1.WatchResponse]) error {
	if s.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.watches.Watch(ctx, req.Msg, stream.Send)
}

// fixture is a watcher and its servers.
type fixture struct {
	*Watcher
	network *network
	sources []*config.Holder
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex // guards applied
	applied []*chicoryv1.Configuration
}

// newFixture starts a watcher of n servers; those listed in silent never answer.
func newFixture(n int, silent ...int) *fixture {
	f := &fixture{network: newNetwork(), done: make(chan struct{})}
	var addresses []string
	for i := range n {
		h := &config.Holder{}
		s := &watchServer{watches: watch.NewServer(h)}
		for _, x := range silent {
			s.silent = s.silent || x == i
		}
		address := fmt.Sprintf("10.0.0.%d:1", i)
		mux := http.NewServeMux()
		mux.Handle(chicoryv1connect.NewControlServiceHandler(s))
		f.network.handlers[address] = mux
		f.sources = append(f.sources, h)
		addresses = append(addresses, address)
	}
	f.Watcher = NewWatcher(&config.Holder{}, "r1", addresses, f.network.client(), logging.Discard(), func(uint64) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applied = append(f.applied, f.holder.Current().Raw())
	})
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(f.done)
		f.Run(ctx)
	}()
	return f
}

func (f *fixture) stop() {
	f.cancel()
	<-f.done
	synctest.Wait()
}

// configurationAt returns the naive copy's configuration of a revision.
func configurationAt(revision uint64, cluster string) *chicoryv1.Configuration {
	c := &chicoryv1.Configuration{Revision: revision, ClusterId: cluster}
	for i := range uint64(4) {
		if (revision+i)%3 > 0 {
			c.Teams = append(c.Teams, &chicoryv1.Team{Name: fmt.Sprint("t", i), TokensPerSecond: uint32(revision / (i + 1))})
		}
	}
	return c
}

// watchStep is one event at a drawn server.
type watchStep struct {
	kind, server int
	revision     uint64 // of a lagging server, at most the newest
	pause        time.Duration
}

func drawWatchStep(t *rapid.T) watchStep {
	return watchStep{
		kind:     rapid.IntRange(0, 3).Draw(t, "kind"),
		server:   rapid.IntRange(0, 2).Draw(t, "server"),
		revision: rapid.Uint64Range(1, 10).Draw(t, "revision"),
		pause:    time.Duration(rapid.IntRange(0, 500).Draw(t, "pause_ms")) * time.Millisecond,
	}
}

// Servers at drawn revisions, lagging ones, cut streams and hints of what is
// committed: the watcher only goes forward, each revision that it runs is that of
// the naive copy, and it ends at the newest.
func TestWatcherOnlyGoesForward(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawWatchStep), 1, 30).Draw(r, "steps")
		var f *fixture
		newest := uint64(1)
		synctest.Test(t, func(*testing.T) {
			f = newFixture(3)
			defer f.stop()
			_, _ = f.sources[0].ApplyFull(configurationAt(newest, "c"))
			for _, s := range steps {
				newest = f.do(s, newest)
				synctest.Wait()
			}
			for range 10 {
				f.Expect(newest)
				time.Sleep(2 * lagTimeout)
			}
		})
		f.check(r, newest)
	})
}

// do takes one step and returns the newest revision after it.
func (f *fixture) do(s watchStep, newest uint64) uint64 {
	switch s.kind {
	case 0:
		newest++
		_, _ = f.sources[s.server].ApplyFull(configurationAt(newest, "c"))
	case 1:
		_, _ = f.sources[s.server].ApplyFull(configurationAt(min(s.revision, newest), "c"))
	case 2:
		f.network.cut(fmt.Sprintf("10.0.0.%d:1", s.server))
	case 3:
		time.Sleep(s.pause)
	}
	return newest
}

func (f *fixture) check(t *rapid.T, newest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := uint64(0)
	for _, c := range f.applied {
		assert.Assert(t, c.GetRevision() > last)
		last = c.GetRevision()
		want := config.NewView(configurationAt(last, "c"))
		assert.Equal(t, len(c.GetTeams()), len(want.Raw().GetTeams()))
		for _, team := range c.GetTeams() {
			assert.Assert(t, proto.Equal(team, want.Team(team.GetName())))
		}
	}
	assert.Equal(t, last, newest)
}

// A follower that is cut off from the other control VMs keeps its streams alive
// but brings nothing new.
func TestWatchOfServerThatIsCutOffIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.stop()
		for i, revision := range []uint64{5, 9} {
			_, _ = f.sources[i].ApplyFull(configurationAt(revision, "c"))
		}
		time.Sleep(10 * watchSilence)
		assert.Equal(t, f.revision(), uint64(5))
		f.Expect(9)
		time.Sleep(2 * lagTimeout)
		assert.Equal(t, f.revision(), uint64(9))
	})
}

func TestSilentWatchIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2, 0)
		defer f.stop()
		_, _ = f.sources[1].ApplyFull(configurationAt(3, "c"))
		time.Sleep(watchSilence + 2*watchPause)
		assert.Equal(t, f.revision(), uint64(3))
	})
}

func TestOtherClusterIsRefused(t *testing.T) {
	h := &config.Holder{}
	_, err := h.ApplyFull(configurationAt(1, "c"))
	assert.NilError(t, err)
	_, err = h.ApplyFull(configurationAt(2, "other"))
	assert.ErrorContains(t, err, "cluster other")
	_, err = h.ApplyDelta(config.Diff(configurationAt(1, "other"), configurationAt(2, "other")))
	assert.ErrorContains(t, err, "cluster other")
	assert.Equal(t, h.Current().Revision(), uint64(1))
}
