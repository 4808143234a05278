package intake

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	refusalWriteTime = 200 * time.Millisecond
	// lingerTime is how long a refused connection is read on, so that the refusal arrives: a
	// connection that is closed with unread bytes is reset.
	lingerTime = 250 * time.Millisecond
)

// reason is why a client was refused.
type reason string

const (
	reasonConnections reason = "connections"
	reasonHeadBytes   reason = "head_bytes"
	reasonHeadLines   reason = "head_lines"
	reasonEmptyLines  reason = "empty_lines"
	reasonHeadMemory  reason = "head_memory"
	reasonBodyMemory  reason = "body_memory"
	// reasonClosed: the server has closed the connection meanwhile, which is no refusal.
	reasonClosed reason = "closed"
)

// refusalOf returns the complete response of a refusal.
func refusalOf(r reason) []byte {
	var status, text, header string
	switch r {
	case reasonHeadBytes, reasonHeadLines:
		status, text = "431 Request Header Fields Too Large", "header_too_large: the request's headers exceed the limit"
	case reasonEmptyLines:
		status, text = "400 Bad Request", "invalid_argument: too many empty lines before a request"
	default:
		header = fmt.Sprintf("Retry-After: %.3f\r\n", RetryAfter().Seconds())
		status, text = "503 Service Unavailable", "not_ready: there is no memory for the request"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s\n",
		status, header, len(text)+1, text)
}

// phase is what a connection waits for.
type phase int

const (
	phaseHead phase = iota
	phaseActive
	phaseIdle
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex // guards the fields below
	phase phase
	since time.Time // when phase began, or the client last sent something
	// givenUp: reads fail.
	givenUp bool
	// isRefused: a refusal was written.
	isRefused bool
	closed    bool
	head      *Hold // of the current request, nil if there is none
	body      *Hold // while a body is being received
	scanner   headScanner
	headEnded bool
	// preface counts the bytes of the connection's beginning that are those of HTTP/2's; -1 if it began
	// otherwise.
	preface int
	// isOpaque: heads can't be counted.
	isOpaque bool
}

// http2Preface is what a client of HTTP/2 sends first.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// notePreface looks for the preface of HTTP/2 at the beginning of the connection. The caller holds mu.
func (c *Conn) notePreface(b []byte) {
	if !c.listener.limits.HTTP2 || c.preface < 0 {
		return
	}
	next := b[:min(len(b), len(http2Preface)-c.preface)]
	if !strings.HasPrefix(http2Preface[c.preface:], string(next)) {
		c.preface = -1
		return
	}
	c.preface += len(next)
	c.isOpaque = c.preface == len(http2Preface)
}

// Track is the ConnState hook of a server on a Listener. Connections of other listeners are
// ignored.
func Track(c net.Conn, s http.ConnState) {
	conn := connIn(c)
	if conn == nil {
		return
	}
	switch s {
	case http.StateActive:
		conn.enter(phaseActive)
	case http.StateIdle:
		conn.enter(phaseIdle)
	}
}

func (c *Conn) enter(p phase) {
	c.mu.Lock()
	head := c.head
	c.phase, c.since = p, time.Now()
	if p == phaseIdle {
		c.head, c.scanner, c.headEnded = nil, headScanner{}, false
	}
	c.mu.Unlock()
	switch {
	case head == nil:
	case p == phaseIdle:
		head.Release()
	default:
		head.Finish()
	}
}

// Read implements net.Conn. It counts heads before net/http parses them, and waits for memory.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	givenUp, body, now := c.givenUp, c.body, time.Now()
	if n > 0 {
		c.since = now
	}
	if c.phase == phaseActive || c.headEnded || c.isOpaque {
		c.mu.Unlock()
		if n > 0 && body != nil {
			body.Progress()
		}
		if givenUp && err != nil {
			err = errClosed()
		}
		return n, err
	}
	isOpen := n > 0 || c.scanner.bytes > 0
	if n > 0 {
		c.phase = phaseHead
		c.notePreface(b[:n])
	}
	c.mu.Unlock()
	switch {
	case givenUp && isOpen:
		return 0, c.refuse(reasonHeadMemory)
	case givenUp:
		return 0, errClosed()
	case n == 0:
		return n, err
	}
	switch r := c.countHead(b[:n]); r {
	case "":
	case reasonClosed:
		return 0, errClosed()
	default:
		return 0, c.refuse(r)
	}
	return n, err
}

// countHead counts the bytes of a head and reserves the memory that it needs. It returns why the
// request must be refused, if so.
func (c *Conn) countHead(b []byte) reason {
	limits := c.listener.limits
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return reasonClosed
	}
	before := c.scanner.cost()
	c.headEnded = c.scanner.scan(b)
	s := c.scanner
	if c.head == nil {
		c.head = c.listener.heads.Begin(c.giveUp)
	}
	head, ended := c.head, c.headEnded
	c.mu.Unlock()
	switch {
	case limits.HeadBytes != nil && s.bytes > limits.HeadBytes():
		return reasonHeadBytes
	case limits.HeadLines > 0 && s.lines > limits.HeadLines:
		return reasonHeadLines
	case limits.EmptyLines > 0 && s.emptyLines > limits.EmptyLines:
		return reasonEmptyLines
	}
	if head.Grow(context.Background(), s.cost()-before) != nil || ended && !head.Finish() {
		return reasonHeadMemory
	}
	return ""
}

