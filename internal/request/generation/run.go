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

// attempt is one execution of a generation by an engine.
type attempt struct {
	number  uint32
	address string
	version string
	// startOffset is the offset of the attempt's first own token: the length of the
	// prefix that it was started with.
	startOffset int
	clients     *target.Clients
	// done reports the result of the attempt to the picker. It is nil once called, and
	// for attempts that another router started.
	done      func(request.Result, time.Duration)
	startTime time.Time
	// firstToken is the time to the first token, 0 before it.
	firstToken time.Duration
	gaps       pace.GapEstimator
	// crossed: the engine sent a chunk of another generation or attempt.
	crossed bool
	// probes counts the reattachments since the last new token.
	probes int
	// afterSilence: the last stream was lost because of a silence.
	afterSilence bool
	// falseAlarm: the engine was alive during the last silence and had no new token, so
	// the silence counts as a normal gap between tokens.
	falseAlarm bool
	// alive: on the current stream, the engine sent a valid chunk or answered the ping.
	alive bool
	// consecutiveDrops counts dropped and repeated chunks since the last new token.
	consecutiveDrops int
}

// run streams one generation to its caller through this router. It is not safe for
// concurrent use.
type run struct {
	service   *Service
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
	// callerOffset is the number of tokens that the caller had when it resumed. Tokens
	// before it are added to the prefix but not sent. If proofPending is set,
	// callerProof is checked when the prefix reaches callerOffset.
	callerOffset int
	proofPending bool
	callerProof  uint32

	attempt attempt
	// provisional: the run began on the new version of a move, which may be rolled back.
	provisional bool
	// nonce is the random lower half of attempt numbers, so that two routers that
	// resume the same generation use different numbers.
	nonce uint32
	// exclusions are the targets that failed this generation.
	exclusions []exclusion
	// restarts counts new attempts since the last new token.
	restarts int

	// expectedGap is the mean gap between tokens in the previous attempt.
	expectedGap time.Duration
	// lastTokenTime is when the last new token was accepted.
	lastTokenTime time.Time
	// firstChunkSent: this run has sent the caller a chunk.
	firstChunkSent bool
	// lastSentAttempt is the attempt of the last resume token that the caller was sent,
	// lastSentVersion the last version.
	lastSentAttempt uint32
	lastSentVersion string
}

// exclusion records when a target failed, so that it isn't picked again soon.
type exclusion struct {
	address string
	at      time.Time
}

// attemptStep is the distance between the numbers of consecutive attempts, without
// their nonces.
const attemptStep = 1 << 16

// newRun validates a new request and returns its run.
func (s *Service) newRun(req *chicoryv1.GenerateRequest, send SendFunc) (*run, error) {
	_, route, err := s.currentViewAndRoute(req.GetRoute())
	if err != nil {
		return nil, err
	}
	prompt, err := s.validateRequest(req)
	if err != nil {
		return nil, err
	}
	r := s.newBaseRun(req.GetRequestId(), req.GetTeam(), route, send)
	r.id = newID()
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

// newBaseRun returns a run with the fields that new and resumed generations share.
func (s *Service) newBaseRun(requestID, team string, route *chicoryv1.Route, send SendFunc) *run {
	if requestID == "" {
		requestID = newID()
	}
	return &run{
		service:   s,
		requestID: requestID,
		team:      team,
		route:     route,
		send:      send,
		nonce:     uint32(randomSeed() % attemptStep),
	}
}

// work describes the run for admission and placement.
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

// source opens the stream that the next chunks of a generation come from.
type source struct {
	open func(context.Context) (chunkStream, error)
	// firstChunkTimeout is how long opening the stream and its first chunk may take.
	firstChunkTimeout time.Duration
}

// stream streams the generation until it ends and changes to another source whenever a
// stream is lost. It returns nil after the last chunk was sent.
func (r *run) stream(ctx context.Context, first func(context.Context) (source, error)) error {
	src, err := first(ctx)
	for err == nil {
		var l loss
		l, err = r.relayStream(ctx, src)
		if err != nil || l == lossNone {
			break
		}
		src, err = r.recoverStream(ctx, l)
	}
	return r.finish(ctx, err)
}

// startFirstAttempt chooses a target for the first attempt of a new generation.
func (r *run) startFirstAttempt(context.Context) (source, error) {
	placement, err := r.service.opts.Picker.Pick(r.work(), nil)
	if err != nil {
		return source{}, err
	}
	r.startAttempt(placement, attemptStep)
	return r.generateSource(), nil
}

// startAttempt makes a new attempt at the chosen target the current attempt. Its number
// is step, a multiple of attemptStep, plus the nonce.
func (r *run) startAttempt(p request.Placement, step uint32) {
	address := p.Target.GetAddress()
	if r.attempt.gaps.Count() > 0 {
		r.expectedGap = r.attempt.gaps.Mean()
	}
	r.attempt = attempt{
		number:      step | r.nonce,
		address:     address,
		version:     p.Target.GetVersion(),
		startOffset: r.prefix.count,
		clients:     r.service.opts.Pool.Clients(address),
		done:        p.Done,
		startTime:   time.Now(),
	}
}

func (r *run) generateSource() source {
	timeout := r.service.opts.Settings.firstTokenTimeout(len(r.prompt) + r.prefix.bytes)
	return source{open: r.openGenerate, firstChunkTimeout: timeout}
}

// timeoutMs returns the time until the deadline of ctx in milliseconds, or 0 if it has
// none.
func timeoutMs(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(time.Until(deadline).Milliseconds(), 1))
}

// finish closes the last attempt, cancels it at its engine if it isn't needed any more,
// and returns the final error for the caller.
func (r *run) finish(ctx context.Context, err error) error {
	a := &r.attempt
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		r.closeAttempt(request.ResultSuccess, lossNone)
		return nil
	case cause == errTakenOver:
		r.service.scheduleCancel(a.address, r.id, a.number) // does not cancel an attempt that the new run reads
		r.closeAttempt(request.ResultAbandoned, lossNone)
		return fault.New(fault.Cancelled, "the caller resumed on another connection")
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
			r.service.scheduleCancel(a.address, r.id, a.number)
		}
		r.closeAttempt(request.ResultAbandoned, lossNone)
		return fault.New(fault.Cancelled, "the caller went away")
	default:
		if a.address != "" {
			r.service.scheduleCancel(a.address, r.id, a.number)
		}
		r.closeAttempt(request.ResultAbandoned, lossNone)
		return fault.Of(err)
	}
}

// cancelAttempt cancels the current attempt at its engine in the background.
func (r *run) cancelAttempt() {
	if r.attempt.address != "" {
		r.service.cancelAtEngine(r.attempt.address, r.id, r.attempt.number, cancelAlways)
	}
}

// closeAttempt reports how the current attempt ended to the picker and the recorder. It
// reports each attempt only once.
func (r *run) closeAttempt(result request.Result, l loss) {
	a := &r.attempt
	if a.done == nil {
		return
	}
	a.done(result, a.firstToken)
	a.done = nil
	r.service.opts.Recorder.Record(request.Observation{
		Route:            r.route.GetName(),
		Version:          a.version,
		Team:             r.team,
		AvailabilityZone: r.service.opts.AvailabilityZone,
		Error:            result == request.ResultError || result == request.ResultSilent || result == request.ResultReset,
		Crossed:          a.crossed,
		Resumed:          l != lossNone,
		FirstToken:       a.firstToken,
		MeanGap:          a.gaps.OverallMean(),
	})
}
