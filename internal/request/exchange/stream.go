package exchange

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// stream is one event stream to a caller, served by one or more engines in turn.
type stream struct {
	s    *Service
	a    *AdmittedRequest
	w    http.ResponseWriter
	size placement.Size

	// lastEvent is the last event that the caller has received; headerSent reports
	// whether the response header was written.
	lastEvent  int
	headerSent bool
	// begun: an engine has begun the answer, so the request crashes none.
	begun bool
	// watch is the watch of the current attempt for a quarantine of the request.
	watch *quarantineWatch
	// eventsSent counts the events that were forwarded.
	eventsSent int
	gaps       pace.GapEstimator
	// dispatchedAt is when the request was sent to the current engine.
	dispatchedAt time.Time
	// slowness is how long work takes on that engine, as a multiple of what is usual.
	slowness float64

	// backup is the engine that keeps a copy of the run's memory, or nil if there is
	// none.
	backup *chicoryv1.ListedTarget
	// copyUntil is when the copy there expires; the zero time if that is not known.
	copyUntil time.Time
	// lostAt is when the last attempt ended.
	lostAt time.Time
	tried  []string
	// possibleRuns counts the engines that may have run the request, refused those that
	// did not run it.
	possibleRuns, refused int
	// nextAllowed: the retry budget has allowed the next attempt, or it needs none.
	nextAllowed bool
	// brokenConnection: an attempt was sent on an idle connection that was broken.
	brokenConnection bool
	// isolated: this VM reached no target at the last attempt.
	isolated bool
	// errorResponse is the last error that an engine returned before the stream began.
	errorResponse *attempt
}

// serveStream forwards an event stream. If its engine is lost, the stream continues on
// the engine that keeps a copy of the run's memory, or on any other.
func (s *Service) serveStream(ctx context.Context, w http.ResponseWriter, a *AdmittedRequest) error {
	st := &stream{s: s, a: a, w: w, size: a.Size, lastEvent: a.LastEventID}
	if st.size == (placement.Size{}) {
		st.size = s.opts.Settings.DefaultSize
	}
	for {
		run, from, err := st.awaitEngine(ctx)
		if err != nil {
			return st.finish(ctx, err)
		}
		final, err := st.runAttempt(ctx, run, from)
		if final {
			return err
		}
		if ctx.Err() != nil {
			return st.finish(ctx, contextError(ctx, st.possibleRuns > 0))
		}
		if err := st.awaitRetry(ctx); err != nil {
			return st.finish(ctx, err)
		}
	}
}

// awaitEngine selects an engine. A stream that has begun waits for one until its deadline:
// engines may be listed or able to take it a moment later, and its caller can't be refused.
func (st *stream) awaitEngine(ctx context.Context) (*placement.Run, *chicoryv1.ListedTarget, error) {
	claim, reserved := st.a.claim(st.class()), ""
	var refused queueRefusal
	for {
		run, from, err := st.place(ctx, reserved)
		reserved = ""
		switch {
		case errors.As(err, &refused):
			return nil, nil, err
		case fault.Is(err, fault.Overloaded):
			if reserved, err = st.s.opts.Limits.Await(ctx, claim); err != nil {
				return nil, nil, waitError(ctx, err, st.headerSent || st.possibleRuns > 0)
			}
		case err == nil || !st.headerSent:
			return run, from, err
		case !pause.For(ctx, st.s.opts.Settings.PlaceInterval):
			return nil, nil, contextError(ctx, true)
		}
	}
}

// place selects the engine on which the stream starts or continues. If that engine keeps
// a copy of the run's memory, it is also returned as from. reserved is the address of the
// engine that the stream has a permit for, or empty. Without either, the stream waits in the queue until an engine
// has room.
func (st *stream) place(ctx context.Context, reserved string) (*placement.Run, *chicoryv1.ListedTarget, error) {
	from := st.validBackup(time.Now())
	st.backup = nil
	if from != nil && st.a.trial == nil { // a trial is for an engine that was not lost with the keys
		if run := st.s.opts.Engines.PlaceOnBackup(from, st.a.PromptID, st.size); run != nil {
			return run, from, nil
		}
	}
	if reserved == "" && st.usesQueue() {
		run, err := st.s.queue.place(ctx, st)
		return run, nil, err
	}
	run, err := st.placeNew(reserved, false)
	return run, nil, err
}

