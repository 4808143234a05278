package intake

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Limits of servers that are not for callers.
const (
	// maxServerHeadBytes is the size of a head. Clients of these servers send less than 4 KiB, apart from tokens of callers of Connect.
	maxServerHeadBytes  = 32 << 10
	maxServerHeadLines  = 1000
	maxServerEmptyLines = 8 << 10
	// serverIdleTimeout is the time between two requests of a connection.
	serverIdleTimeout = 90 * time.Second
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn is the ConnContext hook of a server on a Listener.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connIn(c))
}

// connIn returns the connection that c is, embeds or encrypts, or nil.
func connIn(c net.Conn) *Conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	if holder, ok := c.(interface{ intakeConn() *Conn }); ok {
		return holder.intakeConn()
	}
	return nil
}

// intakeConn is promoted to types that embed a connection.
func (c *Conn) intakeConn() *Conn { return c }

// ConnOf returns the connection of a request, or nil if its server has no Listener.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Bodies returns the use of bodies of the connection's budget.
func (c *Conn) Bodies() *Use { return Bodies(c.listener.budget) }

// Serve serves on ln within limits until the server is closed, with the limits for heads that suit
// servers which aren't for callers.
func Serve(s *http.Server, ln net.Listener, limits Limits, budget *Budget) error {
	limits.HeadBytes = func() int { return maxServerHeadBytes }
	limits.HeadLines, limits.EmptyLines = maxServerHeadLines, maxServerEmptyLines
	limits.HTTP2 = s.Protocols != nil && s.Protocols.UnencryptedHTTP2()
	prepare(s)
	return s.Serve(Listen(ln, limits, budget))
}

func prepare(s *http.Server) {
	s.MaxHeaderBytes = maxServerHeadBytes
	s.ConnState, s.ConnContext = Track, WithConn
	if s.IdleTimeout == 0 {
		s.IdleTimeout = serverIdleTimeout
	}
}

// ServeTLS is Serve for connections with TLS, whose heads are bounded by net/http only.
func ServeTLS(s *http.Server, ln net.Listener, limits Limits, budget *Budget) error {
	limits.Opaque = true
	prepare(s)
	return s.ServeTLS(Listen(ln, limits, budget), "", "")
}

// ReadBody reads the body of a request until the deadline, in memory of the connection's budget. release
// gives it back. It fails with ErrNoRoom, ErrTooLarge or the error of a read.
func ReadBody(r *http.Request, limit int64, deadline time.Time) (body []byte, release func(), err error) {
	conn := ConnOf(r)
	if conn == nil {
		return nil, func() {}, errors.New("the server has no limits on clients")
	}
	if r.ContentLength > limit {
		return nil, func() {}, errors.Trace(ErrTooLarge)
	}
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	hold := conn.BeginBody(conn.Bodies())
	body, err = (&BodyReader{Hold: hold, Length: r.ContentLength, Limit: limit}).ReadAll(ctx, r.Body)
	if !conn.EndBody(err == nil) {
		err = errors.Trace(ErrNoRoom)
	}
	if errors.Is(err, ErrNoRoom) {
		conn.listener.report(reasonBodyMemory)
	}
	return body, hold.Release, err
}
