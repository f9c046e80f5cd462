package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/placer"
)

const reloadTime = 20 * time.Second

// engine simulates a runner. While it loads the next model it serves nothing, but
// still reports the old one.
type engine struct {
	model      string
	generation int64
	next       string
	ready      time.Time
	// unreachable engines don't answer; stuck ones never finish their reload and
	// don't count as reloading.
	unreachable, stuck bool
}

// cluster runs a placer against simulated engines in virtual time.
type cluster struct {
	t       testing.TB
	now     time.Time
	p       *placer.Placer
	pool    *kingcuphook.Pool
	engines map[string]*engine
	// served holds the declared models that were served at least once.
	served map[string]bool
	// loseOrder reports whether the next order gets lost.
	loseOrder func() bool
	loads     int
}

func newCluster(t testing.TB, n, maxReloading int, placements ...kingcuphook.PlacementFields) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1_000_000, 0), p: &placer.Placer{},
		engines: make(map[string]*engine), served: make(map[string]bool),
		loseOrder: func() bool { return false },
	}
	upstreams := make([]*kingcuphook.Upstream, n)
	for i := range n {
		a := fmt.Sprintf("10.1.0.%d:80", i)
		c.engines[a] = &engine{}
		upstreams[i] = kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: a, Region: "cairo", DataCentre: "cairo-1", Kind: kingcuphook.UpstreamKindEngine,
		})
	}
	c.declare(upstreams, maxReloading, placements)
	return c
}

func (c *cluster) declare(upstreams []*kingcuphook.Upstream, maxReloading int, placements []kingcuphook.PlacementFields) {
	c.pool = kingcuphook.NewPool(kingcuphook.PoolFields{
		Name: "p", Upstreams: upstreams, Placements: placements, MaxReloading: maxReloading,
	})
	c.p.Update(c.pool)
}

func declared(model string, least, most int) kingcuphook.PlacementFields {
	return kingcuphook.PlacementFields{Model: model, Region: "cairo", Min: least, Max: most}
}

// run advances the time by d in rounds of 5 s and checks the invariants in each.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(5 * time.Second)
		c.round()
	}
}

func (c *cluster) round() {
	for a, e := range c.engines {
		if e.next != "" && !c.now.Before(e.ready) {
			e.model, e.next = e.next, ""
		}
		if e.unreachable {
			c.p.ReadFailed(a)
			continue
		}
		c.p.Observe(a, e.model, e.generation)
	}
	for _, m := range c.p.Plan(c.now, nil) {
		if !c.loseOrder() {
			c.order(m)
		}
	}
	c.check()
}

func (c *cluster) order(m placer.Move) {
	e := c.engines[m.Upstream().Address()]
	if e.next == m.Model() || e.next == "" && e.model == m.Model() {
		return
	}
	c.loads++
	e.generation = m.Generation()
	e.next = m.Model()
	e.ready = c.now.Add(reloadTime)
}

func (c *cluster) check() {
	reloading := 0
	for _, e := range c.engines {
		if e.next != "" && !e.unreachable && !e.stuck {
			reloading++
		}
	}
	if reloading > c.pool.MaxReloading() {
		c.t.Fatalf("%d runners are reloading at once", reloading)
	}
	for _, f := range c.pool.Placements() {
		n := c.count(f.Model)
		if n > 0 {
			c.served[f.Model] = true
		}
		if n == 0 && c.served[f.Model] {
			c.t.Fatalf("no runner serves model %s any more", f.Model)
		}
	}
}

func (c *cluster) count(model string) int {
	n := 0
	for _, e := range c.engines {
		if e.model == model && e.next == "" && !e.unreachable {
			n++
		}
	}
	return n
}

func TestDeclaredRunnerCountsAreReached(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 12, 1, declared("a", 4, 8), declared("b", 2, 4))
	c.run(10 * time.Minute)
	is.Equal(c.count("a"), 4)
	is.Equal(c.count("b"), 2)
}

func TestDemandMovesRunnersWithinTheBounds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, 1, declared("a", 1, 5), declared("b", 1, 5))
	demand := func(d time.Duration, a, b float64) {
		for end := c.now.Add(d); c.now.Before(end); {
			c.p.SetDemand(c.now, "cairo", "a", a)
			c.p.SetDemand(c.now, "cairo", "b", b)
			c.run(5 * time.Second)
		}
	}
	demand(30*time.Minute, 9, 0.2)
	is.Equal(c.count("a"), 5) // no more than declared
	is.Equal(c.count("b"), 1) // no fewer than declared
	demand(90*time.Minute, 0.2, 9)
	is.Equal(c.count("a"), 1)
	is.Equal(c.count("b"), 5)
	loads := c.loads
	for range 60 {
		demand(20*time.Second, 0.2, 9)
		demand(20*time.Second, 3, 0.1)
	}
	is.Equal(c.loads, loads) // short changes of demand move nothing
}

