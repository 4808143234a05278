package pace

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrSilenceTimeout is the cancellation cause of a stream that exceeded its silence
// timeout.
var ErrSilenceTimeout = errors.New("the target is silent")

// maxTimerDelay is the largest delay with which a timer fires while the router gets
// enough processor time.
const maxTimerDelay = 50 * time.Millisecond

// recheckInterval is the time after which a stream that is still silent is reported again.
const recheckInterval = 250 * time.Millisecond

// Watchdog reports a stream that is silent for longer than its timeout. If the router was
// paused or is short of processor time, its own timers fire late, and data that the
// engine sent in the meantime may still wait to be read. A timer that fires late
// therefore restarts the timeout.
type Watchdog struct {
	// onSilence reports whether the stream was given up.
	onSilence func() bool

	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	timeout time.Duration
	// deadline is when the current silence times out; zero while paused.
	deadline time.Time
	// left is how much of the timeout was left when the watchdog was paused.
	left time.Duration
}

// NewWatchdog starts a watchdog with an initial timeout. It cancels the stream with the cause
// ErrSilenceTimeout.
func NewWatchdog(cancel context.CancelCauseFunc, timeout time.Duration) *Watchdog {
	return NewWatchdogFunc(func() bool {
		cancel(ErrSilenceTimeout)
		return true
	}, timeout)
}

// NewWatchdogFunc starts a watchdog with an initial timeout. It calls onSilence, which must not
// call the watchdog, every recheckInterval until onSilence returns true or the silence ends.
func NewWatchdogFunc(onSilence func() bool, timeout time.Duration) *Watchdog {
	w := &Watchdog{onSilence: onSilence, timeout: timeout}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = time.Now().Add(timeout)
	w.timer = time.AfterFunc(timeout, w.onTimer)
	return w
}

// Reset restarts the timeout with a new duration.
func (w *Watchdog) Reset(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout = timeout
	w.deadline = time.Now().Add(timeout)
	w.timer.Reset(timeout)
}

// Pause stops the timeout until the next Reset.
func (w *Watchdog) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = time.Until(w.deadline)
	w.deadline = time.Time{}
	w.timer.Stop()
}

// Resume continues the silence that Pause interrupted.
func (w *Watchdog) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = time.Now().Add(w.left)
	w.timer.Reset(w.left)
}

func (w *Watchdog) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadline.IsZero() {
		return
	}
	delay := time.Since(w.deadline)
	switch {
	case delay < 0: // the deadline moved while this call waited for the lock
	case delay > maxTimerDelay:
		w.deadline = time.Now().Add(w.timeout)
		w.timer.Reset(w.timeout)
	default:
		if !w.onSilence() {
			w.deadline = time.Now().Add(recheckInterval)
			w.timer.Reset(recheckInterval)
		}
	}
}
