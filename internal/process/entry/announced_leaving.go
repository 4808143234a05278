package entry

import (
	"context"
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const (
	// maxListLag bounds how far the platform's list lags behind the targets.
	maxListLag = 3 * time.Second
	// firstHealthCheck is the time from the announcement of a target to the first check whether it has
	// started again; each further interval is twice as long, up to maxHealthCheckInterval.
	firstHealthCheck       = maxListLag
	maxHealthCheckInterval = 8 * time.Second
	// unservedCheckInterval is the interval for a service without other targets.
	unservedCheckInterval = time.Second
	// healthCheckTimeout limits one check.
	healthCheckTimeout = 250 * time.Millisecond
	// drainMargin is how long before the end of the drain time a target gets its last new request.
	drainMargin = 200 * time.Millisecond
)

// HealthChecker asks targets for their health.
type HealthChecker interface {
	// CheckHealth returns the ID of the target at address (IP:port) and whether it says that it is healthy
	// and not leaving. path is the path that answers this.
	CheckHealth(ctx context.Context, address, path string) (instance string, healthy bool, err error)
}

// announcement is what a start has said of its end. The list may not show it yet.
type announcement struct {
	// firstAt and lastAt are when the first and the last response with it were received.
	firstAt, lastAt time.Time
	// checkedAt is when the target was last asked whether it has started again, or firstAt; checkAt is
	// when it is asked next, and checkInterval the time between both.
	checkedAt, checkAt time.Time
	checkInterval      time.Duration
}

// announce records that a start has said that it leaves, and reports whether that was not known.
func (s *targetStarts) announce(start feed.TargetInstance, now time.Time) bool {
	x := s.excluded[start]
	if x == nil {
		x = &exclusion{}
		s.excluded[start] = x
	}
	if s.listed[start] == nil && x.removedAt.IsZero() {
		x.removedAt = now
	}
	if x.announced != nil {
		x.announced.lastAt = now
		return false
	}
	x.announced = &announcement{firstAt: now, lastAt: now, checkedAt: now, checkAt: now.Add(firstHealthCheck), checkInterval: firstHealthCheck}
	return true
}

// mayFinish reports whether a start that leaves may still get requests if its service has no other
// targets: it has announced it less than drainTime ago, and no list shows it yet.
func (s *targetStarts) mayFinish(t *chicoryv1.ListedTarget, drainTime time.Duration, now time.Time) bool {
	x := s.excluded[feed.TargetInstanceOf(t)]
	return x != nil && x.announced != nil && x.shownBy.Ended.IsZero() && now.Sub(x.announced.firstAt) < drainTime-drainMargin
}

// dueHealthChecks returns the targets on the list that have announced that they leave, are shown as ready
// and are due to be asked whether they have started again. isServed reports whether a service has other
// targets.
func (s *targetStarts) dueHealthChecks(now time.Time, isServed func(service string) bool) []*chicoryv1.ListedTarget {
	var due []*chicoryv1.ListedTarget
	for start, x := range s.excluded {
		t := s.listed[start]
		if t == nil || t.GetLeaving() || x.announced == nil {
			continue
		}
		a := x.announced
		if !isServed(t.GetService()) {
			a.checkAt = earliest(a.checkAt, a.checkedAt.Add(unservedCheckInterval))
		}
		if now.Before(a.checkAt) {
			continue
		}
		a.checkInterval = min(2*a.checkInterval, maxHealthCheckInterval)
		a.checkedAt, a.checkAt = now, now.Add(a.checkInterval)
		due = append(due, t)
	}
	return due
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// confirmHealthy ends the exclusion of a start that has announced that it leaves, and reports whether there
// is one: the target said later, in a check that began at asked, that it does not.
func (s *targetStarts) confirmHealthy(start feed.TargetInstance, asked time.Time) bool {
	x := s.excluded[start]
	if x == nil || x.announced == nil || !x.announced.lastAt.Before(asked) || s.listed[start] == nil || s.listed[start].GetLeaving() {
		return false
	}
	delete(s.excluded, start)
	return true
}

// announceLeaving records that a target has said in a response that it leaves. It gets no new requests
// unless its service has no other targets.
func (r *routingState) announceLeaving(address, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.starts.announce(feed.TargetInstance{Address: address, Instance: instance}, now) {
		return
	}
	r.logger.Info(logging.TargetLeaving, logging.Fields{"target": address, "instance": instance, "excluded": r.starts.excludedCount()})
	r.updateTargets()
	time.AfterFunc(r.drainTime-drainMargin, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.updateTargets() // ends its use by a service without other targets
	})
}

// checkLeavingTargets asks targets that have announced that they leave, and that the list still shows as
// ready, whether they have started again, until ctx ends.
func (r *routingState) checkLeavingTargets(ctx context.Context, checker HealthChecker) {
	ticks := time.NewTicker(observe.ListReadInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			for _, t := range r.dueHealthChecks() {
				go r.checkHealth(ctx, checker, t)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *routingState) dueHealthChecks() []*chicoryv1.ListedTarget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list == nil {
		return nil
	}
	now := time.Now()
	served := map[string]bool{}
	for _, t := range r.targetsInUse(now) {
		served[t.GetService()] = true
	}
	return r.starts.dueHealthChecks(now, func(service string) bool { return served[service] })
}

// checkHealth ends the exclusion of a target that says that it is healthy.
func (r *routingState) checkHealth(ctx context.Context, checker HealthChecker, t *chicoryv1.ListedTarget) {
	view := r.declared.Current()
	if view == nil || view.Service(t.GetService()) == nil || !r.limits.Take(t.GetAddress()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	asked := time.Now()
	instance, healthy, err := checker.CheckHealth(ctx, t.GetAddress(), view.Service(t.GetService()).HealthPath)
	r.logger.Info(logging.TargetHealthChecked, logging.Fields{
		"target": t.GetAddress(), "instance": instance, "healthy": healthy, "reason": err,
	})
	if err != nil || !healthy || instance != t.GetInstance() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	start := feed.TargetInstanceOf(t)
	if !r.starts.confirmHealthy(start, asked) {
		return
	}
	r.limits.ForgetStart(start.Address, start.Instance, time.Now())
	r.updateTargets()
}

// targetsInUse returns the listed targets that get new requests: those that don't leave, and for services
// without any, those that have just announced that they do. The caller holds mu.
func (r *routingState) targetsInUse(now time.Time) []*chicoryv1.ListedTarget {
	served := map[string]bool{} // by service
	for _, t := range r.list.GetTargets() {
		served[t.GetService()] = served[t.GetService()] || !r.starts.isExcluded(t)
	}
	return slices.DeleteFunc(slices.Clone(r.list.GetTargets()), func(t *chicoryv1.ListedTarget) bool {
		return r.starts.isExcluded(t) && (served[t.GetService()] || !r.starts.mayFinish(t, r.drainTime, now))
	})
}
