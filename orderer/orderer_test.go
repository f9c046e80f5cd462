package orderer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/leaser"
	"github.com/kingcuphook/kingcuphook/orderer"
	"github.com/kingcuphook/kingcuphook/placer"
)

const (
	reloadTime = 20 * time.Second
	// settleTime is how long a new lease holder adopts the models that the engines
	// report before it assigns others.
	settleTime = 30 * time.Second
	// correctTime is the specified time within which a late order is corrected: the
	// reload that it causes, the reload of the correction, and, for each of up to
	// four lost corrections, the time until the repeat plus two rounds.
	correctTime = 2*reloadTime + 4*(30*time.Second+10*time.Second)
)

// engine is the state of a fake upstream: the model that it serves, the one that
// it is loading until ready, and the last order that it accepted.
type engine struct {
	checks bool
	model  string
	next   string
	ready  time.Time
	order  kingcuphook.Order
	// staleSince is when it began to follow a late order of an earlier lease
	// holder; zero if it follows none.
	staleSince time.Time
}

// engines implements kingcuphook.Orderer for fake upstreams.
type engines struct {
	mu  sync.Mutex
	rng *rand.Rand
	all map[string]*engine
	// highest is the highest fencing number of any lease holder; since is the time
	// at which it was first seen.
	highest int64
	since   time.Time
	// late is the share of model changes that arrive late, as those of a suspended
	// lease holder do; lost is the share of orders whose reply is lost.
	late, lost float64
	// lateOrders counts the model changes of earlier lease holders accepted more
	// than 30 s after the settle time of the current one; rejected counts the
	// orders rejected for their fencing number.
	lateOrders, rejected int
	problem              string
	wg                   sync.WaitGroup
}

func (e *engines) Order(ctx context.Context, o kingcuphook.Order) error {
	e.mu.Lock()
	late := e.rng.Float64() < e.late && o.Model() != e.all[o.Upstream()].model
	lost := e.rng.Float64() < e.lost
	e.mu.Unlock()
	if late {
		e.wg.Go(func() {
			time.Sleep(150 * time.Second)
			_ = e.receive(o, false)
		})
		<-ctx.Done()
		return kingcuphook.ErrOutcomeUnknown
	}
	time.Sleep(3 * time.Millisecond)
	return e.receive(o, lost)
}

func (e *engines) receive(o kingcuphook.Order, lost bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.accept(e.all[o.Upstream()], o); err != nil {
		return err
	}
	if lost {
		return kingcuphook.ErrOutcomeUnknown
	}
	return nil
}

func (e *engines) accept(u *engine, o kingcuphook.Order) error {
	if u.checks && o.Fence() < u.order.Fence() {
		e.rejected++
		return kingcuphook.ErrStaleFence
	}
	switch {
	case o.Fence() > e.highest:
		e.setHighest(o.Fence())
	case o.Fence() == e.highest:
		u.staleSince = time.Time{}
	case o.Model() == u.follows() || u.follows() == "":
		// A late order that doesn't replace another model is harmless.
	case time.Since(e.since) > settleTime+30*time.Second:
		e.lateOrders++
		u.staleSince = time.Now()
	}
	u.order = o
	if o.Model() != u.model || u.next != "" {
		u.next = o.Model()
		u.ready = time.Now().Add(reloadTime)
	}
	return nil
}

func (e *engines) Loaded(_ context.Context, u *kingcuphook.Upstream) (kingcuphook.Order, error) {
	time.Sleep(3 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.all[u.Address()]
	g.settle()
	return kingcuphook.NewOrder(kingcuphook.OrderFields{
		Upstream: u.Address(), Model: g.model, Generation: g.order.Generation(), Fence: g.order.Fence(),
	}), nil
}

// setHighest records the fencing number of a new lease holder. It adopts the
// models of the engines, so none of them counts as stale any more.
func (e *engines) setHighest(fence int64) {
	if fence <= e.highest {
		return
	}
	e.highest = fence
	e.since = time.Now()
	for _, g := range e.all {
		g.staleSince = time.Time{}
	}
}

// follows returns the model that is being loaded, or else the one served.
func (g *engine) follows() string {
	if g.next != "" {
		return g.next
	}
	return g.model
}

func (g *engine) settle() {
	if g.next != "" && !time.Now().Before(g.ready) {
		g.model, g.next = g.next, ""
	}
}

func (e *engines) count(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, g := range e.all {
		g.settle()
		if g.model == model && g.next == "" {
			n++
		}
	}
	return n
}

func pool(checks bool) *kingcuphook.Pool {
	upstreams := make([]*kingcuphook.Upstream, 6)
	for i := range upstreams {
		upstreams[i] = kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: fmt.Sprintf("10.1.0.%d:80", i), Region: "luzon", DataCentre: "luzon-1",
			Kind: kingcuphook.UpstreamKindEngine, ChecksFence: checks,
		})
	}
	return kingcuphook.NewPool(kingcuphook.PoolFields{
		Name: "p", Upstreams: upstreams, MaxReloading: 2,
		Placements: []kingcuphook.PlacementFields{
			{Model: "a", Region: "luzon", Min: 1, Max: 4},
			{Model: "b", Region: "luzon", Min: 1, Max: 4},
		},
	})
}

func newEngines(p *kingcuphook.Pool, seed uint64) *engines {
	e := &engines{rng: rand.New(rand.NewPCG(seed, 9)), all: make(map[string]*engine)}
	for _, u := range p.Upstreams() {
		e.all[u.Address()] = &engine{checks: u.ChecksFence()}
	}
	return e
}

