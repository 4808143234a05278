package client

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

var errReceiveTimeout = errors.New("no data from the router within the receive timeout")

// Stream is one generation. It is not safe for concurrent use.
type Stream struct {
	c       *Client
	ctx     context.Context
	request *chicoryv1.GenerateRequest

	// State received so far.
	tokens      []string
	newTokens   []string // tokens of the last Next
	resumeToken string
	proof       uint32
	version     string
	finish      chicoryv1.FinishReason

	conn       *connection // nil while not connected
	reconnects int
	// attempts counts consecutive connections that brought no new token.
	attempts    int
	lastTokenAt time.Time
	err         error
}

// Generate starts a generation. The caller must not modify req until the stream
// has ended. Canceling ctx cancels the generation.
func (c *Client) Generate(ctx context.Context, req *chicoryv1.GenerateRequest) (*Stream, error) {
	s := &Stream{c: c, ctx: ctx, request: req, lastTokenAt: time.Now()}
	if err := s.connect(); err != nil {
		return nil, err
	}
	return s, nil
}

// Next waits for new tokens. It returns false when the generation has ended or
// failed.
func (s *Stream) Next() bool {
	s.newTokens = nil
	for s.err == nil && s.finish == chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED {
		chunk, err := s.receive()
		if err != nil {
			s.handleDisconnect(err)
			continue
		}
		if s.appendChunk(chunk) {
			return true
		}
	}
	s.disconnect()
	return false
}

// Tokens returns the tokens that the last Next received.
func (s *Stream) Tokens() []string { return s.newTokens }

// Text returns the text received so far.
func (s *Stream) Text() string { return strings.Join(s.tokens, "") }

// All returns the tokens received so far.
func (s *Stream) All() []string { return s.tokens }

// Version returns the version that generated the last tokens.
func (s *Stream) Version() string { return s.version }

// FinishReason returns why the generation ended, or unspecified before it has.
func (s *Stream) FinishReason() chicoryv1.FinishReason { return s.finish }

// Reconnects returns how many times the stream reconnected.
func (s *Stream) Reconnects() int { return s.reconnects }

// Err returns why the stream failed: an *Error, the context's error, or the
// connection error of the last attempt. It is nil after a complete generation.
func (s *Stream) Err() error { return s.err }

// Close ends the stream. It cancels a generation that has not ended.
func (s *Stream) Close() {
	unfinished := s.finish == chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED && s.err == nil
	s.disconnect()
	if s.err == nil {
		s.err = context.Canceled
	}
	if unfinished && s.resumeToken != "" {
		s.c.cancel(s.request, s.resumeToken)
	}
}

// cancelTimeout limits the Cancel request that Close sends.
const cancelTimeout = 2 * time.Second

// cancel sends a Cancel request for an abandoned generation. Its error is ignored,
// because the router also ends a generation whose caller disconnects and does not resume.
func (c *Client) cancel(req *chicoryv1.GenerateRequest, token string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	r := connect.NewRequest(&chicoryv1.CancelRequest{
		RequestId: req.GetRequestId(), Team: req.GetTeam(), ResumeToken: token,
	})
	c.setHeader(r.Header())
	_, _ = c.endpoint().service.Cancel(ctx, r)
}

// appendChunk adds a chunk to the stream and reports whether it has tokens. A chunk
// whose offset is not the number of tokens received ends the connection.
func (s *Stream) appendChunk(chunk *chicoryv1.GenerationChunk) bool {
	if chunk.GetOffset() != uint64(len(s.tokens)) {
		s.handleDisconnect(errors.Errorf("received a chunk at offset %d after %d tokens", chunk.GetOffset(), len(s.tokens)))
		return false
	}
	if t := chunk.GetResumeToken(); t != "" {
		s.resumeToken = t
	}
	if v := chunk.GetVersion(); v != "" {
		s.version = v
	}
	s.finish = chunk.GetFinishReason()
	s.newTokens = chunk.GetTokens()
	if len(s.newTokens) == 0 {
		return false
	}
	s.tokens = append(s.tokens, s.newTokens...)
	s.proof = chunk.GetProof()
	s.attempts = 0
	s.lastTokenAt = time.Now()
	return true
}

// handleDisconnect reconnects after a delay, or ends the stream if err is permanent
// or Options.RetryTimeout has passed.
func (s *Stream) handleDisconnect(err error) {
	failed := s.conn
	s.disconnect()
	if s.ctx.Err() != nil {
		s.err = s.ctx.Err()
		return
	}
	delay, final := s.retryDelay(err)
	if final == nil && time.Since(s.lastTokenAt)+delay > s.c.opts.RetryTimeout {
		final = err
	}
	if final != nil {
		s.err = finalError(final)
		return
	}
	if needsNewConnection(err) {
		s.c.replaceEndpoint(failed.endpoint)
	}
	s.attempts++
	if !pause.For(s.ctx, delay) {
		s.err = s.ctx.Err()
		return
	}
	s.reconnects++
	s.err = s.connect()
}

// retryDelay returns how long to wait before reconnecting, or the error that ends
// the stream if err is permanent.
func (s *Stream) retryDelay(err error) (delay time.Duration, final error) {
	if s.attempts > 0 {
		delay = backoff(s.attempts)
	}
	faultErr := fault.FromConnect(err)
	if faultErr == nil {
		if isPermanentError(err) {
			return 0, err
		}
		return delay, nil
	}
	switch faultErr.Kind.Row().Retry {
	case fault.RetryLater, fault.RetryResume:
		return max(faultErr.RetryAfter, delay), nil
	}
	return 0, err
}

// isPermanentError reports whether err is a permanent error from a server that is not
// a router, such as a proxy in front of one.
func isPermanentError(err error) bool {
	if !connect.IsWireError(err) {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated, connect.CodePermissionDenied,
		connect.CodeUnimplemented, connect.CodeNotFound:
		return true
	}
	return false
}

// needsNewConnection reports whether the next attempt must use a new connection to
// the next address.
func needsNewConnection(err error) bool {
	faultErr := fault.FromConnect(err)
	return faultErr == nil || faultErr.Kind == fault.Draining || faultErr.Kind == fault.NotReady
}

// finalError converts a router's error to an *Error and adds a trace to any other error.
func finalError(err error) error {
	if faultErr := fault.FromConnect(err); faultErr != nil {
		return publicError(faultErr)
	}
	return errors.Trace(err)
}
