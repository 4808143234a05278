// Package exchange carries requests that are passed on as they are to targets that
// speak HTTP/1.1: short calls, and streams of events that go on at another target
// when theirs is lost.
//
// What may be sent twice follows from the route. A call that may run once is
// written to one target; only if no byte was written, or the target states that it
// didn't run it, another one is tried. Repeatable calls are retried and hedged
// within the retry budget. The answer of a target reaches the caller whole and
// unchanged, or as a connection that breaks off.
package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// Request is one request of a caller. Its fields are not changed once it is served.
type Request struct {
	// ID is the caller's identity of this request; targets echo it.
	ID      string
	Arrived time.Time
	Method  string
	// URI is the path and query as they came.
	URI  string
	Host string
	// Header is what is passed on to targets as it came.
	Header http.Header
	Body   []byte
	// HasBody: a body was announced, which may be empty.
	HasBody bool
	// Key is the caller's key, empty if there is none.
	Key string
	// Wait is how long the caller waits from Arrived on; 0 means it doesn't say.
	Wait time.Duration
	// LastEvent is the last event that the caller has of an earlier stream; 0 means none.
	LastEvent int
	// Size is what a generation takes; zero when the caller doesn't say.
	Size placement.Size
	// Prompt names the prompt of a generation, the same for the same prompt; empty when
	// the caller doesn't say.
	Prompt string
}

// Admitted is a request with what the configuration in force says of it.
type Admitted struct {
	*Request
	Route   *declared.Route
	Service *declared.Service
	// Team is empty where teams have no part.
	Team string
	// Deadline is the earlier of the caller's and the route's.
	Deadline time.Time
}

// Dispatch is one sending of a request to a target.
type Dispatch struct {
	// TimeLeft is how long the target may work on it.
	TimeLeft time.Duration
	// Instance is the start of the target that is meant; another one refuses.
	Instance string
	Team     string
	// LastEvent is the event after which the stream goes on; 0 means from its start.
	LastEvent int
	// BackupTo is the address of an engine that keeps a copy of the run's memory;
	// empty means none does.
	BackupTo string
	// ContinueFrom is the address of the engine that keeps a copy of the run's
	// memory, which is the one that the request is sent to; empty means none.
	ContinueFrom string
}

// Reply is what the head of a target's answer says beside its status.
type Reply struct {
	// ID is the identity of the request that was answered.
	ID string
	// Signed: the target vouches for the answer.
	Signed bool
	// NotRun: the target states that it did not run the request.
	NotRun bool
	// Running and Waiting are the target's requests, of Slots at once. Slots is 0 if
	// it states no load.
	Running, Waiting, Slots int
}

// TargetProtocol knows the words that targets use. It is implemented outside, for
// each platform.
type TargetProtocol interface {
	// EncodeDispatch returns the headers of one dispatch of r.
	EncodeDispatch(r *Request, d Dispatch) http.Header
	// DecodeReply reads the head of an answer.
	DecodeReply(h http.Header) Reply
}

// EngineReport is what an engine says of itself when it is asked.
type EngineReport struct {
	// Running counts the requests that it reads or generates; Waiting those before.
	Running, Waiting int
	// Generating is the number of requests that it generates for, which it names.
	Generating int
	// Holds: the request that was asked about is among those.
	Holds bool
}

// mayHold reports whether the request that was asked about may be at the engine: it
// is generated for, its prompt is being read, or it waits.
func (r EngineReport) mayHold() bool {
	return r.Holds || r.Waiting > 0 || r.Running > r.Generating
}

// EngineProber asks engines whether they are alive. Platforms charge for that, so it
// is asked only where nothing else tells.
type EngineProber interface {
	// Report asks the engine at address (IP:port) about the request with the id. It
	// fails when the engine doesn't answer until ctx ends.
	Report(ctx context.Context, address, id string) (EngineReport, error)
}

