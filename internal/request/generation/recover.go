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

// recoverStream returns the source from which the generation continues after a loss: the
// same attempt over a new connection if its engine may be alive, otherwise a new
// attempt on another target.
func (r *run) recoverStream(ctx context.Context, l loss) (source, error) {
	if l == lossSilent {
		r.service.counters.silences.Inc(1)
	}
	r.attempt.afterSilence = l == lossSilent
	if r.canReattach(l) {
		return r.reattach(l), nil
	}
	if r.prefix.count < r.callerOffset {
		return source{}, fault.New(fault.GenerationLost,
			"the engine no longer holds the tokens; resume with the original request and all received tokens")
	}
	if r.prompt == "" {
		return source{}, fault.New(fault.GenerationLost,
			"the engine can't continue; resume with the original request and all received tokens")
	}
	return r.restart(ctx, l)
}

// canReattach reports whether to attach to the same attempt again. A stream that was
// itself a probe and showed no sign of life ends the attempt.
func (r *run) canReattach(l loss) bool {
	a := &r.attempt
	switch l {
	case lossReset, lossSilent, lossGap:
		return a.probes == 0 || a.alive && a.probes < r.service.opts.Settings.MaxProbes
	}
	return false
}

// reattach returns a source that continues the current attempt over a new connection.
func (r *run) reattach(l loss) source {
	service := r.service
	a := &r.attempt
	a.probes++
	a.clients = service.opts.Pool.ReplaceStale(a.address, a.clients)
	service.counters.reattached.Inc(1)
	r.logResumed(logging.GenerationResumed, a.address, a.number, l, "attach")
	timeout := service.opts.Settings.ProbeTimeout.Std()
	if r.prefix.count == a.startOffset {
		timeout += service.opts.Settings.firstTokenTimeout(len(r.prompt)+r.prefix.bytes) << a.probes
	}
	return source{open: r.openAttach, firstChunkTimeout: timeout}
}

// restart ends the current attempt and starts one with a higher number on a newly
// chosen target, with the prompt and the prefix as input.
func (r *run) restart(ctx context.Context, l loss) (source, error) {
	old := r.attempt
	if l == lossSilent && old.alive && old.probes > 0 {
		r.service.counters.slowRestarts.Inc(1)
	}
	r.closeAttempt(resultOf(l), l)
	if old.address != "" {
		r.service.cancelAtEngine(old.address, r.id, old.number, cancelAlways)
		if l != lossCancelled && (l != lossRefused || !old.alive && old.probes == 0) {
			r.exclusions = append(r.exclusions, exclusion{old.address, time.Now()})
		}
	}
	r.restarts++
	if r.restarts > r.service.opts.Settings.MaxAttempts {
		return source{}, r.giveUp(fault.GenerationInterrupted.Row().RetryAfter)
	}
	if err := r.waitForRetryBudget(ctx); err != nil {
		return source{}, err
	}
	placement, err := r.pickNextTarget()
	if err != nil {
		return source{}, err
	}
	r.startAttempt(placement, old.number/attemptStep*attemptStep+attemptStep)
	r.service.counters.restarted.Inc(1)
	r.service.counters.prefilled.Inc(int64(r.prefix.count))
	r.logResumed(logging.GenerationResumed, old.address, old.number, l, "restart")
	if old.version != r.attempt.version {
		r.logResumed(logging.GenerationResumed, old.address, old.number, l, "version_change_"+old.version)
	}
	return r.generateSource(), r.sendResumeToken()
}

