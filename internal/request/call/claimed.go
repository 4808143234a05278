package call

import (
	"context"
	"crypto/rand"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
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

// runFlight carries a call with a key from its arrival to the commit of its
// outcome. The flight ends after the commit, so that resends which come to this
// router in between get the same answer.
func (s *Service) runFlight(f *flight, c *call) {
	defer s.flights.remove(c, f)
	if closed := s.answerFlight(f, c); closed != nil {
		s.commit(c, closed)
	}
}

// answerFlight sets the flight's result and returns the claim as it is to be
// closed, or nil when there is none of this router. The target is picked before
// the claim: a call that finds no target leaves no claim.
func (s *Service) answerFlight(f *flight, c *call) *chicoryv1.Claim {
	ctx, cancel := context.WithDeadline(s.ctx, c.work.Deadline.Add(-answerMargin(time.Until(c.work.Deadline))))
	defer cancel()
	if s.uncommitted.Load() >= int64(s.opts.Settings.MaxUncommitted) {
		f.finish(nil, fault.New(fault.LedgerUnavailable, "too many outcomes wait for the call ledger"))
		return nil
	}
	release, err := s.opts.Admitter.Admit(ctx, c.work)
	if err != nil {
		f.finish(nil, beforeClaim(c.req, fault.Of(err)))
		return nil
	}
	// Admission counts the call until its answer or its deadline.
	released := context.AfterFunc(ctx, func() { release(0) })
	defer func() {
		if released() {
			release(0)
		}
	}()
	p, err := s.pick(c, nil)
	if err != nil {
		f.finish(nil, beforeClaim(c.req, fault.Of(err)))
		return nil
	}
	claim := s.newClaim(f, c, p)
	result, err := s.claim(ctx, claim)
	if err != nil {
		p.Done(request.ResultAbandoned, 0)
		f.finish(nil, ledgerRefusal(ctx, err))
		// The claim may still be committed. Closing it spares a resend the wait for an
		// outcome that never comes.
		return notRunClaim(claim, neverDispatched())
	}
	if result.GetVerdict() == chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH {
		return s.dispatchClaim(ctx, f, c, p, claim)
	}
	p.Done(request.ResultAbandoned, 0)
	s.finishUndispatched(ctx, f, c, result)
	if recorded := result.GetRecorded(); recorded.GetNonce() == claim.GetNonce() {
		// The claim was put in doubt before its answer came: it was never dispatched.
		return notRunClaim(claim, neverDispatched())
	}
	return nil
}

// Bounds of the time that is kept back from a dispatch, so that its result, which
// says more than "the deadline passed", reaches the caller before the deadline.
const (
	answerMarginShare = 50
	maxAnswerMargin   = 20 * time.Millisecond
)

func answerMargin(timeout time.Duration) time.Duration {
	return min(timeout/answerMarginShare, maxAnswerMargin)
}

// claim commits a claim. It gives the ledger up after the claim timeout, so that
// the caller learns at once what can be known.
func (s *Service) claim(ctx context.Context, claim *chicoryv1.Claim) (*chicoryv1.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.ClaimTimeout)
	defer cancel()
	return s.opts.Ledger.Claim(ctx, claim)
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

// dispatchClaim dispatches a claim that is committed for this router, once, and
// returns it as it is to be closed. The answer is given before its commit: a
// resend in between is told "unknown" by another router and gets the same answer
// from this one.
func (s *Service) dispatchClaim(ctx context.Context, f *flight, c *call, p request.Placement, claim *chicoryv1.Claim) *chicoryv1.Claim {
	s.opts.Budget.OnRequest()
	a, refusal := s.dispatchOnce(ctx, c, p)
	if refusal != nil {
		// The claim is this router's and will not be dispatched any more.
		f.finish(nil, refusal.WithRan(chicoryv1.Ran_RAN_NOT_RUN))
		return notRunClaim(claim, refusal)
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
		s.logDoubt(c, a.target, "no answer of the target")
	}
	return s.closedClaim(claim, a)
}

// finishUndispatched answers a call that the ledger did not give to this router.
func (s *Service) finishUndispatched(ctx context.Context, f *flight, c *call, result *chicoryv1.ClaimResult) {
	switch result.GetVerdict() {
	case chicoryv1.ClaimVerdict_CLAIM_VERDICT_REPLAY:
		f.finish(replay(result.GetRecorded()))
	case chicoryv1.ClaimVerdict_CLAIM_VERDICT_CONFLICT:
		f.finish(nil, fault.New(fault.KeyConflict, "%s", keyConflictMessage))
	case chicoryv1.ClaimVerdict_CLAIM_VERDICT_TOO_OLD:
		f.finish(nil, fault.New(fault.KeyTooOld, "the key's time is outside the retention period"))
	default:
		f.finish(s.settle(ctx, c, result.GetRecorded()))
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
	s.uncommitted.Add(1)
	defer s.uncommitted.Add(-1)
	for wait := minCommitPause; ; wait = min(2*wait, maxCommitPause) {
		state, err := s.opts.Ledger.Close(s.ctx, claim)
		if err == nil {
			s.logClosed(c, claim, state)
			return
		}
		if !pause.For(s.ctx, wait) {
			s.logDoubt(c, claim.GetTarget(), "the process ends before the outcome is committed")
			return
		}
	}
}
