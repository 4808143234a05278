package exchange

import (
	"context"
	"net/http"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// work returns the description of the request for the picker.
func (a *AdmittedRequest) work() request.Work {
	return request.Work{
		ID:   a.ID,
		Team: a.Team,
		Route: &chicoryv1.Route{
			Name:          a.Route.Name,
			Service:       a.Service.Name,
			NonIdempotent: a.Route.RetryPolicy == declared.AtMostOnce,
		},
		Deadline: a.Deadline,
	}
}

// serveNonRepeatable serves a call that must run at most once. Targets that can't be
// reached, or that state that they did not run it, are skipped.
func (s *Service) serveNonRepeatable(ctx context.Context, w http.ResponseWriter, a *AdmittedRequest) error {
	var tried []string
	for {
		p, err := s.pickPermitted(ctx, a, tried)
		if err != nil {
			return fault.Of(err)
		}
		t := s.runAttempt(ctx, a, p, false)
		switch t.outcome {
		case outcomeAnswered:
			t.writeTo(w)
			return nil
		case outcomeLost:
			if ctx.Err() != nil {
				return contextError(ctx, true)
			}
			return fault.New(fault.OutcomeUnknown, "target %s gave no whole answer: %v", t.target, t.err)
		}
		if a.trial.wasSent() {
			return s.noTargetError(a, len(tried)+1)
		}
		if err := s.settledQuarantineError(ctx, a, 0); err != nil {
			return err
		}
		tried = append(tried, t.target)
		if ctx.Err() != nil {
			return contextError(ctx, false)
		}
		if len(tried) >= s.opts.Settings.MaxRefusals || isIsolated(t.err) {
			return s.noTargetError(a, len(tried))
		}
		if t.outcome == outcomeNotRun {
			if ok, wait := s.opts.Budget(a.Service.Name).Allow(request.RetryCall); !ok {
				return s.noTargetError(a, len(tried)).WithRetryAfter(wait)
			}
		}
	}
}

// noTargetError returns the error for a request that no target accepted.
func (s *Service) noTargetError(a *AdmittedRequest, tried int) *fault.Error {
	return fault.New(fault.NoTarget, "none of the %d targets tried for service %s accepted the request", tried, a.Service.Name)
}

// pick selects a target that was not tried, or any if all were tried.
func (s *Service) pick(w request.Work, tried []string) (request.Placement, error) {
	p, err := s.opts.Picker.Pick(w, tried)
	if fault.Is(err, fault.NoTarget) && len(tried) > 0 {
		w.Reserved = "" // given back
		return s.opts.Picker.Pick(w, nil)
	}
	return p, err
}
