package generation

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
)

// attempt is one run of an engine for a generation.
type attempt struct {
	number  uint32
	address string
	version string
	// start is the offset at which the attempt began.
	start   int
	clients *target.Clients
	// done tells the picker how the attempt ended.
	done  func(request.Result, time.Duration)
	begun time.Time
	// firstToken is the time to the first token; 0 until then.
	firstToken time.Duration
	gaps       pace.Gaps
	crossed    bool
	// probes counts silences and cuts in a row without a new token.
	probes int
	// silent: the last loss was a silence.
	silent bool
	// slow: the engine was alive in the silence and had no token, so that the
	// silence is a gap like others.
	slow bool
	// alive: the engine sent a valid chunk on the current stream, or its load report.
	alive bool
	// dropped counts chunks in a row that were not released.
	dropped int
}

// run is one generation while it is streamed to its caller by this router. It is
// used by one goroutine.
type run struct {
	s         *Service
	requestID string
	id        string
	team      string
	route     *chicoryv1.Route
	version   string
	prompt    string
	digest    []byte
	maxTokens uint32
	priority  chicoryv1.Priority
	seed      uint64
	deadline  time.Time
	send      SendFunc

	prefix *prefix
	// releaseFrom is the offset that the caller has reached; tokens before it are
	// collected and not sent. proof must match there when checkProof is set.
	releaseFrom int
	checkProof  bool
	proof       uint32

	attempt attempt
	// provisional: the run began on the new version of a move, which may be taken back.
	provisional bool
	// nonce is the lower half of attempt numbers, so that two routers that resume
	// one generation can't use one number.
	nonce uint32
	// excluded are the targets that failed, with the times.
	excluded []exclusion
	// restarts counts attempts in a row without a new token.
	restarts int

	// expectedGap is the mean gap between tokens of the attempt before.
	expectedGap time.Duration
	// lastToken is when the last new token was accepted.
	lastToken time.Time
	sentFirst bool
	// sentAttempt and sentVersion are what the caller was last told.
	sentAttempt uint32
	sentVersion string
}

// exclusion keeps a failed target from being picked again at once.
type exclusion struct {
	address string
	at      time.Time
}

// attemptStep is added to an attempt number for each further attempt.
const attemptStep = 1 << 16

// newRun checks a new request and returns its run.
func (s *Service) newRun(req *chicoryv1.GenerateRequest, send SendFunc) (*run, error) {
	_, route, err := s.viewAndRoute(req.GetRoute())
	if err != nil {
		return nil, err
	}
	prompt, err := s.checkRequest(req)
	if err != nil {
		return nil, err
	}
	r := s.baseRun(req.GetRequestId(), req.GetTeam(), route, send)
	r.id = newIdentity()
	r.prompt = prompt
	r.digest = requestDigest(route.GetName(), prompt, req.GetMaxTokens())
	r.maxTokens = req.GetMaxTokens()
	r.priority = req.GetPriority()
	r.seed = randomSeed()
	r.deadline = s.deadlineOf(req, route)
	r.prefix = s.codec.newPrefix(r.id)
	r.version = s.opts.Chooser.Choose(route, r.requestID)
	if r.version == "" {
		r.version = route.GetVersion()
	}
	r.provisional = r.version != route.GetVersion()
	return r, nil
}

func (s *Service) baseRun(requestID, team string, route *chicoryv1.Route, send SendFunc) *run {
	if requestID == "" {
		requestID = newIdentity()
	}
	return &run{
		s:         s,
		requestID: requestID,
		team:      team,
		route:     route,
		send:      send,
		nonce:     uint32(randomSeed() % attemptStep),
	}
}

// work describes the run to those who admit and place it.
func (r *run) work() request.Work {
	return request.Work{
		ID:         r.requestID,
		Team:       r.team,
		Route:      r.route,
		Version:    r.version,
		Priority:   r.priority,
		Deadline:   r.deadline,
		Tokens:     promptTokens(r.prompt) + int(r.maxTokens),
		PrefixHash: prefixHash(r.prompt),
	}
}

// source is where the next chunks of a generation come from.
type source struct {
	open func(context.Context) (chunkStream, error)
	// bound is how long the first chunk may take.
	bound time.Duration
}