// Settings bound requests.
type Settings struct {
	// MaxAnswerBytes bounds an answer that is not a stream, which is kept whole before
	// it is passed on.
	MaxAnswerBytes int64
	// MaxRefusals is how many targets may refuse a request, or not be reached, before
	// it is refused.
	MaxRefusals int
	// FirstEvent is the time to the first event of a stream without a prompt after
	// which the engine is asked whether it is alive; PromptRate, in tokens a second,
	// adds to it for a prompt. An engine that works on the request is asked again after
	// ProbeInterval, and not waited for any longer after MaxProbes.
	FirstEvent    time.Duration
	PromptRate    float64
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	MaxProbes     int
	// SilenceShare gives the bounds of the learned silence as shares of the longest
	// pause that the route allows.
	MinSilenceShare, MaxSilenceShare float64
	// DefaultEventGap stands for the route's longest pause where none is stated.
	DefaultEventGap time.Duration
	// DefaultSize stands for the size of a generation that states none.
	DefaultSize placement.Size
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		MaxAnswerBytes:  8 << 20, // twice the largest body that routes take
		MaxRefusals:     12,      // twice the targets of one zone, each of which costs a round trip
		FirstEvent:      600 * time.Millisecond,
		PromptRate:      2500, // half of what an idle engine reads
		ProbeInterval:   time.Second,
		ProbeTimeout:    250 * time.Millisecond, // some 100 round trips within a region
		MaxProbes:       8,                      // with the interval, above the time of several prompts in a row
		MinSilenceShare: 0.4,                    // leaves more than half of the pause for the other engine's first event
		MaxSilenceShare: 0.6,
		DefaultEventGap: time.Second,
		DefaultSize:     placement.Size{Prompt: 1000, Output: 500},
	}
}

// Options are what a Service needs. All are required.
type Options struct {
	Pool     *http1.Pool
	Protocol TargetProtocol
	Prober   EngineProber
	// Picker chooses the targets of calls.
	Picker request.Picker
	Loads  *observe.Table
	// Engines chooses the targets of streams.
	Engines *placement.Engines
	// Budget returns the retry budget of a service.
	Budget   func(service string) request.RetryBudget
	Logger   *logging.Logger
	Registry metrics.Registry
	Settings Settings
}

// Service serves requests. It is safe for concurrent use.
type Service struct {
	opts    Options
	pace    *pace.Latencies
	metrics serviceMetrics
}

type serviceMetrics struct {
	// Latencies in milliseconds.
	calls, streams, firstEvent metrics.Histogram
	retried, resumed, broke    metrics.Counter
}

// New returns a service.
func New(opts Options) *Service {
	r := opts.Registry
	return &Service{
		opts: opts,
		pace: pace.NewLatencies(),
		metrics: serviceMetrics{
			calls:      latencyHistogram("request.call.ms", r),
			streams:    latencyHistogram("request.stream.ms", r),
			firstEvent: latencyHistogram("request.stream.first_event.ms", r),
			retried:    metrics.GetOrRegisterCounter("request.retried", r),
			resumed:    metrics.GetOrRegisterCounter("request.stream.resumed", r),
			broke:      metrics.GetOrRegisterCounter("request.stream.broken_off", r),
		},
	}
}

const (
	// sampleSize and sampleAlpha give percentiles within a few percent, weighted to the
	// last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func latencyHistogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

func since(h metrics.Histogram, begin time.Time) { h.Update(time.Since(begin).Milliseconds()) }

// BrokenOff says that the answer had begun and can't be completed: the caller's
// connection must end without the answer's end.
type BrokenOff struct{ Reason string }

// Error returns the reason.
func (b *BrokenOff) Error() string { return "the answer broke off: " + b.Reason }

// Serve passes one request on and its answer back. An error is a *fault.Error, and
// nothing was written to w then, or a *BrokenOff.
func (s *Service) Serve(ctx context.Context, w http.ResponseWriter, a *Admitted) error {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	s.opts.Budget(a.Service.Name).OnRequest()
	if a.Route.Stream {
		defer since(s.metrics.streams, a.Arrived)
		return s.serveStream(ctx, w, a)
	}
	defer since(s.metrics.calls, a.Arrived)
	if a.Route.Repetition == declared.Once {
		return s.serveOnce(ctx, w, a)
	}
	return s.serveRepeatable(ctx, w, a)
}

// target returns the request as it is written for one dispatch.
func (s *Service) target(a *Admitted, d Dispatch) *http1.Request {
	d.Team = a.Team
	d.TimeLeft = time.Until(a.Deadline)
	return &http1.Request{
		Method:  a.Method,
		URI:     a.URI,
		Host:    a.Host,
		Header:  s.opts.Protocol.EncodeDispatch(a.Request, d),
		Body:    a.Body,
		HasBody: a.HasBody,
	}
}

// givenUp returns the refusal of a request whose deadline passed or whose caller left.
func givenUp(ctx context.Context, mayHaveRun bool) *fault.Error {
	switch {
	case ctx.Err() == context.Canceled:
		return fault.New(fault.Cancelled, "the caller went away")
	case mayHaveRun:
		return fault.New(fault.DeadlineUnknown, "no answer came before the deadline")
	default:
		return fault.New(fault.DeadlineNotRun, "the deadline passed before a target took the request")
	}
}
