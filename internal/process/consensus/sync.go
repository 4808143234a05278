package consensus

import (
	"context"
)

// signal wakes one goroutine. Notifications before the goroutine receives are merged
// into one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// contextMutex is a mutex whose lock method gives up when a context ends, since its
// holder may wait for the disk.
type contextMutex chan struct{}

func newContextMutex() contextMutex { return make(contextMutex, 1) }

func (l contextMutex) lock(ctx context.Context) error {
	select {
	case l <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l contextMutex) unlock() { <-l }
