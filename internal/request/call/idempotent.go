package call

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// Bounds of the attempts of an idempotent call.
const (
	// silenceFactor times the hedge delay without an answer counts as silence: the
	// connections in use are replaced and another attempt is started beside them.
	silenceFactor = 10
	minSilence    = 100 * time.Millisecond
	// silenceShare bounds one attempt's silence to a share of the call's time, so that
	// a third target is tried before the deadline.
	silenceShare = 3
	// maxBudgetWait bounds how long a retry waits for the budget.
	maxBudgetWait = 100 * time.Millisecond
)

// callIdempotent serves a call that may run more than once: it is retried at
// another target when an attempt fails and hedged when an attempt is late. The
// first answer wins.
func (s *Service) callIdempotent(ctx context.Context, c *call) (*chicoryv1.CallResponse, error) {
	release, err := s.opts.Admitter.Admit(ctx, c.work)
	if err != nil {
		return nil, fault.Of(err)
	}
	defer release(0)
	// Attempts that are still running when the call ends are cancelled.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.opts.Budget.OnRequest()
	hedge := s.latencies.HedgeDelay(c.req.GetRoute())
	r := &race{
		s:       s,
		c:       c,
		hedge:   hedge,
		silence: silenceBound(hedge, time.Until(c.work.Deadline)),
		results: make(chan *attempt, s.opts.Settings.MaxAttempts),
	}
	if err := r.launch(ctx); err != nil {
		return nil, err
	}
	return r.run(ctx)
}

// race is the attempts of one idempotent call.
type race struct {
	s       *Service
	c       *call
	hedge   time.Duration
	silence time.Duration
	results chan *attempt

	launched int
	running  int
	tried    []string
	// dispatches are the attempts so far.
	dispatches []*target.Dispatch
	// last is the latest attempt that may have run, nil before one.
	last *attempt
}

// launch starts an attempt at a target that was not tried. When every target was
// tried, it takes one of them again, because its connection is a new one then.
func (r *race) launch(ctx context.Context) error {
	p, err := r.pick()
	if err != nil {
		return err
	}
	r.launched++
	r.running++
	r.tried = append(r.tried, p.Target.GetAddress())
	d := &target.Dispatch{}
	r.dispatches = append(r.dispatches, d)
	number, silence := r.launched, r.silence
	r.s.tasks.Go(func() {
		r.results <- r.s.dispatch(ctx, r.c, p, d, number, silence)
	})
	return nil
}

// pick chooses the target of the next attempt. While a move is open, further
// attempts of a call that went to the new version go to the old one, so that a bad
// version costs a call one attempt and not its answer.
func (r *race) pick() (request.Placement, error) {
	work := r.c.work
	if old := r.oldVersion(); r.launched > 0 && old != "" {
		work.Version = old
		if p, err := r.s.opts.Picker.Pick(work, r.tried); err == nil {
			return p, nil
		}
	}
	p, err := r.s.pick(r.c, r.tried)
	if err != nil && len(r.tried) > 0 {
		p, err = r.s.pick(r.c, nil)
	}
	return p, err
}

// oldVersion returns the version that an open move replaces by the call's, or "".
func (r *race) oldVersion() string {
	move := r.s.opts.Holder.Current().Move(r.c.req.GetRoute())
	if move == nil || move.GetIntent().GetTo() != r.c.work.Version {
		return ""
	}
	return move.GetIntent().GetFrom()
}

// silenceBound is the time without an answer after which an attempt of a call that
// has the time left counts as silent.
func silenceBound(hedge, left time.Duration) time.Duration {
	return min(max(silenceFactor*hedge, minSilence), left/silenceShare)
}

