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

// callWithKey serves a call with an idempotency key. The call continues after its
// caller disconnects, so that its outcome is recorded for resends.
func (s *Service) callWithKey(ctx context.Context, c *call) (*chicoryv1.CallResponse, error) {
	f, joined, err := s.inFlight.joinOrStart(c)
	if err != nil {
		return nil, err
	}
	if !joined {
		s.tasks.Go(func() { s.runInFlight(f, c) })
	}
	select {
	case <-f.done:
		return f.responseFor(c.req, joined)
	case <-ctx.Done():
	}
	if ctx.Err() == context.Canceled {
		return nil, fault.New(fault.Cancelled, "the caller went away")
	}
	return nil, fault.New(fault.DeadlineUnknown, "no response before the deadline")
}

// runInFlight processes a call with a key from its arrival until its outcome is
// committed. f is removed only after the commit, so that resends that reach this
// router before then get the same response.
func (s *Service) runInFlight(f *inFlightCall, c *call) {
	defer s.inFlight.remove(c, f)
	if claim := s.execute(f, c); claim != nil {
		s.commitOutcome(c, claim)
	}
}

// execute completes f and returns the claim with the outcome to commit, counted as
// uncommitted, or nil when this router holds no claim of the key. The target is picked before the claim is
// committed, so that a call without an available target leaves no claim.
func (s *Service) execute(f *inFlightCall, c *call) *chicoryv1.Claim {
	ctx, cancel := context.WithDeadline(s.ctx, c.work.Deadline.Add(-responseMargin(time.Until(c.work.Deadline))))
	defer cancel()
	if s.uncommitted.Load() >= int64(s.opts.Settings.MaxUncommittedOutcomes) {
		f.complete(nil, fault.New(fault.LedgerUnavailable, "too many outcomes are waiting to be committed to the call ledger"))
		return nil
	}
	release, err := s.opts.Admitter.Admit(ctx, c.work)
	if err != nil {
		f.complete(nil, errorBeforeClaim(c.req, fault.Of(err)))
		return nil
	}
	// The call counts against the admission limits until its response or its deadline.
	released := context.AfterFunc(ctx, func() { release(0) })
	defer func() {
		if released() {
			release(0)
		}
	}()
	p, err := s.pickTarget(c, nil)
	if err != nil {
		f.complete(nil, errorBeforeClaim(c.req, fault.Of(err)))
		return nil
	}
	claim := s.newClaim(f, c, p)
	result, err := s.commitClaim(ctx, claim)
	if err != nil {
		p.Done(request.ResultAbandoned, 0)
		s.completeBeforeCommit(f, nil, ledgerError(ctx, err))
		// The claim may still be committed. Unless it is closed, resends get "unknown"
		// although no outcome will follow.
		return notRunClaim(claim, notDispatchedError())
	}
	if result.GetVerdict() == chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH {
		return s.dispatchClaimed(ctx, f, c, p, claim)
	}
	p.Done(request.ResultAbandoned, 0)
	if result.GetRecorded().GetNonce() != claim.GetNonce() {
		s.completeUndispatched(ctx, f, c, result)
		return nil
	}
	// The claim was put in doubt before the ledger's response arrived, so the call was
	// never dispatched.
	s.uncommitted.Add(1)
	s.completeUndispatched(ctx, f, c, result)
	return notRunClaim(claim, notDispatchedError())
}

// completeBeforeCommit completes f while the outcome of its claim is still to be committed.
// The outcome counts as uncommitted before a caller can see the response: a caller that
// sends its next call on receiving the response must not exceed the limit.
func (s *Service) completeBeforeCommit(f *inFlightCall, resp *chicoryv1.CallResponse, err *fault.Error) {
	s.uncommitted.Add(1)
	f.complete(resp, err)
}

// The response margin is subtracted from the deadline of a dispatch, so that its
// result, which is more specific than "deadline passed", reaches the caller before
// the deadline. It is the call's timeout divided by responseMarginDivisor, at most
// maxResponseMargin.
const (
	responseMarginDivisor = 50
	maxResponseMargin     = 20 * time.Millisecond
)

