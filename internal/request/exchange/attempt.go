package exchange

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// outcome is the result of one attempt at one target.
type outcome string

const (
	// outcomeAnswered: the complete response to this request was received.
	outcomeAnswered outcome = "answered"
	// outcomeNotSent: no byte was written to the target.
	outcomeNotSent outcome = "not sent"
	// outcomeNotRun: the target states that it did not run the request.
	outcomeNotRun outcome = "not run"
	// outcomeLost: no complete response was received; the request may have run.
	outcomeLost outcome = "lost"
)

// attempt is the result of sending a call to one target.
type attempt struct {
	outcome outcome
	target  string
	status  int
	header  http.Header
	body    *http1.Body
	// limited: the target names a limit of its requests, or when it wants the next one.
	limited bool
	err     error
	latency time.Duration
	// requests is the number of requests at the target according to its response; 0 if it does not
	// state it.
	requests int
}

// isServerError reports whether the target's response is a server error, in which case
// another target may succeed.
func (t *attempt) isServerError() bool {
	return t.outcome == outcomeAnswered && t.status >= http.StatusInternalServerError
}

// runAttempt sends a call to a target, waits for the response and reports to the picker.
func (s *Service) runAttempt(ctx context.Context, a *AdmittedRequest, p request.Placement, newConnection bool) *attempt {
	begin := time.Now()
	stop := s.watchSilence(a, p.Target)
	t := s.roundTrip(ctx, a, p.Target.GetAddress(), Dispatch{Instance: p.Target.GetInstance(), NewConnection: newConnection})
	stop()
	t.target = p.Target.GetAddress()
	t.latency = time.Since(begin)
	if t.outcome == outcomeLost && ctx.Err() == nil {
		s.opts.Pool.CloseIdle(t.target)
	}
	if t.outcome == outcomeAnswered && !t.isServerError() {
		s.opts.Speeds.ObserveCall(t.target, p.Target.GetInstance(), t.latency, t.requests, time.Now())
	}
	s.reportCall(ctx, a, t, p, begin)
	s.logAttempt(a, t)
	return t
}

// targetResult returns the result that is reported to the picker.
func (t *attempt) targetResult(ctx context.Context) request.Result {
	switch {
	case t.outcome == outcomeAnswered && !t.isServerError():
		return request.ResultSuccess
	case t.outcome == outcomeNotRun && t.status == http.StatusMisdirectedRequest:
		return request.ResultReplaced
	case t.outcome == outcomeNotRun && t.limited:
		return request.ResultAbandoned // it asks for fewer requests and is not sick
	case t.outcome == outcomeAnswered || t.outcome == outcomeNotRun:
		return request.ResultError
	case ctx.Err() == context.DeadlineExceeded:
		return request.ResultSilent
	case ctx.Err() != nil:
		return request.ResultAbandoned
	default:
		return request.ResultReset
	}
}

func (s *Service) logAttempt(a *AdmittedRequest, t *attempt) {
	fields := logging.Fields{
		"request": a.ID, "route": a.Route.Name, "target": t.target, "ending": string(t.outcome),
		"status": t.status, "ms": t.latency.Milliseconds(), "key": a.loggedKey(),
	}
	if t.outcome == outcomeAnswered && !t.isServerError() {
		s.opts.Logger.Info(logging.AttemptEnded, fields)
		return
	}
	fields["reason"] = t.err
	s.opts.Logger.Warn(logging.AttemptEnded, fields)
}

