package exchange

import (
	"context"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
)

// firstEventBound is the time without an event after which the engine is asked
// whether it is alive.
func (st *stream) firstEventBound(d Dispatch) time.Duration {
	s := st.s.opts.Settings
	if d.ContinueFrom != "" {
		return s.FirstEvent
	}
	return s.FirstEvent + time.Duration(float64(st.size.Prompt)/s.PromptRate*float64(time.Second))
}

// firstEventLimit is the longest wait for the first event, however alive the engine is.
func (st *stream) firstEventLimit(d Dispatch) time.Duration {
	s := st.s.opts.Settings
	if d.ContinueFrom != "" {
		return s.FirstEvent
	}
	return st.firstEventBound(d) + time.Duration(s.MaxProbes)*s.ProbeInterval
}

// probe asks the engine whether it works on the request while no event comes, and
// gives it up if it doesn't.
func (st *stream) probe(ctx context.Context, cancel context.CancelCauseFunc, run *placement.Run, d Dispatch) {
	s := st.s.opts.Settings
	for wait := st.firstEventBound(d); pause.For(ctx, wait) && !run.HasBegun(); wait = s.ProbeInterval {
		probeCtx, stop := context.WithTimeout(ctx, s.ProbeTimeout)
		report, err := st.s.opts.Prober.Report(probeCtx, run.Target.GetAddress(), st.a.ID)
		stop()
		if ctx.Err() != nil || run.HasBegun() {
			return
		}
		alive := err == nil && report.mayHold()
		st.s.opts.Logger.Info(logging.EngineProbed, logging.Fields{
			"request": st.a.ID, "target": run.Target.GetAddress(), "alive": alive, "reason": err,
			"holds": report.Holds, "generating": report.Generating, "running": report.Running, "waiting": report.Waiting,
			"ms": time.Since(st.placedAt).Milliseconds(),
		})
		if !alive {
			cancel(pace.ErrSilent)
			return
		}
	}
}

// bounds limits the learned silence by what the route's callers accept.
func (st *stream) bounds() pace.Bounds {
	s := st.s.opts.Settings
	gap := st.a.Route.MaxEventGap
	if gap == 0 {
		gap = s.DefaultEventGap
	}
	return pace.Bounds{
		Min: time.Duration(s.MinSilenceShare * float64(gap)),
		Max: time.Duration(s.MaxSilenceShare * float64(gap)),
	}
}