func responseMargin(timeout time.Duration) time.Duration {
	return min(timeout/responseMarginDivisor, maxResponseMargin)
}

// commitClaim commits a claim to the ledger. It fails after ClaimTimeout, so that
// the caller of a call with a long deadline gets an error early.
func (s *Service) commitClaim(ctx context.Context, claim *chicoryv1.Claim) (*chicoryv1.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.ClaimTimeout)
	defer cancel()
	return s.opts.Ledger.Claim(ctx, claim)
}

// newClaim returns a claim for one dispatch of a call to the picked target.
func (s *Service) newClaim(f *inFlightCall, c *call, p request.Placement) *chicoryv1.Claim {
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

// dispatchClaimed dispatches a call whose claim this router has committed, at most
// once, and returns the claim with the outcome to commit. The caller gets the
// response before that commit: until then, a resend gets "unknown" from another
// router and the same response from this one.
func (s *Service) dispatchClaimed(ctx context.Context, f *inFlightCall, c *call, p request.Placement, claim *chicoryv1.Claim) *chicoryv1.Claim {
	s.opts.Budget.OnRequest()
	a, notSentErr := s.dispatchAtMostOnce(ctx, c, p)
	if notSentErr != nil {
		// Only this router could dispatch the claim, and it will not do so any more.
		s.completeBeforeCommit(f, nil, notSentErr.WithRan(chicoryv1.Ran_RAN_NOT_RUN))
		return notRunClaim(claim, notSentErr)
	}
	if a.status != attemptSucceeded && a.status != attemptRefused {
		a = s.recoverResponse(ctx, c, a)
	}
	switch a.status {
	case attemptSucceeded:
		s.completeBeforeCommit(f, c.response(a), nil)
	case attemptRefused:
		s.completeBeforeCommit(f, nil, a.err)
	default:
		s.completeBeforeCommit(f, nil, unknownOutcomeError(ctx, a))
		s.logInDoubt(c, a.target, "no response from the target")
	}
	return s.completedClaim(claim, a)
}

// completeUndispatched completes f when the ledger did not allow this router to
// dispatch the call.
func (s *Service) completeUndispatched(ctx context.Context, f *inFlightCall, c *call, result *chicoryv1.ClaimResult) {
	switch result.GetVerdict() {
	case chicoryv1.ClaimVerdict_CLAIM_VERDICT_REPLAY:
		f.complete(replayOutcome(result.GetRecorded()))
	case chicoryv1.ClaimVerdict_CLAIM_VERDICT_CONFLICT:
		f.complete(nil, fault.New(fault.KeyConflict, "%s", keyConflictMessage))
	case chicoryv1.ClaimVerdict_CLAIM_VERDICT_TOO_OLD:
		f.complete(nil, fault.New(fault.KeyTooOld, "the key's time is outside the retention period"))
	default:
		f.complete(s.resolveClaim(ctx, c, result.GetRecorded()))
	}
}

// Bounds of the backoff between two attempts to commit an outcome.
const (
	minCommitBackoff = 50 * time.Millisecond
	maxCommitBackoff = 2 * time.Second
)

// commitOutcome commits the outcome of a claim, which execute has counted as uncommitted.
// It retries until the commit succeeds or the service is stopped; in the latter case the
// claim is in doubt.
func (s *Service) commitOutcome(c *call, claim *chicoryv1.Claim) {
	defer s.uncommitted.Add(-1)
	for backoff := minCommitBackoff; ; backoff = min(2*backoff, maxCommitBackoff) {
		state, err := s.opts.Ledger.Close(s.ctx, claim)
		if err == nil {
			s.logOutcome(c, claim, state)
			return
		}
		if !pause.For(s.ctx, backoff) {
			s.logInDoubt(c, claim.GetTarget(), "the process stopped before the outcome was committed")
			return
		}
	}
}
