package router

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook/pauser"
)

const (
	// maxSharers is the largest fleet whose routers share suspects through the
	// store as well: each has a waiting watch there.
	maxSharers = 64
	// sharerCheck is how often the size of the fleet is looked at.
	sharerCheck = 10 * time.Second
)

// share tells the other routers of the suspects known here, through the store
// and directly, and returns when they know.
func (r *Router) share(ctx context.Context) {
	var wg sync.WaitGroup
	if r.fleetSize() <= maxSharers {
		wg.Go(func() { r.sharer.Share(ctx) })
	}
	wg.Go(func() { r.control.share(ctx) })
	wg.Wait()
}

// shareThroughStore takes the suspects of others from the store while the fleet
// is small.
func (r *Router) shareThroughStore(ctx context.Context) {
	for ctx.Err() == nil {
		if r.fleetSize() <= maxSharers {
			r.shareWhileSmall(ctx)
			continue
		}
		pauser.Pause(ctx, sharerCheck)
	}
}

func (r *Router) shareWhileSmall(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(sharerCheck)
	defer ticker.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.sharer.Run(ctx)
	}()
	for {
		select {
		case <-ticker.C:
			if r.fleetSize() > maxSharers {
				cancel()
				<-ended
				return
			}
		case <-ended:
			return
		}
	}
}

// fleetSize returns the number of routers known.
func (r *Router) fleetSize() int { return len(r.control.view.Load().members) }
