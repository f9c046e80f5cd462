package router

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook/dispatcher"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/narrator"
	"github.com/kingcuphook/kingcuphook/pauser"
)

const (
	// maxStoreSharingRouters is the largest fleet whose routers share suspects and
	// quarantines through the store as well, because each router keeps a watch open
	// there.
	maxStoreSharingRouters = 64
	// fleetSizeCheckInterval is how often the size of the fleet is checked.
	fleetSizeCheckInterval = 10 * time.Second
)

// shareSuspects sends the suspects and quarantines to other routers, directly and, in
// a small fleet, through the store. It returns once both have finished or ctx has
// ended.
func (r *Router) shareSuspects(ctx context.Context) {
	var wg sync.WaitGroup
	if r.fleetSize() <= maxStoreSharingRouters {
		wg.Go(func() { r.sharer.Share(ctx) })
	}
	wg.Go(func() { r.control.shareSuspects(ctx) })
	wg.Wait()
}

// receiveStoreSuspects receives the suspects and quarantines of other routers from the
// store whenever the fleet is small enough, until ctx ends.
func (r *Router) receiveStoreSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		if r.fleetSize() <= maxStoreSharingRouters {
			r.runSharerWhileSmall(ctx)
			continue
		}
		pauser.Pause(ctx, fleetSizeCheckInterval)
	}
}

// runSharerWhileSmall runs the sharer until the fleet exceeds
// maxStoreSharingRouters or ctx ends.
func (r *Router) runSharerWhileSmall(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(fleetSizeCheckInterval)
	defer ticker.Stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.sharer.Run(ctx)
	}()
	for {
		select {
		case <-ticker.C:
			if r.fleetSize() > maxStoreSharingRouters {
				cancel()
				<-done
				return
			}
		case <-done:
			return
		}
	}
}

// fleetSize returns the number of routers in the published view.
func (r *Router) fleetSize() int { return len(r.control.view.Load().members) }

// partChanged logs a change of the state of a prompt part, clears the requests of the crashes that
// it explains and tells the peers.
func (r *Router) partChanged(e isolator.Entry) {
	narrator.LogPart(r.Log)(e)
	dispatcher.Explain(r.quarantine)(e)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		defer cancel()
		r.shareSuspects(ctx)
	}()
}
