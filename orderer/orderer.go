// Package orderer assigns models to the engines of one pool while this process
// holds the pool's lease. It reads the state of the engines back and repeats or
// corrects orders that have not taken effect.
package orderer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/placer"
)

const (
	defaultInterval     = 5 * time.Second
	defaultOrderTimeout = 10 * time.Second
	// callTimeout bounds one call to an upstream.
	callTimeout = 2 * time.Second
	// maxReads bounds the number of upstreams read back in one round.
	maxReads = 16
)

// Lease is the pool's lease; only its holder may issue orders. *leaser.Runner
// implements it.
type Lease interface {
	// Holding returns the fencing number and the time until which orders may be
	// issued, or an error that wraps ErrLeaseLost.
	Holding() (fence int64, until time.Time, err error)
	// Rejected records the fencing number that an upstream reported after it had
	// rejected an order as stale.
	Rejected(fence int64)
}

// Orderer makes the engines of one pool serve the models that its placer assigns to
// them. Its exported fields are set before Run. SetPool, SetDemand and SetLoads are
// safe for concurrent use.
type Orderer struct {
	// Engines sends orders to the engines and reads their state; never nil.
	Engines kingcuphook.Orderer
	// Lease is the lease of the pool; never nil.
	Lease Lease
	// Placer assigns models to engines; never nil. Nothing else may use it.
	Placer *placer.Placer
	// Interval is the time between two rounds; 0 means 5 s.
	Interval time.Duration
	// OrderTimeout is the longest time after which a sent order can still take
	// effect. A new lease holder waits that long before it sends orders to an
	// upstream that ignores fencing numbers; 0 means 10 s.
	OrderTimeout time.Duration
	// OnOrder, if set, is called with the result of each order sent, for the audit
	// trail.
	OnOrder func(o kingcuphook.Order, err error)

	mu sync.Mutex
	// pool is the current pool; nil before the first SetPool.
	pool *kingcuphook.Pool
	// fence is the fencing number of the lease as held by this process, 0 when
	// it doesn't hold the lease; since is the time at which fence was set.
	fence int64
	since time.Time
	// lastRead holds the order that each upstream reported when it was last read
	// back, by address. Upstreams whose last read failed, and those with a newer
	// order, are missing.
	lastRead map[string]kingcuphook.Order
	// next is the index in the pool after the upstream read back last.
	next int
}

// SetPool sets the current pool.
func (o *Orderer) SetPool(p *kingcuphook.Pool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool = p
	o.Placer.Update(p)
}

// SetDemand sets the load of a model in a region, as the number of runners that
// it would fill.
func (o *Orderer) SetDemand(region, model string, runners float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Placer.SetDemand(time.Now(), region, model, runners)
}

// SetLoads sets the load of the engines by address, as running and queued
// requests relative to the slots of each. The call is ignored while this process
// doesn't hold the lease.
func (o *Orderer) SetLoads(shares map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fence == 0 {
		// Only the lease holder assigns models, and a new holder starts from the
		// state that it reads from the engines.
		return
	}
	o.Placer.SetLoad(time.Now(), shares)
}

// Run reads the engines back and issues orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	interval := o.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		o.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// round reads up to maxReads engines back and issues the orders that are due.
func (o *Orderer) round(ctx context.Context) {
	upstreams := o.begin(time.Now())
	if upstreams == nil {
		return
	}
	due := o.due(upstreams)
	o.readBack(ctx, due)
	o.mu.Lock()
	now := time.Now()
	moves := o.Placer.Plan(now, func(u *kingcuphook.Upstream) bool { return o.allowed(now, u) })
	orders := make([]kingcuphook.Order, 0, len(moves))
	for _, m := range moves {
		orders = append(orders, o.newOrder(m.Upstream(), m.Model(), m.Generation()))
		delete(o.lastRead, m.Upstream().Address())
	}
	orders = append(orders, o.fenceUpdates(now, due)...)
	o.mu.Unlock()
	for _, order := range orders {
		o.order(ctx, order)
	}
}

func (o *Orderer) newOrder(u *kingcuphook.Upstream, model string, generation int64) kingcuphook.Order {
	return kingcuphook.NewOrder(kingcuphook.OrderFields{
		Upstream:   u.Address(),
		Model:      model,
		Generation: generation,
		Fence:      o.fence,
	})
}

