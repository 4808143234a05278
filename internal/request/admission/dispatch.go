package admission

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// enqueue puts x into its team's queue, or refuses it when it can't be reached
// before its deadline. When the queue is full, a request of the team that has the
// most waiting for its weight is refused. The caller holds mu.
func (a *Admitter) enqueue(p *pool, x *waiter, now time.Time) error {
	q := p.queue(x.team)
	at := q.place(x)
	if err := a.checkWait(p, x, at, now); err != nil {
		return err
	}
	if p.waiting >= a.opts.Settings.MaxQueue && !a.makeRoom(p, q, at, now) {
		return a.overloaded(p, "queue is full", now)
	}
	x.decided = make(chan struct{})
	q.waiting = slices.Insert(q.waiting, at, x)
	a.countWaiting(p, x, 1)
	a.refuseLateTail(p, q, now)
	return nil
}

// countWaiting adds n to the numbers of waiting requests. The caller holds mu.
func (a *Admitter) countWaiting(p *pool, x *waiter, n int) {
	p.waiting += n
	if isCall(&x.work) {
		a.callsWaiting.Add(int64(n))
	}
}

// CallsWait reports whether calls wait in a queue now: hedges would only make
// them wait longer.
func (a *Admitter) CallsWait() bool {
	return a.callsWaiting.Load() > 0
}

// checkWait refuses x, at a place of its team's queue, when it would be late. It
// is the team's limit when that holds x back longer than the pool does.
func (a *Admitter) checkWait(p *pool, x *waiter, at int, now time.Time) error {
	byPool := p.wait(at, a.slotsOf(p, p.queue(x.team), now))
	byTeam := time.Duration(0)
	if !isCall(&x.work) {
		byTeam = p.waitForTeam(x.team, at, a.limits(x.team))
	}
	expected := time.Duration(float64(max(byPool, byTeam)) / a.opts.Settings.QueueShare)
	if !a.isLate(p, x, expected, now) {
		return nil
	}
	if byTeam <= byPool {
		return a.overloaded(p, "queue can't reach the request before its deadline", now)
	}
	wait := x.team.returns.wait(now, byTeam, 0, &a.opts.Settings, a.opts.Rand())
	return fault.New(fault.TeamLimit, "team %s has its limit of generations running", x.team.name).WithRetryAfter(wait)
}

// isLate reports whether a request that waits this long can't end by its deadline.
func (a *Admitter) isLate(p *pool, x *waiter, wait time.Duration, now time.Time) bool {
	d := x.work.Deadline
	return !d.IsZero() && now.Add(wait+p.expected(x)).After(d)
}

// makeRoom refuses the last request of the longest queue, and reports false when
// that would be the new request itself, at place at of q. The caller holds mu.
func (a *Admitter) makeRoom(p *pool, q *teamQueue, at int, now time.Time) bool {
	longest := p.longest(func(t *team) float64 { return a.limits(t).weight })
	if longest == nil || longest == q && at == len(q.waiting) {
		return false
	}
	a.refuse(p, longest, longest.waiting[len(longest.waiting)-1], a.overloaded(p, "queue is full", now))
	return true
}

// refuseLateTail refuses the last request of q when one before it made it late.
// The caller holds mu.
func (a *Admitter) refuseLateTail(p *pool, q *teamQueue, now time.Time) {
	last := len(q.waiting) - 1
	if err := a.checkWait(p, q.waiting[last], last, now); err != nil {
		a.refuse(p, q, q.waiting[last], err)
	}
}

// refuse takes x out of its queue with err. The caller holds mu.
func (a *Admitter) refuse(p *pool, q *teamQueue, x *waiter, err error) {
	q.remove(x)
	a.countWaiting(p, x, -1)
	a.refund(x.team, &x.work, reserved(&x.work))
	x.decide(err)
}

