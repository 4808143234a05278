// Package exchange forwards requests to targets over HTTP/1.1: short calls, and event
// streams that continue on another target when theirs is lost.
//
// The route determines whether a request may be sent twice. A non-repeatable call is
// written to one target; another target is tried only if no byte was written or if the
// target states that it did not run the call. Repeatable calls are retried and hedged
// within the retry budget. The caller receives the target's response complete and
// unchanged, or a connection that is closed before the end of the response.
package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/paths"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// Request is a caller's request. Its fields do not change after it is passed to Serve.
type Request struct {
	// ID is the caller's request id; targets echo it.
	ID         string
	ReceivedAt time.Time
	Method     string
	// URI is the path and query as received.
	URI  string
	Host string
	// Header holds the headers that are forwarded to targets.
	Header http.Header
	Body   []byte
	// HasBody: the request announced a body, which may be empty.
	HasBody bool
	// APIKey is the caller's API key, or empty if there is none.
	APIKey string
	// Timeout is how long the caller waits after ReceivedAt; 0 means that it did not
	// state one.
	Timeout time.Duration
	// LastEventID is the last event of an earlier stream that the caller has received; 0
	// means none.
	LastEventID int
	// Size is the size of a generation; zero if the caller did not state it.
	Size placement.Size
	// PromptID identifies the prompt of a generation; equal prompts have equal ids. It is
	// empty if the caller did not state it.
	PromptID string
	// SharedParts identifies the parts of the prompt that other requests may share, in
	// their order. The rest of the prompt belongs to the request or its session.
	SharedParts []string
}

// AdmittedRequest is a request with the configuration that applies to it.
type AdmittedRequest struct {
	*Request
	Route   *declared.Route
	Service *declared.Service
	// Version is the version of the configuration that admitted the request.
	Version uint64
	// Team is empty if the configuration has no teams or the route is public.
	Team string
	// Priority is that of the team or, if it has none, of the route; 0 is the highest.
	Priority int
	// Deadline is the earlier of the caller's and the route's deadline.
	Deadline time.Time

	// sends has the connections to targets that have carried the request.
	sends *http1.Sends
	// keys are what may crash the targets that run the request.
	keys []string
	// trial is nil unless keys are in quarantine and the request shows whether they still crash
	// targets.
	trial *trial
}

// Dispatch holds the parameters of one attempt to send a request to a target.
type Dispatch struct {
	// Timeout is how long the target may work on the request.
	Timeout time.Duration
	// Instance is the target instance that is addressed; any other instance refuses the
	// request.
	Instance string
	Team     string
	// LastEventID is the event after which the stream resumes; 0 means from the start.
	LastEventID int
	// BackupTo is the address of the engine that keeps a copy of the run's memory, or
	// empty if there is none.
	BackupTo string
	// NewConnection: the request must not use an idle connection to the target.
	NewConnection bool
	// ContinueFrom is the address of the engine that keeps a copy of the run's memory,
	// which is the engine that the request is sent to, or empty if there is none.
	ContinueFrom string
}

// ResponseMetadata is what the headers of a target's response state.
type ResponseMetadata struct {
	// ID is the id of the request that the response belongs to.
	ID string
	// Signed: the response carries the target's signature.
	Signed bool
	// NotRun: the target states that it did not run the request.
	NotRun bool
	// Running and Waiting are the numbers of requests at the target, and Slots is how
	// many it runs concurrently; 0 if it does not state them. HasLoad: Running is stated.
	Running, Waiting, Slots int
	HasLoad                 bool
	// PacePercent is how long work takes at the target at this moment, in percent of what is
	// usual; 0 if it does not state that.
	PacePercent int
	// Limit is the number of requests per second that the target takes from all entry VMs; 0
	// if it names none, NaN if what it names can't be read.
	Limit float64
	// RetryAfter is how long the target wants no requests from this VM, if it refuses one with 503; 0 if
	// it names no time, negative if what it names can't be read.
	RetryAfter time.Duration
	// Leaving: the target is about to stop.
	Leaving bool
}

// TargetProtocol encodes and decodes the headers of a platform's target protocol. It is
// implemented outside of this package, for each platform.
type TargetProtocol interface {
	// EncodeDispatch returns the request headers for one attempt.
	EncodeDispatch(r *Request, d Dispatch) http.Header
	// DecodeReply decodes the headers of a response.
	DecodeReply(h http.Header) ResponseMetadata
}

// EngineReport is an engine's response to a probe.
type EngineReport struct {
	// Running counts the requests whose prompt is being processed or that are being
	// generated; Waiting counts the requests before that.
	Running, Waiting int
	// Generating is the number of requests that are being generated, which the engine
	// lists by id.
	Generating int
	// HasRequest: the probed request is one of those being generated.
	HasRequest bool
}

