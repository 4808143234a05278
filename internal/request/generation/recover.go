package generation

import (
	"context"
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// recover returns the source with which the generation goes on after a loss: the
// same attempt on a new connection when its engine may be alive, else a new
// attempt on another target.
func (r *run) recover(ctx context.Context, l loss) (source, error) {
	if l == lossSilent {
		r.s.counters.silences.Inc(1)
	}
	r.attempt.silent = l == lossSilent
	if r.canReattach(l) {
		return r.reattach(l), nil
	}
	if r.prefix.count < r.releaseFrom {
		return source{}, fault.New(fault.GenerationLost,
			"the engine no longer holds the text; resume with the original request and all received tokens")
	}
	if r.prompt == "" {
		return source{}, fault.New(fault.GenerationLost,
			"the engine can't go on; resume with the original request and all received tokens")
	}
	return r.restart(ctx, l)
}

// canReattach reports whether the same attempt is worth another stream. A stream
// that was itself a probe and showed no life ends the attempt.
func (r *run) canReattach(l loss) bool {
	a := &r.attempt
	switch l {
	case lossReset, lossSilent, lossGap:
		return a.probes == 0 || a.alive && a.probes < r.s.opts.Settings.MaxProbes
	}
	return false
}

// reattach continues the current attempt on a new connection.
func (r *run) reattach(l loss) source {
	s := r.s
	a := &r.attempt
	a.probes++
	a.clients = s.opts.Pool.Fresh(a.address, a.clients)
	s.counters.reattached.Inc(1)
	r.logResumed(logging.GenerationResumed, a.address, a.number, l, "attach")
	bound := s.opts.Settings.ProbeTimeout.Std()
	if r.prefix.count == a.start {
		bound += s.opts.Settings.firstTokenBound(len(r.prompt)+r.prefix.bytes) << a.probes
	}
	return source{open: r.openAttach, bound: bound}
}

// restart ends the current attempt and begins a higher one with the prefix.
func (r *run) restart(ctx context.Context, l loss) (source, error) {
	old := r.attempt
	if l == lossSilent && old.alive && old.probes > 0 {
		r.s.counters.slowRestarts.Inc(1)
	}
	r.closeAttempt(resultOf(l), l)
	if old.address != "" {
		r.s.cancelAtEngine(old.address, r.id, old.number, always)
		if l != lossCancelled && (l != lossRefused || !old.alive && old.probes == 0) {
			r.excluded = append(r.excluded, exclusion{old.address, time.Now()})
		}
	}
	r.restarts++
	if r.restarts > r.s.opts.Settings.MaxAttempts {
		return source{}, r.giveUp(fault.GenerationInterrupted.Row().RetryAfter)
	}
	if err := r.waitForBudget(ctx); err != nil {
		return source{}, err
	}
	placement, err := r.pickAgain()
	if err != nil {
		return source{}, err
	}
	r.place(placement, old.number/attemptStep*attemptStep+attemptStep)
	r.s.counters.restarted.Inc(1)
	r.s.counters.prefilled.Inc(int64(r.prefix.count))
	r.logResumed(logging.GenerationResumed, old.address, old.number, l, "restart")
	if old.version != r.attempt.version {
		r.logResumed(logging.GenerationResumed, old.address, old.number, l, "version_change_"+old.version)
	}
	return r.generateSource(), r.tellAttempt()
}

// tellAttempt gives the caller the resume token of the new attempt before its
// first token, so that a router lost during the prefill does not lose the prefill.
func (r *run) tellAttempt() error {
	if !r.sentFirst && r.releaseFrom == 0 {
		return nil // the caller holds nothing to resume
	}
	chunk, err := r.callerChunk(r.prefix.count, nil, unfinished)
	if err != nil {
		return err
	}
	if err := r.send(chunk); err != nil {
		return fault.New(fault.Cancelled, "the caller went away")
	}
	return nil
}

func resultOf(l loss) request.Result {
	switch l {
	case lossSilent:
		return request.ResultSilent
	case lossReset:
		return request.ResultReset
	case lossNone, lossCancelled:
		return request.ResultAbandoned
	}
	return request.ResultError
}

// waitForBudget takes one resume from the retry budget. When the wait is long,
// the caller is told at once when to come back.
func (r *run) waitForBudget(ctx context.Context) error {
	limit := time.Now().Add(r.s.opts.Settings.MaxResumeWait.Std())
	for {
		ok, wait := r.s.opts.Budget.Allow(request.ResumeGeneration)
		if ok {
			return nil
		}
		if time.Now().Add(wait).After(limit) {
			return r.giveUp(wait)
		}
		timer := time.NewTimer(max(wait, time.Millisecond))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fault.New(fault.Cancelled, "%v", context.Cause(ctx))
		}
	}
}

