// Package front serves callers over HTTP/1.1: it reads each request whole, finds
// its route, team and limits in the configuration in force and hands it on. A
// refusal is answered at once, with when to come back.
package front

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// Codec knows the words that callers use.
type Codec interface {
	// Request reads the head of r; the body is left. It fails with the kind
	// InvalidArgument.
	Request(r *http.Request) (*exchange.Request, error)
	// Refuse answers with a refusal.
	Refuse(w http.ResponseWriter, e *fault.Error)
}

// Server passes requests on. It fails with a *fault.Error if nothing was answered, and
// with an *exchange.BrokenOff if the answer can't be completed.
type Server interface {
	Serve(ctx context.Context, w http.ResponseWriter, a *exchange.Admitted) error
}

// Defaults where the configuration states no limit.
const (
	// maxHeaderBytes is what any configuration may allow; the one in force is checked
	// for each request.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 8 << 20
	// headerTimeout and idleTimeout hold whatever the configuration states. They are
	// wide: callers may use a connection that was idle for most of the stated time.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
)

// Options are what a Front needs. All are required.
type Options struct {
	Codec  Codec
	Server Server
	Holder *declared.Holder
	// Started is closed once requests can be served.
	Started  <-chan struct{}
	Logger   *logging.Logger
	Registry metrics.Registry
	// Draw gives uniform numbers.
	Draw func() uint64
}

// Front serves callers on one address.
type Front struct {
	opts     Options
	http     *http.Server
	leaving  atomic.Bool
	refusing atomic.Bool
}

// Listen serves on address (IP:port).
func Listen(address string, opts Options) (*Front, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "caller address")
	}
	f := &Front{opts: opts}
	f.http = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0), // each request has its own line
	}
	go func() { _ = f.http.Serve(ln) }() // ends with the server
	return f, nil
}

// leavingWait is when a caller may come back after this VM refused because it leaves:
// other entry VMs serve.
const leavingWait = 20 * time.Millisecond

// Leave lets callers know with each answer that the connection closes, and refuses
// streams, which would be cut at the end of the grace.
func (f *Front) Leave() { f.leaving.Store(true) }

// Refuse answers further requests with the kind Draining.
func (f *Front) Refuse() { f.refusing.Store(true) }

// Shutdown closes the listener and idle connections and waits for requests until
// ctx ends; then it cuts what is left.
func (f *Front) Shutdown(ctx context.Context) error {
	if err := f.http.Shutdown(ctx); err == nil {
		return nil
	}
	return errors.Trace(f.http.Close())
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	req, err := f.opts.Codec.Request(r)
	if err != nil {
		f.refuse(w, r, "", err)
		return
	}
	req.Arrived = arrived
	f.awaitStart(r.Context(), req)
	a, err := f.admit(r, req)
	if err != nil {
		f.refuse(w, r, req.ID, err)
		return
	}
	err = f.opts.Server.Serve(r.Context(), w, a)
	var broken *exchange.BrokenOff
	switch {
	case errors.As(err, &broken):
		f.opts.Logger.Warn(logging.RequestBroken, logging.Fields{
			"request": req.ID, "route": a.Route.Name, "reason": broken.Reason, "ms": time.Since(arrived).Milliseconds(),
		})
		panic(http.ErrAbortHandler) // ends the connection without the answer's end
	case err != nil:
		f.refuse(w, r, req.ID, err)
	}
}

const (
	// startWait bounds the wait of a request that comes before the process knows its
	// configuration and targets, as after a restart: control VMs usually tell them
	// within a second.
	startWait = 2 * time.Second
	// startShare bounds it by the caller's own wait, most of which is left for the
	// request, or for a try elsewhere.
	startShare = 3
)

// awaitStart waits a while for the process to know what it needs to serve.
func (f *Front) awaitStart(ctx context.Context, req *exchange.Request) {
	select {
	case <-f.opts.Started:
		return
	default:
	}
	limit := startWait
	if req.Wait > 0 {
		limit = min(limit, req.Wait/startShare)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-f.opts.Started:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Front) refuse(w http.ResponseWriter, r *http.Request, id string, err error) {
	e := fault.Of(err)
	metrics.GetOrRegisterCounter("request.refused."+string(e.Kind), f.opts.Registry).Inc(1)
	f.opts.Logger.Warn(logging.RequestRefused, logging.Fields{
		"request": id, "host": r.Host, "path": r.URL.Path, "kind": string(e.Kind), "reason": e.Message,
		"retry_after_ms": e.RetryAfter.Milliseconds(), "version": f.opts.Holder.Version(),
	})
	f.opts.Codec.Refuse(w, e)
}

// admit checks a request against the configuration in force and reads its body.
func (f *Front) admit(r *http.Request, req *exchange.Request) (*exchange.Admitted, error) {
	view := f.opts.Holder.Current()
	if view == nil {
		return nil, fault.New(fault.NotReady, "there is no configuration yet")
	}
	limits := view.Configuration().Limits
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return nil, fault.New(fault.HeaderTooLarge, "the headers are above %d bytes", limits.HeaderBytes)
	}
	a, err := f.find(view, r, req)
	if err != nil {
		return nil, err
	}
	if err := readBody(r, req, limits.BodyBytes); err != nil {
		return nil, err
	}
	if f.refusing.Load() || f.leaving.Load() && a.Route.Stream {
		return nil, fault.New(fault.Draining, "the entry VM is shutting down").WithRetryAfter(leavingWait)
	}
	return a, nil
}

// find returns the request with its route, service, team and deadline.
func (f *Front) find(view *declared.View, r *http.Request, req *exchange.Request) (*exchange.Admitted, error) {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host // without a port
	}
	path, _, _ := strings.Cut(req.URI, "?")
	route := view.Route(host, path)
	if route == nil {
		return nil, fault.New(fault.UnknownRoute, "no route for host %q and path %q", host, path)
	}
	a := &exchange.Admitted{Request: req, Route: route}
	if view.HasTeams() && !route.Public {
		team := view.TeamOf(req.Key)
		if team == nil {
			return nil, fault.New(fault.Unauthenticated, "no team holds the key")
		}
		a.Team = team.Name
	}
	a.Service = view.Service(route.Choose(f.opts.Draw()))
	wait := route.Timeout
	if req.Wait > 0 {
		wait = min(wait, req.Wait)
	}
	a.Deadline = req.Arrived.Add(wait)
	return a, nil
}

// headerBytes returns about what the request's head took on the wire.
func headerBytes(r *http.Request) int {
	const separators = 4 // colon, space and line end
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// readBody reads the body of a request whole.
func readBody(r *http.Request, req *exchange.Request, limit int64) error {
	if limit == 0 {
		limit = maxBodyBytes
	}
	req.HasBody = r.ContentLength >= 0 && r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0
	if r.ContentLength > limit {
		return fault.New(fault.BodyTooLarge, "the body is above %d bytes", limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return fault.New(fault.InvalidArgument, "the body can't be read: %v", err)
	}
	if int64(len(body)) > limit {
		return fault.New(fault.BodyTooLarge, "the body is above %d bytes", limit)
	}
	req.Body = body
	return nil
}
