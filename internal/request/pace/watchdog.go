package pace

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrSilent is the cause of a stream's end after a silence.
var ErrSilent = errors.New("the target is silent")

// maxLateness is how late a timer of a router that gets its processor time fires.
const maxLateness = 50 * time.Millisecond

// Watchdog cancels a stream that is silent beyond its bound. A router that was
// paused or is short of processor time finds its own timers late; what the engine
// sent meanwhile may wait to be read, so the stream gets its bound once more.
type Watchdog struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	bound time.Duration
	// due is when the stream has been silent for too long; zero while paused.
	due time.Time
}

// NewWatchdog starts to watch with a first bound.
func NewWatchdog(cancel context.CancelCauseFunc, bound time.Duration) *Watchdog {
	w := &Watchdog{cancel: cancel, bound: bound}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(bound)
	w.timer = time.AfterFunc(bound, w.fire)
	return w
}

// Expect sets how long the stream may be silent from now on.
func (w *Watchdog) Expect(bound time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bound = bound
	w.due = time.Now().Add(bound)
	w.timer.Reset(bound)
}

// Pause stops watching until the next Expect.
func (w *Watchdog) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Time{}
	w.timer.Stop()
}

func (w *Watchdog) fire() {
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
		w.cancel(ErrSilent)
	}
}
