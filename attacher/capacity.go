package attacher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/autoscaler"
	"github.com/kingcuphook/kingcuphook/executor"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/tallier"
)

// minIncluded is the least share of the routers that a sum of loads must cover for upstreams to be given up.
const minIncluded = 0.9

// maxLoadAge is the age up to which a sum of loads is one. Idle upstreams have no entry in it.
const maxLoadAge = 1500 * time.Millisecond

// stepPerUpstream makes the decisions of a large fleet less frequent, so that they take less than a hundredth of a core.
const stepPerUpstream = 200 * time.Microsecond

// capacity orders the upstreams of the pools that are scaled, while this router holds the lease. It implements
// kingcuphook.DutyWorker.
type capacity struct {
	a *Attacher
	// scalers has the decisions by pool. Only the goroutine of the duties uses them.
	scalers map[string]*autoscaler.Autoscaler
	// next is the earliest time of the next decisions.
	next time.Time
	// counts has the counts by pool, for metrics; pools without a gauge have none yet.
	mu     sync.Mutex
	counts map[string]*capacityCounts
}

// capacityCounts are the numbers of upstreams of a pool as metrics have them. On-demand upstreams come first, then spot
// ones.
type capacityCounts struct {
	need                atomic.Int64
	desired, registered [2]atomic.Int64
}

var _ kingcuphook.DutyWorker = (*capacity)(nil)

func newCapacity(a *Attacher) *capacity {
	return &capacity{a: a, scalers: make(map[string]*autoscaler.Autoscaler), counts: make(map[string]*capacityCounts)}
}

// Acquired implements kingcuphook.DutyWorker. Earlier orders of other holders are unknown.
func (c *capacity) Acquired(time.Time) {
	clear(c.scalers)
	c.next = time.Time{}
}

// Step implements kingcuphook.DutyWorker.
func (c *capacity) Step(ctx context.Context, client kingcuphook.DutyClient) {
	tables := c.a.control.directory().Tables
	if tables == nil || time.Now().Before(c.next) {
		return
	}
	c.next = time.Now().Add(time.Duration(scaledUpstreams(tables)) * stepPerUpstream)
	var sum tallier.Sum
	if !c.a.control.do(ctx, func(now time.Time) { sum = c.a.control.loads.Sum(now, int(c.a.routers.Load())) }) {
		return
	}
	for name := range c.scalers {
		if p := tables.Pool(name); p == nil || !p.Autoscaling().Enabled() {
			delete(c.scalers, name)
		}
	}
	for _, p := range tables.Pools() {
		if p.Autoscaling().Enabled() && !c.scale(ctx, client, tables, p, sum) {
			return
		}
	}
}

// scaledUpstreams returns the number of upstreams of the pools that are scaled.
func scaledUpstreams(tables *kingcuphook.Tables) int {
	n := 0
	for _, p := range tables.Pools() {
		if p.Autoscaling().Enabled() {
			n += len(p.Upstreams())
		}
	}
	return n
}

// scale sends the orders of a pool. It returns false if no more orders can be sent now.
func (c *capacity) scale(ctx context.Context, client kingcuphook.DutyClient, tables *kingcuphook.Tables, p *kingcuphook.Pool, sum tallier.Sum) bool {
	s := c.scalers[p.Name()]
	if s == nil {
		s = &autoscaler.Autoscaler{Pool: p.Name()}
		c.scalers[p.Name()] = s
	}
	in := c.input(tables, p, sum)
	orders := s.Decide(time.Now(), in)
	c.count(s, in)
	for _, o := range orders {
		if ctx.Err() != nil {
			return false
		}
		err := client.SetCapacity(ctx, o)
		s.Record(time.Now(), o, err)
		c.log(s, o, err)
		if err != nil && !errors.Is(err, kingcuphook.ErrNoCapacity) {
			return false
		}
	}
	return true
}

