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
	// placementPrefix precedes the pool's name in the key of its placement lease.
	placementPrefix = "placement/"
	// weightLoadsPerSecond and weightLoadsBurst limit the model weight loads that
	// one lease holder starts.
	weightLoadsPerSecond = 0.2
	weightLoadsBurst     = 2
	// defaultSlots is assumed for an upstream whose table row gives no slots.
	defaultSlots = 8
)

// placement holds the managers of the pools that declare placements. Only the
// control loop uses it.
type placement struct {
	// revision is the tables revision that the managers were last updated to.
	revision int64
	managers map[string]*manager
	// wg counts the goroutines of the managers.
	wg sync.WaitGroup
}

// manager keeps the declared models loaded on the engines of one pool while this
// router holds the pool's lease.
type manager struct {
	lease  *leaser.Runner
	orders *orderer.Orderer
	stop   context.CancelFunc
	// held reports whether the lease was held at the last check.
	held bool
}

// updatePlacement passes changed tables, the members of the fleet and the loads
// of the upstreams to the managers.
func (c *control) updatePlacement(ctx context.Context) {
	p := &c.placement
	if p.revision != c.revision {
		p.revision = c.revision
		c.updateManagers(ctx)
	}
	if len(p.managers) == 0 {
		return
	}
	routers := c.view.Load().members
	members := make([]string, 0, len(routers))
	for _, m := range routers {
		members = append(members, m.Address())
	}
	loads := c.upstreamLoads()
	for name, m := range p.managers {
		m.lease.SetPosition(leaser.Position(placementPrefix+name, c.gossip.Address, members))
		m.orders.SetLoads(loads)
		c.logLeaseChange(name, m)
	}
}

// updateManagers starts a manager for each pool with placements that has none,
// and stops the managers of pools that are gone or no longer declare placements.
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
			Engines: &limitedEngines{Orderer: r.upstreams, permits: r.permits, program: r.programAt},
			Lease:   lease,
			Placer:  &placer.Placer{LoadLimiter: rate.NewLimiter(weightLoadsPerSecond, weightLoadsBurst)},
			OnOrder: r.logOrder,
		},
		stop: cancel,
	}
	c.placement.wg.Go(func() { lease.Run(ctx) })
	c.placement.wg.Go(func() { m.orders.Run(ctx) })
	return m
}

// logLeaseChange logs when this router acquires or loses the lease of a pool.
func (c *control) logLeaseChange(pool string, m *manager) {
	fence, _, err := m.lease.Holding()
	held := err == nil
	if held == m.held {
		return
	}
	m.held = held
	if held {
		c.router.Log.Log(logger.LeaseAcquired, "pool", pool, "fence", fence)
		return
	}
	c.router.Log.Log(logger.LeaseLost, "pool", pool)
}

// logOrder logs an order to an upstream: as failed if err is an error other than a
// cancellation, as sent otherwise.
func (r *Router) logOrder(o kingcuphook.Order, err error) {
	fields := []any{"upstream", o.Upstream(), "model", o.Model(), "generation", o.Generation(), "fence", o.Fence()}
	if err != nil && !errors.Is(err, context.Canceled) {
		r.Log.Log(logger.OrderFailed, append(fields, "error", err)...)
		return
	}
	r.Log.Log(logger.OrderSent, fields...)
}

// upstreamLoads returns the running and queued requests per slot of each
// upstream, by address.
func (c *control) upstreamLoads() map[string]float64 {
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