// run waits for the first answer.
func (r *race) run(ctx context.Context) (*chicoryv1.CallResponse, error) {
	hedge := time.NewTimer(r.hedge)
	defer hedge.Stop()
	silence := time.NewTimer(r.silence)
	defer silence.Stop()
	for {
		select {
		case a := <-r.results:
			r.running--
			if a.ending == answered {
				r.s.latencies.Observe(r.c.req.GetRoute(), a.latency)
				return r.c.response(a), nil
			}
			if a.mayHaveRun() {
				r.last = a
			}
			if a.isFinal() {
				return nil, a.refusal
			}
			if err := r.retry(ctx, a); err != nil {
				return nil, err
			}
		case <-hedge.C:
			r.launchHedge(ctx)
			hedge.Reset(r.hedge)
		case <-silence.C:
			r.replaceSilent(ctx)
			silence.Reset(r.silence)
		case <-ctx.Done():
			return nil, r.refusal(ctx)
		}
	}
}

// isFinal reports whether each replica would refuse the call alike.
func (a *attempt) isFinal() bool {
	return a.ending == refused && slices.Contains(finalCodes, a.code)
}

// retry starts another attempt after a failed one. It fails when no attempt is
// running and none can be started.
func (r *race) retry(ctx context.Context, failed *attempt) error {
	wait, err := r.tryRetry(ctx)
	if err == nil {
		r.s.opts.Logger.Info(logging.CallRetried, logging.Fields{
			"request": r.c.req.GetRequestId(), "route": r.c.req.GetRoute(),
			"target": failed.target, "attempt": r.launched,
		})
		return nil
	}
	if r.running > 0 {
		return nil
	}
	return withWait(r.refusal(ctx), wait)
}

// tryRetry takes an attempt from the budget and starts it. It waits for the
// budget briefly when no other attempt is running.
func (r *race) tryRetry(ctx context.Context) (wait time.Duration, err error) {
	if ctx.Err() != nil || r.launched >= r.s.opts.Settings.MaxAttempts {
		return 0, errNoMoreAttempts
	}
	// The first retry of a call that a move's new version failed goes to the old one,
	// which has shed that load. It makes no outage worse, so it needs no budget.
	if r.launched == 1 && r.oldVersion() != "" {
		return 0, r.launch(ctx)
	}
	ok, wait := r.s.opts.Budget.Allow(request.RetryCall)
	if !ok && r.running == 0 && wait > 0 && wait <= maxBudgetWait {
		pause.For(ctx, wait)
		ok, wait = r.s.opts.Budget.Allow(request.RetryCall)
	}
	if !ok || ctx.Err() != nil {
		return wait, errNoMoreAttempts
	}
	return 0, r.launch(ctx)
}

// errNoMoreAttempts tells that the budget, the deadline or the bound of attempts
// allows no further attempt.
var errNoMoreAttempts = errors.New("no further attempt is allowed")

// launchHedge starts a second attempt beside a late one, if the budget allows.
func (r *race) launchHedge(ctx context.Context) {
	if r.running != 1 || r.launched >= r.s.opts.Settings.MaxAttempts {
		return
	}
	if ok, _ := r.s.opts.Budget.Allow(request.HedgeCall); ok {
		_ = r.launch(ctx) // without another target the first attempt goes on alone
	}
}

// replaceSilent makes further requests to the targets tried so far dial anew and
// starts an attempt beside those that are silent, if the budget allows.
func (r *race) replaceSilent(ctx context.Context) {
	for _, d := range r.dispatches {
		d.DropConnection()
	}
	r.dispatches = nil
	// An attempt that starts later could not be answered in time.
	tooLate := time.Until(r.c.work.Deadline) < r.hedge
	if tooLate || r.launched >= r.s.opts.Settings.MaxAttempts {
		return
	}
	if ok, _ := r.s.opts.Budget.Allow(request.RetryCall); ok {
		_ = r.launch(ctx)
	}
}

// refusal returns the refusal of a call whose attempts all failed.
func (r *race) refusal(ctx context.Context) *fault.Error {
	mayHaveRun := r.last != nil || r.running > 0
	switch {
	case ctx.Err() != nil && !mayHaveRun:
		return notSentInTime(ctx)
	case ctx.Err() != nil:
		return unknownOutcome(ctx, &attempt{ending: lost})
	case !mayHaveRun:
		return fault.New(fault.NoTarget, "no target can be reached")
	case r.last.ending == refused:
		return r.last.refusal
	default:
		return unknownOutcome(ctx, r.last)
	}
}
