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

// ending says how an attempt ended.
type ending int

const (
	// answered: the target answered this call.
	answered ending = iota
	// refused: the target answered this call with an error.
	refused
	// lost: no answer came; the call may have run.
	lost
	// crossed: an answer with another call's identity came; the call may have run.
	crossed
	// notSent: no byte was written to a target.
	notSent
)

// attempt is one dispatch of a call to one target, after its end.
type attempt struct {
	ending ending
	target string
	resp   *chicoryv1.InvokeResponse
	// refusal is set when the ending is refused.
	refusal *fault.Error
	code    connect.Code
	latency time.Duration
}

// mayHaveRun reports whether the target may have run the call.
func (a *attempt) mayHaveRun() bool {
	return a.ending != notSent
}

// dispatch sends the call to a target once, waits for its answer at most until
// ctx ends, and tells the picker and the recorder. number tells the attempts of
// one call apart. An attempt that is cancelled after the time silence counts as
// silent.
func (s *Service) dispatch(ctx context.Context, c *call, p request.Placement, d *target.Dispatch, number int, silence time.Duration) *attempt {
	a := s.attempt(ctx, c, p.Target, d, number)
	if a.ending == lost && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		d.DropConnection()
	}
	s.report(c, p, a, a.result(ctx, silence))
	return a
}

// attempt sends the call to a target once and waits for its answer.
func (s *Service) attempt(ctx context.Context, c *call, t *chicoryv1.Target, d *target.Dispatch, number int) *attempt {
	id := c.id + "-" + strconv.Itoa(number)
	start := time.Now()
	resp, err := s.invoke(target.WithDispatch(ctx, d), c, t, id)
	a := &attempt{target: t.GetAddress(), latency: time.Since(start)}
	a.classify(resp, err, id, d)
	return a
}

// timeoutHeader carries the deadline to the target where the context has none.
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

// classify decides how the attempt with the identity id ended.
func (a *attempt) classify(resp *chicoryv1.InvokeResponse, err error, id string, d *target.Dispatch) {
	switch {
	case err == nil && resp.GetCallId() == id:
		a.ending, a.resp = answered, resp
	case err == nil:
		a.ending = crossed
	case !d.MayHaveArrived():
		a.ending = notSent
	case isTargetAnswer(err):
		a.ending = refused
		a.code = connect.CodeOf(err)
		a.refusal = fault.New(fault.TargetRefused, "%s", errorMessage(err))
	default:
		a.ending = lost
	}
}

// unclearCodes are error codes that something between the router and the target
// also gives, or that a target gives when it has lost sight of the call.
var unclearCodes = []connect.Code{
	connect.CodeCanceled,
	connect.CodeDeadlineExceeded,
	connect.CodeUnavailable,
	connect.CodeUnknown,
	connect.CodeAborted,
}

// isTargetAnswer reports whether err is the target's own answer to the call.
func isTargetAnswer(err error) bool {
	return connect.IsWireError(err) && !slices.Contains(unclearCodes, connect.CodeOf(err))
}

// finalCodes are error codes that each replica of a service gives alike.
var finalCodes = []connect.Code{
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

// report tells the picker and the recorder how an attempt ended.
func (s *Service) report(c *call, p request.Placement, a *attempt, result request.Result) {
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
		Crossed:          a.ending == crossed,
		CallLatency:      latency,
	})
	if a.ending == crossed {
		s.opts.Logger.Warn(logging.AnswerDropped, logging.Fields{
			"request": c.req.GetRequestId(), "call_id": c.id, "team": c.req.GetTeam(),
			"route": c.req.GetRoute(), "target": a.target, "reason": "another call's identity",
		})
	}
}

// result returns how the attempt ended for the picker.
func (a *attempt) result(ctx context.Context, silence time.Duration) request.Result {
	switch {
	case a.ending == answered:
		return request.ResultSuccess
	case a.ending == refused || a.ending == crossed:
		return request.ResultError
	case errors.Is(ctx.Err(), context.Canceled) && a.latency < silence:
		return request.ResultAbandoned
	case ctx.Err() != nil:
		return request.ResultSilent
	default:
		return request.ResultReset
	}
}

// pick chooses a target that is not excluded.
func (s *Service) pick(c *call, exclude []string) (request.Placement, error) {
	p, err := s.opts.Picker.Pick(c.work, exclude)
	if err != nil {
		return p, fault.Of(err)
	}
	return p, nil
}
