package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// fakeLeader counts each report identity once and answers as told.
type fakeLeader struct {
	err       error
	arrives   bool
	response  *chicoryv1.ReportResponse
	seen      map[string]bool
	requests  uint64
	decisions int
	last      *chicoryv1.ReportRequest
}

func (l *fakeLeader) Report(_ context.Context, r *chicoryv1.ReportRequest) (*chicoryv1.ReportResponse, error) {
	l.last = r
	if l.arrives && !l.seen[r.GetReportId()] {
		l.seen[r.GetReportId()] = true
		l.decisions += len(r.GetDecisions())
		for _, e := range r.GetEvidence() {
			l.requests += e.GetRequests()
		}
	}
	return l.response, l.err
}

func newTestReporter() (*reporter, *fakeLeader) {
	l := &fakeLeader{seen: map[string]bool{}, response: &chicoryv1.ReportResponse{}}
	return &reporter{
		base:      &chicoryv1.ReportRequest{RouterId: "r1", Incarnation: "i"},
		client:    l,
		holder:    &config.Holder{},
		collector: evidence.NewCollector(),
		stopped:   func() []string { return nil },
		expect:    func(uint64) {},
		wake:      make(chan struct{}, 1),
	}, l
}

// Whatever mixture of answers, lost answers and refusals the reports meet,
// the leader counts every request and every decision once.
func TestEvidenceAndDecisionsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, l := newTestReporter()
		var unsent *chicoryv1.ReportRequest
		n := rapid.IntRange(1, 20).Draw(t, "tries")
		for range n {
			r.collector.Record(request.Observation{Route: "book", Version: "v1"})
			r.observe(logging.TargetEjected, logging.Fields{"target": "x"})
			l.err, l.arrives = nil, true
			switch rapid.SampledFrom([]string{"answered", "answer lost", "request lost", "no leader"}).Draw(t, "fate") {
			case "answer lost":
				l.err = fault.New(fault.NoQuorum, "no answer")
			case "request lost":
				l.err, l.arrives = fault.New(fault.NoQuorum, "no answer"), false
			case "no leader":
				l.err, l.arrives = fault.New(fault.NotLeader, "no control VM leads"), false
			}
			unsent = r.send(t.Context(), unsent)
		}
		l.err, l.arrives = nil, true
		assert.Assert(t, r.send(t.Context(), r.send(t.Context(), unsent)) == nil)
		assert.Equal(t, l.requests, uint64(n))
		assert.Equal(t, l.decisions, n)
	})
}

// The guard logs a stop with its lock held, and the reporter asks the guard.
func TestStoppedVersionsAreAskedWithoutTheLock(t *testing.T) {
	r, l := newTestReporter()
	r.stopped = func() []string {
		assert.Assert(t, r.mu.TryLock())
		r.mu.Unlock()
		return []string{"book/v2"}
	}
	r.leave()
	r.send(t.Context(), nil)
	assert.DeepEqual(t, l.last.GetStoppedVersions(), []string{"book/v2"})
	assert.Assert(t, l.last.GetLeaving())
}

// A router is ready only once it runs the revision that a leader confirmed to be
// in force, and stays so while control is away.
func TestReadyNeedsTheRevisionInForce(t *testing.T) {
	r, l := newTestReporter()
	isReady := func() bool { ok, _ := r.ready(); return ok }
	apply := func(revision uint64) {
		_, err := r.holder.ApplyFull(&chicoryv1.Configuration{ClusterId: "c", Revision: revision})
		assert.NilError(t, err)
	}
	apply(5)
	l.err = fault.New(fault.NoQuorum, "no answer")
	unsent := r.send(t.Context(), nil)
	assert.Assert(t, !isReady())
	l.err, l.response = nil, &chicoryv1.ReportResponse{CommittedRevision: 7}
	r.send(t.Context(), unsent)
	assert.Assert(t, !isReady())
	apply(7)
	assert.Assert(t, isReady())
	l.response = &chicoryv1.ReportResponse{CommittedRevision: 9}
	r.send(t.Context(), nil)
	assert.Assert(t, isReady())
}

// A leader that began only just now has not heard of every router: team limits are
// not widened by its count.
func TestCountOfNewLeaderOnlyGrows(t *testing.T) {
	r, l := newTestReporter()
	for _, c := range []struct {
		told     uint32
		settling bool
		want     int
	}{{2, true, 2}, {9, false, 9}, {1, true, 9}, {10, true, 10}, {8, false, 8}} {
		l.response = &chicoryv1.ReportResponse{LiveRouters: c.told, Settling: c.settling}
		r.send(t.Context(), nil)
		assert.Equal(t, r.liveRouters(), c.want)
	}
}

// What the last requests showed is reported although the router stops.
func TestLastReportIsSentAtTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, l := newTestReporter()
		r.interval, l.arrives = time.Hour, true
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.run(ctx)
		}()
		synctest.Wait()
		r.collector.Record(request.Observation{Route: "book", Version: "v1"})
		r.leave()
		synctest.Wait()
		assert.Assert(t, l.last.GetLeaving())
		r.collector.Record(request.Observation{Route: "book", Version: "v1"})
		cancel()
		<-done
		assert.Equal(t, l.requests, uint64(2))
	})
}

// While control is away, what waits for it stays within its bound.
func TestDecisionsAreBoundedWhileControlIsAway(t *testing.T) {
	r, l := newTestReporter()
	l.err = fault.New(fault.NoQuorum, "no answer")
	var unsent *chicoryv1.ReportRequest
	for range 10 * maxPendingDecisions {
		r.observe(logging.TargetEjected, nil)
		unsent = r.send(t.Context(), unsent)
	}
	assert.Assert(t, len(unsent.GetDecisions())+len(r.decisions) <= 2*maxPendingDecisions)
}
