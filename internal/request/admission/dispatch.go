package admission

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// enqueue adds req to its team's queue, or refuses it when it is not expected to end
// by its deadline. When the pool's queues are full, the last request of the team with
// the most queued requests relative to its weight is refused. The caller holds mu.
func (a *Admitter) enqueue(p *pool, req *requestState, now time.Time) error {
	q := p.queue(req.team)
	index := q.insertionIndex(req)
	if err := a.checkExpectedWait(p, req, index, now); err != nil {
		return err
	}
	if p.waiting >= a.opts.Settings.MaxQueue && !a.evictFromLongestQueue(p, q, index, now) {
		return a.overloadedError(p, "queue is full", now)
	}
	req.decided = make(chan struct{})
	q.waiting = slices.Insert(q.waiting, index, req)
	a.addWaiting(p, req, 1)
	a.refuseLateTail(p, q, now)
	return nil
}

// addWaiting adds n to the counts of queued requests. The caller holds mu.
func (a *Admitter) addWaiting(p *pool, req *requestState, n int) {
	p.waiting += n
	if isCall(&req.work) {
		a.queuedCalls.Add(int64(n))
	}
}

// HasQueuedCalls reports whether any call is queued. Hedges would then only make the
// queued calls wait longer.
func (a *Admitter) HasQueuedCalls() bool {
	return a.queuedCalls.Load() > 0
}

// checkExpectedWait returns an error when req, at the given index of its team's
// queue, is not expected to end by its deadline. The error is TeamLimit when the
// team's own limit delays req longer than the pool does, and Overloaded otherwise.
// The caller holds mu.
func (a *Admitter) checkExpectedWait(p *pool, req *requestState, index int, now time.Time) error {
	poolWait := p.estimateWait(index, a.expectedSlots(p, p.queue(req.team), now))
	teamWait := time.Duration(0)
	if !isCall(&req.work) {
		teamWait = p.estimateTeamWait(req.team, index, a.limits(req.team))
	}
	expected := time.Duration(float64(max(poolWait, teamWait)) / a.opts.Settings.QueueShare)
	if !a.missesDeadline(p, req, expected, now) {
		return nil
	}
	if teamWait <= poolWait {
		return a.overloadedError(p, "queue can't reach the request before its deadline", now)
	}
	wait := req.team.retryPacer.delay(now, teamWait, 0, &a.opts.Settings, a.opts.Rand())
	return fault.New(fault.TeamLimit, "team %s has reached its limit of concurrent generations", req.team.name).WithRetryAfter(wait)
}

// missesDeadline reports whether a request that waits this long is expected to end
// after its deadline.
func (a *Admitter) missesDeadline(p *pool, req *requestState, wait time.Duration, now time.Time) bool {
	deadline := req.work.Deadline
	return !deadline.IsZero() && now.Add(wait+p.expectedDuration(req)).After(deadline)
}

// evictFromLongestQueue refuses the last request of the longest queue. It returns
// false when that would be the new request itself, which belongs at index of q. The
// caller holds mu.
func (a *Admitter) evictFromLongestQueue(p *pool, q *teamQueue, index int, now time.Time) bool {
	longest := p.longestQueue(func(t *team) float64 { return a.limits(t).weight })
	if longest == nil || longest == q && index == len(q.waiting) {
		return false
	}
	a.refuse(p, longest, longest.waiting[len(longest.waiting)-1], a.overloadedError(p, "queue is full", now))
	return true
}

// refuseLateTail refuses the last request of q when the insertion of another request
// before it makes it miss its deadline. The caller holds mu.
func (a *Admitter) refuseLateTail(p *pool, q *teamQueue, now time.Time) {
	last := len(q.waiting) - 1
	if err := a.checkExpectedWait(p, q.waiting[last], last, now); err != nil {
		a.refuse(p, q, q.waiting[last], err)
	}
}

// refuse removes req from its queue and fails it with err. The caller holds mu.
func (a *Admitter) refuse(p *pool, q *teamQueue, req *requestState, err error) {
	q.remove(req)
	a.addWaiting(p, req, -1)
	a.refund(req.team, &req.work, rateLimitCost(&req.work))
	req.decide(err)
}

