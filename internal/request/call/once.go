package call

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// callOnce serves a call that is neither idempotent nor has a key: it is written
// to one target at most.
func (s *Service) callOnce(ctx context.Context, c *call) (*chicoryv1.CallResponse, error) {
	release, err := s.opts.Admitter.Admit(ctx, c.work)
	if err != nil {
		return nil, fault.Of(err)
	}
	defer release(0)
	p, err := s.pick(c, nil)
	if err != nil {
		return nil, err
	}
	s.opts.Budget.OnRequest()
	a, refusal := s.dispatchOnce(ctx, c, p)
	if refusal != nil {
		return nil, refusal
	}
	switch a.ending {
	case answered:
		return c.response(a), nil
	case refused:
		return nil, a.refusal
	default:
		return nil, unknownOutcome(ctx, a)
	}
}

// dispatchOnce writes the call to one target at most. Targets to which no byte
// was written are passed over. A refusal says that no byte was written to any.
func (s *Service) dispatchOnce(ctx context.Context, c *call, p request.Placement) (*attempt, *fault.Error) {
	var tried []string
	for number := 1; ; number++ {
		a := s.dispatchOne(ctx, c, p, number)
		if a.mayHaveRun() {
			return a, nil
		}
		tried = append(tried, a.target)
		if ctx.Err() != nil {
			return nil, notSentInTime(ctx)
		}
		if ok, wait := s.opts.Budget.Allow(request.RetryCall); !ok {
			return nil, withWait(fault.New(fault.NoTarget, "target %s can't be reached", a.target), wait)
		}
		next, err := s.pick(c, tried)
		if err != nil {
			return nil, fault.Of(err)
		}
		p = next
	}
}

// dispatchOne is one dispatch of a call that is not idempotent.
func (s *Service) dispatchOne(ctx context.Context, c *call, p request.Placement, number int) *attempt {
	d := &target.Dispatch{}
	if c.req.GetKey() != "" {
		return s.dispatchWithGrace(ctx, c, p, d, number)
	}
	return s.dispatch(ctx, c, p, d, number, time.Until(c.work.Deadline))
}

// notSentInTime returns the refusal of a call that ended before it was written.
func notSentInTime(ctx context.Context) *fault.Error {
	if ctx.Err() == context.Canceled {
		return fault.New(fault.Cancelled, "the caller went away").WithRan(chicoryv1.Ran_RAN_NOT_RUN)
	}
	return fault.New(fault.DeadlineNotRun, "the deadline passed before a target was reached")
}

// unknownOutcome returns the refusal of a call that may have run.
func unknownOutcome(ctx context.Context, a *attempt) *fault.Error {
	switch {
	case a.ending == crossed:
		return fault.New(fault.OutcomeUnknown, "the target answered another call")
	case ctx.Err() == context.Canceled:
		return fault.New(fault.Cancelled, "the caller went away")
	case ctx.Err() != nil:
		return fault.New(fault.DeadlineUnknown, "no answer came before the deadline")
	default:
		return fault.New(fault.OutcomeUnknown, "the connection ended before the answer")
	}
}

// response returns the caller's answer.
func (c *call) response(a *attempt) *chicoryv1.CallResponse {
	return &chicoryv1.CallResponse{
		RequestId: c.req.GetRequestId(),
		Payload:   a.resp.GetPayload(),
		Version:   a.resp.GetVersion(),
	}
}

// withWait returns e with a time for coming back of at least wait. A refusal that
// says "never" stays so.
func withWait(e *fault.Error, wait time.Duration) *fault.Error {
	if e.RetryAfter == 0 || e.RetryAfter >= wait {
		return e
	}
	return e.WithRetryAfter(wait)
}
