// Package pauser provides a sleep that can be cancelled by a context.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends, and reports whether ctx is still active.
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
