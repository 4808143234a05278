// Package frontend is the HTTP/1.1 server for callers. It reads each request
// completely, looks up its route, team and limits in the current configuration and
// passes it to a handler. A refused request gets an immediate response that says when
// to retry.
package frontend

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// Codec translates between the callers' HTTP interface and internal requests and errors.
type Codec interface {
	// Request parses the request line and headers of r, but not the body. Errors are of
	// the kind InvalidArgument.
	Request(r *http.Request) (*exchange.Request, error)
	// Refuse writes the response for a refused request.
	Refuse(w http.ResponseWriter, e *fault.Error)
}

// Handler serves an admitted request and writes the response. It returns a
// *fault.Error if nothing was written, and an *exchange.TruncatedError if the
// response can't be completed.
type Handler interface {
	Serve(ctx context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error
}

// Limits of the HTTP server, and defaults for limits that the configuration omits.
const (
	// maxHeaderBytes is the upper bound for any configuration. The configured limit is
	// checked for each request.
	maxHeaderBytes = 64 << 10
	// maxBodyBytes applies if the configuration sets no limit.
	maxBodyBytes = 8 << 20
	// headBytesSlack is what the head of a request may exceed the configured limit by before it is
	// parsed: the limit doesn't count spaces and the ends of some lines.
	headBytesSlack = 4 << 10
	// maxHeadLines is the number of the shortest lines in the largest head, of 4 bytes each.
	maxHeadLines = (maxHeaderBytes + headBytesSlack) / 4
	// maxEmptyLines is above what one read may return, since net/http refuses the first empty line.
	// What is read may also be the body of a request that was sent before the last response.
	maxEmptyLines = 8 << 10
)

// minTimeouts apply where the configuration sets no limit or a shorter one. They are generous
// because callers may reuse a connection that was idle for most of the configured time.
var minTimeouts = timeouts{header: 10 * time.Second, idle: 90 * time.Second}

// Options configure a Frontend. All fields are required.
type Options struct {
	Codec   Codec
	Handler Handler
	Holder  *declared.Holder
	// Started is closed once the process can serve requests.
	Started  <-chan struct{}
	Logger   *logging.Logger
	Registry metrics.Registry
	// Random returns uniformly distributed random numbers. It selects a request's service.
	Random func() uint64
	// Budget is the memory that callers may use.
	Budget *intake.Budget
	// MaxConnections is the number of callers' connections; 0 means intake.DefaultConnections.
	MaxConnections int
}

// Frontend serves callers on one address.
type Frontend struct {
	opts      Options
	http      *http.Server
	draining  atomic.Bool // set by StartDraining
	rejecting atomic.Bool // set by RejectRequests
	// open is the number of requests that are being served.
	open     atomic.Int64
	listener net.Listener
	// ending ends when the requests that are still open must be answered at once.
	ending context.Context
	end    context.CancelFunc
}

// Listen starts serving on address (IP:port).
func Listen(address string, opts Options) (*Frontend, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen on caller address")
	}
	return serve(ln, opts, minTimeouts), nil
}

func serve(ln net.Listener, opts Options, shortest timeouts) *Frontend {
	f := &Frontend{opts: opts}
	f.listener = intake.Listen(ln, intake.Limits{
		Name: "callers", Connections: opts.MaxConnections, HeadBytes: f.maxHeadBytes,
		HeadLines: maxHeadLines, EmptyLines: maxEmptyLines,
	}, opts.Budget)
	f.ending, f.end = context.WithCancel(context.Background())
	f.http = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: shortest.header,
		IdleTimeout:       shortest.idle,
		ConnState:         trackState,
		ConnContext:       intake.WithConn,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0), // requests are logged individually
	}
	go func() { _ = f.http.Serve(&callerListener{f.listener, f.timeouts}) }() // returns on Shutdown or Close
	return f
}

// maxHeadBytes returns the size that the head of a request may have before it is parsed.
func (f *Frontend) maxHeadBytes() int {
	limit := maxHeaderBytes
	if view := f.opts.Holder.Current(); view != nil && view.Configuration().Limits.HeaderBytes > 0 {
		limit = min(limit, view.Configuration().Limits.HeaderBytes)
	}
	return limit + headBytesSlack
}

