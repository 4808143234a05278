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

// reportClient sends a report to the leader, as control.Client does.
type reportClient interface {
	Report(context.Context, *chicoryv1.ReportRequest) (*chicoryv1.ReportResponse, error)
}

var _ reportClient = (*control.Client)(nil)

// reporter sends heartbeats with evidence to the leader. It also learns from the
// answers whether the router is current: a router serves only once it runs a
// revision that is not older than what the leader had when the router started.
type reporter struct {
	base      *chicoryv1.ReportRequest // the fields that never change
	interval  time.Duration
	client    reportClient
	holder    *config.Holder
	collector *evidence.Collector
	stopped   func() []string
	// expect is told the revision that the leader has committed.
	expect func(revision uint64)
	wake   chan struct{}

	mu        sync.Mutex // guards the fields below
	floor     uint64     // revision that must run before the router is ready
	confirmed bool       // floor was learned
	leaving   bool
	decisions []string
	contact   time.Time
	routers   int
}

// run sends a report at each interval, at once after a new revision, and a last one
// when ctx ends.
func (r *reporter) run(ctx context.Context) {
	t := time.NewTicker(r.interval)
	defer t.Stop()
	var unsent *chicoryv1.ReportRequest
	for {
		unsent = r.send(ctx, unsent)
		select {
		case <-t.C:
		case <-r.wake:
		case <-ctx.Done():
			r.sendLast(unsent)
			return
		}
	}
}

// sendLast reports what the last requests showed, before the process ends.
func (r *reporter) sendLast(unsent *chicoryv1.ReportRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), lastReportTimeout)
	defer cancel()
	if unsent != nil && r.send(ctx, unsent) != nil {
		return
	}
	r.send(ctx, nil)
}

// send sends the unsent report again, or a new one. It returns the report when it
// was not answered: the next try has the same identity, because an earlier one may
// have arrived, and its evidence counts once.
func (r *reporter) send(ctx context.Context, unsent *chicoryv1.ReportRequest) *chicoryv1.ReportRequest {
	req := unsent
	if req == nil {
		req = r.next()
	}
	r.refresh(req)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := r.client.Report(ctx, req)
	if err != nil {
		return req
	}
	r.learn(resp)
	r.expect(resp.GetCommittedRevision())
	return nil
}

// next returns a new report with the evidence and decisions since the last one.
func (r *reporter) next() *chicoryv1.ReportRequest {
	evidence := r.collector.Drain()
	r.mu.Lock()
	defer r.mu.Unlock()
	req := &chicoryv1.ReportRequest{
		RouterId:         r.base.GetRouterId(),
		Incarnation:      r.base.GetIncarnation(),
		AvailabilityZone: r.base.GetAvailabilityZone(),
		Address:          r.base.GetAddress(),
		ReportId:         rand.Text(),
		Evidence:         evidence,
		Decisions:        r.decisions,
	}
	r.decisions = nil
	return req
}

// refresh sets what must be new in every try. mu is not held over stopped: the
// source of stops logs with its own lock held, and observe takes mu.
func (r *reporter) refresh(req *chicoryv1.ReportRequest) {
	req.StoppedVersions = r.stopped()
	r.mu.Lock()
	defer r.mu.Unlock()
	req.Leaving = r.leaving
	if v := r.holder.Current(); v != nil {
		req.Revision = v.Revision()
	}
}

func (r *reporter) learn(resp *chicoryv1.ReportResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contact = time.Now()
	if n := int(resp.GetLiveRouters()); !resp.GetSettling() || n > r.routers {
		r.routers = n
	}
	if !r.confirmed {
		r.confirmed = true
		r.floor = resp.GetCommittedRevision()
	}
}

// liveRouters returns the number of live routers, this one included, as the
// leader last told it.
func (r *reporter) liveRouters() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.routers, 1)
}

// ready reports whether the router may serve, and why not.
func (r *reporter) ready() (bool, string) {
	v := r.holder.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case v == nil:
		return false, "no configuration yet"
	case !r.confirmed:
		return false, "no leader has confirmed which revision is in force"
	case v.Revision() < r.floor:
		return false, "the configuration is older than the one in force"
	}
	return true, ""
}

// silenceMs returns how long, in milliseconds, the leader has not answered. It is
// the age that the configuration in force may have.
func (r *reporter) silenceMs() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.contact.IsZero() {
		return 0
	}
	return time.Since(r.contact).Milliseconds()
}

// poke makes the next report leave at once.
func (r *reporter) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reporter) leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.poke()
}

// decisionEvents are the events that explain shows to operators.
var decisionEvents = map[logging.Event]bool{
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

// observe keeps a decision with its reason for the next report. The oldest are
// dropped when there are too many.
func (r *reporter) observe(event logging.Event, fields logging.Fields) {
	if !decisionEvents[event] {
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
