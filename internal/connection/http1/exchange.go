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
)

// Request is one request as it is written to a target.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody: the length is stated though it may be 0.
	HasBody bool
}

// Answer is a target's answer whose body has not been read. Finish or Abandon
// ends it.
type Answer struct {
	Status int
	Header http.Header
	// HasLength: the end of the body is announced, by a length or by chunks. A body
	// without that ends with its connection.
	HasLength bool
	body      io.ReadCloser
	exchange  *Exchange
}

// Exchange is one request on one connection. It is used by one task.
type Exchange struct {
	pool    *Pool
	address string
	conn    *conn
	method  string
	stop    func() bool
	writing chan error
	ended   bool
}

// NotSentError says that no byte of the request was written, so it has not run.
type NotSentError struct {
	Address string
	Err     error
}

// Error names the target.
func (e *NotSentError) Error() string {
	return "nothing was sent to target " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// IsNotSent reports whether err says that no byte was written.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// bodyBesideAnswer is the body size from which the answer is read while the body
// is written: a target may answer before it has read a long one. It is below the
// smallest send buffer, so that shorter bodies are written at once.
const bodyBesideAnswer = 8 << 10

// Send writes a request to the target at address (IP:port). The connection is
// closed when ctx ends. The error is a *NotSentError if no byte was written;
// otherwise the target may have run the request.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Exchange, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, &NotSentError{address, err}
	}
	x := &Exchange{pool: p, address: address, conn: c, method: r.Method}
	x.stop = context.AfterFunc(ctx, c.close)
	if ctx.Err() != nil {
		x.abandon()
		return nil, &NotSentError{address, ctx.Err()}
	}
	head := r.head()
	if len(r.Body) < bodyBesideAnswer {
		head = append(head, r.Body...)
	}
	if n, err := c.raw.Write(head); err != nil {
		x.abandon()
		if n == 0 {
			return nil, &NotSentError{address, err}
		}
		return nil, errors.Annotatef(err, "write to target %s", address)
	}
	if len(r.Body) >= bodyBesideAnswer {
		x.writing = make(chan error, 1)
		go func() {
			_, err := c.raw.Write(r.Body)
			x.writing <- err
		}()
	}
	return x, nil
}

// head returns the request line and the headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // a buffer takes every write
	b.WriteString("\r\n")
	return b.Bytes()
}

// Read reads the head of the next answer on the connection. A caller that finds an
// answer to another request may read once more.
func (x *Exchange) Read() (*Answer, error) {
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.method})
		if err != nil {
			x.abandon()
			return nil, errors.Annotatef(err, "read from target %s", x.address)
		}
		if resp.StatusCode >= 200 {
			return x.answer(resp), nil
		}
	}
}

func (x *Exchange) answer(resp *http.Response) *Answer {
	chunked := len(resp.TransferEncoding) > 0
	noBody := x.method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.Close {
		// ReadResponse takes the header away.
		resp.Header.Set("Connection", "close")
	}
	return &Answer{
		Status:    resp.StatusCode,
		Header:    resp.Header,
		HasLength: chunked || noBody || resp.ContentLength >= 0,
		body:      resp.Body,
		exchange:  x,
	}
}

// Read implements io.Reader for the body. io.EOF means that the body is whole: it
// ended as announced, or, where nothing was announced, the target closed the
// connection in order.
func (a *Answer) Read(p []byte) (int, error) {
	return a.body.Read(p)
}

// ReadAll reads a body of at most limit bytes.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(a.body, limit+1))
	if err != nil {
		return nil, errors.Annotatef(err, "body from target %s", a.exchange.address)
	}
	if int64(len(b)) > limit {
		return nil, errors.Errorf("the body from target %s is above %d bytes", a.exchange.address, limit)
	}
	return b, nil
}

// Finish gives the connection back after the whole body was read, or closes it.
func (a *Answer) Finish() { a.exchange.finish(a) }

// Abandon closes the connection; a target that is still at work stops.
func (a *Answer) Abandon() { a.exchange.abandon() }

func (x *Exchange) finish(a *Answer) {
	if x.ended {
		return
	}
	if !x.reusable(a) || !x.stop() {
		x.abandon()
		return
	}
	x.ended = true
	x.pool.put(x.address, x.conn, keptFor(a.Header))
}

// reusable reports whether the next request may go over the connection.
func (x *Exchange) reusable(a *Answer) bool {
	if !a.HasLength || x.conn.reader.Buffered() > 0 || a.closes() {
		return false
	}
	if x.writing == nil {
		return true
	}
	select {
	case err := <-x.writing:
		return err == nil
	default:
		return false // the rest of the body is still due
	}
}

// closes reports whether the target announces that it closes the connection.
func (a *Answer) closes() bool {
	return strings.EqualFold(a.Header.Get("Connection"), "close")
}

func (x *Exchange) abandon() {
	if x.ended {
		return
	}
	x.ended = true
	x.stop()
	x.conn.close()
}

// keptFor returns how long the target keeps an idle connection, 0 if it names no time.
func keptFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