// timeouts returns the limits of the current configuration.
func (f *Frontend) timeouts() timeouts {
	view := f.opts.Holder.Current()
	if view == nil {
		return timeouts{}
	}
	l := view.Configuration().Limits
	return timeouts{header: l.HeaderTimeout, idle: l.IdleTimeout}
}

// drainRetryAfter is the retry delay of requests that are refused during shutdown. It
// is short because other entry VMs can serve them.
const drainRetryAfter = 20 * time.Millisecond

// StartDraining adds "Connection: close" to every response and refuses new streams,
// which would be cut off at the end of the grace period.
func (f *Frontend) StartDraining() { f.draining.Store(true) }

// RejectRequests refuses all further requests with the kind Draining.
func (f *Frontend) RejectRequests() { f.rejecting.Store(true) }

// acceptedInterval is how often Shutdown checks whether accepted requests are complete.
const acceptedInterval = 10 * time.Millisecond

// answerTime is the time from the end of the grace period in which open requests are answered.
const answerTime = 150 * time.Millisecond

// Shutdown closes the listener and waits for open requests until ctx ends. It then cancels those that
// are left, which are answered within answerTime, and closes all connections. RejectRequests must
// have been called: until the open requests are complete, further ones are refused. net/http would
// close the connections on which it reads them.
func (f *Frontend) Shutdown(ctx context.Context) error {
	if err := f.listener.Close(); err != nil {
		f.opts.Logger.Warn(logging.ProcessDraining, logging.Fields{"reason": err})
	}
	f.awaitRequests(ctx)
	f.end()
	answering, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
	defer cancel()
	f.awaitRequests(answering)
	// net/http writes the end of a response after ServeHTTP, and Close doesn't wait for it.
	for _, c := range []context.Context{ctx, answering} {
		if err := f.http.Shutdown(c); err == nil {
			return nil
		}
	}
	return errors.Trace(f.http.Close())
}

// awaitRequests waits until no request is open or ctx ends.
func (f *Frontend) awaitRequests(ctx context.Context) {
	for f.open.Load() > 0 && pause.For(ctx, acceptedInterval) {
	}
}

// ServeHTTP implements http.Handler.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	f.open.Add(1)
	defer f.open.Add(-1)
	defer f.logPanic(r)
	m := &memory{conn: intake.ConnOf(r), release: func() {}}
	defer func() { m.release() }()
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := m.coverHead(r); err != nil {
		f.refuse(w, r, "", err)
		return
	}
	req, err := f.opts.Codec.Request(r)
	if err != nil {
		f.refuse(w, r, "", err)
		return
	}
	req.ReceivedAt = arrived
	f.awaitStarted(r.Context(), req)
	a, err := f.admit(w, r, req, m)
	if err != nil {
		f.refuse(w, r, req.ID, err)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(f.ending, func() { cancel(exchange.ErrStopping) })()
	err = f.opts.Handler.Serve(ctx, w, a)
	var broken *exchange.TruncatedError
	switch {
	case errors.As(err, &broken):
		f.opts.Logger.Warn(logging.RequestBroken, logging.Fields{
			"request": req.ID, "route": a.Route.Name, "reason": broken.Reason, "ms": time.Since(arrived).Milliseconds(),
			"version": f.opts.Holder.Version(), "admitted_version": a.Version, "draining": f.draining.Load(),
		})
		panic(http.ErrAbortHandler) // closes the connection, so the response stays incomplete
	case err != nil:
		f.refuse(w, r, req.ID, err)
	}
}

// logPanic logs a panic of the handler and closes the connection. net/http would close it
// without a line in this log.
func (f *Frontend) logPanic(r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		f.opts.Logger.Error(logging.RequestPanicked, logging.Fields{
			"host": r.Host, "path": r.URL.Path, "reason": v, "stack": string(debug.Stack()), "version": f.opts.Holder.Version(),
		})
	}
	panic(http.ErrAbortHandler)
}

