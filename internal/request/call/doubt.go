package call

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// askTarget asks the target of an attempt without an answer about the call's key,
// if it answers such questions. It returns the attempt as it stands then. Only
// "it ran" with the answer settles anything: a call that has not run may still be
// on its way to the target.
func (s *Service) askTarget(ctx context.Context, c *call, a *attempt) *attempt {
	found := s.lookupKey(ctx, c, a.target)
	if found == nil {
		return a
	}
	return &attempt{
		ending:  answered,
		target:  a.target,
		latency: a.latency,
		resp:    &chicoryv1.InvokeResponse{Payload: found.GetPayload(), Version: found.GetVersion()},
	}
}

// lookupKey returns the answer that the target keeps for the call's key, or nil.
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

// settle answers a resend of a claim without an outcome. A claim in doubt is
// settled by the target's own record, if there is one; otherwise its outcome is
// unknown.
func (s *Service) settle(ctx context.Context, c *call, recorded *chicoryv1.Claim) (*chicoryv1.CallResponse, *fault.Error) {
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
	// What the ledger has now is what every resend gets.
	result, err := s.opts.Ledger.Claim(ctx, recorded)
	if err != nil || result.GetVerdict() != chicoryv1.ClaimVerdict_CLAIM_VERDICT_REPLAY {
		return nil, unknown
	}
	return replay(result.GetRecorded())
}
