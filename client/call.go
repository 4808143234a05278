package client

import (
	"context"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

// Call makes one short call and returns the target's answer. A call that is not
// idempotent and has no key is sent once; its lost answer gives an Error of the
// kind "outcome_unknown". Other calls are sent again, with the same key, after
// the time that a refusal names, until ctx or the client's patience ends. A refusal
// that says "not run" is final for a key: draw a new key to try again.
func (c *Client) Call(ctx context.Context, req *chicoryv1.CallRequest) (*chicoryv1.CallResponse, error) {
	limit := time.Now().Add(c.opts.Patience)
	for try := 0; ; try++ {
		e := c.endpoint()
		r := connect.NewRequest(req)
		c.setHeader(r.Header())
		resp, err := e.service.Call(ctx, r)
		if err == nil {
			return resp.Msg, nil
		}
		answer := fault.FromAnswer(err)
		if answer == nil {
			c.replace(e)
			answer = fault.New(fault.OutcomeUnknown, "the connection was lost: %v", err).WithRetryAfter(backoff(try))
		}
		if !mayResend(req, answer) || time.Now().Add(answer.RetryAfter).After(limit) {
			return nil, publicError(answer)
		}
		if !pause.For(ctx, answer.RetryAfter) {
			return nil, publicError(answer)
		}
	}
}

// mayResend reports whether sending req again can't run it twice.
func mayResend(req *chicoryv1.CallRequest, e *fault.Error) bool {
	switch e.Kind.Row().Retry {
	case fault.RetryLater:
		if e.Ran == chicoryv1.Ran_RAN_NOT_RUN {
			return req.GetKey() == "" // the refusal is recorded under the key
		}
		return req.GetIdempotent() || req.GetKey() != ""
	case fault.RetrySameKey:
		return req.GetIdempotent() || req.GetKey() != ""
	}
	return false
}
