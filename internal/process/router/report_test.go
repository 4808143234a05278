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

// fakeLeader counts what each report holds once, by report ID, and returns the
// configured response and error.
type fakeLeader struct {
	err         error
	delivered   bool // whether reports reach the leader
	response    *chicoryv1.ReportResponse
	seenReports map[string]bool
	requests    uint64
	decisions   int
	lastReport  *chicoryv1.ReportRequest
}

func (l *fakeLeader) Report(_ context.Context, r *chicoryv1.ReportRequest) (*chicoryv1.ReportResponse, error) {
	l.lastReport = r
	if l.delivered && !l.seenReports[r.GetReportId()] {
		l.seenReports[r.GetReportId()] = true
		l.decisions += len(r.GetDecisions())
		for _, e := range r.GetEvidence() {
			l.requests += e.GetRequests()
		}
	}
	return l.response, l.err
}

func newTestReporter() (*reporter, *fakeLeader) {
	l := &fakeLeader{seenReports: map[string]bool{}, response: &chicoryv1.ReportResponse{}}
	return &reporter{
		identity:            &chicoryv1.ReportRequest{RouterId: "r1", Incarnation: "i"},
		client:              l,
		holder:              &config.Holder{},
		collector:           evidence.NewCollector(),
		stoppedVersions:     func() []string { return nil },
		onCommittedRevision: func(uint64) {},
		wake:                make(chan struct{}, 1),
	}, l
}

// For any sequence of responses, lost responses, lost requests and refusals, the leader
// must count every request and every decision exactly once.
func TestEvidenceAndDecisionsAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, l := newTestReporter()
		var unsent *chicoryv1.ReportRequest
		n := rapid.IntRange(1, 20).Draw(t, "tries")
		for range n {
			r.collector.Record(request.Observation{Route: "book", Version: "v1"})
			r.observeEvent(logging.TargetEjected, logging.Fields{"target": "x"})
			l.err, l.delivered = nil, true
			switch rapid.SampledFrom([]string{"answered", "answer lost", "request lost", "no leader"}).Draw(t, "fate") {
			case "answer lost":
				l.err = fault.New(fault.NoQuorum, "no answer")
			case "request lost":
				l.err, l.delivered = fault.New(fault.NoQuorum, "no answer"), false
			case "no leader":
				l.err, l.delivered = fault.New(fault.NotLeader, "no control VM leads"), false
			}
			unsent = r.send(t.Context(), unsent)
		}
		l.err, l.delivered = nil, true
		assert.Assert(t, r.send(t.Context(), r.send(t.Context(), unsent)) == nil)
		assert.Equal(t, l.requests, uint64(n))
		assert.Equal(t, l.decisions, n)
	})
}

// Guards against a deadlock: share.Guard logs a stop while it holds its lock, which
// takes the reporter's lock, and the reporter asks the guard for stopped versions.
func TestStoppedVersionsAreReadWithoutLock(t *testing.T) {
	r, l := newTestReporter()
	r.stoppedVersions = func() []string {
		assert.Assert(t, r.mu.TryLock())
		r.mu.Unlock()
		return []string{"book/v2"}
	}
	r.announceLeaving()
	r.send(t.Context(), nil)
	assert.DeepEqual(t, l.lastReport.GetStoppedVersions(), []string{"book/v2"})
	assert.Assert(t, l.lastReport.GetLeaving())
}

// A router is ready only once it runs the revision that a leader confirmed to be in
// force. It stays ready without later revisions, as while no control VM responds.
func TestReadyNeedsRevisionInForce(t *testing.T) {
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

// A new leader has not received the reports of all routers yet. Its lower count of
// routers must not raise this router's share of the team limits.
func TestRouterCountOnlyGrowsWhileLeaderSettles(t *testing.T) {
	r, l := newTestReporter()
	for _, c := range []struct {
		reported uint32
		settling bool
		want     int
	}{{2, true, 2}, {9, false, 9}, {1, true, 9}, {10, true, 10}, {8, false, 8}} {
		l.response = &chicoryv1.ReportResponse{LiveRouters: c.reported, Settling: c.settling}
		r.send(t.Context(), nil)
		assert.Equal(t, r.liveRouters(), c.want)
	}
}

// The evidence of the last requests is reported when the router stops.
func TestLastReportIsSentAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, l := newTestReporter()
		r.interval, l.delivered = time.Hour, true
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.run(ctx)
		}()
		synctest.Wait()
		r.collector.Record(request.Observation{Route: "book", Version: "v1"})
		r.announceLeaving()
		synctest.Wait()
		assert.Assert(t, l.lastReport.GetLeaving())
		r.collector.Record(request.Observation{Route: "book", Version: "v1"})
		cancel()
		<-done
		assert.Equal(t, l.requests, uint64(2))
	})
}

// While no control VM responds, the number of decisions that wait for it stays bounded.
func TestPendingDecisionsAreBounded(t *testing.T) {
	r, l := newTestReporter()
	l.err = fault.New(fault.NoQuorum, "no answer")
	var unsent *chicoryv1.ReportRequest
	for range 10 * maxPendingDecisions {
		r.observeEvent(logging.TargetEjected, nil)
		unsent = r.send(t.Context(), unsent)
	}
	assert.Assert(t, len(unsent.GetDecisions())+len(r.decisions) <= 2*maxPendingDecisions)
}