func (st *stream) placeRequest() placement.PlaceRequest {
	return placement.PlaceRequest{
		Service: st.a.Service.Name, Size: st.size, Prompt: st.a.PromptID, Exclude: st.tried, PreferRoom: st.usesQueue(),
		MaxEventGap: st.maxEventGap(),
	}
}

// hasRoom reports whether an engine has room for the stream.
func (st *stream) hasRoom() bool { return st.s.opts.Engines.HasRoom(st.placeRequest()) }

// placeNew selects the engine on which the stream starts, or continues without a copy of its memory. If needsRoom is set, it
// fails with placement.ErrNoRoom if no engine has room.
func (st *stream) placeNew(reserved string, needsRoom bool) (*placement.Run, error) {
	req := st.placeRequest()
	req.Reserved, req.NeedsRoom = reserved, needsRoom
	run, err := st.placeAllowed(req)
	if fault.Is(err, fault.NoTarget) && len(st.tried) > 0 && (st.a.trial == nil || st.headerSent) {
		req.Exclude, req.Reserved = nil, "" // given back
		run, err = st.placeAllowed(req)
	}
	return run, err
}

// placeAllowed selects an engine. If the request is a trial, it is one that was not lost with its
// keys.
func (st *stream) placeAllowed(req placement.PlaceRequest) (*placement.Run, error) {
	run, err := st.s.opts.Engines.Place(req)
	for err == nil && st.a.trial != nil && st.s.opts.Quarantine.IsLost(targetOf(run.Target), st.a.trial.keys, time.Now()) {
		run.Release()
		req.Exclude, req.Reserved = append(slices.Clip(req.Exclude), run.Target.GetAddress()), ""
		run, err = st.s.opts.Engines.Place(req)
	}
	return run, err
}

// awaitRetry waits until the retry budget allows another engine, or returns why none may
// be tried.
func (st *stream) awaitRetry(ctx context.Context) error {
	if !st.headerSent {
		if err := st.s.settledQuarantineError(ctx, st.a, st.possibleRuns); err != nil {
			return err
		}
		if st.a.trial.wasSent() {
			return st.trialError()
		}
	}
	resumable := st.a.Route.RetryPolicy == declared.Resumable
	switch {
	case st.possibleRuns > 0 && !resumable:
		return fault.New(fault.OutcomeUnknown, "engine lost and route %q is not resumable", st.a.Route.Name)
	case st.possibleRuns >= st.a.maxAttempts():
		return fault.New(fault.OutcomeUnknown, "%d engines were lost", st.possibleRuns)
	case (st.isolated || st.refused >= st.s.opts.Settings.MaxRefusals) && !st.headerSent && st.possibleRuns == 0:
		return st.s.noTargetError(st.a, st.refused)
	case st.refused >= st.s.opts.Settings.MaxRefusals && !st.headerSent:
		return st.s.noTargetError(st.a, st.refused)
	}
	if st.refused >= st.s.opts.Settings.MaxRefusals && !pause.For(ctx, st.s.opts.Settings.RefusalInterval) {
		return contextError(ctx, true)
	}
	if st.headerSent && !st.begun {
		if err := st.awaitAdmission(ctx); err != nil {
			return err
		}
	}
	if st.nextAllowed {
		return nil
	}
	if !st.s.resumes.await(ctx, st) {
		return contextError(ctx, st.possibleRuns > 0)
	}
	return nil
}

// trialError returns the error for a trial that one engine has received and not begun to answer.
func (st *stream) trialError() error {
	if st.possibleRuns > 0 {
		return fault.New(fault.OutcomeUnknown, "the engine on which the request was tried gave no answer")
	}
	return st.s.noTargetError(st.a, st.refused)
}