// refuse writes the refusal of a request whose head was not passed on, and returns the error of the
// read.
func (c *Conn) refuse(r reason) error {
	c.listener.report(r)
	c.mu.Lock()
	c.isRefused, c.givenUp = true, true
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = c.Conn.Write(refusalOf(r)) // the client may have left
	return errClosed()
}

// giveUp makes the current and all further reads fail.
func (c *Conn) giveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveUpLocked()
}

// giveUpLocked requires that the caller holds mu.
func (c *Conn) giveUpLocked() {
	c.givenUp = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails if the client has left
}

// giveUpIdle closes a connection that serves nothing, for another one. A request whose head was read
// completely is served: net/http would cancel it if a read of its connection failed.
func (c *Conn) giveUpIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// What was just read may be a request of HTTP/2 that the server doesn't know yet.
	mayBeRequest := c.headEnded || c.isOpaque && now.Sub(c.since) < stallTime
	switch {
	case c.isRefused:
		_ = c.Conn.Close()
	case c.phase != phaseActive && !mayBeRequest:
		c.giveUpLocked()
	case c.phase == phaseActive && c.body != nil && c.body.tryGiveUp():
		c.giveUpLocked()
	}
}

// tryGiveUp gives the request up unless it was received completely.
func (h *Hold) tryGiveUp() bool {
	h.use.budget.mu.Lock()
	defer h.use.budget.mu.Unlock()
	if !h.use.unfinished[h] {
		return false
	}
	h.givenUp = true
	return true
}

// rank returns how dispensable the connection is.
func (c *Conn) rank(now time.Time) rank {
	c.mu.Lock()
	defer c.mu.Unlock()
	isStalled := now.Sub(c.since) >= stallTime
	r := rank{since: c.since}
	switch {
	case c.isRefused:
		r.class = refused
	case c.givenUp:
		r.class = served // it is being closed
	case c.phase == phaseIdle:
		r.class = idle
	case c.phase == phaseActive && c.body != nil && isStalled:
		r.class = stalled
	case c.phase == phaseActive || c.headEnded && !c.isOpaque:
		r.class = served
	case isStalled:
		r.class = stalled
	default:
		r.class = beginning
	}
	return r
}

// SetReadDeadline implements net.Conn. The deadline of a connection that was given up stays.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.givenUp {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the writing side, which net/http does before it closes a connection with unread
// bytes.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// Close implements net.Conn. A connection that was refused is read for a short time.
func (c *Conn) Close() error {
	c.mu.Lock()
	wasClosed, head, body := c.closed, c.head, c.body
	// The refusal of a body is written by the server.
	lingers := c.isRefused || c.givenUp && c.phase == phaseActive
	c.closed, c.isRefused = true, lingers
	c.mu.Unlock()
	if wasClosed {
		return c.Conn.Close()
	}
	for _, h := range []*Hold{head, body} {
		if h != nil {
			h.Release()
		}
	}
	if !lingers {
		defer c.listener.remove(c)
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

// linger discards what the client still sends until it closes the connection or lingerTime has passed.
func (c *Conn) linger() {
	defer c.listener.remove(c)
	defer func() { _ = c.Conn.Close() }()
	_ = c.CloseWrite() // fails if the client has left
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	buffer := make([]byte, 1<<10)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// BeginBody returns the hold of the body of the request that is being received. The caller calls
// EndBody when the body was received or refused, and releases the hold when it is not needed any
// more.
func (c *Conn) BeginBody(u *Use) *Hold {
	h := u.Begin(c.giveUp)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = h
	return h
}

// EndBody ends what BeginBody began. It reports false if the request was given up and must be refused.
func (c *Conn) EndBody(complete bool) bool {
	c.mu.Lock()
	body := c.body
	c.body = nil
	c.mu.Unlock()
	return !body.GivenUp() && (!complete || body.Finish())
}

// CoverHead reserves memory for a head of the given size as far as it was not counted when it
// arrived: up to 4 KiB of a request that is sent before the response to the one before.
func (c *Conn) CoverHead(ctx context.Context, lines, bytes int) error {
	c.mu.Lock()
	if c.head == nil && c.closed {
		c.mu.Unlock()
		return errClosed()
	}
	if c.head == nil {
		c.head = c.listener.heads.Begin(c.giveUp)
	}
	head, counted := c.head, c.scanner
	c.mu.Unlock()
	head.Finish()
	missing := (&headScanner{lines: lines, bytes: bytes}).cost() - counted.cost()
	if missing <= 0 {
		return nil
	}
	if err := head.Grow(ctx, missing); err != nil {
		c.listener.report(reasonHeadMemory)
		return errors.Trace(err)
	}
	return nil
}