// fenceUpdates returns an order for each of the given upstreams that checks
// fencing numbers and reported a lower one than the current. The order repeats
// the model that the upstream reported, or none; its only effect is that the
// upstream rejects orders of earlier lease holders from then on.
func (o *Orderer) fenceUpdates(now time.Time, read []*kingcuphook.Upstream) []kingcuphook.Order {
	if !o.Placer.Settled(now) {
		return nil
	}
	var orders []kingcuphook.Order
	for _, u := range read {
		got, ok := o.lastRead[u.Address()]
		if ok && u.ChecksFence() && got.Fence() < o.fence {
			orders = append(orders, o.newOrder(u, got.Model(), got.Generation()))
		}
	}
	return orders
}

// begin returns the upstreams of the pool if this process holds the lease, else
// nil. It resets the placer when the lease was acquired with a new fencing number.
func (o *Orderer) begin(now time.Time) []*kingcuphook.Upstream {
	fence, _, err := o.Lease.Holding()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.fence = 0
		return nil
	}
	if fence != o.fence {
		o.fence = fence
		o.since = now
		o.Placer.Reset(now)
	}
	if o.pool == nil {
		return nil
	}
	return o.pool.Upstreams()
}

// allowed reports whether orders may be sent to an upstream now. An upstream that
// ignores fencing numbers could still receive a delayed order of an earlier lease
// holder, so orders to it wait for OrderTimeout.
func (o *Orderer) allowed(now time.Time, u *kingcuphook.Upstream) bool {
	wait := o.OrderTimeout
	if wait == 0 {
		wait = defaultOrderTimeout
	}
	return u.ChecksFence() || now.Sub(o.since) >= wait
}

// due returns the engines to read back in this round: first the urgent ones, then
// the others round-robin.
func (o *Orderer) due(upstreams []*kingcuphook.Upstream) []*kingcuphook.Upstream {
	o.mu.Lock()
	defer o.mu.Unlock()
	var due, others []*kingcuphook.Upstream
	for i := range upstreams {
		u := upstreams[(o.next+i)%len(upstreams)]
		switch {
		case u.Kind() != kingcuphook.UpstreamKindEngine:
		case o.Placer.Urgent(u.Address()):
			due = append(due, u)
		default:
			others = append(others, u)
		}
	}
	// Urgent engines get no more than half of the reads while others are waiting, so
	// that unresponsive ones don't starve the rest.
	due = due[:min(len(due), maxReads/2+max(0, maxReads/2-len(others)))]
	due = append(due, others[:min(len(others), maxReads-len(due))]...)
	if len(due) > 0 {
		o.next = slices.Index(upstreams, due[len(due)-1]) + 1
	}
	return due
}

// readBack reads the state of the given engines concurrently.
func (o *Orderer) readBack(ctx context.Context, upstreams []*kingcuphook.Upstream) {
	var g errgroup.Group
	for _, u := range upstreams {
		g.Go(func() error {
			o.read(ctx, u)
			return nil
		})
	}
	_ = g.Wait() // The functions return no error.
}

func (o *Orderer) read(ctx context.Context, u *kingcuphook.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got, err := o.Engines.Loaded(ctx, u)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		delete(o.lastRead, u.Address())
		o.Placer.ReadFailed(u.Address())
		return
	}
	if o.lastRead == nil {
		o.lastRead = make(map[string]kingcuphook.Order)
	}
	o.lastRead[u.Address()] = got
	o.Placer.Observe(u.Address(), got.Model(), got.Generation())
}

// order sends one order if the lease is still held with the order's fencing
// number. The call is cancelled when the lease expires, if not before.
func (o *Orderer) order(ctx context.Context, order kingcuphook.Order) {
	fence, until, err := o.Lease.Holding()
	if err != nil || fence != order.Fence() {
		return
	}
	deadline := time.Now().Add(callTimeout)
	if until.Before(deadline) {
		deadline = until
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err = o.Engines.Order(ctx, order)
	if errors.Is(err, kingcuphook.ErrStaleFence) {
		o.reportNewerFence(ctx, order.Upstream())
	}
	if o.OnOrder != nil {
		o.OnOrder(order, err)
	}
}

// reportNewerFence reads the fencing number of an upstream that rejected an order
// as stale and passes it to the lease.
func (o *Orderer) reportNewerFence(ctx context.Context, address string) {
	o.mu.Lock()
	u := o.upstream(address)
	o.mu.Unlock()
	if u == nil {
		return
	}
	got, err := o.Engines.Loaded(ctx, u)
	if err == nil {
		o.Lease.Rejected(got.Fence())
	}
}

// upstream returns the upstream of the pool with the given address, or nil.
func (o *Orderer) upstream(address string) *kingcuphook.Upstream {
	for _, u := range o.pool.Upstreams() {
		if u.Address() == address {
			return u
		}
	}
	return nil
}