func TestWrongModelAfterRestartIsCorrected(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 1, declared("a", 2, 2), declared("b", 1, 1))
	c.run(5 * time.Minute)
	for _, e := range c.engines {
		if e.model == "a" {
			e.model, e.generation = "other", 0
			break
		}
	}
	c.run(time.Minute)
	is.Equal(c.count("a"), 2)
}

func TestLeavingRunnerIsReplacedAndNotOrdered(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 1, declared("a", 2, 2))
	c.run(5 * time.Minute)
	upstreams := slices.Clone(c.pool.Upstreams())
	i := slices.IndexFunc(upstreams, func(u *kingcuphook.Upstream) bool { return c.engines[u.Address()].model == "a" })
	f := upstreams[i].Fields()
	f.Leaving = true
	upstreams[i] = kingcuphook.NewUpstream(f)
	c.declare(upstreams, 1, c.pool.Placements())
	before := c.engines[f.Address].generation
	c.run(5 * time.Minute)
	is.Equal(c.count("a"), 3) // two besides the leaving one
	is.Equal(c.engines[f.Address].generation, before)
}

func TestLoadsStayWithinTheRateLimit(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 20, 20, declared("a", 10, 10), declared("b", 10, 10))
	c.p.LoadLimiter = rate.NewLimiter(rate.Every(time.Minute), 2)
	c.run(5 * time.Minute)
	is.True(c.loads <= 2+5)
	is.True(c.count("a") > 0 && c.count("b") > 0) // models without a serving runner come first
}

func TestStuckReloadDoesNotStopThePool(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, 1, declared("a", 2, 2))
	c.round()
	for _, e := range c.engines {
		if e.next != "" {
			e.ready = c.now.Add(24 * time.Hour)
			e.stuck = true
		}
	}
	c.run(15 * time.Minute)
	is.Equal(c.count("a"), 2)
}

func TestLastRunnerOfAModelIsNotTaken(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1, declared("a", 0, 2), declared("b", 0, 2))
	c.engines["10.1.0.0:80"].model = "a"
	c.engines["10.1.0.1:80"].model = "b"
	for range 30 {
		c.p.SetDemand(c.now, "cairo", "b", 5)
		c.run(10 * time.Second)
	}
	is.Equal(c.p.Want("cairo", "b"), 2)
	is.Equal(c.count("a"), 1)
}

func TestNewHolderWaitsForOrdersOfPreviousHolder(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 1, declared("a", 0, 3), declared("b", 0, 3))
	c.engines["10.1.0.0:80"].model = "a"
	c.engines["10.1.0.1:80"].model = "b"
	// The old holder has ordered this one to serve b; it still reports a.
	c.engines["10.1.0.2:80"].model = "a"
	c.engines["10.1.0.2:80"].next = "b"
	c.engines["10.1.0.2:80"].ready = c.now.Add(100 * time.Second)
	for range 10 {
		c.p.SetDemand(c.now, "cairo", "b", 9)
		c.now = c.now.Add(10 * time.Second)
	}
	c.p.Reset(c.now.Add(-100 * time.Second))
	c.now = c.now.Add(-100 * time.Second)
	c.run(10 * time.Minute)
	is.Equal(c.count("a"), 1)
	is.Equal(c.count("b"), 2)
}

// TestPlacementUnderFaults changes declarations and demand, resets the placer and
// loses orders at random. The invariants are checked in every round.
func TestPlacementUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 5))
		c := newCluster(t, 8, 2, declared("a", 2, 6), declared("b", 1, 4), declared("c", 1, 2))
		c.loseOrder = func() bool { return rng.Float64() < 0.2 }
		c.run(15 * time.Minute)
		for range 30 {
			for _, m := range []string{"a", "b", "c"} {
				c.p.SetDemand(c.now, "cairo", m, 6*rng.Float64())
			}
			c.run(time.Duration(rng.IntN(90)) * time.Second)
			if rng.IntN(3) == 0 {
				c.p.Reset(c.now)
			}
			if rng.IntN(5) == 0 {
				c.declare(c.pool.Upstreams(), 2, []kingcuphook.PlacementFields{
					declared("a", 1+rng.IntN(3), 5), declared("b", 1+rng.IntN(2), 4), declared("c", rng.IntN(2), 2),
				})
			}
			c.run(time.Minute)
		}
		c.run(30 * time.Minute)
		for _, f := range c.pool.Placements() {
			if n := c.count(f.Model); n < f.Min || n > f.Max {
				t.Fatalf("seed %d: %d runners serve model %s, declared %d to %d", seed, n, f.Model, f.Min, f.Max)
			}
		}
	}
}
