package placement

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Run is one generation placed on an engine. Release must be called when it ends.
type Run struct {
	Target *chicoryv1.ListedTarget
	// EngineLost is closed when any run of this VM finds the engine lost.
	EngineLost <-chan struct{}

	engines      *EngineTable
	engine       *engineState
	size         Size
	unreadTokens int
	onlyPrompt   bool
	prompt       string
	firstEvent   bool
	released     bool
}

// SetReportedRuns records the load that the engine reported in a response. slots is 0 if it states none.
func (r *Run) SetReportedRuns(running, waiting, slots int) {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	now := time.Now()
	r.engine.remoteRuns = max(running-r.engine.runs, 0)
	r.engine.remoteRunsAt = now
	r.engine.lastSeen = now
	r.engines.setReport(r.engine, running, waiting, slots, now)
}

// SetProbedRuns records the load that the engine reported in response to a probe.
func (r *Run) SetProbedRuns(running, waiting int) {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	r.engines.setReport(r.engine, running, waiting, r.engine.report.slots, time.Now())
}

// HasFirstEvent reports whether the engine has sent an event.
func (r *Run) HasFirstEvent() bool {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	return r.firstEvent
}

// MarkPromptRead records that the engine has processed the prompt, which its first event
// shows.
func (r *Run) MarkPromptRead() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	if !r.firstEvent && r.prompt != "" {
		r.engines.locations.addLocal(r.prompt, r.Target, time.Now())
	}
	r.firstEvent = true
	r.endPrompt()
	r.engine.losses = 0
	r.engines.freedHere()
}

// MarkLost records that the engine was lost: it notifies the other runs on the engine and
// starts its cooldown.
func (r *Run) MarkLost() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	r.engines.markLost(r.engine)
}

func (e *EngineTable) markLost(x *engineState) {
	now := time.Now()
	if now.Before(x.avoidUntil) {
		return
	}
	cooldown := min(e.settings.LossCooldown<<min(x.losses, maxDoublings), e.settings.MaxLossCooldown)
	x.avoidUntil = now.Add(cooldown)
	x.losses++
	e.recordZoneLoss(x, now)
	close(x.lost)
	x.lost = make(chan struct{})
}

// recordZoneLoss records the loss of an engine for the other engines of its zone. The caller holds mu.
func (e *EngineTable) recordZoneLoss(x *engineState, now time.Time) {
	zone := x.target.GetAvailabilityZone()
	e.zoneLosses[zone] = now
	recent := e.recentLosses[zone]
	if recent.at.IsZero() || now.Sub(recent.at) > massLossTime {
		recent = recentLosses{at: now, addresses: map[string]bool{}}
	}
	recent.addresses[x.target.GetAddress()] = true
	e.recentLosses[zone] = recent
	if len(recent.addresses) >= massLossEngines {
		e.massLosses[zone] = now
	}
}

// PathLost records that this VM has lost its path to the engine at address, which other VMs reach:
// runs there that wait for their first event may move, and its losses were none.
func (e *EngineTable) PathLost(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.byAddress[address]
	if x == nil {
		return
	}
	close(x.lost)
	x.lost = make(chan struct{})
	x.avoidUntil, x.losses = time.Time{}, 0
}

// MarkStale records that another instance than the listed one responded at the engine's
// address.
func (r *Run) MarkStale() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	now := time.Now()
	r.engine.avoidUntil = now.Add(r.engines.settings.StaleCooldown)
	r.engines.zoneLosses[r.engine.target.GetAvailabilityZone()] = now
}

// maxDoublings keeps the cooldown from overflowing.
const maxDoublings = 10

// Release removes the run from the engine's load. Repeated calls have no effect.
func (r *Run) Release() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	if r.firstEvent {
		r.engine.refusedUntil = time.Time{} // this run leaves its slot
	}
	r.engine.runs--
	r.engine.report.endedSince++
	r.engine.runTokens -= r.size.Total()
	r.endPrompt()
	r.engines.freedHere()
}

// endPrompt removes the prompt from those that the engine has yet to process. The caller holds mu.
func (r *Run) endPrompt() {
	if r.unreadTokens > 0 {
		r.engine.unreadTokens -= r.unreadTokens
		r.engine.unreadPrompts--
	}
	r.unreadTokens = 0
}
