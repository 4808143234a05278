package call

import (
	"context"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const keyConflictMessage = "the key was used with another route, method or payload"

// notDispatchedError returns the error that is recorded for a claim that was
// abandoned before its dispatch.
func notDispatchedError() *fault.Error {
	return fault.New(fault.DeadlineNotRun, "the call ledger did not answer in time; the call was not dispatched")
}

// completedClaim returns the claim with the outcome of the attempt. A payload that
// is too large for the ledger is dropped.
func (s *Service) completedClaim(claim *chicoryv1.Claim, a *attempt) *chicoryv1.Claim {
	c := proto.CloneOf(claim)
	c.Target = a.target
	switch a.status {
	case attemptSucceeded:
		c.State = chicoryv1.ClaimState_CLAIM_STATE_DONE
		c.Payload = a.resp.GetPayload()
		c.Version = a.resp.GetVersion()
		if len(c.GetPayload()) > s.opts.Settings.MaxRecordedPayloadBytes {
			ledger.MarkPayloadTooLarge(c)
		}
	case attemptRefused:
		c.State = chicoryv1.ClaimState_CLAIM_STATE_DONE
		c.FaultKind = string(a.err.Kind)
		c.FaultMessage = a.err.Message
	default:
		c.State = chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT
	}
	return c
}

// notRunClaim returns the claim with the outcome of a call that was never
// dispatched, for the given reason.
func notRunClaim(claim *chicoryv1.Claim, reason *fault.Error) *chicoryv1.Claim {
	c := proto.CloneOf(claim)
	c.State = chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN
	c.FaultKind = string(reason.Kind)
	c.FaultMessage = reason.Message
	return c
}

// replayOutcome returns the result that is recorded in a claim in the state done or
// not run.
func replayOutcome(recorded *chicoryv1.Claim) (*chicoryv1.CallResponse, *fault.Error) {
	ran := chicoryv1.Ran_RAN_RAN
	if recorded.GetState() == chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN {
		ran = chicoryv1.Ran_RAN_NOT_RUN
	}
	if recorded.GetFaultKind() != "" || ran == chicoryv1.Ran_RAN_NOT_RUN {
		return nil, fault.New(fault.Kind(recorded.GetFaultKind()), "%s", recorded.GetFaultMessage()).WithRan(ran)
	}
	return &chicoryv1.CallResponse{
		Payload:  recorded.GetPayload(),
		Version:  recorded.GetVersion(),
		Replayed: true,
	}, nil
}

// ledgerError returns the error of a call whose claim got no response from the
// ledger.
func ledgerError(ctx context.Context, err error) *fault.Error {
	if ctx.Err() != nil {
		return fault.New(fault.DeadlineUnknown, "the call ledger did not answer before the deadline")
	}
	return fault.New(fault.LedgerUnavailable, "the call ledger can't be reached: %s", fault.Of(err).Message)
}

func (s *Service) logOutcome(c *call, claim *chicoryv1.Claim, state chicoryv1.ClaimState) {
	s.opts.Logger.Info(logging.CallEnded, logging.Fields{
		"request": c.req.GetRequestId(), "team": c.req.GetTeam(), "key": c.req.GetKey(),
		"route": c.req.GetRoute(), "target": claim.GetTarget(), "version": claim.GetVersion(),
		"closed": claim.GetState(), "state": state,
	})
}

func (s *Service) logInDoubt(c *call, target, reason string) {
	s.opts.Logger.Warn(logging.ClaimInDoubt, logging.Fields{
		"request": c.req.GetRequestId(), "team": c.req.GetTeam(), "key": c.req.GetKey(),
		"route": c.req.GetRoute(), "target": target, "reason": reason,
	})
}
