package placement

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

// SetSpeeds sets the estimates of how fast engines are. It must be called before the table is
// used; without it all engines count as equally fast.
func (e *EngineTable) SetSpeeds(t *speed.Table) { e.speeds = t }

// longGapPenalty exceeds the cost of the runs that an engine with free memory usually has.
const longGapPenalty = 1

// maxGapShare is the share of a route's longest gap above which the expected mean gap makes it
// likely that some gaps exceed it: prompts that the engine processes for other runs delay events by
// more than that.
const maxGapShare = 0.5

// slownessCost is what a run costs on an engine that is slower than usual, in addition to its load;
// it is negative if the engine is faster. Everything that delays the run takes longer there: the
// work that is at the engine, the run's own, and each of its events. load is the engine's load as a
// share of its memory.
func (e *EngineTable) slownessCost(x *engineState, load float64, w PlaceRequest, backup bool, now time.Time) float64 {
	address, instance := x.target.GetAddress(), x.target.GetInstance()
	factor := e.speeds.Factor(address, instance, now)
	if factor == 1 {
		return 0
	}
	own := float64(w.Size.Total())
	if !backup && !e.locations.contains(w.Prompt, x.target, now) {
		own += e.settings.UnreadPromptWeight * float64(w.Size.Prompt)
	}
	cost := (factor - 1) * (load + own/float64(x.capacity) + e.settings.PaceWeight)
	if factor > 1 && w.MaxEventGap > 0 && float64(e.speeds.Gap(address, instance, e.running(x, now)+1, now)) > maxGapShare*float64(w.MaxEventGap) {
		cost += longGapPenalty
	}
	return cost
}

// running estimates the number of runs of all entry VMs on an engine. The caller holds mu.
func (e *EngineTable) running(x *engineState, now time.Time) int {
	switch {
	case now.Sub(x.remoteRunsAt) < e.settings.MaxLoadAge:
		return x.runs + x.remoteRuns
	case now.Sub(e.remoteLoadsAt) < e.settings.MaxLoadAge && e.meanRunTokens > 0:
		return x.runs + int(float64(x.remoteLoad.GetTokens())/e.meanRunTokens+0.5)
	}
	return x.runs
}

// Running estimates the number of runs of all entry VMs on the engine.
func (r *Run) Running() int {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	return r.engines.running(r.engine, time.Now())
}

// IsOnlyPrompt reports whether the engine had no other prompt to process when the run was placed,
// so that the time to the first event shows how fast it is.
func (r *Run) IsOnlyPrompt() bool { return r.onlyPrompt }