// mayHaveRequest reports whether the probed request may be at the engine: it is being
// generated, its prompt is being processed, or it waits.
func (r EngineReport) mayHaveRequest() bool {
	return r.HasRequest || r.Waiting > 0 || r.Running > r.Generating
}

// EngineProber probes whether engines are alive. Platforms charge for probes, so they are
// used only where nothing else shows it.
type EngineProber interface {
	// Report probes the engine at address (IP:port) about the request with the id. It
	// fails if the engine does not respond before ctx ends.
	Report(ctx context.Context, address, id string) (EngineReport, error)
}

// Paths knows the paths from this VM to targets.
type Paths interface {
	// Blame returns what an attempt shows that was sent at sentAt and failed with err. It connects
	// to the target to find out.
	Blame(ctx context.Context, address string, sentAt time.Time, err error) paths.Blame
	// Suspect is called when a target is silent. isCall states that it should have answered a call
	// by now, and not only begun a stream.
	Suspect(address string, isCall bool)
}

// Settings are the limits for requests.
type Settings struct {
	// MaxResponseBytes limits a response that is not a stream; it is buffered completely
	// before it is forwarded.
	MaxResponseBytes int64
	// MaxRefusals is how many targets may refuse a request or be unreachable before the
	// request is refused. A stream that has begun is then sent to one target in each
	// RefusalInterval.
	MaxRefusals     int
	RefusalInterval time.Duration
	// PlaceInterval is the time after which the selection of an engine is tried again for a
	// stream that has begun.
	PlaceInterval time.Duration
	// FirstEventTimeout is the time without a first event after which the engine is
	// probed, for a stream without a prompt; a prompt adds its length divided by
	// PromptTokensPerSecond. An engine that still works on the request is probed again
	// every ProbeInterval, and given up after MaxProbes intervals.
	FirstEventTimeout     time.Duration
	PromptTokensPerSecond float64
	ProbeInterval         time.Duration
	ProbeTimeout          time.Duration
	MaxProbes             int
	// GiveUpInterval is the time after which giving up an engine is tried again while the
	// stream can't continue elsewhere.
	GiveUpInterval time.Duration
	// MinSilenceShare and MaxSilenceShare bound the learned silence timeout, as shares of
	// the longest gap between events that the route allows.
	MinSilenceShare, MaxSilenceShare float64
	// DefaultMaxEventGap applies to routes that do not configure a longest gap.
	DefaultMaxEventGap time.Duration
	// DefaultSize is the size of a generation for which the caller states none.
	DefaultSize placement.Size
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		MaxResponseBytes:      6 << 20, // above the largest body that routes accept, 4 MiB
		MaxRefusals:           12,      // twice the number of targets in a zone; each costs a round trip
		RefusalInterval:       time.Second,
		PlaceInterval:         50 * time.Millisecond,
		FirstEventTimeout:     600 * time.Millisecond,
		PromptTokensPerSecond: 2500, // half of the rate of an idle engine
		ProbeInterval:         time.Second,
		ProbeTimeout:          250 * time.Millisecond, // about 100 round trips within a region
		MaxProbes:             8,                      // times the interval, more than several prompts in a row take
		GiveUpInterval:        250 * time.Millisecond,
		MinSilenceShare:       0.4, // leaves more than half of the gap for the first event from another engine
		MaxSilenceShare:       0.6,
		DefaultMaxEventGap:    time.Second,
		DefaultSize:           placement.Size{Prompt: 1000, Output: 500},
	}
}

// Options are the dependencies of a Service. All are required except Speeds, OnLeaving and Paths.
type Options struct {
	Pool     *http1.Pool
	Protocol TargetProtocol
	Prober   EngineProber
	// Picker selects the targets of calls.
	Picker request.Picker
	Loads  *observe.Table
	// Engines selects the engines of streams.
	Engines *placement.EngineTable
	// Limits holds the limits that targets name.
	Limits *ratelimit.Table
	// Speeds estimates how fast targets are; nil means that all are equally fast.
	Speeds *speed.Table
	// OnLeaving is called with each response in which a start of the target at address states that it is
	// about to stop; nil means no call.
	OnLeaving func(address, instance string)
	// Quarantine refuses requests that crash targets.
	Quarantine *quarantine.Table
	// HighestPriority returns the highest priority of the streams of a service, which is the lowest
	// number; nil means that all have the same.
	HighestPriority func(service string) int
	// Budget returns the retry budget of a service.
	Budget   func(service string) request.RetryBudget
	Logger   *logging.Logger
	Registry metrics.Registry
	Settings Settings
	// Paths is nil if each failure is that of a target.
	Paths Paths
}

// Service forwards requests. It is safe for concurrent use.
type Service struct {
	opts      Options
	latencies *pace.LatencyTracker
	resumes   *resumeOrder
	metrics   serviceMetrics
	queue     *dispatchQueue
}

