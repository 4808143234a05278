package exchange

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
)

// eventsOfBegunAnswer is the number of events from which an answer has begun. An engine that
// crashes as it begins an answer may have sent the first one.
const eventsOfBegunAnswer = 2

// errPromptQuarantined ends an attempt whose prompt was found to crash engines.
var errPromptQuarantined = errors.New("a part of the prompt is in quarantine")

// admitPrompt refuses a request whose prompt crashes engines.
func (s *Service) admitPrompt(a *AdmittedRequest) error {
	admission := s.opts.Quarantine.Admit(a.SharedParts, time.Now())
	if a.trial = admission.Trial; a.trial {
		s.opts.Logger.Warn(logging.QuarantineTried, logging.Fields{"request": a.ID, "route": a.Route.Name, "parts": admission.Parts})
	}
	if !admission.Refused {
		return nil
	}
	s.metrics.quarantined.Inc(1)
	return quarantined(admission)
}

func quarantined(a quarantine.Admission) *fault.Error {
	return fault.New(fault.PromptQuarantined, "a prompt with the parts %q crashes engines", a.Parts).WithRetryAfter(a.Wait)
}

// recordEngineLoss records that an engine was lost before it began the answer to a, and
// logs the quarantine that follows.
func (s *Service) recordEngineLoss(a *AdmittedRequest, engine quarantine.Engine) {
	if len(a.SharedParts) == 0 {
		return
	}
	s.metrics.engineLosses.Inc(1)
	now := time.Now()
	s.opts.Quarantine.RecordLoss(a.SharedParts, engine, now)
	if admission := s.opts.Quarantine.Check(a.SharedParts, now); admission.Refused {
		s.opts.Logger.Warn(logging.PartQuarantined, logging.Fields{
			"request": a.ID, "route": a.Route.Name, "parts": admission.Parts, "ms": admission.Wait.Milliseconds(),
		})
	}
}

// quarantineError returns the error for a request whose prompt was found to crash engines
// while it waited for its answer, or nil. runs is the number of targets that may have run it.
func (s *Service) quarantineError(a *AdmittedRequest, runs int) error {
	if a.trial && runs == 0 {
		return nil
	}
	admission := s.opts.Quarantine.Check(a.SharedParts, time.Now())
	if !admission.Refused {
		return nil
	}
	err := quarantined(admission)
	if runs > 0 {
		err = err.WithRan(chicoryv1.Ran_RAN_UNKNOWN)
	}
	return err
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

// recordCall records whether a target that was sent a call was lost or answered it.
func (s *Service) recordCall(ctx context.Context, a *AdmittedRequest, t *attempt, instance string) {
	switch {
	case t.outcome == outcomeAnswered && t.status < http.StatusMultipleChoices:
		s.opts.Quarantine.RecordBegun(a.SharedParts, time.Now())
	case t.outcome == outcomeLost && ctx.Err() == nil && isConnectionEnd(t.err):
		s.recordEngineLoss(a, quarantine.Engine{Address: t.target, Instance: instance})
	}
}

// recordLoss records the loss of an engine that had not begun the answer. If an earlier
// engine had begun it, the prompt is not the cause.
func (st *stream) recordLoss(ctx context.Context, run *placement.Run, result attemptResult) {
	if st.begun || result.outcome != outcomeLost {
		return
	}
	cause := context.Cause(ctx)
	if cause == nil && isConnectionEnd(result.err) || errors.Is(cause, pace.ErrSilenceTimeout) || errors.Is(cause, errEngineLost) {
		st.s.recordEngineLoss(st.a, quarantine.Engine{Address: run.Target.GetAddress(), Instance: run.Target.GetInstance()})
	}
}

// markBegun records that an engine has begun the answer, which clears the parts of the
// prompt.
func (st *stream) markBegun() {
	if st.begun {
		return
	}
	st.begun = true
	st.stopWatch()
	st.s.opts.Quarantine.RecordBegun(st.a.SharedParts, time.Now())
}

// watchQuarantine cancels the attempt if other requests show, before this one is answered,
// that its prompt crashes engines. The returned function ends the watch.
func (st *stream) watchQuarantine(ctx context.Context, cancel context.CancelCauseFunc) (stop context.CancelFunc) {
	ctx, stop = context.WithCancel(ctx)
	if st.begun || st.a.trial || len(st.a.SharedParts) == 0 {
		return stop
	}
	go func() {
		if _, refused := st.s.opts.Quarantine.AwaitRefusal(ctx, st.a.SharedParts); refused {
			cancel(errPromptQuarantined)
		}
	}()
	return stop
}
