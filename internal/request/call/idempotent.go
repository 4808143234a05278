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

// Limits of the attempts of an idempotent call. An attempt counts as unresponsive
// after unresponsiveHedgeFactor times the hedge delay without a response, but not
// before minUnresponsiveAfter. The connections in use are then replaced and another
// attempt is started concurrently.
const (
	unresponsiveHedgeFactor = 10
	minUnresponsiveAfter    = 100 * time.Millisecond
	// unresponsiveTimeoutDivisor limits the threshold to a fraction of the call's
	// timeout, so that a third target is tried before the deadline.
	unresponsiveTimeoutDivisor = 3
	// maxBudgetWait is the maximum time that a retry waits for the retry budget.
	maxBudgetWait = 100 * time.Millisecond
)

// callIdempotent serves a call that may run more than once. The call is retried at
// another target when an attempt fails, and hedged when an attempt takes longer than
// the hedge delay. The first successful response is returned.
func (s *Service) callIdempotent(ctx context.Context, c *call) (*chicoryv1.CallResponse, error) {
	release, err := s.opts.Admitter.Admit(ctx, c.work)
	if err != nil {
		return nil, fault.Of(err)
	}
	defer release(0)
	// Cancels the attempts that are still running when the call ends.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.opts.Budget.OnRequest()
	hedgeDelay := s.latencies.HedgeDelay(c.req.GetRoute())
	h := &hedgedCall{
		service:           s,
		call:              c,
		hedgeDelay:        hedgeDelay,
		unresponsiveAfter: unresponsiveThreshold(hedgeDelay, time.Until(c.work.Deadline)),
		results:           make(chan *attempt, s.opts.Settings.MaxAttempts),
	}
	if err := h.startAttempt(ctx); err != nil {
		return nil, err
	}
	return h.awaitResponse(ctx)
}

// hedgedCall holds the state of an idempotent call and its concurrent attempts.
type hedgedCall struct {
	service           *Service
	call              *call
	hedgeDelay        time.Duration
	unresponsiveAfter time.Duration
	results           chan *attempt

	attempts     int
	running      int
	triedTargets []string
	// dispatches holds the attempts since connections were last replaced.
	dispatches []*target.Dispatch
	// lastPossiblyRun is the latest failed attempt that may have run, or nil.
	lastPossiblyRun *attempt
}

// startAttempt starts an attempt at an untried target. When every target was tried,
// it reuses one of them, because its connection is a new one then.
func (h *hedgedCall) startAttempt(ctx context.Context) error {
	p, err := h.pickTarget()
	if err != nil {
		return err
	}
	h.attempts++
	h.running++
	h.triedTargets = append(h.triedTargets, p.Target.GetAddress())
	d := &target.Dispatch{}
	h.dispatches = append(h.dispatches, d)
	number, unresponsiveAfter := h.attempts, h.unresponsiveAfter
	h.service.tasks.Go(func() {
		h.results <- h.service.dispatch(ctx, h.call, p, d, number, unresponsiveAfter)
	})
	return nil
}

// pickTarget picks the target of the next attempt. During a move to a new version,
// further attempts of a call that went to the new version prefer the old one, so
// that a faulty new version fails one attempt and not the whole call.
func (h *hedgedCall) pickTarget() (request.Placement, error) {
	work := h.call.work
	if old := h.fallbackVersion(); h.attempts > 0 && old != "" {
		work.Version = old
		if p, err := h.service.opts.Picker.Pick(work, h.triedTargets); err == nil {
			return p, nil
		}
	}
	p, err := h.service.pickTarget(h.call, h.triedTargets)
	if err != nil && len(h.triedTargets) > 0 {
		p, err = h.service.pickTarget(h.call, nil)
	}
	return p, err
}

// fallbackVersion returns the old version of the route's open move if the call goes
// to the new one, otherwise "".
func (h *hedgedCall) fallbackVersion() string {
	move := h.service.opts.Holder.Current().Move(h.call.req.GetRoute())
	if move == nil || move.GetIntent().GetTo() != h.call.work.Version {
		return ""
	}
	return move.GetIntent().GetFrom()
}

// unresponsiveThreshold returns the time without a response after which an attempt
// counts as unresponsive. left is the time until the call's deadline.
func unresponsiveThreshold(hedgeDelay, left time.Duration) time.Duration {
	return min(max(unresponsiveHedgeFactor*hedgeDelay, minUnresponsiveAfter), left/unresponsiveTimeoutDivisor)
}

