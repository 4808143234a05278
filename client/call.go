package client

import (
	"context"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

// Call makes one short call and returns the target's response. A call that is
// neither idempotent nor has a key is not resent after it may have run; if its
// response is lost, Call returns an Error of the kind "outcome_unknown". Other calls
// are resent with the same key after the retry delay of the error, until ctx ends or
// Options.RetryTimeout has passed. An error with Ran "not_run" is recorded under the
// key, so that a further attempt needs a new key.
func (c *Client) Call(ctx context.Context, req *chicoryv1.CallRequest) (*chicoryv1.CallResponse, error) {
	deadline := time.Now().Add(c.opts.RetryTimeout)
	for attempt := 0; ; attempt++ {
		e := c.endpoint()
		r := connect.NewRequest(req)
		c.setHeader(r.Header())
		resp, err := e.service.Call(ctx, r)
		if err == nil {
			return resp.Msg, nil
		}
		faultErr := fault.FromConnect(err)
		if faultErr == nil {
			c.replaceEndpoint(e)
			faultErr = fault.New(fault.OutcomeUnknown, "the connection was lost: %v", err).WithRetryAfter(backoff(attempt))
		}
		if !mayResend(req, faultErr) || time.Now().Add(faultErr.RetryAfter).After(deadline) {
			return nil, publicError(faultErr)
		}
		if !pause.For(ctx, faultErr.RetryAfter) {
			return nil, publicError(faultErr)
		}
	}
}

// mayResend reports whether req can be resent after e without being executed twice.
func mayResend(req *chicoryv1.CallRequest, faultErr *fault.Error) bool {
	switch faultErr.Kind.Row().Retry {
	case fault.RetryLater:
		if faultErr.Ran == chicoryv1.Ran_RAN_NOT_RUN {
			return req.GetKey() == "" // the refusal is recorded under the key
		}
		return req.GetIdempotent() || req.GetKey() != ""
	case fault.RetrySameKey:
		return req.GetIdempotent() || req.GetKey() != ""
	}
	return false
}