// holder is one process that competes for the lease: a lease runner and an
// orderer.
type holder struct {
	lease   *leaser.Runner
	orderer *orderer.Orderer
}

func newHolder(s kingcuphook.Store, e *engines, p *kingcuphook.Pool, i int) *holder {
	l := &leaser.Runner{Store: s, Leaser: &leaser.Leaser{
		Key: "leases/p", Owner: fmt.Sprintf("10.0.0.%d:7000", i), Rand: rand.New(rand.NewPCG(uint64(i), 1)),
	}}
	l.SetPosition(i)
	o := &orderer.Orderer{Engines: e, Lease: l, Placer: &placer.Placer{Settle: settleTime}}
	o.SetPool(p)
	return &holder{lease: l, orderer: o}
}

// Late orders of earlier lease holders must not take effect at engines that check
// fencing numbers, and must be corrected in time at those that don't.
func TestLateOrdersAreRejectedOrCorrected(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for seed := range uint64(25) {
			t.Run(fmt.Sprintf("checks=%v/%d", checks, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkHolders(t, checks, seed) })
			})
		}
	}
}

// checkHolders runs three competing processes for an hour while demand shifts
// between two models, leases are lost, orders arrive late and replies are lost.
// Afterwards, without faults, the number of engines of each model must be within
// its bounds.
func checkHolders(t *testing.T, checks bool, seed uint64) {
	is := is.New(t)
	p := pool(checks)
	e := newEngines(p, seed)
	e.late, e.lost = 0.3, 0.2
	store := &storer.Store{}
	rng := rand.New(rand.NewPCG(seed, 4))
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	holders := make([]*holder, 3)
	for i := range holders {
		h := newHolder(store, e, p, i)
		holders[i] = h
		wg.Go(func() { h.lease.Run(ctx) })
		wg.Go(func() { h.orderer.Run(ctx) })
	}
	for round := range 720 {
		time.Sleep(5 * time.Second)
		a := 4.0 * float64(round/60%2)
		for _, h := range holders {
			h.orderer.SetDemand("luzon", "a", a)
			h.orderer.SetDemand("luzon", "b", 4-a)
			if fence, _, err := h.lease.Holding(); err == nil {
				e.mu.Lock()
				e.setHighest(fence)
				e.mu.Unlock()
			}
		}
		if rng.IntN(20) == 0 {
			loseLeases(t, store)
		}
		e.watch(checks)
	}
	e.mu.Lock()
	e.late, e.lost = 0, 0
	e.mu.Unlock()
	time.Sleep(15 * time.Minute)
	t.Logf("late orders: %d, rejected orders: %d", e.lateOrders, e.rejected)
	is.Equal(e.problem, "")
	is.True(!checks || e.lateOrders == 0) // by then engines have the new fencing number and reject lower ones
	is.True(e.count("a") >= 1 && e.count("a") <= 4)
	is.True(e.count("b") >= 1 && e.count("b") <= 4)
	stop()
	wg.Wait()
	e.wg.Wait()
}

// loseLeases deletes the key of the lease, like an expiry that the holder has not
// detected yet.
func loseLeases(t *testing.T, s *storer.Store) {
	err := s.Delete(t.Context(), "leases/p", kingcuphook.RevisionAny)
	if err != nil && !errors.Is(err, kingcuphook.ErrNotFound) {
		t.Fatal(err)
	}
}

// watch records a problem if an engine that ignores fencing numbers has followed a
// late order for longer than correctTime.
func (e *engines) watch(checks bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for a, g := range e.all {
		if !g.staleSince.IsZero() && !checks && time.Since(g.staleSince) > correctTime {
			e.problem = fmt.Sprintf("%s follows a late order for %v", a, time.Since(g.staleSince))
		}
	}
}

// A new lease holder waits for OrderTimeout before it orders engines that ignore
// fencing numbers, since orders of the earlier holder could still arrive there.
func TestNewHolderWaitsForEnginesWithoutFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := pool(checks)
			e := newEngines(p, 1)
			h := newHolder(&storer.Store{}, e, p, 0)
			ctx, stop := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { h.lease.Run(ctx) })
			wg.Go(func() { h.orderer.Run(ctx) })
			time.Sleep(9 * time.Second)
			e.mu.Lock()
			ordered := e.highest > 0 // an order was received
			e.mu.Unlock()
			is.Equal(ordered, checks)
			time.Sleep(time.Minute)
			is.True(e.count("a") >= 1)
			stop()
			wg.Wait()
		})
	}
}

// Engines that check fencing numbers receive that of a new lease holder even if
// their model doesn't change, and so reject late orders of the earlier holder.
func TestNewHolderRaisesFenceOfEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := pool(true)
		e := newEngines(p, 1)
		for _, g := range e.all {
			g.model = "a"
		}
		h := newHolder(&storer.Store{}, e, p, 0)
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { h.lease.Run(ctx) })
		wg.Go(func() { h.orderer.Run(ctx) })
		time.Sleep(settleTime + 15*time.Second)
		fence, _, err := h.lease.Holding()
		is.NoErr(err)
		for _, g := range e.all {
			is.Equal(g.order.Fence(), fence) // orders with lower numbers are rejected
		}
		stop()
		wg.Wait()
	})
}
