package router

import (
	"context"
	"time"

	"github.com/kingcuphook/kingcuphook/pauser"
)

const (
	// sweepInterval is the mean time between two sweeps of a watcher.
	sweepInterval = 24 * time.Hour
	// sweepTimeout bounds one sweep.
	sweepTimeout = 5 * time.Minute
)

// sweep deletes now and then, at random times, what failed edits left in the
// store. Only watchers do so.
func (r *Router) sweep(ctx context.Context) {
	random := r.newRand()
	for {
		if !pauser.Pause(ctx, sweepInterval/2+time.Duration(random.Int64N(int64(sweepInterval)))) {
			return
		}
		if r.control.watches() {
			r.sweepOnce(ctx)
		}
	}
}

func (r *Router) sweepOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	// What is left is found by a later sweep.
	_, _ = r.editor.Sweep(ctx)
}
