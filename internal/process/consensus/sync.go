package consensus

import (
	"context"
)

// signal wakes one goroutine; signals that come before it looks are merged.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) set() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// ioLock is a mutex whose holder may wait for the disk.
type ioLock chan struct{}

func newIOLock() ioLock { return make(ioLock, 1) }

func (l ioLock) lock(ctx context.Context) error {
	select {
	case l <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l ioLock) unlock() { <-l }
