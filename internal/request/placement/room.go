package placement

import (
	"time"

	"github.com/juju/errors"
)

// ErrNoRoom means that no engine has room for a run, although some could be selected for it.
const ErrNoRoom = errors.ConstError("no engine has room")

const (
	// maxUnreadPrompts is the number of prompts that may be unprocessed at an engine before it has no room
	// for another one: the one that it processes. Another one waits, so that the engine is not idle between
	// two prompts.
	maxUnreadPrompts = 1
	// minUnreadTokens is the number of unprocessed prompt tokens below which their number of prompts does
	// not matter. An engine processes some 5 tokens per ms, so they take less than half a second.
	minUnreadTokens = 2000
	// maxReportAge is the age from which a report of an engine says nothing of its room: runs of other
	// VMs may have been placed since, which loads state after 100 to 200 ms.
	maxReportAge = 500 * time.Millisecond
	// refusalLifetime is the time for which an engine that has refused a run has no room: until the runs of other VMs
	// that take it are known.
	refusalLifetime = 300 * time.Millisecond
)

// report is the load that an engine stated.
type report struct {
	at                      time.Time
	running, waiting, slots int
	// placedSince and endedSince count the runs of this VM that began and ended since.
	placedSince, endedSince int
}

// runs is the number of runs at the engine as far as this VM knows.
func (r report) runs() int { return max(r.running+r.waiting+r.placedSince-r.endedSince, 0) }

// setReport records the load that an engine stated. The caller holds mu.
func (e *EngineTable) setReport(x *engineState, running, waiting, slots int, now time.Time) {
	x.report = report{at: now, running: running, waiting: waiting, slots: slots}
	x.refusedUntil = time.Time{}
	e.notifyRoom()
}

// MarkRefused records that the engine has refused the run, for want of room as far as this VM knows.
func (r *Run) MarkRefused() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	r.engine.refusedUntil = time.Now().Add(refusalLifetime)
}

// Room returns a channel that receives a value when an engine may have become free since the last one: a run or
// a backup has ended, a prompt has been processed, or the loads of other VMs or the list have changed.
func (e *EngineTable) Room() <-chan struct{} { return e.room }

// Freed counts how often engines, also those that are still full, became free of a run, a backup or a prompt.
type Freed struct {
	// Here counts those of this VM, Elsewhere the reports of other VMs and the changes of the list.
	Here, Elsewhere uint64
}

// Freed returns the counts since the table was created.
func (e *EngineTable) Freed() Freed {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.freed
}

// freedHere records that an engine has less load of this VM. The caller holds mu.
func (e *EngineTable) freedHere() {
	e.freed.Here++
	e.notifyRoom()
}

// freedElsewhere records that an engine may have less load for another reason. The caller holds mu.
func (e *EngineTable) freedElsewhere() {
	e.freed.Elsewhere++
	e.notifyRoom()
}

// CountRoom returns the number of engines that have room for a run.
func (e *EngineTable) CountRoom(w PlaceRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, now := 0, time.Now()
	for _, x := range e.byService[w.Service] {
		if isEligible(x, w) && !now.Before(x.avoidUntil) && e.hasRoom(x, w, now) {
			n++
		}
	}
	return n
}

func (e *EngineTable) notifyRoom() {
	select {
	case e.room <- struct{}{}:
	default: // it will be seen together with an earlier one
	}
}

// HasRoom reports whether an engine has room for a run, or whether Place fails or selects one in cooldown because
// there is no other. If all are excluded, the run may go to any of them.
func (e *EngineTable) HasRoom(w PlaceRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasRoomFor(w, time.Now())
}

// IsPromptKnown reports whether an engine may have processed a prompt, so that a run with it needs less room there.
func (e *EngineTable) IsPromptKnown(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.locations.isKnown(prompt, time.Now())
}

// hasRoomFor implements HasRoom. It ends at the first engine with room. The caller holds mu.
func (e *EngineTable) hasRoomFor(w PlaceRequest, now time.Time) bool {
	usable := false
	for _, x := range e.byService[w.Service] {
		if !isEligible(x, w) || now.Before(x.avoidUntil) {
			continue
		}
		usable = true
		if e.hasRoom(x, w, now) {
			return true
		}
	}
	if !usable && len(w.Exclude) > 0 {
		w.Exclude = nil
		return e.hasRoomFor(w, now)
	}
	return !usable
}

// preferRoom returns the engines that have room for a run, or all if none has. The caller holds mu.
func (e *EngineTable) preferRoom(engines []*engineState, w PlaceRequest, now time.Time) []*engineState {
	var free []*engineState
	for _, x := range engines {
		if !now.Before(x.avoidUntil) && e.hasRoom(x, w, now) {
			free = append(free, x)
		}
	}
	if len(free) == 0 {
		return engines
	}
	return free
}

// hasRoom reports whether an engine has a free slot, memory for the run at its end, and few enough prompts to
// process. An engine that recently stated a load at which it has room does, whatever other VMs or
// earlier runs are believed to use. The caller holds mu.
func (e *EngineTable) hasRoom(x *engineState, w PlaceRequest, now time.Time) bool {
	if now.Before(x.refusedUntil) {
		return false
	}
	runs, prompts, backups := e.load(x, now)
	memory := maxMemoryShare*float64(x.capacity) - float64(w.Size.Total())
	fresh := now.Sub(x.report.at) < maxReportAge
	usual := max(e.meanRunTokens, float64(w.Size.Total()), 1) // of a run
	if fresh && e.reportsRoom(x, memory-backups, usual) {
		return true
	}
	if slots := e.slots(x); slots > 0 {
		running := float64(x.runs) + (runs-float64(x.runTokens))/usual
		if fresh {
			running = float64(x.report.runs())
		}
		if running > float64(slots)-0.5 {
			return false
		}
	}
	if runs+backups > max(memory, 0) {
		return false
	}
	if prompts < minUnreadTokens || e.locations.contains(w.Prompt, x.target, now) {
		return true
	}
	remotePrompts := (prompts - float64(x.unreadTokens)) / max(e.meanPromptTokens, float64(w.Size.Prompt), 1)
	return float64(x.unreadPrompts)+remotePrompts < maxUnreadPrompts+0.5
}

// reportsRoom reports whether the last report of an engine shows room: no request waits there, and with the runs
// placed since, there are free slots and memory for runs of the usual size. The caller holds mu.
func (e *EngineTable) reportsRoom(x *engineState, memory, usual float64) bool {
	r := x.report
	slots := e.slots(x)
	if slots == 0 || r.waiting > 0 || r.placedSince > maxUnreadPrompts || r.runs() >= slots {
		return false
	}
	return r.runs() == 0 || float64(r.runs())*usual <= memory
}

// slots returns how many runs an engine executes concurrently, or 0 if that isn't known.
func (e *EngineTable) slots(x *engineState) int {
	if x.report.slots > 0 {
		return x.report.slots
	}
	return int(x.target.GetSlots())
}
