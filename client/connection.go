package client

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// chunkReader reads the chunks of one response.
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

// connection is one request of a stream to one router.
type connection struct {
	endpoint *endpoint
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// timer ends the connection when a receive takes longer than bound.
	timer  *time.Timer
	bound  time.Duration
	reader chunkReader
}

// connect prepares a request at the endpoint in use; it is sent by receive.
func (s *Stream) connect() error {
	if err := s.ctx.Err(); err != nil {
		return err
	}
	conn := &connection{endpoint: s.c.endpoint()}
	conn.ctx, conn.cancel = context.WithCancelCause(s.ctx)
	conn.bound = s.bound()
	conn.timer = time.AfterFunc(conn.bound, func() { conn.cancel(errSilent) })
	s.conn = conn
	return nil
}

// bound returns how long the router may be silent now.
func (s *Stream) bound() time.Duration {
	if len(s.tokens) == 0 || s.resumeToken == "" {
		return s.c.opts.FirstToken
	}
	return min(s.c.opts.Silence<<min(s.tries, 10), max(s.c.opts.FirstToken, s.c.opts.Silence))
}

// receive waits for one chunk of the connection.
func (s *Stream) receive() (*chicoryv1.GenerationChunk, error) {
	conn := s.conn
	conn.timer.Reset(conn.bound)
	defer conn.timer.Stop()
	if conn.reader == nil {
		reader, err := s.open(conn)
		if err != nil {
			return nil, conn.reason(err)
		}
		conn.reader = reader
	}
	if !conn.reader.Receive() {
		err := conn.reader.Err()
		if err == nil {
			err = errors.New("the stream ended without a finish reason")
		}
		return nil, conn.reason(err)
	}
	chunk := conn.reader.chunk()
	conn.bound = s.c.opts.Silence
	if len(chunk.GetTokens()) == 0 {
		conn.bound = max(s.c.opts.FirstToken, s.c.opts.Silence) // the router prefills elsewhere
	}
	return chunk, nil
}

// reason prefers the silence to the error that it led to.
func (c *connection) reason(err error) error {
	if context.Cause(c.ctx) == errSilent {
		return errSilent
	}
	return err
}

// open sends Generate, or Resume once there is something to resume.
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

// disconnect ends the connection.
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
