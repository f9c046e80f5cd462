package router

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/permitter"
)

// runPermits sends the requests for permits to peers until ctx ends.
func (r *Router) runPermits(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	r.permits.Run(ctx, func(m permitter.Message) {
		wg.Go(func() { r.requestPermits(ctx, m) })
	})
}

// requestPermits sends a request for permits to a peer and handles the reply.
func (r *Router) requestPermits(ctx context.Context, m permitter.Message) {
	reply, err := r.peerClient.Permits(ctx, m.To, r.PeersAddress(), m.Payload)
	more := false
	if err == nil && len(reply) > 0 {
		_, more, err = r.permits.Receive(time.Now(), m.To, reply)
	}
	if err != nil {
		r.Log.Log(logger.PeerFailed, "peer", m.To, "error", err)
	}
	if more {
		r.allocator.Reassign()
	}
}

// Permits implements exchanger.Handler.
func (c *control) Permits(_ context.Context, sender string, message []byte) ([]byte, error) {
	reply, _, err := c.router.permits.Receive(time.Now(), sender, message)
	return reply, err
}

// logRateLimit logs a change of the rate limit of an upstream.
func (r *Router) logRateLimit(c permitter.Change) {
	r.Log.Log(logger.RateLimitChanged, c.LogFields()...)
}

// limitedEngines sends orders to engines and reads their state back, and keeps their rate
// limits. It is safe for concurrent use.
type limitedEngines struct {
	kingcuphook.Orderer

	permits *permitter.Permitter
	// program returns the program at an address, and false if it is not in the tables.
	program func(address string) (kingcuphook.Program, bool)

	mu sync.Mutex
	// loaded has the last states read, by program.
	loaded map[kingcuphook.Program]kingcuphook.Order
}

// Order implements kingcuphook.Orderer. The error wraps ErrUnavailable if there is no
// permit; the order is then given again later.
func (e *limitedEngines) Order(ctx context.Context, o kingcuphook.Order) error {
	p, known := e.program(o.Upstream())
	if known && !e.permits.Acquire(time.Now(), p, kingcuphook.HighestTier) {
		return fmt.Errorf("router: order to %s: no permit: %w", o.Upstream(), kingcuphook.ErrUnavailable)
	}
	return e.Orderer.Order(ctx, o)
}

// Loaded implements kingcuphook.Orderer. Without a permit it returns the last state read.
func (e *limitedEngines) Loaded(ctx context.Context, u *kingcuphook.Upstream) (kingcuphook.Order, error) {
	p := u.Program()
	if !e.permits.Acquire(time.Now(), p, kingcuphook.LowestDeclaredTier) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if o, ok := e.loaded[p]; ok {
			return o, nil
		}
		return kingcuphook.Order{}, fmt.Errorf("router: state of %s: no permit: %w", u.Address(), kingcuphook.ErrUnavailable)
	}
	o, err := e.Orderer.Loaded(ctx, u)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		delete(e.loaded, p)
		return o, err
	}
	if e.loaded == nil {
		e.loaded = make(map[kingcuphook.Program]kingcuphook.Order)
	}
	e.loaded[p] = o
	return o, nil
}

// programAt returns the program at an address in the current tables, and false if there is
// none.
func (r *Router) programAt(address string) (kingcuphook.Program, bool) {
	for _, p := range r.follower.Tables().Pools() {
		for _, u := range p.Upstreams() {
			if u.Address() == address {
				return u.Program(), true
			}
		}
	}
	return kingcuphook.Program{}, false
}
