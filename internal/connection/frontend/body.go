package frontend

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn is the ConnContext hook of the server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *intake.Conn {
	return r.Context().Value(connKey{}).(*callerConn).Conn
}

// memory is what one request holds of the budget, apart from its connection and head.
type memory struct {
	conn   *intake.Conn
	bodies *intake.Use
	hold   *intake.Hold // nil if the request has no body
}

func (m *memory) release() {
	if m.hold != nil {
		m.hold.Release()
	}
}

// retryAfter returns the time after which a request for which there was no room may return: a second,
// in which most requests that hold memory end, and up to another one so that callers don't return together.
func retryAfter() time.Duration {
	return time.Second + rand.N(time.Second)
}

func noRoom(what string) error {
	return fault.New(fault.NotReady, "there is no memory for the request's %s", what).WithRetryAfter(retryAfter())
}

// coverHead reserves the memory of a head that was not counted when it arrived.
func (m *memory) coverHead(r *http.Request) error {
	lines := 1
	for _, values := range r.Header {
		lines += len(values)
	}
	if err := m.conn.CoverHead(r.Context(), lines, headerBytes(r)); err != nil {
		return noRoom("headers")
	}
	return nil
}

// readBody reads the whole request body until the deadline. A limit of 0 means maxBodyBytes.
func (m *memory) readBody(r *http.Request, req *exchange.Request, limit int64, deadline time.Time) error {
	if limit == 0 {
		limit = maxBodyBytes
	}
	req.HasBody = r.ContentLength >= 0 && r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0
	if r.ContentLength > limit {
		return fault.New(fault.BodyTooLarge, "request body exceeds %d bytes", limit)
	}
	if r.ContentLength == 0 {
		return nil
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	m.hold = m.conn.BeginBody(m.bodies)
	reader := intake.BodyReader{Hold: m.hold, Length: r.ContentLength, Limit: limit}
	body, err := reader.ReadAll(ctx, r.Body)
	kept := m.conn.EndBody(err == nil)
	switch {
	case !kept || errors.Is(err, intake.ErrNoRoom):
		return noRoom("body")
	case errors.Is(err, intake.ErrTooLarge):
		return fault.New(fault.BodyTooLarge, "request body exceeds %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.DeadlineNotRun, "request body not received before the deadline")
	case err != nil:
		return fault.New(fault.InvalidArgument, "read request body: %v", err)
	}
	req.Body = body
	return nil
}
