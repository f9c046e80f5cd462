package router

import (
	"context"
	"errors"
	"sync"

	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/leaser"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/orderer"
	"github.com/kingcuphook/kingcuphook/placer"
)

const (
	// placementPrefix is before the name of a pool in the key of its lease.
	placementPrefix = "placement/"
	// weightLoadsPerSecond and weightLoadsBurst bound the loads of weights that
	// one holder begins.
	weightLoadsPerSecond = 0.2
	weightLoadsBurst     = 2
	// defaultSlots stands for the slots of an upstream whose row gives none.
	defaultSlots = 8
)

// placement has the managers of the pools that declare placements. It belongs
// to the control loop.
type placement struct {
	// revision is that of the tables that the managers follow.
	revision int64
	managers map[string]*manager
	// running counts the goroutines of the managers.
	running sync.WaitGroup
}

// manager keeps the engines of one pool at the declared models, while this
// router holds the pool's lease.
type manager struct {
	lease  *leaser.Runner
	orders *orderer.Orderer
	stop   context.CancelFunc
	// holds says that the lease was held when last looked at.
	holds bool
}

// place hands tables, members and loads to the managers.
func (c *control) place(ctx context.Context) {
	p := &c.placement
	if p.revision != c.revision {
		p.revision = c.revision
		c.updateManagers(ctx)
	}
	if len(p.managers) == 0 {
		return
	}
	known := c.view.Load().members
	members := make([]string, 0, len(known))
	for _, m := range known {
		members = append(members, m.Address())
	}
	loads := c.loads()
	for name, m := range p.managers {
		m.lease.SetPosition(leaser.Position(placementPrefix+name, c.gossip.Address, members))
		m.orders.SetLoads(loads)
		c.noteLease(name, m)
	}
}

// updateManagers starts the managers of pools with placements and stops those
// of other pools.
func (c *control) updateManagers(ctx context.Context) {
	p := &c.placement
	tables := c.router.follower.Tables()
	for _, pool := range tables.Pools() {
		if len(pool.Placements()) == 0 {
			continue
		}
		if p.managers == nil {
			p.managers = make(map[string]*manager)
		}
		if p.managers[pool.Name()] == nil {
			p.managers[pool.Name()] = c.newManager(ctx, pool.Name())
		}
		p.managers[pool.Name()].orders.SetPool(pool)
	}
	for name, m := range p.managers {
		if pool := tables.Pool(name); pool == nil || len(pool.Placements()) == 0 {
			m.stop()
			delete(p.managers, name)
		}
	}
}

func (c *control) newManager(ctx context.Context, pool string) *manager {
	ctx, cancel := context.WithCancel(ctx)
	r := c.router
	lease := &leaser.Runner{
		Store:  r.platform,
		Leaser: &leaser.Leaser{Key: placementPrefix + pool, Owner: r.PeersAddress(), Rand: r.newRand()},
	}
	m := &manager{
		lease: lease,
		orders: &orderer.Orderer{
			Engines: r.upstreams,
			Lease:   lease,
			Placer:  &placer.Placer{LoadLimiter: rate.NewLimiter(weightLoadsPerSecond, weightLoadsBurst)},
			OnOrder: r.ordered,
		},
		stop: cancel,
	}
	c.placement.running.Go(func() { lease.Run(ctx) })
	c.placement.running.Go(func() { m.orders.Run(ctx) })
	return m
}

// noteLease logs when the lease of a pool is taken or lost.
func (c *control) noteLease(pool string, m *manager) {
	fence, _, err := m.lease.Holding()
	holds := err == nil
	if holds == m.holds {
		return
	}
	m.holds = holds
	if holds {
		c.router.Log.Log(logger.LeaseTaken, "pool", pool, "fence", fence)
		return
	}
	c.router.Log.Log(logger.LeaseLost, "pool", pool)
}

// ordered logs an order.
func (r *Router) ordered(o kingcuphook.Order, err error) {
	fields := []any{"upstream", o.Upstream(), "model", o.Model(), "generation", o.Generation(), "fence", o.Fence()}
	if err != nil && !errors.Is(err, context.Canceled) {
		r.Log.Log(logger.OrderFailed, append(fields, "error", err)...)
		return
	}
	r.Log.Log(logger.OrderGiven, fields...)
}

// loads returns how full the upstreams are, by address.
func (c *control) loads() map[string]float64 {
	loads := make(map[string]float64, len(c.reports))
	for a, l := range c.reports {
		u := c.upstreams[a]
		if u == nil {
			continue
		}
		slots := u.Slots()
		if slots == 0 {
			slots = defaultSlots
		}
		loads[a] = float64(l.Running()+l.Queued()) / float64(slots)
	}
	return loads
}
