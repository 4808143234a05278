package exchange

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
)

// eventsOfBegunAnswer is the number of events from which an answer has begun. An engine that
// crashes as it begins an answer may have sent the first one.
const eventsOfBegunAnswer = 2

// errQuarantined ends an attempt whose request was found to crash targets.
var errQuarantined = errors.New("the request is in quarantine")

// trial is the trial of a request. One target at most receives it.
type trial struct {
	keys []string
	// sent: a target has received the request.
	sent atomic.Bool
}

// wasSent reports whether a target has received the request. A nil trial was not sent.
func (t *trial) wasSent() bool { return t != nil && t.sent.Load() }

// admitKeys refuses a request that crashes targets.
func (s *Service) admitKeys(a *AdmittedRequest) error {
	a.keys = a.suspectKeys()
	admission := s.tryAdmit(a)
	if !admission.Refused {
		return nil
	}
	s.metrics.quarantined.Inc(1)
	return quarantined(admission)
}

// tryAdmit checks the keys of a request, and makes it a trial if one was granted.
func (s *Service) tryAdmit(a *AdmittedRequest) quarantine.Admission {
	admission := s.opts.Quarantine.Admit(a.keys, time.Now())
	a.trial = nil
	if admission.Trial {
		a.trial = &trial{keys: admission.Keys}
		s.opts.Logger.Warn(logging.QuarantineTried, logging.Fields{"request": a.ID, "route": a.Route.Name, "keys": admission.Keys})
	}
	return admission
}

// recordSent records that a target has received a request, which counts if it is a trial.
func (s *Service) recordSent(a *AdmittedRequest) {
	if a.trial != nil && a.trial.sent.CompareAndSwap(false, true) {
		s.opts.Quarantine.RecordTrial(a.trial.keys, time.Now())
	}
}

// endTrial lets another request be the trial if no target has received this one.
func (s *Service) endTrial(a *AdmittedRequest) {
	if a.trial != nil && !a.trial.wasSent() {
		s.opts.Quarantine.CancelTrial(a.trial.keys)
	}
}

// pickTrial selects a target for a request on trial: one that was not lost with its keys.
func (s *Service) pickTrial(w request.Work, t *trial, tried []string) (request.Placement, error) {
	for {
		p, err := s.opts.Picker.Pick(w, tried)
		if err != nil || !s.opts.Quarantine.IsLost(targetOf(p.Target), t.keys, time.Now()) {
			return p, err
		}
		p.Done(request.ResultAbandoned, 0)
		tried, w.Reserved = append(slices.Clip(tried), p.Target.GetAddress()), ""
	}
}

func quarantined(a quarantine.Admission) *fault.Error {
	isOwn := func(key string) bool { return !IsShared(key) }
	if parts := slices.DeleteFunc(slices.Clone(a.Keys), isOwn); len(parts) > 0 {
		return fault.New(fault.PromptQuarantined, "a prompt with the parts %q crashes engines", parts).WithRetryAfter(a.Wait)
	}
	return fault.New(fault.RequestQuarantined, "the request crashes the targets that run it").WithRetryAfter(a.Wait)
}

// targetOf returns the target start that a configuration or list names.
func targetOf(t interface {
	GetAddress() string
	GetInstance() string
	GetAvailabilityZone() string
}) quarantine.Target {
	return quarantine.Target{Address: t.GetAddress(), Instance: t.GetInstance(), AvailabilityZone: t.GetAvailabilityZone()}
}

// trialKeys returns the keys for which the request is a trial now.
func (a *AdmittedRequest) trialKeys() []string {
	if a.trial == nil {
		return nil
	}
	return a.trial.keys
}

// recordTargetLoss records the loss of a target before it began the answer to a, and logs the quarantine that
// follows.
func (s *Service) recordTargetLoss(a *AdmittedRequest, l quarantine.Loss) {
	s.metrics.targetLosses.Inc(1)
	s.opts.Quarantine.RecordLoss(a.keys, l)
	if admission := s.opts.Quarantine.Check(a.keys, time.Now()); admission.Refused {
		s.opts.Logger.Warn(logging.PartQuarantined, logging.Fields{
			"request": a.ID, "route": a.Route.Name, "keys": admission.Keys, "ms": admission.Wait.Milliseconds(),
		})
	}
}

// quarantineError returns the error for a request that was found to crash targets while it waited
// for its answer, or nil. runs is the number of targets that may have run it.
func (s *Service) quarantineError(a *AdmittedRequest, runs int) error {
	_, refusal := s.checkQuarantine(a, runs)
	return refusal
}

