package generation

import (
	"context"
	"sync"
	"time"
)

// maxLateness is how late a timer of a router that gets its processor time fires.
const maxLateness = 50 * time.Millisecond

// watchdog cancels a stream that is silent beyond its bound. A router that was
// paused or is short of processor time finds its own timers late; what the engine
// sent meanwhile may wait to be read, so the stream gets its bound once more.
type watchdog struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	bound time.Duration
	// due is when the stream has been silent for too long; zero while paused.
	due time.Time
}

// newWatchdog starts to watch with a first bound.
func newWatchdog(cancel context.CancelCauseFunc, bound time.Duration) *watchdog {
	w := &watchdog{cancel: cancel, bound: bound}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(bound)
	w.timer = time.AfterFunc(bound, w.fire)
	return w
}

// expect sets how long the stream may be silent from now on.
func (w *watchdog) expect(bound time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bound = bound
	w.due = time.Now().Add(bound)
	w.timer.Reset(bound)
}

// pause stops watching until the next expect.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Time{}
	w.timer.Stop()
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.due.IsZero() {
		return
	}
	late := time.Since(w.due)
	switch {
	case late < 0: // moved while this firing waited for the lock
	case late > maxLateness:
		w.due = time.Now().Add(w.bound)
		w.timer.Reset(w.bound)
	default:
		w.cancel(errSilent)
	}
}