// sendResumeToken sends the caller the resume token of a new attempt before the
// attempt's first token. If this router fails during the prefill, the caller can then
// resume the new attempt, and the prefill is not repeated.
func (r *run) sendResumeToken() error {
	if !r.firstChunkSent && r.callerOffset == 0 {
		return nil // the caller has nothing to resume yet
	}
	chunk, err := r.newCallerChunk(r.prefix.count, nil, noFinishReason)
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

// waitForRetryBudget takes one resume from the retry budget. If the wait would exceed
// MaxResumeWait, it returns at once an error that tells the caller when to retry.
func (r *run) waitForRetryBudget(ctx context.Context) error {
	limit := time.Now().Add(r.service.opts.Settings.MaxResumeWait.Std())
	for {
		ok, wait := r.service.opts.Budget.Allow(request.ResumeGeneration)
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

// exclusionTime is how long a target is not picked again after it failed this generation.
const exclusionTime = 10 * time.Second

// excludedAddresses removes expired exclusions and returns the addresses of the others.
func (r *run) excludedAddresses() []string {
	r.exclusions = slices.DeleteFunc(r.exclusions, func(e exclusion) bool {
		return time.Since(e.at) > exclusionTime
	})
	var addresses []string
	for _, e := range r.exclusions {
		addresses = append(addresses, e.address)
	}
	return addresses
}

// pickNextTarget chooses a target for a further attempt. It tries the candidate versions
// in order and skips the targets that recently failed this generation.
func (r *run) pickNextTarget() (request.Placement, error) {
	work := r.work()
	excluded := r.excludedAddresses()
	for _, version := range r.candidateVersions() {
		work.Version = version
		if p, err := r.service.opts.Picker.Pick(work, excluded); err == nil {
			return p, nil
		}
	}
	return request.Placement{}, r.giveUp(fault.GenerationInterrupted.Row().RetryAfter)
}

// candidateVersions returns the versions for a further attempt in order of preference:
// that of the last attempt, the route's, and the others of its service. For a run that
// began on the new version of a move, the version that new requests get now comes
// first: the old one, once the new one was rolled back or stopped.
func (r *run) candidateVersions() []string {
	var list []string
	add := func(v string) {
		if !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	if r.provisional {
		add(r.service.opts.Chooser.Choose(r.route, r.requestID))
	}
	add(r.attempt.version)
	view := r.service.opts.Holder.Current()
	if route := view.Route(r.route.GetName()); route != nil {
		add(route.GetVersion())
	}
	for _, t := range view.Targets(r.route.GetService()) {
		add(t.GetVersion())
	}
	return list
}

// giveUp returns the final error of a run that can't continue on this router. The
// error tells the caller when to retry; it can resume if it has received anything.
func (r *run) giveUp(retryAfter time.Duration) error {
	r.service.counters.interrupted.Inc(1)
	if !r.firstChunkSent && r.callerOffset == 0 {
		return fault.New(fault.NoTarget, "no engine could start the generation").
			WithRan(chicoryv1.Ran_RAN_RAN).WithRetryAfter(retryAfter)
	}
	return fault.New(fault.GenerationInterrupted, "no engine can continue the generation now").WithRetryAfter(retryAfter)
}

func (r *run) logResumed(event logging.Event, from string, fromAttempt uint32, l loss, how string) {
	r.service.opts.Logger.Info(event, logging.Fields{
		"generation": r.id, "request": r.requestID, "team": r.team, "route": r.route.GetName(),
		"reason": l.String(), "how": how, "offset": r.prefix.count,
		"from": from, "from_attempt": fromAttempt,
		"target": r.attempt.address, "attempt": r.attempt.number, "version": r.attempt.version,
	})
}

// logEnd logs how a run ended.
func (r *run) logEnd(err error) {
	fields := logging.Fields{
		"generation": r.id, "request": r.requestID, "team": r.team, "route": r.route.GetName(),
		"version": r.attempt.version, "target": r.attempt.address, "attempt": r.attempt.number,
		"tokens": r.prefix.count,
	}
	if err == nil {
		r.service.opts.Logger.Info(logging.GenerationEnded, fields)
		return
	}
	e := fault.Of(err)
	fields["kind"] = string(e.Kind)
	fields["reason"] = e.Message
	r.service.opts.Logger.Warn(logging.GenerationFailed, fields)
}
