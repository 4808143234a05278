package http1

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsecheck"
)

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the path and query, exactly as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody makes the request state its Content-Length even if Body is empty.
	HasBody bool
	// NewConnection: the request must not use an idle connection, which may be broken.
	NewConnection bool
	// Sends has the connections that carried earlier sends of the request, which are not used, and
	// records this one; nil if the request is sent once.
	Sends *Sends
}

// Response is a target's response whose body has not been read yet. It must be ended
// by Finish or Abandon.
type Response struct {
	Status int
	Header http.Header
	// SelfDelimited reports whether the end of the body is known: from its length, from
	// chunks or because there is none. Any other body ends when the target closes the
	// connection.
	SelfDelimited bool
	// closes: the target announced that it closes the connection. keepAlive is how long it
	// keeps an idle one, or 0 if it announced no time. Both outlast a Header that its reader
	// changes.
	closes    bool
	keepAlive time.Duration
	// length is the announced length of the body in bytes, or -1.
	length   int64
	body     io.Reader
	exchange *Exchange
}

// Exchange is one request on one connection. It is not safe for concurrent use.
type Exchange struct {
	pool    *Pool
	address string
	conn    *conn
	method  string
	// stopCancel detaches the connection from the context of Send. It reports false if
	// the context ended first.
	stopCancel func() bool
	// bodyWritten receives the result of writing the body in the background; nil when
	// the body was written at once.
	bodyWritten chan error
	ended       bool
}

// NotSentError states that no byte of the request was written, so it has not run.
type NotSentError struct {
	Address string
	Err     error
}

// Error returns the cause and the target's address.
func (e *NotSentError) Error() string {
	return "request not sent to target " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// IsNotSent reports whether err states that no byte of the request was written.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// ReusedError states that a connection that had carried an earlier request ended before a byte of
// the response was read. Other idle connections may be broken as well.
type ReusedError struct{ Err error }

// Error returns the cause.
func (e *ReusedError) Error() string { return "reused connection: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReusedError) Unwrap() error { return e.Err }

// IsReused reports whether err states that a reused connection was broken.
func IsReused(err error) bool {
	var e *ReusedError
	return errors.As(err, &e)
}

// backgroundBodyBytes is the body size from which the body is written in the background
// while the response is read: a target may respond before it has read a long body. It is
// below the smallest TCP send buffer, so that writing a shorter body does not block.
const backgroundBodyBytes = 8 << 10

// Send writes a request to the target at address (IP:port). The connection is reset
// when ctx ends. The error is a *NotSentError if no byte was written; after any other
// error the target may have run the request.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Exchange, error) {
	c, err := p.connect(ctx, address, r)
	if err != nil {
		return nil, &NotSentError{address, err}
	}
	r.Sends.add(c)
	x := &Exchange{pool: p, address: address, conn: c, method: r.Method}
	x.stopCancel = context.AfterFunc(ctx, c.reset)
	if ctx.Err() != nil {
		x.abandon()
		return nil, &NotSentError{address, ctx.Err()}
	}
	head := r.head()
	if len(r.Body) < backgroundBodyBytes {
		head = append(head, r.Body...)
	}
	if n, err := c.stream.Write(head); err != nil {
		x.abandon()
		if n == 0 {
			return nil, &NotSentError{address, err}
		}
		return nil, errors.Annotatef(x.connectionError(err), "write to target %s", address)
	}
	if len(r.Body) >= backgroundBodyBytes {
		x.bodyWritten = make(chan error, 1)
		go func() {
			_, err := c.stream.Write(r.Body)
			x.bodyWritten <- err
		}()
	}
	return x, nil
}

// HasUnread reports whether the target has sent bytes that this process has not read yet. It
// may be called while the response is read.
func (x *Exchange) HasUnread() bool { return x.conn.hasUnread() }

// head returns the request line and the headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // a bytes.Buffer never returns a write error
	b.WriteString("\r\n")
	return b.Bytes()
}

// ReadResponse reads the status line and headers of the next final response on the
// connection. It may be called again if the response belongs to another request. It fails
// with a *LimitError if the head or the number of informational responses exceeds a limit,
// and with a *responsecheck.StatusError or a *responsecheck.FieldNameError.
func (x *Exchange) ReadResponse() (*Response, error) {
	for range maxInformational + 1 {
		resp, err := x.readHead()
		if err != nil {
			x.abandon()
			return nil, errors.Annotatef(x.connectionError(err), "read from target %s", x.address)
		}
		if !responsecheck.IsInformational(resp.StatusCode) {
			return x.response(resp), nil
		}
	}
	x.abandon()
	return nil, errors.Annotatef(&LimitError{LimitInformational, maxInformational}, "read from target %s", x.address)
}

// connectionError returns err, or a *ReusedError if the connection may have been broken before the
// request was sent.
func (x *Exchange) connectionError(err error) error {
	if !x.conn.reused || x.conn.head.bytes > 0 {
		return err
	}
	return &ReusedError{err}
}

// readHead reads the head of the next response, final or informational.
func (x *Exchange) readHead() (*http.Response, error) {
	if err := x.conn.beginHead(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.method})
	if err := x.conn.head.result(err); err != nil {
		return nil, err
	}
	if responsecheck.IsInformational(resp.StatusCode) {
		return resp, nil
	}
	return resp, responsecheck.FinalStatus(resp.StatusCode)
}

// response converts resp to a Response.
func (x *Exchange) response(resp *http.Response) *Response {
	noBody := x.method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	chunked := len(resp.TransferEncoding) > 0 && !noBody
	length, body := resp.ContentLength, io.Reader(resp.Body)
	switch {
	case noBody:
		length = 0
	case chunked:
		body = newChunkedBody(x.conn)
	}
	return &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		SelfDelimited: chunked || noBody || resp.ContentLength >= 0,
		closes:        resp.Close,
		keepAlive:     keepAliveTimeout(resp.Header),
		length:        length,
		body:          body,
		exchange:      x,
	}
}

// Read reads from the body. io.EOF means that the body is complete: it reached its
// announced end or, if it is not self-delimited, the target closed the connection
// without an error, whether it had read the request or not.
func (r *Response) Read(p []byte) (int, error) {
	return r.body.Read(p)
}

// Finish returns the connection to the pool if the body was read completely and the
// connection can be reused. Otherwise it closes the connection.
func (r *Response) Finish() { r.exchange.finish(r) }

// Abandon resets the connection, which tells the target to stop work on the request.
func (r *Response) Abandon() { r.exchange.abandon() }

func (x *Exchange) finish(r *Response) {
	if x.ended {
		return
	}
	x.ended = true
	if inTime := x.stopCancel(); !inTime || !x.reusable(r) {
		x.conn.close()
		return
	}
	x.pool.put(x.address, x.conn, r.keepAlive)
}

// reusable reports whether the connection may carry another request.
func (x *Exchange) reusable(r *Response) bool {
	if !r.SelfDelimited || x.conn.reader.Buffered() > 0 || r.closes {
		return false
	}
	if x.bodyWritten == nil {
		return true
	}
	select {
	case err := <-x.bodyWritten:
		return err == nil
	default:
		return false // the request body is not fully written yet
	}
}

func (x *Exchange) abandon() {
	if x.ended {
		return
	}
	x.ended = true
	x.stopCancel()
	x.conn.reset()
}

// keepAliveTimeout returns the timeout in a Keep-Alive header, or 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
