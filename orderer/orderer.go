// Package orderer gives orders to the engines of one pool while this router
// holds the pool's lease, reads back what the engines follow and corrects what
// differs.
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
	// maxReads bounds the upstreams read back in a round.
	maxReads = 16
)

// Lease tells whether orders may be given. *leaser.Runner implements it.
type Lease interface {
	// Holding returns the fencing number and until when orders may be given,
	// or an error that wraps ErrLeaseLost.
	Holding() (fence int64, until time.Time, err error)
	// Refused takes a fencing number that an upstream holds against the
	// holder's.
	Refused(fence int64)
}

// Orderer keeps the engines of one pool at what its placer wants. Its exported
// fields are set before Run. SetPool, SetDemand and SetLoads are safe for
// concurrent use.
type Orderer struct {
	// Engines takes the orders; never nil.
	Engines kingcuphook.Orderer
	// Lease guards the pool; never nil.
	Lease Lease
	// Placer decides; never nil. It belongs to the Orderer.
	Placer *placer.Placer
	// Interval is the time between two rounds of reading back; 0 means 5 s.
	Interval time.Duration
	// OrderTimeout is the longest time from when an order is sent until it has
	// taken effect or never will. A new holder waits that long before it orders
	// an upstream that ignores fencing numbers; 0 means 10 s.
	OrderTimeout time.Duration
	// Ordered, if set, is called after each order for the audit trail.
	Ordered func(o kingcuphook.Order, err error)

	mu sync.Mutex
	// pool is the pool in force; nil before the first.
	pool *kingcuphook.Pool
	// fence is the fencing number of the current holding and since when; 0 when
	// not holding.
	fence int64
	since time.Time
	// seen holds what each upstream followed when it was last read back.
	seen map[string]kingcuphook.Order
	// next is the position in the pool after the upstream read back last.
	next int
}

// SetPool takes the pool in force.
func (o *Orderer) SetPool(p *kingcuphook.Pool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool = p
	o.Placer.Update(p)
}

// SetDemand takes the load of a model in a region, as the number of runners
// that it would fill.
func (o *Orderer) SetDemand(region, model string, runners float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Placer.SetDemand(time.Now(), region, model, runners)
}

// SetLoads takes how full the engines are, as the share of its slots that each
// uses or that wait at it, by address. It is ignored while the lease is not
// held.
func (o *Orderer) SetLoads(shares map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fence == 0 {
		// Only the holder decides, and it begins with what it finds.
		return
	}
	o.Placer.SetLoad(time.Now(), shares)
}

// Run reads back and orders until ctx ends.
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

// round reads all upstreams back and gives the orders due.
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
		delete(o.seen, m.Upstream().Address())
	}
	orders = append(orders, o.claims(now, due)...)
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

// claims returns an order for each upstream just read back that has not yet
// seen the fencing number. It changes nothing there but that orders of earlier holders are
// refused from then on: the model ordered is the one it follows, or none.
func (o *Orderer) claims(now time.Time, read []*kingcuphook.Upstream) []kingcuphook.Order {
	if !o.Placer.Settled(now) {
		return nil
	}
	var orders []kingcuphook.Order
	for _, u := range read {
		got, ok := o.seen[u.Address()]
		if ok && u.ChecksFence() && got.Fence() < o.fence {
			orders = append(orders, o.newOrder(u, got.Model(), got.Generation()))
		}
	}
	return orders
}

// begin returns the upstreams of the pool if this router holds the lease.
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

// allowed reports whether an upstream may be ordered now. Orders of an earlier
// holder may still be on their way to one that ignores fencing numbers.
func (o *Orderer) allowed(now time.Time, u *kingcuphook.Upstream) bool {
	wait := o.OrderTimeout
	if wait == 0 {
		wait = defaultOrderTimeout
	}
	return u.ChecksFence() || now.Sub(o.since) >= wait
}

// due returns the engines to be read back in this round: those that are urgent,
// then the others in turn.
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
	// Urgent ones that never answer must not keep the others from their turn.
	due = due[:min(len(due), maxReads/2+max(0, maxReads/2-len(others)))]
	due = append(due, others[:min(len(others), maxReads-len(due))]...)
	if len(due) > 0 {
		o.next = slices.Index(upstreams, due[len(due)-1]) + 1
	}
	return due
}

// readBack asks engines what they follow.
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
		delete(o.seen, u.Address())
		o.Placer.ReadFailed(u.Address())
		return
	}
	if o.seen == nil {
		o.seen = make(map[string]kingcuphook.Order)
	}
	o.seen[u.Address()] = got
	o.Placer.Observe(u.Address(), got.Model(), got.Generation())
}

// order gives one order if the lease is still held. The call ends before the
// lease can.
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
		o.exceed(ctx, order.Upstream())
	}
	if o.Ordered != nil {
		o.Ordered(order, err)
	}
}

// exceed tells the lease which fencing number the upstream has seen.
func (o *Orderer) exceed(ctx context.Context, address string) {
	o.mu.Lock()
	u := o.upstream(address)
	o.mu.Unlock()
	if u == nil {
		return
	}
	got, err := o.Engines.Loaded(ctx, u)
	if err == nil {
		o.Lease.Refused(got.Fence())
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
