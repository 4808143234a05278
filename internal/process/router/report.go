package router

import (
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/control"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

const (
	reportTimeout = 5 * time.Second
	// lastReportTimeout bounds the last report of a process that stops.
	lastReportTimeout = time.Second
	// maxPendingDecisions bounds the decisions that wait for the next report.
	maxPendingDecisions = 100
)

// reportClient sends reports to the leader. It is implemented by control.Client.
type reportClient interface {
	Report(context.Context, *chicoryv1.ReportRequest) (*chicoryv1.ReportResponse, error)
}

var _ reportClient = (*control.Client)(nil)

// reporter sends heartbeats with evidence to the leader. From the responses it also
// learns whether the router's configuration is current: the router is ready only once
// it runs a revision that is not older than the one that the leader had committed when
// it first responded.
type reporter struct {
	identity        *chicoryv1.ReportRequest // the fields that are the same in every report
	interval        time.Duration
	client          reportClient
	holder          *config.Holder
	collector       *evidence.Collector
	stoppedVersions func() []string
	// onCommittedRevision is called with the revision that the leader has committed.
	onCommittedRevision func(revision uint64)
	wake                chan struct{}

	mu               sync.Mutex // guards the fields below
	minRevision      uint64     // revision that must run before the router is ready
	minRevisionKnown bool
	leaving          bool
	decisions        []string
	lastResponse     time.Time
	routerCount      int
}

// run sends a report at each interval and on each wakeUp, and a last one when ctx ends.
func (r *reporter) run(ctx context.Context) {
	t := time.NewTicker(r.interval)
	defer t.Stop()
	var unanswered *chicoryv1.ReportRequest
	for {
		unanswered = r.send(ctx, unanswered)
		select {
		case <-t.C:
		case <-r.wake:
		case <-ctx.Done():
			r.sendLast(unanswered)
			return
		}
	}
}

// sendLast reports the evidence of the last requests before the process ends.
func (r *reporter) sendLast(unanswered *chicoryv1.ReportRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), lastReportTimeout)
	defer cancel()
	if unanswered != nil && r.send(ctx, unanswered) != nil {
		return
	}
	r.send(ctx, nil)
}

// send sends the unanswered report again, or a new one. It returns the report if it
// got no response. The retry has the same report ID, because the first try may have
// arrived and its evidence must be counted once.
func (r *reporter) send(ctx context.Context, unanswered *chicoryv1.ReportRequest) *chicoryv1.ReportRequest {
	req := unanswered
	if req == nil {
		req = r.newReport()
	}
	r.refresh(req)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := r.client.Report(ctx, req)
	if err != nil {
		return req
	}
	r.handleResponse(resp)
	r.onCommittedRevision(resp.GetCommittedRevision())
	return nil
}

// newReport returns a report with the evidence and decisions since the last one.
func (r *reporter) newReport() *chicoryv1.ReportRequest {
	evidence := r.collector.Drain()
	r.mu.Lock()
	defer r.mu.Unlock()
	req := &chicoryv1.ReportRequest{
		RouterId:         r.identity.GetRouterId(),
		Incarnation:      r.identity.GetIncarnation(),
		AvailabilityZone: r.identity.GetAvailabilityZone(),
		Address:          r.identity.GetAddress(),
		ReportId:         rand.Text(),
		Evidence:         evidence,
		Decisions:        r.decisions,
	}
	r.decisions = nil
	return req
}

// refresh sets the fields that must be current in every try. mu is not held during the
// call of stoppedVersions, which could deadlock: share.Guard logs a stop while it holds
// its own lock, and logging calls observeEvent, which takes mu.
func (r *reporter) refresh(req *chicoryv1.ReportRequest) {
	req.StoppedVersions = r.stoppedVersions()
	r.mu.Lock()
	defer r.mu.Unlock()
	req.Leaving = r.leaving
	if v := r.holder.Current(); v != nil {
		req.Revision = v.Revision()
	}
}

// handleResponse records the response of a leader. If settling is set, not every live
// router has reported to the leader yet. Its number of live routers may then be too low
// and is used only if it is higher than the previous one.
func (r *reporter) handleResponse(resp *chicoryv1.ReportResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponse = time.Now()
	if n := int(resp.GetLiveRouters()); !resp.GetSettling() || n > r.routerCount {
		r.routerCount = n
	}
	if !r.minRevisionKnown {
		r.minRevisionKnown = true
		r.minRevision = resp.GetCommittedRevision()
	}
}

// liveRouters returns the number of live routers, including this one, as last reported
// by the leader.
func (r *reporter) liveRouters() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.routerCount, 1)
}

// ready reports whether the router may serve and, if not, the reason.
func (r *reporter) ready() (bool, string) {
	v := r.holder.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case v == nil:
		return false, "no configuration yet"
	case !r.minRevisionKnown:
		return false, "no leader has confirmed which revision is in force"
	case v.Revision() < r.minRevision:
		return false, "the configuration is older than the one in force"
	}
	return true, ""
}

// silenceMs returns the milliseconds since the leader last responded. The configuration
// of this router may be outdated by as much.
func (r *reporter) silenceMs() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastResponse.IsZero() {
		return 0
	}
	return time.Since(r.lastResponse).Milliseconds()
}

// wakeUp makes run send the next report at once.
func (r *reporter) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// announceLeaving sends a report at once that the router is leaving.
func (r *reporter) announceLeaving() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.wakeUp()
}

// reportedEvents are the log events that are reported as decisions and that Explain
// returns to operators.
var reportedEvents = map[logging.Event]bool{
	logging.TargetEjected:      true,
	logging.TargetReturned:     true,
	logging.TargetLeaving:      true,
	logging.VersionStopped:     true,
	logging.ConnectionReplaced: true,
	logging.GenerationResumed:  true,
	logging.GenerationFailed:   true,
	logging.AnswerDropped:      true,
	logging.ClaimInDoubt:       true,
	logging.RequestRefused:     true,
}

// observeEvent keeps a decision and its reason for the next report. It drops the oldest
// ones beyond maxPendingDecisions.
func (r *reporter) observeEvent(event logging.Event, fields logging.Fields) {
	if !reportedEvents[event] {
		return
	}
	line := string(event)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		line += fmt.Sprintf(" %s=%v", name, fields[name])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions = append(r.decisions, line)
	if extra := len(r.decisions) - maxPendingDecisions; extra > 0 {
		r.decisions = slices.Clone(r.decisions[extra:])
	}
}
