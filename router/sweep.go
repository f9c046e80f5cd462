package router

import (
	"context"
	"time"

	"github.com/kingcuphook/kingcuphook/pauser"
)

const (
	// sweepInterval is the mean time between two sweeps of the store by a router
	// that watches it.
	sweepInterval = 24 * time.Hour
	// sweepTimeout limits one sweep.
	sweepTimeout = 5 * time.Minute
)

// sweep deletes what failed edits left in the store, at random intervals. Only
// routers that watch the store do so.
func (r *Router) sweep(ctx context.Context) {
	random := r.newRand()
	for {
		if !pauser.Pause(ctx, sweepInterval/2+time.Duration(random.Int64N(int64(sweepInterval)))) {
			return
		}
		if r.control.isWatcher() {
			r.sweepOnce(ctx)
		}
	}
}

func (r *Router) sweepOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	// A later sweep deletes what this one misses.
	_, _ = r.editor.Sweep(ctx)
}
