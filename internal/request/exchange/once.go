package exchange

import (
	"context"
	"net/http"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// work describes the request to the picker.
func (a *Admitted) work() request.Work {
	return request.Work{
		ID:   a.ID,
		Team: a.Team,
		Route: &chicoryv1.Route{
			Name:          a.Route.Name,
			Service:       a.Service.Name,
			NonIdempotent: a.Route.Repetition == declared.Once,
		},
		Deadline: a.Deadline,
	}
}

// serveOnce serves a call that may run once. Targets that can't be reached, or that
// state that they did not run it, are passed over.
func (s *Service) serveOnce(ctx context.Context, w http.ResponseWriter, a *Admitted) error {
	var tried []string
	for {
		p, err := s.pick(a, tried)
		if err != nil {
			return fault.Of(err)
		}
		t := s.attempt(ctx, a, p)
		switch t.ending {
		case answered:
			t.passOn(w)
			return nil
		case lost:
			if ctx.Err() != nil {
				return givenUp(ctx, true)
			}
			return fault.New(fault.OutcomeUnknown, "target %s gave no whole answer: %v", t.target, t.reason)
		}
		tried = append(tried, t.target)
		if ctx.Err() != nil {
			return givenUp(ctx, false)
		}
		if len(tried) >= s.opts.Settings.MaxRefusals {
			return s.noTarget(a, len(tried))
		}
		if t.ending == notRun {
			if ok, wait := s.opts.Budget(a.Service.Name).Allow(request.RetryCall); !ok {
				return s.noTarget(a, len(tried)).WithRetryAfter(wait)
			}
		}
	}
}

// noTarget refuses a request that no target took.
func (s *Service) noTarget(a *Admitted, tried int) *fault.Error {
	return fault.New(fault.NoTarget, "none of %d targets of service %s took the request", tried, a.Service.Name)
}

// pick chooses a target that was not tried, or, when all were, any.
func (s *Service) pick(a *Admitted, tried []string) (request.Placement, error) {
	p, err := s.opts.Picker.Pick(a.work(), tried)
	if err != nil && len(tried) > 0 {
		return s.opts.Picker.Pick(a.work(), nil)
	}
	return p, err
}
