package exchange

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
)

func (st *stream) logPlaced(run *placement.Run, d Dispatch) {
	event := logging.StreamPlaced
	if st.sent+st.refused > 0 {
		event = logging.StreamResumed
		st.s.metrics.resumed.Inc(1)
	}
	st.s.opts.Logger.Info(event, logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "target": run.Target.GetAddress(),
		"instance": run.Target.GetInstance(), "backup": d.BackupTo, "from": d.ContinueFrom,
		"last_event": st.last, "prompt_tokens": st.size.Prompt, "tried": len(st.tried),
	})
}

func (st *stream) logBegun(run *placement.Run, reply Reply, now time.Time) {
	st.s.opts.Logger.Info(logging.StreamBegun, logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "target": run.Target.GetAddress(),
		"prompt_tokens": st.size.Prompt, "running": reply.Running, "waiting": reply.Waiting,
		"ms": now.Sub(st.placedAt).Milliseconds(), "last_event": st.last,
	})
}

func (st *stream) logEnded(run *placement.Run, from *chicoryv1.ListedTarget, end runEnd, cause error) {
	fields := logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "target": run.Target.GetAddress(),
		"ending": string(end.ending), "status": end.status, "events": end.events, "last_event": st.last,
		"copy": from != nil, "ms": time.Since(st.a.Arrived).Milliseconds(),
	}
	if end.err != nil {
		fields["reason"] = end.err
	}
	if cause != nil {
		fields["cause"] = cause
	}
	st.s.opts.Logger.Warn(logging.AttemptEnded, fields)
}