func (c *capacity) log(s *autoscaler.Autoscaler, o kingcuphook.CapacityOrder, err error) {
	if errors.Is(err, executor.ErrWithheld) {
		return
	}
	if err != nil {
		c.a.Log.Log(logger.CapacityOrderFailed, "pool", o.Pool, "data-centre", o.DataCentre, "spot", o.Spot, "desired", o.Desired, "need", s.Need(), "error", err)
		return
	}
	c.a.Log.Log(logger.CapacityOrdered, "pool", o.Pool, "data-centre", o.DataCentre, "spot", o.Spot, "desired", o.Desired, "need", s.Need())
}

// input returns what the number of upstreams of a pool is decided by.
func (c *capacity) input(tables *kingcuphook.Tables, p *kingcuphook.Pool, sum tallier.Sum) autoscaler.Input {
	in := autoscaler.Input{
		Bounds:    p.Autoscaling(),
		Regions:   c.a.Settings.Regions(),
		HasLoad:   !sum.Made.IsZero() && time.Since(sum.Made) < maxLoadAge,
		IsPartial: float64(sum.Included) < minIncluded*float64(sum.Routers),
		TokenTime: c.a.prefills.tokenTime(p.Name()),
		Target:    shortestTarget(tables, p.Name()),
	}
	for _, u := range p.Upstreams() {
		load := sum.Loads[tallier.KeyOf(u)]
		in.IsPartial = in.IsPartial || u.Kind() == kingcuphook.UpstreamKindEngine && in.TokenTime == 0
		in.Upstreams = append(in.Upstreams, autoscaler.Upstream{
			Key: u.Program().Key(), DataCentre: u.DataCentre(), Region: u.Region(), Spot: u.Spot(), Leaving: u.Leaving(),
			Slots: u.Slots(), Running: load.Running, PrefillTokens: load.PrefillTokens,
		})
	}
	for t := kingcuphook.HighestTier; t <= p.LowestTier(); t++ {
		in.Queued += sum.Loads[tallier.WaitingKey(p.Name(), t)].Running
	}
	return in
}

// shortestTarget returns the shortest target of the streams for a pool: for the time to the first event or between two
// of them; 0 if there is none.
func shortestTarget(tables *kingcuphook.Tables, pool string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range tables.Routes() {
		for _, name := range r.Pools() {
			if name != pool || !r.Stream() {
				continue
			}
			for _, t := range []time.Duration{r.Target(), r.TokenTarget()} {
				if t > 0 && (shortest == 0 || t < shortest) {
					shortest = t
				}
			}
		}
	}
	return shortest
}

// count updates the metrics of a pool.
func (c *capacity) count(s *autoscaler.Autoscaler, in autoscaler.Input) {
	n := c.countsOf(s.Pool)
	n.need.Store(int64(s.Need()))
	registered := [2]int64{}
	for _, u := range in.Upstreams {
		if !u.Leaving {
			registered[kindIndex(u.Spot)]++
		}
	}
	for _, spot := range []bool{false, true} {
		n.desired[kindIndex(spot)].Store(int64(s.Desired(spot)))
		n.registered[kindIndex(spot)].Store(registered[kindIndex(spot)])
	}
}

func kindIndex(spot bool) int {
	if spot {
		return 1
	}
	return 0
}

// countsOf returns the counts of a pool, and adds its gauges at the first call.
func (c *capacity) countsOf(pool string) *capacityCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.counts[pool]; n != nil {
		return n
	}
	n := &capacityCounts{}
	c.counts[pool] = n
	gauge := func(name string, v *atomic.Int64) {
		c.a.meter.Gauge(name, func() float64 { return float64(v.Load()) })
	}
	gauge(fmt.Sprintf("kingcuphook_capacity_need{pool=%q}", pool), &n.need)
	for i, kind := range []string{"on-demand", "spot"} {
		gauge(fmt.Sprintf("kingcuphook_capacity_desired{pool=%q,kind=%q}", pool, kind), &n.desired[i])
		gauge(fmt.Sprintf("kingcuphook_capacity_registered{pool=%q,kind=%q}", pool, kind), &n.registered[i])
	}
	return n
}

// isScaled reports whether the number of upstreams of a pool is ordered.
func (a *Attacher) isScaled(pool string) bool {
	tables := a.control.directory().Tables
	if tables == nil {
		return false
	}
	p := tables.Pool(pool)
	return p != nil && p.Autoscaling().Enabled()
}