// drive streams the generation from source to source until it ends. The error is
// nil after the last chunk was sent.
func (r *run) drive(ctx context.Context, first func(context.Context) (source, error)) error {
	src, err := first(ctx)
	for err == nil {
		var l loss
		l, err = r.follow(ctx, src)
		if err != nil || l == lossNone {
			break
		}
		src, err = r.recover(ctx, l)
	}
	return r.finish(ctx, err)
}

// begin places the first attempt of a new generation.
func (r *run) begin(context.Context) (source, error) {
	placement, err := r.s.opts.Picker.Pick(r.work(), nil)
	if err != nil {
		return source{}, err
	}
	r.place(placement, attemptStep)
	return r.generateSource(), nil
}

// place makes a new attempt with a number above step at a target.
func (r *run) place(p request.Placement, step uint32) {
	address := p.Target.GetAddress()
	if r.attempt.gaps.Count() > 0 {
		r.expectedGap = r.attempt.gaps.Mean()
	}
	r.attempt = attempt{
		number:  step | r.nonce,
		address: address,
		version: p.Target.GetVersion(),
		start:   r.prefix.count,
		clients: r.s.opts.Pool.Clients(address),
		done:    p.Done,
		begun:   time.Now(),
	}
}

func (r *run) generateSource() source {
	bound := r.s.opts.Settings.firstTokenBound(len(r.prompt) + r.prefix.bytes)
	return source{open: r.openGenerate, bound: bound}
}

// timeoutMs returns the time left in milliseconds, or 0 when there is no limit.
func timeoutMs(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(time.Until(deadline).Milliseconds(), 1))
}

// finish closes the last attempt and turns the end of the run into its answer.
func (r *run) finish(ctx context.Context, err error) error {
	a := &r.attempt
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		r.closeAttempt(request.ResultSuccess, lossNone)
		return nil
	case cause == errTakenOver:
		r.s.abandon(a.address, r.id, a.number) // unless the caller follows it again
		r.closeAttempt(request.ResultAbandoned, lossNone)
		return fault.New(fault.Cancelled, "the caller came back on another connection")
	case cause == errCancelled:
		r.cancelAttempt()
		r.closeAttempt(request.ResultAbandoned, lossNone)
		return fault.New(fault.Cancelled, "the caller cancelled")
	case cause == context.DeadlineExceeded:
		r.cancelAttempt()
		r.closeAttempt(request.ResultAbandoned, lossNone)
		return fault.New(fault.DeadlineUnknown, "the generation's time is over").
			WithRan(chicoryv1.Ran_RAN_RAN).WithRetryAfter(0)
	case cause != nil || fault.Is(err, fault.Cancelled):
		if a.address != "" {
			r.s.abandon(a.address, r.id, a.number)
		}
		r.closeAttempt(request.ResultAbandoned, lossNone)
		return fault.New(fault.Cancelled, "the caller went away")
	default:
		if a.address != "" {
			r.s.abandon(a.address, r.id, a.number)
		}
		r.closeAttempt(request.ResultAbandoned, lossNone)
		return fault.Of(err)
	}
}

// cancelAttempt cancels the current attempt at its engine in the background.
func (r *run) cancelAttempt() {
	if r.attempt.address != "" {
		r.s.cancelAtEngine(r.attempt.address, r.id, r.attempt.number, always)
	}
}

// closeAttempt tells the picker and the evidence how the current attempt ended.
// It does so once for each attempt.
func (r *run) closeAttempt(result request.Result, l loss) {
	a := &r.attempt
	if a.done == nil {
		return
	}
	a.done(result, a.firstToken)
	a.done = nil
	r.s.opts.Recorder.Record(request.Observation{
		Route:            r.route.GetName(),
		Version:          a.version,
		Team:             r.team,
		AvailabilityZone: r.s.opts.AvailabilityZone,
		Error:            result == request.ResultError || result == request.ResultSilent || result == request.ResultReset,
		Crossed:          a.crossed,
		Resumed:          l != lossNone,
		FirstToken:       a.firstToken,
		MeanGap:          a.gaps.Overall(),
	})
}