// overloadedError returns an Overloaded error with a retry time that follows from
// the pool's backlog and throughput. The caller holds mu.
func (a *Admitter) overloadedError(p *pool, reason string, now time.Time) error {
	rate := p.throughput()
	backlog := time.Duration(0)
	if rate > 0 {
		backlog = secondsToDuration(float64(p.waiting) / rate)
	}
	wait := p.retryPacer.delay(now, backlog, rate*a.opts.Settings.ReturnShare, &a.opts.Settings, a.opts.Rand())
	return fault.New(fault.Overloaded, "%s", reason).WithRetryAfter(wait)
}

// nextQueue returns the queue whose first request is admitted next, or nil when no
// first request can start: each waits for a free slot, for one outside the reserve,
// or for its own team's limit. The caller holds mu.
func (a *Admitter) nextQueue(p *pool, now time.Time) *teamQueue {
	if p.waiting == 0 {
		return nil
	}
	r := a.computeReserve(p, now)
	return p.nextQueue(func(q *teamQueue) bool {
		return a.canStart(p, q, &q.waiting[0].work, r)
	})
}

// dispatch admits queued requests while the pool is below its limit. The caller
// holds mu.
func (a *Admitter) dispatch(p *pool, now time.Time) {
	a.refreshLimit(p, now)
	for p.waiting > 0 && p.running < p.limit {
		q := a.nextQueue(p, now)
		if q == nil {
			return
		}
		req := q.waiting[0]
		if a.missesDeadline(p, req, 0, now) {
			a.refuse(p, q, req, a.overloadedError(p, "request can't end before its deadline", now))
			continue
		}
		q.waiting = q.waiting[1:]
		a.addWaiting(p, req, -1)
		p.start(req, a.limits(q.team).weight, now)
		req.decide(nil)
	}
}

// waitForDecision blocks until req is admitted or refused. It refuses req when ctx
// is done or when req can no longer end before its deadline.
func (a *Admitter) waitForDecision(ctx context.Context, p *pool, req *requestState) error {
	timer := time.NewTimer(a.remainingWait(p, req))
	defer timer.Stop()
	for {
		select {
		case <-req.decided:
			return req.err
		case <-ctx.Done():
			return a.abandonWait(p, req, func(time.Time) error { return cancellationError(ctx) })
		case <-timer.C:
		}
		if left := a.remainingWait(p, req); left > 0 {
			timer.Reset(left)
			continue
		}
		return a.abandonWait(p, req, func(now time.Time) error {
			return a.overloadedError(p, "request can no longer end before its deadline", now)
		})
	}
}

// noDeadlineRecheck is the interval of the timer in waitForDecision for a request
// without a deadline.
const noDeadlineRecheck = time.Hour

// remainingWait returns how long req may still wait so that it is expected to end by
// its deadline.
func (a *Admitter) remainingWait(p *pool, req *requestState) time.Duration {
	if req.work.Deadline.IsZero() {
		return noDeadlineRecheck
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Until(req.work.Deadline) - p.expectedDuration(req)
}

// abandonWait removes req from its queue and returns newError(now). When req was
// admitted or refused in the meantime, it returns that decision instead.
func (a *Admitter) abandonWait(p *pool, req *requestState, newError func(now time.Time) error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !p.queue(req.team).remove(req) {
		return req.err
	}
	a.addWaiting(p, req, -1)
	a.refund(req.team, &req.work, rateLimitCost(&req.work))
	now := time.Now()
	a.dispatch(p, now)
	return newError(now)
}

// cancellationError returns the error for a caller that cancelled the request or
// whose deadline passed.
func cancellationError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlineNotRun, "deadline passed in the queue")
	}
	return fault.New(fault.Cancelled, "caller went away").WithRan(chicoryv1.Ran_RAN_NOT_RUN)
}

// release records the end of an admitted request and admits the next ones.
func (a *Admitter) release(p *pool, req *requestState, tokensUsed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	p.end(req, now)
	if !isCall(&req.work) {
		a.refund(req.team, &req.work, float64(req.work.Tokens-tokensUsed))
		a.dispatchOtherPools(p, now)
	}
	a.dispatch(p, now)
}

// dispatchOtherPools admits requests of other pools, because the end of a generation
// frees a slot of its team's limit, which applies to all pools. The caller holds mu.
func (a *Admitter) dispatchOtherPools(p *pool, now time.Time) {
	for _, other := range a.pools {
		if other != p && other.waiting > 0 {
			a.dispatch(other, now)
		}
	}
}