// awaitResponse waits for the first successful response and starts further attempts.
func (h *hedgedCall) awaitResponse(ctx context.Context) (*chicoryv1.CallResponse, error) {
	hedgeTimer := time.NewTimer(h.hedgeDelay)
	defer hedgeTimer.Stop()
	unresponsiveTimer := time.NewTimer(h.unresponsiveAfter)
	defer unresponsiveTimer.Stop()
	for {
		select {
		case a := <-h.results:
			h.running--
			if a.status == attemptSucceeded {
				h.service.latencies.Observe(h.call.req.GetRoute(), a.latency)
				return h.call.response(a), nil
			}
			if a.mayHaveRun() {
				h.lastPossiblyRun = a
			}
			if a.isNonRetryable() {
				return nil, a.err
			}
			if err := h.retry(ctx, a); err != nil {
				return nil, err
			}
		case <-hedgeTimer.C:
			h.startHedge(ctx)
			hedgeTimer.Reset(h.hedgeDelay)
		case <-unresponsiveTimer.C:
			h.replaceUnresponsive(ctx)
			unresponsiveTimer.Reset(h.unresponsiveAfter)
		case <-ctx.Done():
			return nil, h.failure(ctx)
		}
	}
}

// isNonRetryable reports whether every replica would return the same error.
func (a *attempt) isNonRetryable() bool {
	return a.status == attemptRefused && slices.Contains(nonRetryableCodes, a.code)
}

// retry starts another attempt after a failed one. It returns an error when no
// attempt is running and none can be started.
func (h *hedgedCall) retry(ctx context.Context, failed *attempt) error {
	wait, err := h.tryRetry(ctx)
	if err == nil {
		h.service.opts.Logger.Info(logging.CallRetried, logging.Fields{
			"request": h.call.req.GetRequestId(), "route": h.call.req.GetRoute(),
			"target": failed.target, "attempt": h.attempts,
		})
		return nil
	}
	if h.running > 0 {
		return nil
	}
	return withMinRetryAfter(h.failure(ctx), wait)
}

// tryRetry takes a retry from the budget and starts an attempt. When no other attempt
// is running, it waits for the budget up to maxBudgetWait. If the budget does not
// allow a retry, wait is the time after which it may.
func (h *hedgedCall) tryRetry(ctx context.Context) (wait time.Duration, err error) {
	if ctx.Err() != nil || h.attempts >= h.service.opts.Settings.MaxAttempts {
		return 0, errNoAttemptAllowed
	}
	// The first retry after a failure of a move's new version goes to the old version.
	// The old version has capacity for it, since the call's share of the load was moved
	// away. Such a retry does not amplify an outage and is not taken from the budget.
	if h.attempts == 1 && h.fallbackVersion() != "" {
		return 0, h.startAttempt(ctx)
	}
	ok, wait := h.service.opts.Budget.Allow(request.RetryCall)
	if !ok && h.running == 0 && wait > 0 && wait <= maxBudgetWait {
		pause.For(ctx, wait)
		ok, wait = h.service.opts.Budget.Allow(request.RetryCall)
	}
	if !ok || ctx.Err() != nil {
		return wait, errNoAttemptAllowed
	}
	return 0, h.startAttempt(ctx)
}

// errNoAttemptAllowed is returned when the budget, the deadline or the maximum number
// of attempts allows no further attempt.
var errNoAttemptAllowed = errors.New("no further attempt is allowed")

// startHedge starts a second attempt concurrently with a late one, if the budget
// allows it.
func (h *hedgedCall) startHedge(ctx context.Context) {
	if h.running != 1 || h.attempts >= h.service.opts.Settings.MaxAttempts {
		return
	}
	if ok, _ := h.service.opts.Budget.Allow(request.HedgeCall); ok {
		_ = h.startAttempt(ctx) // on error the first attempt continues alone
	}
}

// replaceUnresponsive drops the connections of the attempts so far, so that further
// requests to their targets use new ones, and starts a concurrent attempt, if the
// budget allows it.
func (h *hedgedCall) replaceUnresponsive(ctx context.Context) {
	for _, d := range h.dispatches {
		d.ReplaceConnection()
	}
	h.dispatches = nil
	// An attempt that starts within a hedge delay of the deadline is unlikely to get a
	// response in time.
	tooLate := time.Until(h.call.work.Deadline) < h.hedgeDelay
	if tooLate || h.attempts >= h.service.opts.Settings.MaxAttempts {
		return
	}
	if ok, _ := h.service.opts.Budget.Allow(request.RetryCall); ok {
		_ = h.startAttempt(ctx)
	}
}

// failure returns the error of a call without a successful attempt.
func (h *hedgedCall) failure(ctx context.Context) *fault.Error {
	mayHaveRun := h.lastPossiblyRun != nil || h.running > 0
	switch {
	case ctx.Err() != nil && !mayHaveRun:
		return notSentError(ctx)
	case ctx.Err() != nil:
		return unknownOutcomeError(ctx, &attempt{status: attemptNoResponse})
	case !mayHaveRun:
		return fault.New(fault.NoTarget, "no target can be reached")
	case h.lastPossiblyRun.status == attemptRefused:
		return h.lastPossiblyRun.err
	default:
		return unknownOutcomeError(ctx, h.lastPossiblyRun)
	}
}