// checkQuarantine returns the error of quarantineError, and how long reports of other VMs that show the request
// to be sound may still come.
func (s *Service) checkQuarantine(a *AdmittedRequest, runs int) (unsettled time.Duration, refusal error) {
	if a.trial != nil && !a.trial.wasSent() {
		return 0, nil
	}
	admission := s.opts.Quarantine.Check(a.keys, time.Now())
	if !admission.Refused {
		return 0, nil
	}
	err := quarantined(admission)
	if runs > 0 {
		err = err.WithRan(chicoryv1.Ran_RAN_UNKNOWN)
	}
	return admission.Unsettled, err
}

// settledQuarantineError is quarantineError once other VMs have reported what they know of the losses: a
// sound request is at the same targets as one that crashes them.
func (s *Service) settledQuarantineError(ctx context.Context, a *AdmittedRequest, runs int) error {
	for {
		unsettled, refusal := s.checkQuarantine(a, runs)
		if refusal == nil || unsettled <= 0 {
			return refusal
		}
		if !pause.For(ctx, min(unsettled, s.opts.Settings.PlaceInterval)) {
			return contextError(ctx, runs > 0)
		}
	}
}

// isConnectionEnd reports whether a target ended its connection. A target that sends what is
// no valid response is not lost.
func isConnectionEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// showsLoss reports whether an attempt at an engine that had not begun the answer shows that the
// engine was lost. If an earlier engine had begun it, the request is not the cause.
func (st *stream) showsLoss(ctx context.Context, result attemptResult) bool {
	if st.begun || result.outcome != outcomeLost {
		return false
	}
	cause := context.Cause(ctx)
	return cause == nil && isConnectionEnd(result.err) || isSilence(cause)
}

// isSilence reports whether an attempt was given up because its engine was silent.
func isSilence(cause error) bool {
	return errors.Is(cause, pace.ErrSilenceTimeout) || errors.Is(cause, errEngineLost)
}

// markBegun records that an engine has begun the answer, which clears the keys of the request and
// ends its trial.
func (st *stream) markBegun() {
	if st.begun {
		return
	}
	st.begun = true
	st.a.trial = nil
	st.s.opts.Quarantine.RecordBegun(st.a.keys, time.Now())
}

// awaitAdmission waits while a stream whose response has begun is in quarantine: it can't be
// refused, and other requests or a trial may show that its keys are sound. It asks for a trial as
// often as a caller that is refused.
func (st *stream) awaitAdmission(ctx context.Context) error {
	if st.a.trial != nil && !st.a.trial.wasSent() {
		return nil
	}
	for {
		admission := st.s.tryAdmit(st.a)
		if !admission.Refused {
			return nil
		}
		if !st.awaitCleared(ctx, admission.Wait) {
			return contextError(ctx, true)
		}
	}
}

// awaitCleared waits until the keys of the stream are cleared, for limit at most. It returns false
// if ctx ends first.
func (st *stream) awaitCleared(ctx context.Context, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if !pause.For(ctx, st.s.opts.Settings.PlaceInterval) {
			return false
		}
		if len(st.s.opts.Quarantine.Check(st.a.keys, time.Now()).Keys) == 0 {
			return true
		}
	}
	return true
}

// quarantineWatch ends an attempt whose request comes into quarantine before its response has
// begun. A nil watch never does.
type quarantineWatch struct {
	stop context.CancelFunc

	mu             sync.Mutex // guards the fields below
	ended, refused bool
}

// end ends the watch, and reports whether the attempt may continue.
func (w *quarantineWatch) end() bool {
	if w == nil {
		return true
	}
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	return !w.refused
}

// refuse cancels the attempt unless the watch has ended.
func (w *quarantineWatch) refuse(cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.refused = true
		cancel(errQuarantined)
	}
}

// watchQuarantine cancels the attempt if other requests show, before its response has begun, that
// it crashes engines. Once it has, an engine that the request crashes is lost already.
func (st *stream) watchQuarantine(ctx context.Context, cancel context.CancelCauseFunc) *quarantineWatch {
	if st.headerSent || st.a.trial != nil {
		return nil
	}
	ctx, stop := context.WithCancel(ctx)
	w := &quarantineWatch{stop: stop}
	go func() {
		if _, refused := st.s.opts.Quarantine.AwaitRefusal(ctx, st.a.keys); refused {
			w.refuse(cancel)
		}
	}()
	return w
}
