package call

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// callOnce serves a call that is neither idempotent nor has a key. The call is
// written to at most one target.
func (s *Service) callOnce(ctx context.Context, c *call) (*chicoryv1.CallResponse, error) {
	release, err := s.opts.Admitter.Admit(ctx, c.work)
	if err != nil {
		return nil, fault.Of(err)
	}
	defer release(0)
	p, err := s.pickTarget(c, nil)
	if err != nil {
		return nil, err
	}
	s.opts.Budget.OnRequest()
	a, notSentErr := s.dispatchAtMostOnce(ctx, c, p)
	if notSentErr != nil {
		return nil, notSentErr
	}
	switch a.status {
	case attemptSucceeded:
		return c.response(a), nil
	case attemptRefused:
		return nil, a.err
	default:
		return nil, unknownOutcomeError(ctx, a)
	}
}

// dispatchAtMostOnce writes the call to at most one target. If no byte was written
// to a target, it tries the next one within the retry budget. An error means that
// no byte was written to any target.
func (s *Service) dispatchAtMostOnce(ctx context.Context, c *call, p request.Placement) (*attempt, *fault.Error) {
	var tried []string
	for number := 1; ; number++ {
		a := s.attemptNonIdempotent(ctx, c, p, number)
		if a.mayHaveRun() {
			return a, nil
		}
		tried = append(tried, a.target)
		if ctx.Err() != nil {
			return nil, notSentError(ctx)
		}
		if ok, wait := s.opts.Budget.Allow(request.RetryCall); !ok {
			return nil, withMinRetryAfter(fault.New(fault.NoTarget, "target %s can't be reached", a.target), wait)
		}
		next, err := s.pickTarget(c, tried)
		if err != nil {
			return nil, fault.Of(err)
		}
		p = next
	}
}

// attemptNonIdempotent makes one attempt of a call that is not idempotent. It waits
// for a late response if the call has a key.
func (s *Service) attemptNonIdempotent(ctx context.Context, c *call, p request.Placement, number int) *attempt {
	d := &target.Dispatch{}
	if c.req.GetKey() != "" {
		return s.dispatchAwaitingLateResponse(ctx, c, p, d, number)
	}
	return s.dispatch(ctx, c, p, d, number, time.Until(c.work.Deadline))
}

// notSentError returns the error of a call that ended before it was written to a
// target.
func notSentError(ctx context.Context) *fault.Error {
	if ctx.Err() == context.Canceled {
		return fault.New(fault.Cancelled, "the caller went away").WithRan(chicoryv1.Ran_RAN_NOT_RUN)
	}
	return fault.New(fault.DeadlineNotRun, "the deadline passed before a target was reached")
}

// unknownOutcomeError returns the error of a call that may have run.
func unknownOutcomeError(ctx context.Context, a *attempt) *fault.Error {
	switch {
	case a.status == attemptMismatched:
		return fault.New(fault.OutcomeUnknown, "the response carried the ID of another call")
	case ctx.Err() == context.Canceled:
		return fault.New(fault.Cancelled, "the caller went away")
	case ctx.Err() != nil:
		return fault.New(fault.DeadlineUnknown, "no response before the deadline")
	default:
		return fault.New(fault.OutcomeUnknown, "the connection was closed before the response")
	}
}

// response returns the response to the caller.
func (c *call) response(a *attempt) *chicoryv1.CallResponse {
	return &chicoryv1.CallResponse{
		RequestId: c.req.GetRequestId(),
		Payload:   a.resp.GetPayload(),
		Version:   a.resp.GetVersion(),
	}
}

// withMinRetryAfter returns e with a RetryAfter of at least wait. A RetryAfter of 0,
// which means "never", is kept.
func withMinRetryAfter(e *fault.Error, wait time.Duration) *fault.Error {
	if e.RetryAfter == 0 || e.RetryAfter >= wait {
		return e
	}
	return e.WithRetryAfter(wait)
}