// roundTrip sends a call to the target at address once and reads the complete response.
func (s *Service) roundTrip(ctx context.Context, a *AdmittedRequest, address string, d Dispatch) *attempt {
	x, err := s.opts.Pool.Send(ctx, address, s.targetRequest(a, d))
	if err != nil {
		if http1.IsNotSent(err) {
			return &attempt{outcome: outcomeNotSent, err: err}
		}
		s.recordSent(a)
		return &attempt{outcome: outcomeLost, err: err}
	}
	s.recordSent(a)
	response, meta, err := s.readResponse(x, a.ID)
	if err != nil {
		return &attempt{outcome: outcomeLost, err: err}
	}
	s.recordLoad(address, meta)
	s.recordState(address, d.Instance, response.Status, meta)
	t := &attempt{status: response.Status, header: response.Header, limited: meta.Limit > 0 || meta.RetryAfter > 0, requests: meta.Running + meta.Waiting}
	if t.body, err = response.ReadAll(s.opts.Settings.MaxResponseBytes); err != nil {
		response.Abandon()
		t.outcome, t.err = outcomeLost, err
		return t
	}
	endResponse(response, meta, a.ID)
	t.outcome = classifyResponse(response.Status, meta)
	return t
}

// endResponse ends a complete response. Its connection may carry another request only if the
// response names its own: a late second copy of one that names none, such as a refusal, can't
// be told from the response to the next request.
func endResponse(response *http1.Response, meta ResponseMetadata, id string) {
	if meta.ID == id {
		response.Finish()
		return
	}
	response.Abandon()
}

// classifyResponse returns the outcome of a complete response.
func classifyResponse(status int, meta ResponseMetadata) outcome {
	switch {
	case meta.Signed:
		return outcomeAnswered
	case meta.NotRun || status == http.StatusMisdirectedRequest:
		return outcomeNotRun
	default:
		return outcomeLost // the response is not signed
	}
}

// maxMismatchedResponses is how many responses to other requests may precede the expected
// one on a connection; a connection with more of them is abandoned.
const maxMismatchedResponses = 2

// readResponse reads the response to the request with the id. It skips duplicate
// responses to earlier requests on the connection.
func (s *Service) readResponse(x *http1.Exchange, id string) (*http1.Response, ResponseMetadata, error) {
	for mismatched := 0; ; mismatched++ {
		response, err := x.ReadResponse()
		if err != nil {
			return nil, ResponseMetadata{}, err
		}
		meta := s.opts.Protocol.DecodeReply(response.Header)
		if meta.ID == id || meta.ID == "" && !meta.Signed {
			return response, meta, nil
		}
		err = response.Discard(s.opts.Settings.MaxResponseBytes)
		if err != nil || mismatched == maxMismatchedResponses || !response.SelfDelimited {
			response.Abandon()
			return nil, ResponseMetadata{}, &mismatchedResponseError{id: meta.ID}
		}
		s.opts.Logger.Warn(logging.AnswerDropped, logging.Fields{"request": id, "answered": meta.ID})
	}
}

// mismatchedResponseError means that a response belongs to another request.
type mismatchedResponseError struct{ id string }

func (e *mismatchedResponseError) Error() string { return "response is for another request: " + e.id }

// recordState records what a response states about its target: how long work takes there, the limit of
// its requests, when it wants the next one, and whether it is about to stop. A response of another start of the target, or one that
// only the target's address shows to be of the target, says nothing.
func (s *Service) recordState(address, instance string, status int, r ResponseMetadata) {
	if status == http.StatusMisdirectedRequest || !r.Signed && !r.NotRun {
		return
	}
	now := time.Now()
	s.opts.Speeds.ObserveStated(address, instance, r.PacePercent, now)
	if r.Leaving && s.opts.OnLeaving != nil {
		s.opts.OnLeaving(address, instance)
	}
	if !math.IsNaN(r.Limit) {
		s.opts.Limits.Observe(address, instance, r.Limit, now)
	}
	if status == http.StatusServiceUnavailable && r.RetryAfter != 0 {
		s.opts.Limits.Close(address, instance, r.RetryAfter, now)
	}
}

// recordLoad records the load that a target reports.
func (s *Service) recordLoad(address string, r ResponseMetadata) {
	if !r.HasLoad {
		return
	}
	now := time.Now()
	state := s.opts.Loads.State(address)
	state.SampleInFlight(now)
	state.SetReport(observe.Report{Load: r.Running + r.Waiting, Capacity: r.Slots, MeasuredAt: now})
}
