package exchange

import (
	"context"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// claim returns the claim of the request to a permit.
func (a *AdmittedRequest) claim(class ratelimit.Class) *ratelimit.Claim {
	return &ratelimit.Claim{Service: a.Service.Name, Team: a.Team, Class: class, Priority: a.Priority, Deadline: a.Deadline}
}

func (a *AdmittedRequest) callClass() ratelimit.Class {
	if a.Route.RetryPolicy == declared.AtMostOnce {
		return ratelimit.ClassAtMostOnce
	}
	return ratelimit.ClassOther
}

// pickPermitted selects a target for a call that has not run. If all targets limit their
// requests, it waits for a permit.
func (s *Service) pickPermitted(ctx context.Context, a *AdmittedRequest, tried []string) (request.Placement, error) {
	w, claim := a.work(), a.claim(a.callClass())
	for {
		var p request.Placement
		var err error
		if a.trial != nil {
			p, err = s.pickTrial(w, a.trial, tried)
		} else {
			p, err = s.pick(w, tried)
		}
		if !fault.Is(err, fault.Overloaded) {
			return p, err
		}
		if w.Reserved, err = s.opts.Limits.Await(ctx, claim); err != nil {
			return request.Placement{}, waitError(ctx, err, false)
		}
	}
}

// waitError returns the error for a request whose wait for a permit failed with err.
func waitError(ctx context.Context, err error, mayHaveRun bool) error {
	if ctx.Err() != nil {
		return contextError(ctx, mayHaveRun)
	}
	return err
}

// pickRepeat selects a target for a call that may have run or still runs elsewhere.
func (s *Service) pickRepeat(a *AdmittedRequest, tried []string) (request.Placement, error) {
	w := a.work()
	w.Repeat = true
	return s.pick(w, tried)
}

// class returns the class of the stream's claim to a permit.
func (st *stream) class() ratelimit.Class {
	if st.headerSent || st.lastEvent > 0 || st.possibleRuns > 0 {
		return ratelimit.ClassResume
	}
	return st.a.callClass()
}
