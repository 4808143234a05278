package exchange

import (
	"math"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/dispatchqueue"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
)

func (st *stream) logPlaced(run *placement.Run, d Dispatch) {
	event := logging.StreamPlaced
	if st.possibleRuns+st.refused > 0 {
		event = logging.StreamResumed
		st.s.metrics.resumed.Inc(1)
	}
	fields := logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "target": run.Target.GetAddress(),
		"instance": run.Target.GetInstance(), "backup": d.BackupTo, "from": d.ContinueFrom,
		"last_event": st.lastEvent, "prompt_tokens": st.size.Prompt, "tried": len(st.tried),
		"shared_parts": st.a.SharedParts,
	}
	if factor := math.Round(100*st.slowness) / 100; factor != 1 {
		fields["factor"] = factor
	}
	if event == logging.StreamResumed {
		fields["waited_ms"] = st.dispatchedAt.Sub(st.lostAt).Milliseconds()
	}
	st.s.opts.Logger.Info(event, fields)
}

// logQueued logs that the stream waits for room at an engine. expected is 0 if the wait can't be estimated.
func (st *stream) logQueued(e *dispatchqueue.Entry, expected time.Duration, waiting int) {
	st.s.opts.Logger.Info(logging.StreamQueued, logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "priority": e.Priority, "begun": e.Begun, "waiting": waiting,
		"expected_wait_ms": expected.Milliseconds(), "prompt_tokens": st.size.Prompt,
	})
}

// logDequeued logs that the stream has waited. run is nil if no engine could be selected.
func (st *stream) logDequeued(e *dispatchqueue.Entry, run *placement.Run, waited time.Duration) {
	fields := logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "priority": e.Priority, "begun": e.Begun, "waited_ms": waited.Milliseconds(),
		"beyond_room": e.BeyondRoom(),
	}
	if run != nil {
		fields["target"] = run.Target.GetAddress()
	}
	st.s.opts.Logger.Info(logging.StreamDequeued, fields)
}

func (st *stream) logFirstEvent(run *placement.Run, meta ResponseMetadata, now time.Time) {
	st.s.opts.Logger.Info(logging.StreamBegun, logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "target": run.Target.GetAddress(),
		"prompt_tokens": st.size.Prompt, "running": meta.Running, "waiting": meta.Waiting,
		"ms": now.Sub(st.dispatchedAt).Milliseconds(), "last_event": st.lastEvent,
	})
}

func (st *stream) logAttemptEnded(run *placement.Run, from *chicoryv1.ListedTarget, result attemptResult, cause error) {
	fields := logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "target": run.Target.GetAddress(),
		"ending": string(result.outcome), "status": result.status, "events": result.events, "last_event": st.lastEvent,
		"version": st.a.Version, "copy": from != nil, "ms": time.Since(st.a.ReceivedAt).Milliseconds(),
		"instance": run.Target.GetInstance(), "shared_parts": st.a.SharedParts, "key": st.a.loggedKey(),
	}
	if result.err != nil {
		fields["reason"] = result.err
	}
	if cause != nil {
		fields["cause"] = cause
	}
	st.s.opts.Logger.Warn(logging.AttemptEnded, fields)
}
