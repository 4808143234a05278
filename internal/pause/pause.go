// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d. It reports false when ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
