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

var errSilent = errors.New("router is silent")

// Stream is one generation. It is used by one goroutine.
type Stream struct {
	c       *Client
	ctx     context.Context
	request *chicoryv1.GenerateRequest

	// What has been received.
	tokens      []string
	fresh       []string
	resumeToken string
	proof       uint32
	version     string
	finish      chicoryv1.FinishReason

	// The connection in use; nil between connections.
	conn       *connection
	reconnects int
	// tries counts connections in a row without a new token.
	tries     int
	lastToken time.Time
	err       error
}

// Generate starts a generation. The request must not be changed until the stream
// has ended. Ending ctx cancels the generation.
func (c *Client) Generate(ctx context.Context, req *chicoryv1.GenerateRequest) (*Stream, error) {
	s := &Stream{c: c, ctx: ctx, request: req, lastToken: time.Now()}
	if err := s.connect(); err != nil {
		return nil, err
	}
	return s, nil
}

// Next waits for new tokens and reports false when the generation has ended or
// failed.
func (s *Stream) Next() bool {
	s.fresh = nil
	for s.err == nil && s.finish == chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED {
		chunk, err := s.receive()
		if err != nil {
			s.lose(err)
			continue
		}
		if s.take(chunk) {
			return true
		}
	}
	s.disconnect()
	return false
}

// Tokens returns the tokens of the last Next.
func (s *Stream) Tokens() []string { return s.fresh }

// Text returns all that was received.
func (s *Stream) Text() string { return strings.Join(s.tokens, "") }

// All returns all tokens that were received.
func (s *Stream) All() []string { return s.tokens }

// Version returns the version that made the last tokens.
func (s *Stream) Version() string { return s.version }

// FinishReason says why the generation ended; it is unspecified before.
func (s *Stream) FinishReason() chicoryv1.FinishReason { return s.finish }

// Reconnects returns how often the stream went on over another connection.
func (s *Stream) Reconnects() int { return s.reconnects }

// Err returns why the stream failed, an *Error or the context's error; nil after a
// whole generation.
func (s *Stream) Err() error { return s.err }

// Close ends the stream. A generation that has not ended is cancelled.
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

// cancelTimeout bounds the cancellation at the end of a stream.
const cancelTimeout = 2 * time.Second

// cancel tells the system that nobody waits for a generation any more. An error
// is of no use: the system finds out by itself.
func (c *Client) cancel(req *chicoryv1.GenerateRequest, token string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	r := connect.NewRequest(&chicoryv1.CancelRequest{
		RequestId: req.GetRequestId(), Team: req.GetTeam(), ResumeToken: token,
	})
	c.setHeader(r.Header())
	_, _ = c.endpoint().service.Cancel(ctx, r)
}

// take keeps a chunk and reports whether it brought tokens. A chunk that does not
// follow what was received ends the connection.
func (s *Stream) take(chunk *chicoryv1.GenerationChunk) bool {
	if chunk.GetOffset() != uint64(len(s.tokens)) {
		s.lose(errors.Errorf("chunk at offset %d after %d tokens", chunk.GetOffset(), len(s.tokens)))
		return false
	}
	if t := chunk.GetResumeToken(); t != "" {
		s.resumeToken = t
	}
	if v := chunk.GetVersion(); v != "" {
		s.version = v
	}
	s.finish = chunk.GetFinishReason()
	s.fresh = chunk.GetTokens()
	if len(s.fresh) == 0 {
		return false
	}
	s.tokens = append(s.tokens, s.fresh...)
	s.proof = chunk.GetProof()
	s.tries = 0
	s.lastToken = time.Now()
	return true
}

// lose decides what follows the end of a connection: another connection after a
// wait, or the end of the stream.
func (s *Stream) lose(err error) {
	lost := s.conn
	s.disconnect()
	if s.ctx.Err() != nil {
		s.err = s.ctx.Err()
		return
	}
	wait, final := s.judge(err)
	if final == nil && time.Since(s.lastToken)+wait > s.c.opts.Patience {
		final = err
	}
	if final != nil {
		s.err = finalError(final)
		return
	}
	if needsNewConnection(err) {
		s.c.replace(lost.endpoint)
	}
	s.tries++
	if !pause.For(s.ctx, wait) {
		s.err = s.ctx.Err()
		return
	}
	s.reconnects++
	s.err = s.connect()
}

// judge returns how long to wait before another connection, or the error that
// ends the stream.
func (s *Stream) judge(err error) (wait time.Duration, final error) {
	if s.tries > 0 {
		wait = backoff(s.tries)
	}
	answer := fault.FromAnswer(err)
	if answer == nil {
		if isRefusal(err) {
			return 0, err
		}
		return wait, nil
	}
	switch answer.Kind.Row().Retry {
	case fault.RetryLater, fault.RetryResume:
		return max(answer.RetryAfter, wait), nil
	}
	return 0, err
}

// isRefusal reports whether a server that is no router, or something in front of
// a router, refused the request for good.
func isRefusal(err error) bool {
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

// needsNewConnection reports whether the connection or its router is not to be
// used again.
func needsNewConnection(err error) bool {
	answer := fault.FromAnswer(err)
	return answer == nil || answer.Kind == fault.Draining || answer.Kind == fault.NotReady
}

// finalError gives an answer of the system its public form.
func finalError(err error) error {
	if answer := fault.FromAnswer(err); answer != nil {
		return publicError(answer)
	}
	return errors.Trace(err)
}
