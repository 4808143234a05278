package call

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// recoverResponse looks up the call's key at the target of an attempt without a
// response, if the service supports key lookups, and returns the updated attempt.
// Only a recorded response changes the attempt: a call that has not run yet may
// still be in transit to the target.
func (s *Service) recoverResponse(ctx context.Context, c *call, a *attempt) *attempt {
	found := s.lookupKey(ctx, c, a.target)
	if found == nil {
		return a
	}
	return &attempt{
		status:  attemptSucceeded,
		target:  a.target,
		latency: a.latency,
		resp:    &chicoryv1.InvokeResponse{Payload: found.GetPayload(), Version: found.GetVersion()},
	}
}

// lookupKey returns the response that the target has stored for the call's key, or
// nil if there is none.
func (s *Service) lookupKey(ctx context.Context, c *call, address string) *chicoryv1.LookupKeyResponse {
	if !c.service.GetCanLookupKeys() || address == "" || ctx.Err() != nil {
		return nil
	}
	req := connect.NewRequest(&chicoryv1.LookupKeyRequest{Key: c.req.GetKey(), Team: c.req.GetTeam()})
	resp, err := s.opts.Pool.Clients(address).Transaction.LookupKey(ctx, req)
	if err != nil || !resp.Msg.GetRan() || len(resp.Msg.GetPayload()) == 0 {
		return nil
	}
	return resp.Msg
}

// resolveClaim returns the result for a resend whose claim has no recorded outcome.
// A claim in doubt is closed with the response that the target has stored for the
// key, if there is one. Otherwise the outcome is unknown.
func (s *Service) resolveClaim(ctx context.Context, c *call, recorded *chicoryv1.Claim) (*chicoryv1.CallResponse, *fault.Error) {
	unknown := fault.New(fault.OutcomeUnknown, "an earlier call with this key has no known outcome")
	if recorded.GetState() != chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT {
		return nil, unknown
	}
	found := s.lookupKey(ctx, c, recorded.GetTarget())
	if found == nil {
		return nil, unknown
	}
	closed := proto.CloneOf(recorded)
	closed.State = chicoryv1.ClaimState_CLAIM_STATE_DONE
	closed.Payload = found.GetPayload()
	closed.Version = found.GetVersion()
	if _, err := s.opts.Ledger.Close(ctx, closed); err != nil {
		return nil, unknown
	}
	// Every resend gets the outcome that is now in the ledger, which may come from
	// another router.
	result, err := s.opts.Ledger.Claim(ctx, recorded)
	if err != nil || result.GetVerdict() != chicoryv1.ClaimVerdict_CLAIM_VERDICT_REPLAY {
		return nil, unknown
	}
	return replayOutcome(result.GetRecorded())
}