// finish returns the result of a stream that can't continue.
func (st *stream) finish(ctx context.Context, err error) error {
	switch {
	case st.headerSent:
		st.s.metrics.truncated.Inc(1)
		metrics.GetOrRegisterCounter("request.stream.broken_off."+string(fault.Of(err).Kind), st.s.opts.Registry).Inc(1)
		return &TruncatedError{Reason: err.Error()}
	case st.errorResponse != nil && ctx.Err() == nil:
		st.errorResponse.writeTo(st.w)
		return nil
	case st.possibleRuns > 0 && fault.Is(err, fault.NoTarget):
		return fault.New(fault.OutcomeUnknown, "%d engines were lost and no other is available", st.possibleRuns)
	}
	return fault.Of(err)
}

// runAttempt runs the stream on one engine. final means that the response is complete, or
// that err is final.
func (st *stream) runAttempt(ctx context.Context, run *placement.Run, from *chicoryv1.ListedTarget) (final bool, err error) {
	defer run.Release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	st.dispatchedAt, st.slowness = time.Now(), st.s.speedFactor(run)
	d := Dispatch{Instance: run.Target.GetInstance(), LastEventID: st.lastEvent, NewConnection: st.brokenConnection}
	if from != nil {
		d.ContinueFrom = from.GetAddress()
	}
	if st.keepsBackups() {
		backup, release := st.s.opts.Engines.ReserveBackup(run, st.tried)
		defer release()
		d.BackupTo = backup.GetAddress()
		st.backup = backup
	}
	st.logPlaced(run, d)
	st.watch = st.watchQuarantine(ctx, cancel)
	defer st.watch.end()
	g := st.newAttemptGuard(run, cancel)
	result := st.dispatch(ctx, g, run, d)
	st.nextAllowed = g.allowed() || result.outcome == outcomeNotSent
	if result.final {
		return true, result.err
	}
	st.logAttemptEnded(run, from, result, context.Cause(ctx))
	st.isolated = isIsolated(result.err)
	st.record(run, from, result)
	st.reportEngine(ctx, run, result)
	return false, nil
}

// hasBegun reports whether the caller has received a part of the response.
func (st *stream) hasBegun() bool { return st.headerSent || st.lastEvent > 0 }

func (st *stream) keepsBackups() bool {
	engine := st.a.Service.Engine
	return engine != nil && engine.BacksUpKVCache && st.a.Route.RetryPolicy == declared.Resumable
}

// attemptResult is the result of running the stream on one engine.
type attemptResult struct {
	// final: the stream is complete, or its caller has left.
	final   bool
	outcome outcome
	events  int
	// lastEventAt is when the last new event arrived.
	lastEventAt time.Time
	status      int
	err         error
}

// record updates the stream after an attempt: how many engines may have run the request,
// which engines are not tried again, and whether a copy is left to continue from.
func (st *stream) record(run *placement.Run, from *chicoryv1.ListedTarget, result attemptResult) {
	st.brokenConnection = st.brokenConnection || http1.IsReused(result.err)
	if result.outcome == outcomeLost || result.outcome == outcomeAnswered {
		st.possibleRuns++
	} else {
		st.refused++
	}
	st.lostAt = time.Now()
	st.copyUntil = time.Time{}
	if lifetime := st.copyLifetime(); lifetime > 0 && result.events > 0 {
		st.copyUntil = result.lastEventAt.Add(lifetime)
	}
	// The copy begins with the first event.
	if result.outcome != outcomeLost || result.events == 0 {
		st.backup = nil
	}
	switch {
	case result.status == http.StatusMisdirectedRequest:
		run.MarkStale()
	case result.outcome == outcomeNotRun:
		run.MarkRefused()
	}
	if result.outcome == outcomeNotRun && from != nil {
		return // the copy no longer exists, but the engine itself works
	}
	st.tried = append(st.tried, run.Target.GetAddress())
}

// engineLost reports whether the attempt ended because the engine was lost, and not
// because the caller left or the deadline passed.
func engineLost(ctx context.Context, result attemptResult) bool {
	if result.outcome != outcomeLost && result.outcome != outcomeNotSent {
		return false
	}
	return ctx.Err() == nil || errors.Is(context.Cause(ctx), pace.ErrSilenceTimeout)
}
