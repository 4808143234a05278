package frontend

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
)

// timeouts limit how long a caller may take. A value of 0 means unspecified.
type timeouts struct {
	// header is the time to send the headers of a request.
	header time.Duration
	// idle is the time between two requests.
	idle time.Duration
}

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	limits func() timeouts
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn, ok := c.(*intake.Conn)
	if !ok {
		return c, nil
	}
	return &callerConn{Conn: conn, limits: l.limits, since: time.Now()}, nil
}

// connPhase is what a connection waits for.
type connPhase int

const (
	phaseHeader connPhase = iota
	phaseActive
	phaseIdle
)

// callerConn is a caller's connection. The timeouts of http.Server are fixed while it runs;
// where the current configuration allows more time, the connection waits on.
type callerConn struct {
	*intake.Conn
	limits func() timeouts

	mu    sync.Mutex // guards the fields below
	phase connPhase
	since time.Time // when phase began
}

// trackState is the ConnState hook of the server.
func trackState(c net.Conn, s http.ConnState) {
	caller, ok := c.(*callerConn)
	if !ok {
		return
	}
	intake.Track(caller.Conn, s)
	switch s {
	case http.StateActive:
		caller.enter(phaseActive)
	case http.StateIdle:
		caller.enter(phaseIdle)
	}
}

func (c *callerConn) enter(p connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.onBytes()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
			return n, err
		}
	}
}

// onBytes ends the idle phase with the first byte of a request.
func (c *callerConn) onBytes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHeader, time.Now()
	}
}

// extend moves the read deadline if the configuration allows more time, and reports whether
// it did.
func (c *callerConn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var limit time.Duration
	switch c.phase {
	case phaseHeader:
		limit = c.limits().header
	case phaseIdle:
		limit = c.limits().idle
	case phaseActive:
		return false // net/http interrupts its own reads with a deadline
	}
	end := c.since.Add(limit)
	return time.Now().Before(end) && c.SetReadDeadline(end) == nil
}
