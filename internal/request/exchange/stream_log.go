package exchange

import (
	"math"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
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
	st.s.opts.Logger.Info(event, fields)
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
