// Package pauser waits for a time that a context can end.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d, or until ctx ends, and reports whether ctx is still alive.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
