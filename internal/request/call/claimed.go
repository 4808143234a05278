package call

import (
	"context"
	"crypto/rand"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// callClaimed serves a call with a key. The call goes on when its caller goes
// away, so that its outcome is recorded for a resend.
func (s *Service) callClaimed(ctx context.Context, c *call) (*chicoryv1.CallResponse, error) {
	f, joined, err := s.flights.join(c)
	if err != nil {
		return nil, err
	}
	if !joined {
		s.tasks.Go(func() { s.runFlight(f, c) })
	}
	select {
	case <-f.done:
		return f.answer(c.req, joined)
	case <-ctx.Done():
	}
	if ctx.Err() == context.Canceled {
		return nil, fault.New(fault.Cancelled, "the caller went away")
	}
	return nil, fault.New(fault.DeadlineUnknown, "no answer came before the deadline")
}

// runFlight carries a call with a key from admission to the commit of its
// outcome. The target is picked before the claim: a call that finds no target
// leaves no claim.
func (s *Service) runFlight(f *flight, c *call) {
	defer s.flights.remove(c)
	ctx, cancel := context.WithDeadline(s.ctx, c.work.Deadline)
	defer cancel()
	release, err := s.opts.Admitter.Admit(ctx, c.work)
	if err != nil {
		f.finish(nil, beforeClaim(c.req, fault.Of(err)))
		return
	}
	defer release(0)
	p, err := s.pick(c, nil)
	if err != nil {
		f.finish(nil, beforeClaim(c.req, fault.Of(err)))
		return
	}
	claim := s.newClaim(f, c, p)
	result, err := s.opts.Ledger.Claim(ctx, claim)
	if err != nil {
		p.Done(request.ResultAbandoned, 0)
		f.finish(nil, ledgerRefusal(ctx, err))
		// The claim may still be committed. Closing it frees a resend of waiting for
		// an outcome that never comes.
		s.commit(c, notRunClaim(claim, fault.New(fault.LedgerUnavailable, "%s", neverDispatchedMessage)))
		return
	}
	if result.GetVerdict() == chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH {
		s.runDispatch(ctx, f, c, p, claim)
		return
	}
	p.Done(request.ResultAbandoned, 0)
	s.finishUndispatched(ctx, f, c, claim, result)
}

// newClaim returns the claim of a call for one dispatch.
func (s *Service) newClaim(f *flight, c *call, p request.Placement) *chicoryv1.Claim {
	return &chicoryv1.Claim{
		Team:        c.req.GetTeam(),
		Key:         c.req.GetKey(),
		Digest:      f.digest,
		RouterId:    s.opts.RouterID,
		Incarnation: s.opts.Incarnation,
		Nonce:       rand.Text(),
		Route:       c.req.GetRoute(),
		Version:     p.Target.GetVersion(),
		Target:      p.Target.GetAddress(),
	}
}

// runDispatch dispatches a claim that is committed for this router, once. The
// answer is given before its commit: a resend in between is told "unknown" by
// another router and gets the same answer from this one.
func (s *Service) runDispatch(ctx context.Context, f *flight, c *call, p request.Placement, claim *chicoryv1.Claim) {
	s.opts.Budget.OnRequest()
	a, refusal := s.dispatchOnce(ctx, c, p)
	if refusal != nil {
		// The claim is this router's and will not be dispatched any more.
		f.finish(nil, refusal.WithRan(chicoryv1.Ran_RAN_NOT_RUN))
		s.commit(c, notRunClaim(claim, refusal))
		return
	}
	if a.ending != answered && a.ending != refused {
		a = s.askTarget(ctx, c, a)
	}
	switch a.ending {
	case answered:
		f.finish(c.response(a), nil)
	case refused:
		f.finish(nil, a.refusal)
	default:
		f.finish(nil, unknownOutcome(ctx, a))
		s.logDoubt(c, a)
	}
	s.commit(c, closedClaim(claim, a))
}

// finishUndispatched answers a call that the ledger did not give to this router.
func (s *Service) finishUndispatched(ctx context.Context, f *flight, c *call, claim *chicoryv1.Claim, result *chicoryv1.ClaimResult) {
	recorded := result.GetRecorded()
	switch result.GetVerdict() {
	case chicoryv1.ClaimVerdict_CLAIM_VERDICT_REPLAY:
		f.finish(replay(recorded))
	case chicoryv1.ClaimVerdict_CLAIM_VERDICT_CONFLICT:
		f.finish(nil, fault.New(fault.KeyConflict, "%s", keyConflictMessage))
	case chicoryv1.ClaimVerdict_CLAIM_VERDICT_TOO_OLD:
		f.finish(nil, fault.New(fault.KeyTooOld, "the key's time is outside the retention period"))
	default:
		f.finish(s.settle(ctx, c, recorded))
	}
	if recorded.GetNonce() == claim.GetNonce() && recorded.GetState() == chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT {
		// This claim was put in doubt before its answer came: it was never dispatched.
		s.commit(c, notRunClaim(claim, fault.New(fault.LedgerUnavailable, "%s", neverDispatchedMessage)))
	}
}

// Bounds of the pause between two attempts to commit an outcome.
const (
	minCommitPause = 50 * time.Millisecond
	maxCommitPause = 2 * time.Second
)

// commit records the end of a claim. It tries until it is committed or the
// process ends; the claim is then in doubt.
func (s *Service) commit(c *call, claim *chicoryv1.Claim) {
	for pause := minCommitPause; ; pause = min(2*pause, maxCommitPause) {
		state, err := s.opts.Ledger.Close(s.ctx, claim)
		if err == nil {
			s.logClosed(c, claim, state)
			return
		}
		select {
		case <-s.ctx.Done():
			s.opts.Logger.Warn(logging.ClaimInDoubt, logging.Fields{
				"team": c.req.GetTeam(), "key": c.req.GetKey(), "route": c.req.GetRoute(),
				"reason": "the process ends before the outcome is committed",
			})
			return
		case <-time.After(pause):
		}
	}
}
