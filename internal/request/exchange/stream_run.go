package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
)

// dispatch sends the request to the engine and forwards its events.
func (st *stream) dispatch(ctx context.Context, g *attemptGuard, run *placement.Run, d Dispatch) attemptResult {
	watchdog := pace.NewWatchdogFunc(g.onSilence, st.firstEventTimeout(d))
	defer watchdog.Pause()
	go st.probeEngine(ctx, g, run, st.firstProbeDelay(d))
	x, err := st.s.opts.Pool.Send(ctx, run.Target.GetAddress(), st.s.targetRequest(st.a, d))
	if err != nil {
		if http1.IsNotSent(err) {
			return attemptResult{outcome: outcomeNotSent, err: err}
		}
		st.s.recordSent(st.a)
		return attemptResult{outcome: outcomeLost, err: err}
	}
	st.s.recordSent(st.a)
	g.sent(x)
	go st.watchEngineLoss(ctx, g, run)
	silence := time.AfterFunc(st.s.opts.Settings.FirstEventTimeout, func() { st.s.suspectPath(run.Target.GetAddress(), false) })
	defer silence.Stop()
	response, meta, err := st.s.readResponse(x, st.a.ID)
	if err != nil {
		return attemptResult{outcome: outcomeLost, err: err}
	}
	st.s.recordState(run.Target.GetAddress(), run.Target.GetInstance(), response.Status, meta)
	if meta.HasLoad {
		run.SetReportedRuns(meta.Running, meta.Waiting, meta.Slots)
	}
	if !meta.Signed || response.Status != http.StatusOK {
		return st.readNonStream(response, meta)
	}
	relay := &eventRelay{st: st, response: response, meta: meta, run: run, guard: g, watchdog: watchdog, pace: paceObserver{speeds: st.s.opts.Speeds}}
	return relay.relayAll()
}

// watchEngineLoss gives the attempt up if another run finds the engine lost before this
// one has received an event.
func (st *stream) watchEngineLoss(ctx context.Context, g *attemptGuard, run *placement.Run) {
	select {
	case <-run.EngineLost:
		if !run.HasFirstEvent() {
			g.giveUp(errEngineLost)
		}
	case <-ctx.Done():
	}
}

var errEngineLost = errors.New("engine found lost by another run")

// readNonStream reads a response that is not a successful stream.
func (st *stream) readNonStream(response *http1.Response, meta ResponseMetadata) attemptResult {
	body, err := response.ReadAll(st.s.opts.Settings.MaxResponseBytes)
	if err != nil {
		response.Abandon()
		return attemptResult{outcome: outcomeLost, status: response.Status, err: err}
	}
	endResponse(response, meta, st.a.ID)
	result := attemptResult{outcome: classifyResponse(response.Status, meta), status: response.Status}
	if result.outcome != outcomeAnswered || st.headerSent {
		return result
	}
	st.errorResponse = &attempt{outcome: outcomeAnswered, status: response.Status, header: response.Header, body: body}
	if !st.errorResponse.isServerError() {
		// Every engine would return the same response to this request.
		st.errorResponse.writeTo(st.w)
		result.final = true
	}
	return result
}

// relayEvent writes one event to the caller, unless the caller has already received it.
func (st *stream) relayEvent(response *http1.Response, e event) error {
	if e.id != 0 && e.id <= st.lastEvent {
		return nil
	}
	if e.id > st.lastEvent+1 && (st.headerSent || st.lastEvent > 0) {
		return errors.Errorf("event gap: event %d received after event %d", e.id, st.lastEvent)
	}
	if !st.headerSent && !st.watch.end() {
		return errQuarantined
	}
	st.writeHeader(response)
	if e.id != 0 {
		st.lastEvent = e.id
	}
	st.eventsSent++
	if _, err := st.w.Write(e.raw); err != nil {
		return &TruncatedError{Reason: "write to the caller: " + err.Error()}
	}
	if err := http.NewResponseController(st.w).Flush(); err != nil {
		return &TruncatedError{Reason: "write to the caller: " + err.Error()}
	}
	return nil
}

// isCallerError reports whether err comes from the caller's connection.
func isCallerError(err error) bool {
	var b *TruncatedError
	return errors.As(err, &b)
}

// writeHeader writes the response header with the first event. Until then, the request
// can move to another engine and return that engine's header.
func (st *stream) writeHeader(response *http1.Response) {
	if st.headerSent {
		return
	}
	st.headerSent = true
	recordLatency(st.s.metrics.firstEvent, st.a.ReceivedAt)
	response.Header.Del("Content-Length")
	copyHeader(st.w.Header(), response.Header)
	st.w.WriteHeader(response.Status)
}

// finishStream logs a complete stream and writes its header if it had no events.
func (st *stream) finishStream(response *http1.Response) bool {
	st.writeHeader(response)
	if response.SelfDelimited {
		st.markBegun() // a shorter answer that ends with its connection may be a crash
	}
	st.s.opts.Logger.Info(logging.RequestAnswered, logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "events": st.eventsSent, "engines": st.possibleRuns + 1,
		"ms": time.Since(st.a.ReceivedAt).Milliseconds(),
	})
	return true
}
