package client

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// chunkReader reads the chunks of a Generate or Resume response.
type chunkReader interface {
	Receive() bool
	Err() error
	Close() error
	chunk() *chicoryv1.GenerationChunk
}

type generateReader struct {
	*connect.ServerStreamForClient[chicoryv1.GenerateResponse]
}

func (r generateReader) chunk() *chicoryv1.GenerationChunk { return r.Msg().GetChunk() }

type resumeReader struct {
	*connect.ServerStreamForClient[chicoryv1.ResumeResponse]
}

func (r resumeReader) chunk() *chicoryv1.GenerationChunk { return r.Msg().GetChunk() }

// connection is one Generate or Resume request of a stream.
type connection struct {
	endpoint *endpoint
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// timer cancels the request when a receive takes longer than receiveTimeout.
	timer          *time.Timer
	receiveTimeout time.Duration
	reader         chunkReader
}

// connect prepares a request to the current endpoint. The first receive sends it.
func (s *Stream) connect() error {
	if err := s.ctx.Err(); err != nil {
		return err
	}
	conn := &connection{endpoint: s.c.endpoint()}
	conn.ctx, conn.cancel = context.WithCancelCause(s.ctx)
	conn.receiveTimeout = s.firstReceiveTimeout()
	conn.timer = time.AfterFunc(conn.receiveTimeout, func() { conn.cancel(errReceiveTimeout) })
	s.conn = conn
	return nil
}

// firstReceiveTimeout returns the timeout for the first chunk of a new connection.
func (s *Stream) firstReceiveTimeout() time.Duration {
	if len(s.tokens) == 0 || s.resumeToken == "" {
		return s.c.opts.FirstTokenTimeout
	}
	return min(s.c.opts.StreamIdleTimeout<<min(s.attempts, 10), max(s.c.opts.FirstTokenTimeout, s.c.opts.StreamIdleTimeout))
}

// receive waits for the next chunk, sending the request first if needed.
func (s *Stream) receive() (*chicoryv1.GenerationChunk, error) {
	conn := s.conn
	conn.timer.Reset(conn.receiveTimeout)
	defer conn.timer.Stop()
	if conn.reader == nil {
		reader, err := s.open(conn)
		if err != nil {
			return nil, conn.cause(err)
		}
		conn.reader = reader
	}
	if !conn.reader.Receive() {
		err := conn.reader.Err()
		if err == nil {
			err = errors.New("the stream ended without a finish reason")
		}
		return nil, conn.cause(err)
	}
	chunk := conn.reader.chunk()
	conn.receiveTimeout = s.c.opts.StreamIdleTimeout
	if len(chunk.GetTokens()) == 0 {
		// The chunk announces a new attempt; its engine prefills before the next token.
		conn.receiveTimeout = max(s.c.opts.FirstTokenTimeout, s.c.opts.StreamIdleTimeout)
	}
	return chunk, nil
}

// cause returns errReceiveTimeout if the timer canceled the request, or else err.
func (c *connection) cause(err error) error {
	if context.Cause(c.ctx) == errReceiveTimeout {
		return errReceiveTimeout
	}
	return err
}

// open sends Generate, or Resume once a resume token has been received.
func (s *Stream) open(conn *connection) (chunkReader, error) {
	if s.resumeToken == "" {
		r := connect.NewRequest(s.request)
		s.c.setHeader(r.Header())
		stream, err := conn.endpoint.service.Generate(conn.ctx, r)
		return generateReader{stream}, err
	}
	r := connect.NewRequest(&chicoryv1.ResumeRequest{
		RequestId:   s.request.GetRequestId(),
		Team:        s.request.GetTeam(),
		ResumeToken: s.resumeToken,
		Offset:      uint64(len(s.tokens)),
		Original:    s.request,
		Received:    s.tokens,
		Proof:       s.proof,
	})
	s.c.setHeader(r.Header())
	stream, err := conn.endpoint.service.Resume(conn.ctx, r)
	return resumeReader{stream}, err
}

// disconnect cancels the current request and closes its reader.
func (s *Stream) disconnect() {
	conn := s.conn
	if conn == nil {
		return
	}
	s.conn = nil
	conn.timer.Stop()
	conn.cancel(nil)
	if conn.reader != nil {
		_ = conn.reader.Close()
	}
}
