package observe

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// platform is a fake platform that returns the list set by a test.
type platform struct {
	list chan []*chicoryv1.PlatformVM
}

func (p *platform) ListVMs(context.Context, *connect.Request[chicoryv1.ListVMsRequest]) (*connect.Response[chicoryv1.ListVMsResponse], error) {
	vms := <-p.list
	p.list <- vms
	return connect.NewResponse(&chicoryv1.ListVMsResponse{Vms: vms}), nil
}

func (p *platform) set(vms ...*chicoryv1.PlatformVM) {
	select {
	case <-p.list:
	default:
	}
	p.list <- vms
}

// startWatcher starts a watcher with one stand-in replica as its target.
func startWatcher(t *testing.T, p *platform) (*standin.Replica, *Table, *target.Pool) {
	t.Helper()
	r, server, err := standin.Listen(standin.Options{Address: "127.0.0.1:0", Version: "v1", Capacity: 7, TokenGap: time.Millisecond})
	assert.NilError(t, err)
	h := &config.Holder{}
	_, err = h.ApplyFull(&chicoryv1.Configuration{
		Revision: 1,
		Services: []*chicoryv1.Service{{Name: "s", Kind: chicoryv1.ServiceKind_SERVICE_KIND_MODEL}},
		Targets:  []*chicoryv1.Target{{Address: r.Address(), Service: "s", Version: "v1"}},
	})
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewPlatformServiceHandler(p))
	platformServer := httptest.NewServer(mux)
	pool := target.NewPool(nil)
	table := NewTable(Defaults())
	w := NewWatcher(Options{
		Holder: h, Table: table, Pool: pool, Settings: Defaults(),
		Platform: chicoryv1connect.NewPlatformServiceClient(platformServer.Client(), platformServer.URL),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		pool.Close()
		platformServer.Close()
		r.Close()
		_ = server.Close()
	})
	return r, table, pool
}

// eventually waits until condition returns true and fails the test if it never does.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(10*time.Millisecond))
}

func TestWatcherTracksLoadSilenceAndLeaving(t *testing.T) {
	p := &platform{list: make(chan []*chicoryv1.PlatformVM, 1)}
	p.set()
	r, table, _ := startWatcher(t, p)
	s := table.State(r.Address())
	eventually(t, "report", func() bool { return s.Report() != nil && s.Report().Capacity == 7 })

	r.SetFaults(&chicoryv1.Faults{Freeze: true})
	eventually(t, "silence", func() bool {
		_, silent := s.SilentSince(time.Now())
		return silent
	})
	r.SetFaults(&chicoryv1.Faults{Leaving: true})
	eventually(t, "own report", func() bool {
		_, silent := s.SilentSince(time.Now())
		by, leaving := s.Leaving()
		return !silent && leaving && by == "own report"
	})
	p.set(&chicoryv1.PlatformVM{Address: "127.0.0.1", State: chicoryv1.VMState_VM_STATE_LEAVING})
	r.SetFaults(&chicoryv1.Faults{})
	eventually(t, "platform list", func() bool {
		by, leaving := s.Leaving()
		return leaving && by == "platform list"
	})
	p.set(&chicoryv1.PlatformVM{Address: "127.0.0.1", State: chicoryv1.VMState_VM_STATE_LIVE})
	eventually(t, "return", func() bool {
		_, leaving := s.Leaving()
		return !leaving
	})
	p.set(&chicoryv1.PlatformVM{Address: "10.0.0.9", State: chicoryv1.VMState_VM_STATE_LIVE})
	eventually(t, "missing from the list", func() bool {
		_, leaving := s.Leaving()
		return leaving
	})
}

func TestCacheEventsAddHints(t *testing.T) {
	p := &platform{list: make(chan []*chicoryv1.PlatformVM, 1)}
	p.set()
	r, table, pool := startWatcher(t, p)
	n := 0
	eventually(t, "hint", func() bool {
		// Events sent before the watcher has opened its stream are lost, so prompts are
		// sent until one yields a hint.
		n++
		prompt := time.Duration(n).String()
		stream, err := pool.Clients(r.Address()).Engine.Generate(context.Background(), connect.NewRequest(
			&chicoryv1.EngineServiceGenerateRequest{GenerationId: prompt, Attempt: 1, Prompt: prompt, MaxTokens: 1}))
		assert.NilError(t, err)
		for stream.Receive() {
		}
		assert.NilError(t, stream.Close())
		return len(table.Hints.Targets(nil, standin.PrefixHash(prompt), time.Now())) == 1
	})
}

func TestSequenceGapLimitsHintLifetime(t *testing.T) {
	table := NewTable(Defaults())
	w := NewWatcher(Options{Table: table, Settings: Defaults()})
	last := w.applyEvent("a", &chicoryv1.CacheEventsResponse{Sequence: 1, PrefixHash: 5}, 0)
	last = w.applyEvent("a", &chicoryv1.CacheEventsResponse{Sequence: 3, PrefixHash: 6}, last)
	now := time.Now()
	assert.Assert(t, table.Hints.Has(5, "a", now))
	later := now.Add(Defaults().GapLifetime.Std())
	assert.Assert(t, !table.Hints.Has(5, "a", later))
	assert.Assert(t, table.Hints.Has(6, "a", later))
	assert.Assert(t, !table.Hints.Has(6, "a", later.Add(Defaults().HintLifetime.Std())))
	w.applyEvent("a", &chicoryv1.CacheEventsResponse{Sequence: 4, PrefixHash: 6, Evicted: true}, last)
	assert.Assert(t, !table.Hints.Has(6, "a", now))
}

func TestLoadCorrectsDelayedReportByLocalRequests(t *testing.T) {
	s := NewTable(Defaults()).State("a")
	begin := time.Now()
	s.RequestStarted()
	s.SampleInFlight(begin)
	for range 4 {
		s.RequestStarted()
	}
	// Measured while one request from this router was in flight, so the other 10 are from
	// other routers.
	s.SetReport(Report{Load: 11, MeasuredAt: begin.Add(time.Millisecond)})
	assert.Equal(t, s.Load(begin), 15.0)
	for range 5 {
		s.RequestEnded()
	}
	assert.Equal(t, s.Load(begin), 10.0)
	assert.Equal(t, s.Load(begin.Add(time.Minute)), 0.0)
}
