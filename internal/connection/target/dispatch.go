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

// ErrResent is returned when a layer above the transport tries to send the request of a
// Dispatch a second time. The second request is not sent.
var ErrResent = errors.New("request of this dispatch was already sent")

// Dispatch is a single transmission of one request, which is sent at most once. The HTTP
// client and its transport retry a request whose body they can rewind: when a reused
// connection fails, on GOAWAY, on REFUSED_STREAM and on a redirect. A Dispatch prevents
// this by giving the request a body that can't be rewound.
type Dispatch struct {
	mu          sync.Mutex // guards the fields below
	started     bool
	endpoint    *endpoint
	connections *connectionSet // that the request was sent on

	connected atomic.Bool // the request was assigned to a connection
}

type dispatchKey struct{}

// WithDispatch returns a context for one request, which is sent as d.
func WithDispatch(ctx context.Context, d *Dispatch) context.Context {
	return context.WithValue(ctx, dispatchKey{}, d)
}

// dispatchOf returns the Dispatch of ctx, or nil.
func dispatchOf(ctx context.Context) *Dispatch {
	d, _ := ctx.Value(dispatchKey{}).(*Dispatch)
	return d
}

// MayHaveArrived reports whether the request was assigned to a connection. If it is
// false after the request has failed, no byte of the request was written.
func (d *Dispatch) MayHaveArrived() bool {
	return d.connected.Load()
}

// ReplaceConnection makes the next request to the same target open a new connection,
// unless the connection of this dispatch was already replaced. It is called when the
// request got no response in time.
func (d *Dispatch) ReplaceConnection() {
	d.mu.Lock()
	e, set := d.endpoint, d.connections
	d.mu.Unlock()
	if e != nil {
		e.replace(set)
	}
}

// start marks the dispatch as sent and returns a copy of req that can't be retried. It
// returns ErrResent on the second call.
func (d *Dispatch) start(e *endpoint, set *connectionSet, req *http.Request) (*http.Request, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started {
		return nil, ErrResent
	}
	d.started = true
	d.endpoint, d.connections = e, set
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { d.connected.Store(true) },
	}
	unretryable := req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	unretryable.GetBody = nil
	unretryable.Body = newOneShotBody(req.Body)
	return unretryable, nil
}

// oneShotBody hides from the transport that a body is empty or can be rewound, because
// the transport retries such requests.
type oneShotBody struct {
	io.ReadCloser
}

func newOneShotBody(body io.ReadCloser) io.ReadCloser {
	if body == nil {
		body = http.NoBody
	}
	return oneShotBody{body}
}
