// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true. It returns false early if ctx ends first.
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