type serviceMetrics struct {
	// Latencies in milliseconds.
	calls, streams, firstEvent  metrics.Histogram
	retried, resumed, truncated metrics.Counter
	// quarantined counts refused requests, targetLosses the targets lost with a request
	// whose answer had not begun.
	quarantined, targetLosses metrics.Counter
	// queueRefused counts the streams that were refused because no engine would have room before their deadline,
	// queueBeyondRoom those that were sent to an engine without room after their wait.
	queueRefused, queueBeyondRoom metrics.Counter
	registry                      metrics.Registry
}

// New returns a service.
func New(opts Options) *Service {
	r := opts.Registry
	s := &Service{
		opts:      opts,
		latencies: pace.NewLatencyTracker(),
		metrics: serviceMetrics{
			calls:      latencyHistogram("request.call.ms", r),
			streams:    latencyHistogram("request.stream.ms", r),
			firstEvent: latencyHistogram("request.stream.first_event.ms", r),
			retried:    metrics.GetOrRegisterCounter("request.retried", r),
			resumed:    metrics.GetOrRegisterCounter("request.stream.resumed", r),
			truncated:  metrics.GetOrRegisterCounter("request.stream.broken_off", r),

			quarantined:  metrics.GetOrRegisterCounter("request.quarantined", r),
			targetLosses: metrics.GetOrRegisterCounter("request.engine_lost_before_answer", r),

			queueRefused:    metrics.GetOrRegisterCounter("request.stream.queue.refused", r),
			queueBeyondRoom: metrics.GetOrRegisterCounter("request.stream.queue.beyond_room", r),
			registry:        r,
		},
	}
	s.queue = newDispatchQueue(s)
	s.resumes = newResumeOrder()
	return s
}

const (
	// An exponentially decaying sample of this size and alpha gives percentiles within a
	// few percent, weighted to the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func latencyHistogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

func recordLatency(h metrics.Histogram, begin time.Time) { h.Update(time.Since(begin).Milliseconds()) }

// TruncatedError means that the response has begun and can't be completed: the caller's
// connection must be closed without the end of the response.
type TruncatedError struct{ Reason string }

// Error returns the reason.
func (b *TruncatedError) Error() string { return "response truncated: " + b.Reason }

// Serve forwards a request and writes the response to w. An error is a *fault.Error, in
// which case nothing was written to w, or a *TruncatedError.
func (s *Service) Serve(ctx context.Context, w http.ResponseWriter, a *AdmittedRequest) error {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	LimitWrites(w, a.Deadline)
	a.sends = &http1.Sends{}
	if err := s.admitKeys(a); err != nil {
		return err
	}
	defer s.endTrial(a)
	s.opts.Budget(a.Service.Name).OnRequest()
	if a.Route.Stream {
		defer recordLatency(s.metrics.streams, a.ReceivedAt)
		return s.serveStream(ctx, w, a)
	}
	defer recordLatency(s.metrics.calls, a.ReceivedAt)
	if a.Route.RetryPolicy == declared.AtMostOnce {
		return s.serveNonRepeatable(ctx, w, a)
	}
	return s.serveRepeatable(ctx, w, a)
}

// writeGrace is the time after a request's deadline in which its response can be written.
const writeGrace = 2 * time.Second

// LimitWrites makes writes to the caller fail some time after deadline, so that a caller that
// keeps its connection and reads nothing holds no request. net/http ends the limit with the
// request.
func LimitWrites(w http.ResponseWriter, deadline time.Time) {
	// An error means that the caller has left, which the next write reports.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
}

// targetRequest returns the HTTP request for one attempt.
func (s *Service) targetRequest(a *AdmittedRequest, d Dispatch) *http1.Request {
	d.Team = a.Team
	d.Timeout = time.Until(a.Deadline)
	return &http1.Request{
		Method:  a.Method,
		URI:     a.URI,
		Host:    a.Host,
		Header:  s.opts.Protocol.EncodeDispatch(a.Request, d),
		Body:    a.Body,
		HasBody: a.HasBody,

		NewConnection: d.NewConnection,
		Sends:         a.sends,
	}
}

// ErrStopping is the cause of a context that ends because the process stops.
const ErrStopping = errors.ConstError("the process stops")

// contextError returns the error for a request whose deadline passed, whose caller left, or that a
// process leaves undone when it stops.
func contextError(ctx context.Context, mayHaveRun bool) *fault.Error {
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping) && mayHaveRun:
		return fault.New(fault.OutcomeUnknown, "no response before the process stopped")
	case errors.Is(context.Cause(ctx), ErrStopping):
		return fault.New(fault.Draining, "the process stopped before a target accepted the request")
	case ctx.Err() == context.Canceled:
		return fault.New(fault.Cancelled, "the caller went away")
	case mayHaveRun:
		return fault.New(fault.DeadlineUnknown, "no response before the deadline")
	default:
		return fault.New(fault.DeadlineNotRun, "deadline passed before a target accepted the request")
	}
}