// excludeTime is how long a target that failed this generation is not picked again.
const excludeTime = 10 * time.Second

// recentlyFailed forgets older failures and returns the other targets' addresses.
func (r *run) recentlyFailed() []string {
	r.excluded = slices.DeleteFunc(r.excluded, func(e exclusion) bool {
		return time.Since(e.at) > excludeTime
	})
	var addresses []string
	for _, e := range r.excluded {
		addresses = append(addresses, e.address)
	}
	return addresses
}

// pickAgain chooses a target for a further attempt: of the same version if there
// is one, first without those that failed, else of another version.
func (r *run) pickAgain() (request.Placement, error) {
	work := r.work()
	excluded := r.recentlyFailed()
	for _, version := range r.versions() {
		work.Version = version
		if p, err := r.s.opts.Picker.Pick(work, excluded); err == nil {
			return p, nil
		}
	}
	return request.Placement{}, r.giveUp(fault.GenerationInterrupted.Row().RetryAfter)
}

// versions returns the version of the last attempt, then the route's and then the
// others of its service.
func (r *run) versions() []string {
	list := []string{r.attempt.version}
	add := func(v string) {
		if !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	view := r.s.opts.Holder.Current()
	if route := view.Route(r.route.GetName()); route != nil {
		add(route.GetVersion())
	}
	for _, t := range view.Targets(r.route.GetService()) {
		add(t.GetVersion())
	}
	return list
}

// giveUp returns the final answer of a run that can't go on here. The caller can
// come back after wait if it has anything to resume.
func (r *run) giveUp(wait time.Duration) error {
	r.s.counters.interrupted.Inc(1)
	if !r.sentFirst && r.releaseFrom == 0 {
		return fault.New(fault.NoTarget, "no engine could begin the generation").
			WithRan(chicoryv1.Ran_RAN_RAN).WithRetryAfter(wait)
	}
	return fault.New(fault.GenerationInterrupted, "no engine can go on with the generation now").WithRetryAfter(wait)
}

func (r *run) logResumed(event logging.Event, from string, fromAttempt uint32, l loss, how string) {
	r.s.opts.Logger.Info(event, logging.Fields{
		"generation": r.id, "request": r.requestID, "team": r.team, "route": r.route.GetName(),
		"reason": l.String(), "how": how, "offset": r.prefix.count,
		"from": from, "from_attempt": fromAttempt,
		"target": r.attempt.address, "attempt": r.attempt.number, "version": r.attempt.version,
	})
}

// logEnd writes the one line that tells how a generation ended.
func (r *run) logEnd(err error) {
	fields := logging.Fields{
		"generation": r.id, "request": r.requestID, "team": r.team, "route": r.route.GetName(),
		"version": r.attempt.version, "target": r.attempt.address, "attempt": r.attempt.number,
		"tokens": r.prefix.count,
	}
	if err == nil {
		r.s.opts.Logger.Info(logging.GenerationEnded, fields)
		return
	}
	e := fault.Of(err)
	fields["kind"] = string(e.Kind)
	fields["reason"] = e.Message
	r.s.opts.Logger.Warn(logging.GenerationFailed, fields)
}
