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

// watchServer serves watches of one holder, or never responds if silent is set.
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

// fixture contains a watcher and its servers.
type fixture struct {
	*Watcher
	network *network
	sources []*config.Holder // one per server
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex // guards applied
	applied []*chicoryv1.Configuration
}

// newFixture starts a watcher with n servers. The servers with an index in silent never
// respond.
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

// configurationAt returns the reference configuration of a revision.
func configurationAt(revision uint64, cluster string) *chicoryv1.Configuration {
	c := &chicoryv1.Configuration{Revision: revision, ClusterId: cluster}
	for i := range uint64(4) {
		if (revision+i)%3 > 0 {
			c.Teams = append(c.Teams, &chicoryv1.Team{Name: fmt.Sprint("t", i), TokensPerSecond: uint32(revision / (i + 1))})
		}
	}
	return c
}

// watchStep is a randomly generated event at one server.
type watchStep struct {
	kind, server int
	revision     uint64 // for a lagging server; limited to the latest revision
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

// TestWatcherRevisionsOnlyIncrease checks that the revisions of the watcher only
// increase, that every applied configuration equals the reference, and that the watcher
// ends at the latest revision. The servers have random revisions, some lag, streams are
// canceled, and the watcher is notified of committed revisions.
func TestWatcherRevisionsOnlyIncrease(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawWatchStep), 1, 30).Draw(r, "steps")
		var f *fixture
		newest := uint64(1)
		synctest.Test(t, func(*testing.T) {
			f = newFixture(3)
			defer f.stop()
			_, _ = f.sources[0].ApplyFull(configurationAt(newest, "c"))
			for _, s := range steps {
				newest = f.runStep(s, newest)
				synctest.Wait()
			}
			for range 10 {
				f.ExpectRevision(newest)
				time.Sleep(2 * lagTimeout)
			}
		})
		f.check(r, newest)
	})
}

// runStep runs one step and returns the latest revision after it.
func (f *fixture) runStep(s watchStep, newest uint64) uint64 {
	switch s.kind {
	case 0:
		newest++
		_, _ = f.sources[s.server].ApplyFull(configurationAt(newest, "c"))
	case 1:
		_, _ = f.sources[s.server].ApplyFull(configurationAt(min(s.revision, newest), "c"))
	case 2:
		f.network.cancelRequests(fmt.Sprintf("10.0.0.%d:1", s.server))
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

// TestWatchOfPartitionedServerIsReplaced checks that the watcher leaves a server that is
// partitioned from the other control VMs. Such a server keeps its streams alive with
// keepalives but delivers no new revisions.
func TestWatchOfPartitionedServerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.stop()
		for i, revision := range []uint64{5, 9} {
			_, _ = f.sources[i].ApplyFull(configurationAt(revision, "c"))
		}
		time.Sleep(10 * watchTimeout)
		assert.Equal(t, f.revision(), uint64(5))
		f.ExpectRevision(9)
		time.Sleep(2 * lagTimeout)
		assert.Equal(t, f.revision(), uint64(9))
	})
}

func TestSilentWatchIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2, 0)
		defer f.stop()
		_, _ = f.sources[1].ApplyFull(configurationAt(3, "c"))
		time.Sleep(watchTimeout + 2*watchRetryDelay)
		assert.Equal(t, f.revision(), uint64(3))
	})
}

func TestConfigurationOfOtherClusterIsRejected(t *testing.T) {
	h := &config.Holder{}
	_, err := h.ApplyFull(configurationAt(1, "c"))
	assert.NilError(t, err)
	_, err = h.ApplyFull(configurationAt(2, "other"))
	assert.ErrorContains(t, err, "cluster other")
	_, err = h.ApplyDelta(config.Diff(configurationAt(1, "other"), configurationAt(2, "other")))
	assert.ErrorContains(t, err, "cluster other")
	assert.Equal(t, h.Current().Revision(), uint64(1))
}
