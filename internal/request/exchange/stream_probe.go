package exchange

import (
	"context"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
)

// firstProbeDelay is the time without a first event after which the engine is probed. It is longer
// for a slow engine.
func (st *stream) firstProbeDelay(d Dispatch) time.Duration {
	s := st.s.opts.Settings
	if d.ContinueFrom != "" {
		return slowerBy(st.slowness, s.FirstEventTimeout)
	}
	return slowerBy(st.slowness, s.FirstEventTimeout+time.Duration(float64(st.size.Prompt)/s.PromptTokensPerSecond*float64(time.Second)))
}

// firstEventTimeout is the longest wait for the first event, even if probes find the
// engine alive.
func (st *stream) firstEventTimeout(d Dispatch) time.Duration {
	s := st.s.opts.Settings
	if d.ContinueFrom != "" {
		return st.firstProbeDelay(d)
	}
	return st.firstProbeDelay(d) + time.Duration(s.MaxProbes)*s.ProbeInterval
}

// probeEngine probes the engine from delay on until the first event arrives. If the engine does not work on
// the request, new runs avoid it, and the attempt is given up once the stream can continue
// elsewhere, unless a later probe finds the engine at work.
func (st *stream) probeEngine(ctx context.Context, g *attemptGuard, run *placement.Run, delay time.Duration) {
	s := st.s.opts.Settings
	for wait := delay; pause.For(ctx, wait) && !run.HasFirstEvent(); {
		if !st.s.opts.Limits.Take(run.Target.GetAddress()) {
			wait = s.ProbeInterval // a probe is a request as well
			continue
		}
		alive := st.probe(ctx, run)
		if ctx.Err() != nil || run.HasFirstEvent() {
			return
		}
		wait = s.ProbeInterval
		if !alive {
			wait = s.GiveUpInterval
			g.onSilence()
		}
	}
}

// probe reports whether the engine responds and may work on the request.
func (st *stream) probe(ctx context.Context, run *placement.Run) bool {
	ctx, stop := context.WithTimeout(ctx, st.s.opts.Settings.ProbeTimeout)
	defer stop()
	report, err := st.s.opts.Prober.Report(ctx, run.Target.GetAddress(), st.a.ID)
	if err == nil {
		run.SetProbedRuns(report.Running, report.Waiting)
	}
	alive := err == nil && report.mayHaveRequest()
	st.s.opts.Logger.Info(logging.EngineProbed, logging.Fields{
		"request": st.a.ID, "target": run.Target.GetAddress(), "alive": alive, "reason": err,
		"holds": report.HasRequest, "generating": report.Generating, "running": report.Running, "waiting": report.Waiting,
		"ms": time.Since(st.dispatchedAt).Milliseconds(),
	})
	return alive
}

// silenceBounds returns the bounds of the learned silence timeout for the route. A slow engine may
// be silent for longer, but not until the longest gap.
func (st *stream) silenceBounds() pace.TimeoutBounds {
	s := st.s.opts.Settings
	gap := st.maxEventGap()
	limit := time.Duration(max(s.MaxSilenceShare, maxSlowSilenceShare) * float64(gap))
	return pace.TimeoutBounds{
		Min: min(slowerBy(st.slowness, time.Duration(s.MinSilenceShare*float64(gap))), limit),
		Max: min(slowerBy(st.slowness, time.Duration(s.MaxSilenceShare*float64(gap))), limit),
	}
}

// maxEventGap is the longest gap between events that the caller considers timely.
func (st *stream) maxEventGap() time.Duration {
	if gap := st.a.Route.MaxEventGap; gap != 0 {
		return gap
	}
	return st.s.opts.Settings.DefaultMaxEventGap
}
