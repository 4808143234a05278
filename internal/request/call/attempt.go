package call

import (
	"context"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// attemptStatus describes how an attempt ended.
type attemptStatus int

const (
	// attemptSucceeded: the target returned a response to this call.
	attemptSucceeded attemptStatus = iota
	// attemptRefused: the target returned an error for this call.
	attemptRefused
	// attemptNoResponse: no response was received; the call may have run.
	attemptNoResponse
	// attemptMismatched: the response carried the ID of another call; the call may
	// have run.
	attemptMismatched
	// attemptNotSent: no byte was written to the target.
	attemptNotSent
)

// attempt is the result of one dispatch of a call to one target.
type attempt struct {
	status attemptStatus
	target string
	resp   *chicoryv1.InvokeResponse
	// err is set when the status is attemptRefused.
	err     *fault.Error
	code    connect.Code
	latency time.Duration
}

// mayHaveRun reports whether the target may have run the call.
func (a *attempt) mayHaveRun() bool {
	return a.status != attemptNotSent
}

// dispatch sends the call to a target once, waits for the response until ctx ends
// at the latest, and reports the result to the picker and the recorder. number
// distinguishes the attempts of one call. An attempt that is cancelled after
// unresponsiveAfter is reported as request.ResultSilent.
func (s *Service) dispatch(ctx context.Context, c *call, p request.Placement, d *target.Dispatch, number int, unresponsiveAfter time.Duration) *attempt {
	a := s.send(ctx, c, p.Target, d, number)
	if a.status == attemptNoResponse && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		d.ReplaceConnection()
	}
	s.reportAttempt(c, p, a, a.pickerResult(ctx, unresponsiveAfter))
	return a
}

// send sends the call to a target once and waits for the response.
func (s *Service) send(ctx context.Context, c *call, t *chicoryv1.Target, d *target.Dispatch, number int) *attempt {
	id := c.id + "-" + strconv.Itoa(number)
	start := time.Now()
	resp, err := s.invoke(target.WithDispatch(ctx, d), c, t, id)
	a := &attempt{target: t.GetAddress(), latency: time.Since(start)}
	a.classify(resp, err, id, d)
	return a
}

// timeoutHeader carries the timeout to the target, also when ctx has no deadline.
const timeoutHeader = "Connect-Timeout-Ms"

func (s *Service) invoke(ctx context.Context, c *call, t *chicoryv1.Target, id string) (*chicoryv1.InvokeResponse, error) {
	timeoutMs := max(time.Until(c.work.Deadline).Milliseconds(), 1)
	req := connect.NewRequest(&chicoryv1.InvokeRequest{
		CallId:     id,
		Key:        c.req.GetKey(),
		Team:       c.req.GetTeam(),
		Method:     c.req.GetMethod(),
		Payload:    c.req.GetPayload(),
		Idempotent: c.isIdempotent(),
		TimeoutMs:  uint32(timeoutMs),
		Route:      c.req.GetRoute(),
		Version:    t.GetVersion(),
	})
	req.Header().Set(timeoutHeader, strconv.FormatInt(timeoutMs, 10))
	resp, err := s.opts.Pool.Clients(t.GetAddress()).Transaction.Invoke(ctx, req)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// classify sets the status of the attempt that was sent with the call ID id.
func (a *attempt) classify(resp *chicoryv1.InvokeResponse, err error, id string, d *target.Dispatch) {
	switch {
	case err == nil && resp.GetCallId() == id:
		a.status, a.resp = attemptSucceeded, resp
	case err == nil:
		a.status = attemptMismatched
	case !d.MayHaveArrived():
		a.status = attemptNotSent
	case isTargetError(err):
		a.status = attemptRefused
		a.code = connect.CodeOf(err)
		a.err = fault.New(fault.TargetRefused, "%s", errorMessage(err))
	default:
		a.status = attemptNoResponse
	}
}

// ambiguousCodes are error codes that an intermediary between the router and the
// target can also return, or that a target returns when it no longer knows the
// state of the call.
var ambiguousCodes = []connect.Code{
	connect.CodeCanceled,
	connect.CodeDeadlineExceeded,
	connect.CodeUnavailable,
	connect.CodeUnknown,
	connect.CodeAborted,
}

// isTargetError reports whether err was returned by the target itself for the call.
func isTargetError(err error) bool {
	return connect.IsWireError(err) && !slices.Contains(ambiguousCodes, connect.CodeOf(err))
}

// nonRetryableCodes are error codes that every replica of a service would return.
var nonRetryableCodes = []connect.Code{
	connect.CodeInvalidArgument,
	connect.CodeNotFound,
	connect.CodeAlreadyExists,
	connect.CodePermissionDenied,
	connect.CodeFailedPrecondition,
	connect.CodeOutOfRange,
	connect.CodeUnimplemented,
	connect.CodeUnauthenticated,
}

func errorMessage(err error) string {
	var c *connect.Error
	if errors.As(err, &c) {
		return c.Code().String() + ": " + c.Message()
	}
	return err.Error()
}

// reportAttempt reports the result of an attempt to the picker and the recorder.
func (s *Service) reportAttempt(c *call, p request.Placement, a *attempt, result request.Result) {
	latency := time.Duration(0)
	if result == request.ResultSuccess {
		latency = a.latency
	}
	p.Done(result, latency)
	if result == request.ResultAbandoned {
		return
	}
	s.opts.Recorder.Record(request.Observation{
		Route:            c.req.GetRoute(),
		Version:          p.Target.GetVersion(),
		Team:             c.req.GetTeam(),
		AvailabilityZone: s.opts.AvailabilityZone,
		Error:            result != request.ResultSuccess,
		Crossed:          a.status == attemptMismatched,
		CallLatency:      latency,
	})
	if a.status == attemptMismatched {
		s.opts.Logger.Warn(logging.AnswerDropped, logging.Fields{
			"request": c.req.GetRequestId(), "call_id": c.id, "team": c.req.GetTeam(),
			"route": c.req.GetRoute(), "target": a.target, "reason": "another call's identity",
		})
	}
}

// pickerResult returns the result of the attempt that is reported to the picker.
func (a *attempt) pickerResult(ctx context.Context, unresponsiveAfter time.Duration) request.Result {
	switch {
	case a.status == attemptSucceeded:
		return request.ResultSuccess
	case a.status == attemptRefused || a.status == attemptMismatched:
		return request.ResultError
	case errors.Is(ctx.Err(), context.Canceled) && a.latency < unresponsiveAfter:
		return request.ResultAbandoned
	case ctx.Err() != nil:
		return request.ResultSilent
	default:
		return request.ResultReset
	}
}

// pickTarget picks a target that is not in exclude.
func (s *Service) pickTarget(c *call, exclude []string) (request.Placement, error) {
	p, err := s.opts.Picker.Pick(c.work, exclude)
	if err != nil {
		return p, fault.Of(err)
	}
	return p, nil
}
