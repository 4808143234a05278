package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrResent tells that a layer above the transport tried to send the request of
// a Dispatch a second time. Nothing was sent then.
var ErrResent = errors.New("the request of a dispatch was sent already")

// Dispatch is one sending of one request. The HTTP client and its transport send
// the request at most once: they resend a request whose body they can rewind (on
// a reused connection that fails, on GOAWAY, on REFUSED_STREAM and on a
// redirect), and the body of a Dispatch can't be rewound.
type Dispatch struct {
	mu         sync.Mutex // guards the fields below
	started    bool
	endpoint   *endpoint
	generation *generation

	connected atomic.Bool
}

type dispatchKey struct{}

// WithDispatch returns a context whose one request is sent under d.
func WithDispatch(ctx context.Context, d *Dispatch) context.Context {
	return context.WithValue(ctx, dispatchKey{}, d)
}

func dispatchOf(ctx context.Context) *Dispatch {
	d, _ := ctx.Value(dispatchKey{}).(*Dispatch)
	return d
}

// MayHaveArrived reports whether the request was given to a connection. While it
// is false after the request has failed, no byte of it was written.
func (d *Dispatch) MayHaveArrived() bool {
	return d.connected.Load()
}

// DropConnection makes the next request to the same target dial anew, unless the
// connection of this dispatch was replaced already. It is called when the
// request got no answer in time.
func (d *Dispatch) DropConnection() {
	d.mu.Lock()
	e, g := d.endpoint, d.generation
	d.mu.Unlock()
	if e != nil {
		e.replace(g)
	}
}

// start takes the one sending and returns req in a form that can't be resent.
func (d *Dispatch) start(e *endpoint, g *generation, req *http.Request) (*http.Request, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started {
		return nil, ErrResent
	}
	d.started = true
	d.endpoint, d.generation = e, g
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { d.connected.Store(true) },
	}
	once := req.Clone(httptrace.WithClientTrace(req.Context(), trace))
	once.GetBody = nil
	once.Body = newOnceBody(req.Body)
	return once, nil
}

// onceBody hides that a body is empty or can be rewound: a transport resends a
// request without a body.
type onceBody struct {
	io.ReadCloser
}

func newOnceBody(body io.ReadCloser) io.ReadCloser {
	if body == nil {
		body = http.NoBody
	}
	return onceBody{body}
}