// overloaded makes a refusal that says when to come back. The caller holds mu.
func (a *Admitter) overloaded(p *pool, why string, now time.Time) error {
	rate := p.rate()
	backlog := time.Duration(0)
	if rate > 0 {
		backlog = seconds(float64(p.waiting) / rate)
	}
	wait := p.returns.wait(now, backlog, rate*a.opts.Settings.ReturnShare, &a.opts.Settings, a.opts.Rand())
	return fault.New(fault.Overloaded, "%s", why).WithRetryAfter(wait)
}

// nextQueue returns the queue whose first request is admitted next, or nil when
// none waits but for its own team's limit or for a reserved slot. The caller
// holds mu.
func (a *Admitter) nextQueue(p *pool, now time.Time) *teamQueue {
	if p.waiting == 0 {
		return nil
	}
	r := a.reserveOf(p, now)
	return p.next(func(q *teamQueue) bool {
		return a.mayStart(p, q, &q.waiting[0].work, r)
	})
}

// dispatch admits waiting requests while the pool has room. The caller holds mu.
func (a *Admitter) dispatch(p *pool, now time.Time) {
	a.refreshLimit(p, now)
	for p.waiting > 0 && p.running < p.limit {
		q := a.nextQueue(p, now)
		if q == nil {
			return
		}
		x := q.waiting[0]
		if a.isLate(p, x, 0, now) {
			a.refuse(p, q, x, a.overloaded(p, "request can't end before its deadline", now))
			continue
		}
		q.waiting = q.waiting[1:]
		a.countWaiting(p, x, -1)
		p.start(x, a.limits(q.team).weight, now)
		x.decide(nil)
	}
}

// await waits until x is decided. It refuses x itself when the caller goes away
// or when x can no longer end before its deadline.
func (a *Admitter) await(ctx context.Context, p *pool, x *waiter) error {
	timer := time.NewTimer(a.patience(p, x))
	defer timer.Stop()
	for {
		select {
		case <-x.decided:
			return x.err
		case <-ctx.Done():
			return a.giveUp(p, x, func(time.Time) error { return cancelled(ctx) })
		case <-timer.C:
		}
		if left := a.patience(p, x); left > 0 {
			timer.Reset(left)
			continue
		}
		return a.giveUp(p, x, func(now time.Time) error {
			return a.overloaded(p, "request can no longer end before its deadline", now)
		})
	}
}

// noDeadline is how often a request without a deadline looks up from its wait.
const noDeadline = time.Hour

// patience returns how long x may still wait.
func (a *Admitter) patience(p *pool, x *waiter) time.Duration {
	if x.work.Deadline.IsZero() {
		return noDeadline
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Until(x.work.Deadline) - p.expected(x)
}

// giveUp takes x out of its queue with the error that why makes. When x was
// decided meanwhile, that stands.
func (a *Admitter) giveUp(p *pool, x *waiter, why func(now time.Time) error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !p.queue(x.team).remove(x) {
		return x.err
	}
	a.countWaiting(p, x, -1)
	a.refund(x.team, &x.work, reserved(&x.work))
	now := time.Now()
	a.dispatch(p, now)
	return why(now)
}

// cancelled returns the error for a caller that went away or whose time ran out.
func cancelled(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlineNotRun, "deadline passed in the queue")
	}
	return fault.New(fault.Cancelled, "caller went away").WithRan(chicoryv1.Ran_RAN_NOT_RUN)
}

// release counts the end of an admitted request and admits the next ones.
func (a *Admitter) release(p *pool, x *waiter, tokensUsed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	p.end(x, now)
	if !isCall(&x.work) {
		a.refund(x.team, &x.work, float64(x.work.Tokens-tokensUsed))
		a.dispatchOthers(p, now)
	}
	a.dispatch(p, now)
}

// dispatchOthers admits requests of other pools, as the end of a generation may
// have freed a team's limit. The caller holds mu.
func (a *Admitter) dispatchOthers(p *pool, now time.Time) {
	for _, other := range a.pools {
		if other != p && other.waiting > 0 {
			a.dispatch(other, now)
		}
	}
}
