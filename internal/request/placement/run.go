package placement

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Run is a place at an engine. End must be called once.
type Run struct {
	Target *chicoryv1.ListedTarget
	// Lost is closed when any run of this VM finds the engine lost.
	Lost <-chan struct{}

	engines *Engines
	engine  *engine
	size    Size
	unread  int
	prompt  string
	begun   bool
	ended   bool
}

// Stated takes in the number of runs that the engine stated in an answer.
func (r *Run) Stated(running int) {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	now := time.Now()
	r.engine.others = max(running-r.engine.runs, 0)
	r.engine.statedAt = now
	r.engine.aliveAt = now
}

// HasBegun reports whether the engine has sent an event.
func (r *Run) HasBegun() bool {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	return r.begun
}

// PromptRead notes that the engine has read the prompt: it sent an event.
func (r *Run) PromptRead() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	if !r.begun && r.prompt != "" {
		r.engines.places.addOwn(r.prompt, r.Target, time.Now())
	}
	r.begun = true
	r.engine.prompts -= r.unread
	r.unread = 0
	r.engine.losses = 0
}

// MarkLost notes that the engine was lost: other runs there are told, and it gets no
// new work for a while.
func (r *Run) MarkLost() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	r.engines.markLost(r.engine)
}

func (e *Engines) markLost(x *engine) {
	now := time.Now()
	if now.Before(x.avoidUntil) {
		return
	}
	pause := min(e.settings.LostPause<<min(x.losses, maxDoublings), e.settings.MaxLostPause)
	x.avoidUntil = now.Add(pause)
	x.losses++
	e.zoneLosses[x.target.GetAvailabilityZone()] = now
	close(x.lost)
	x.lost = make(chan struct{})
}

// MarkStale notes that the engine at the address is another start than the list says.
func (r *Run) MarkStale() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	now := time.Now()
	r.engine.avoidUntil = now.Add(r.engines.settings.StalePause)
	r.engines.zoneLosses[r.engine.target.GetAvailabilityZone()] = now
}

// maxDoublings keeps the pause from overflowing.
const maxDoublings = 10

// End frees the place.
func (r *Run) End() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.engine.runs--
	r.engine.tokens -= r.size.Total()
	r.engine.prompts -= r.unread
	r.unread = 0
}