const (
	// maxStartWait limits how long a request waits for the process to receive its
	// configuration and targets, for example after a restart. Control VMs usually send
	// them within a second.
	maxStartWait = 2 * time.Second
	// startWaitDivisor limits that wait to a third of the caller's timeout, so that most
	// of it is left to serve the request or to retry it elsewhere.
	startWaitDivisor = 3
)

// awaitStarted waits, for a limited time, until the process can serve requests.
func (f *Frontend) awaitStarted(ctx context.Context, req *exchange.Request) {
	select {
	case <-f.opts.Started:
		return
	default:
	}
	limit := maxStartWait
	if req.Timeout > 0 {
		limit = min(limit, req.Timeout/startWaitDivisor)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-f.opts.Started:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// refuse counts and logs a refused request and writes its response.
func (f *Frontend) refuse(w http.ResponseWriter, r *http.Request, id string, err error) {
	e := fault.Of(err)
	metrics.GetOrRegisterCounter("request.refused."+string(e.Kind), f.opts.Registry).Inc(1)
	f.opts.Logger.Warn(logging.RequestRefused, logging.Fields{
		"request": id, "host": r.Host, "path": r.URL.Path, "kind": string(e.Kind), "reason": e.Message,
		"retry_after_ms": e.RetryAfter.Milliseconds(), "version": f.opts.Holder.Version(),
	})
	exchange.LimitWrites(w, time.Now())
	if r.ContentLength != 0 {
		limitReads(w, time.Now().Add(refusedBodyTimeout))
	}
	f.opts.Codec.Refuse(w, e)
}

// refusedBodyTimeout is how long the body of a refused request is read; net/http reads a part
// of it before it sends the response.
const refusedBodyTimeout = 500 * time.Millisecond

// limitReads makes reads of the request's body fail after deadline. net/http removes the limit
// once the body has been read.
func limitReads(w http.ResponseWriter, deadline time.Time) {
	// An error means that the caller has left, which the next read reports.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// admit checks a request against the current configuration and reads its body.
func (f *Frontend) admit(w http.ResponseWriter, r *http.Request, req *exchange.Request, m *memory) (*exchange.AdmittedRequest, error) {
	view := f.opts.Holder.Current()
	if view == nil {
		return nil, fault.New(fault.NotReady, "there is no configuration yet")
	}
	limits := view.Configuration().Limits
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return nil, fault.New(fault.HeaderTooLarge, "request headers exceed %d bytes", limits.HeaderBytes)
	}
	a, err := f.resolve(view, r, req)
	if err != nil {
		return nil, err
	}
	if r.ContentLength != 0 {
		limitReads(w, a.Deadline)
	}
	if err := m.readBody(r, req, limits.BodyBytes, a.Deadline); err != nil {
		return nil, err
	}
	if f.rejecting.Load() || f.draining.Load() && a.Route.Stream {
		return nil, fault.New(fault.Draining, "the entry VM is shutting down").WithRetryAfter(drainRetryAfter)
	}
	return a, nil
}

// resolve determines the route, service, team and deadline of a request.
func (f *Frontend) resolve(view *declared.View, r *http.Request, req *exchange.Request) (*exchange.AdmittedRequest, error) {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host // has no port
	}
	path, _, _ := strings.Cut(req.URI, "?")
	route := view.Route(host, path)
	if route == nil {
		return nil, fault.New(fault.UnknownRoute, "no route for host %q and path %q", host, path)
	}
	a := &exchange.AdmittedRequest{Request: req, Route: route, Version: view.Version(), Priority: route.Priority}
	if view.HasTeams() && !route.Public {
		team := view.TeamByKey(req.APIKey)
		if team == nil {
			return nil, fault.New(fault.Unauthenticated, "the API key does not belong to any team")
		}
		a.Team = team.Name
		if team.Priority != nil {
			a.Priority = *team.Priority
		}
	}
	a.Service = view.Service(route.ChooseService(f.opts.Random()))
	timeout := route.Timeout
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	a.Deadline = req.ReceivedAt.Add(timeout)
	return a, nil
}

// headerBytes returns the approximate size of the request line and headers on the wire.
func headerBytes(r *http.Request) int {
	const separatorBytes = 4 // colon, space and CRLF
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separatorBytes
		}
	}
	return n
}
