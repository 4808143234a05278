package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// ending says how one attempt at one target ended.
type ending string

const (
	// answered: the target's whole answer to this request came.
	answered ending = "answered"
	// notSent: no byte was written to the target.
	notSent ending = "not sent"
	// notRun: the target states that it did not run the request.
	notRun ending = "not run"
	// lost: no whole answer came; the request may have run.
	lost ending = "lost"
)

// attempt is one dispatch of a call, after its end.
type attempt struct {
	ending  ending
	target  string
	status  int
	header  http.Header
	body    []byte
	reason  error
	latency time.Duration
}

// failed reports whether the target's answer is a failure that another target need
// not give.
func (t *attempt) failed() bool {
	return t.ending == answered && t.status >= http.StatusInternalServerError
}

// attempt sends a call to a target, waits for its answer and tells the picker.
func (s *Service) attempt(ctx context.Context, a *Admitted, p request.Placement) *attempt {
	begin := time.Now()
	t := s.exchange(ctx, a, p.Target.GetAddress(), p.Target.GetInstance())
	t.target = p.Target.GetAddress()
	t.latency = time.Since(begin)
	result := t.result(ctx)
	latency := time.Duration(0)
	if result == request.ResultSuccess {
		latency = t.latency
	}
	p.Done(result, latency)
	if t.ending == lost && ctx.Err() == nil {
		s.opts.Pool.Drop(t.target)
	}
	s.logAttempt(a, t)
	return t
}

// result is how the picker judges the target.
func (t *attempt) result(ctx context.Context) request.Result {
	switch {
	case t.ending == answered && !t.failed():
		return request.ResultSuccess
	case t.ending == answered || t.ending == notRun:
		return request.ResultError
	case ctx.Err() == context.DeadlineExceeded:
		return request.ResultSilent
	case ctx.Err() != nil:
		return request.ResultAbandoned
	default:
		return request.ResultReset
	}
}

func (s *Service) logAttempt(a *Admitted, t *attempt) {
	fields := logging.Fields{
		"request": a.ID, "route": a.Route.Name, "target": t.target, "ending": string(t.ending),
		"status": t.status, "ms": t.latency.Milliseconds(),
	}
	if t.ending == answered && !t.failed() {
		s.opts.Logger.Info(logging.AttemptEnded, fields)
		return
	}
	fields["reason"] = t.reason
	s.opts.Logger.Warn(logging.AttemptEnded, fields)
}

// exchange sends a call to the target at address once and reads its whole answer.
func (s *Service) exchange(ctx context.Context, a *Admitted, address, instance string) *attempt {
	x, err := s.opts.Pool.Send(ctx, address, s.target(a, Dispatch{Instance: instance}))
	if err != nil {
		if http1.IsNotSent(err) {
			return &attempt{ending: notSent, reason: err}
		}
		return &attempt{ending: lost, reason: err}
	}
	answer, reply, err := s.readAnswer(x, a.ID)
	if err != nil {
		return &attempt{ending: lost, reason: err}
	}
	s.noteLoad(address, reply)
	t := &attempt{status: answer.Status, header: answer.Header}
	if t.body, err = answer.ReadAll(s.opts.Settings.MaxAnswerBytes); err != nil {
		answer.Abandon()
		t.ending, t.reason = lost, err
		return t
	}
	answer.Finish()
	t.ending = endingOf(answer.Status, reply)
	return t
}

// endingOf judges an answer that came whole.
func endingOf(status int, reply Reply) ending {
	switch {
	case reply.Signed:
		return answered
	case reply.NotRun || status == http.StatusMisdirectedRequest:
		return notRun
	default:
		return lost // not an answer that the target vouches for
	}
}

// maxStrayAnswers is how many answers to other requests may come before the one
// that is waited for; a connection that carries more is not worth reading.
const maxStrayAnswers = 2

// readAnswer reads the answer to the request with the id. A second answer to an
// earlier request on the connection is passed over.
func (s *Service) readAnswer(x *http1.Exchange, id string) (*http1.Answer, Reply, error) {
	for stray := 0; ; stray++ {
		answer, err := x.Read()
		if err != nil {
			return nil, Reply{}, err
		}
		reply := s.opts.Protocol.DecodeReply(answer.Header)
		if reply.ID == id || reply.ID == "" && !reply.Signed {
			return answer, reply, nil
		}
		_, err = answer.ReadAll(s.opts.Settings.MaxAnswerBytes)
		if err != nil || stray == maxStrayAnswers || !answer.HasLength {
			answer.Abandon()
			return nil, Reply{}, &crossedError{id: reply.ID}
		}
		s.opts.Logger.Warn(logging.AnswerDropped, logging.Fields{"request": id, "answered": reply.ID})
	}
}

// crossedError says that a target answered another request.
type crossedError struct{ id string }

func (e *crossedError) Error() string { return "the target answered the request " + e.id }

// noteLoad takes in the load that a target states.
func (s *Service) noteLoad(address string, r Reply) {
	if r.Slots == 0 {
		return
	}
	now := time.Now()
	state := s.opts.Loads.State(address)
	state.Sample(now)
	state.SetReport(observe.Report{Load: r.Running + r.Waiting, Capacity: r.Slots, TakenAt: now})
}
