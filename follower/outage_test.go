package follower

import (
	"flag"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/editor"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/parser"
)

// FleetNodes is the number of routers in the larger fleets.
var FleetNodes = flag.Int("fleet-nodes", 63, "number of routers in the larger fleets; the design size is 1,100")

const (
	outageCentres = 21
	// maxCalls is a tenth of the reads that the store can serve per second.
	maxCalls = 200
)

// outageFleet is a fleet whose routers have no links to each other and follow a store that
// fails.
type outageFleet struct {
	fanout

	mu sync.Mutex
	// fault applies to every call to the store.
	fault storer.Fault
	// calls counts the calls to the store by second.
	calls map[int64]int
	// events counts the events of all followers.
	events map[EventKind]int
}

func newOutageFleet(t *testing.T) *outageFleet {
	c := &outageFleet{calls: make(map[int64]int), events: make(map[EventKind]int)}
	c.fanout = fanout{t: t, store: &storer.Store{}, byAddr: make(map[string]*node)}
	c.store.Hook = func(string, string) storer.Fault {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.calls[time.Now().Unix()]++
		return c.fault
	}
	c.onEvent = func(e Event) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.events[e.Kind]++
	}
	c.edit(t, "1")
	c.start(*FleetNodes, outageCentres, 10, false)
	time.Sleep(time.Minute)
	synctest.Wait()
	clear(c.calls)
	return c
}

func (c *outageFleet) edit(t *testing.T, name string) {
	t.Helper()
	editRoute(t, &editor.Editor{Store: c.store}, kingcuphook.RouteFields{Name: name, Tier: 1})
}

// editRoute stores tables with one route and returns their revision.
func editRoute(t *testing.T, e *editor.Editor, f kingcuphook.RouteFields) int64 {
	t.Helper()
	f.Pool = "p"
	r, err := e.Apply(t.Context(), editor.Edit{
		Author: "nour", Base: editor.BaseNewest, Reason: "opening time",
		Routes: parser.NewRouteTable("", []*kingcuphook.Route{kingcuphook.NewRoute(f)}), Pools: parser.NewPoolTable("", testPools()),
	})
	if err != nil {
		t.Fatal(err)
	}
	return r.Revision
}

func (c *outageFleet) set(f storer.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// peakCalls returns the highest number of calls to the store in one second.
func (c *outageFleet) peakCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, v := range c.calls {
		n = max(n, v)
	}
	return n
}

// lowestWatched returns the lowest current revision of the routers that watch the store.
func (c *outageFleet) lowestWatched() int64 {
	low := int64(math.MaxInt64)
	for _, n := range c.nodes {
		if n.watches.Load() {
			low = min(low, n.f.Current().Revision())
		}
	}
	return low
}

// A store that fails for an hour must not change the current tables of any router.
// Routers must not exceed the rate of calls that the store can serve, neither during
// the outage nor after it, and watchers must apply the next edit in time.
func TestStoreOutage(t *testing.T) {
	flap := func(c *outageFleet) {
		for range 600 {
			c.set(storer.Fault{Down: true})
			time.Sleep(3 * time.Second)
			c.set(storer.Fault{})
			time.Sleep(3 * time.Second)
		}
	}
	for name, fail := range map[string]func(c *outageFleet){
		"down": func(c *outageFleet) {
			c.set(storer.Fault{Down: true})
			time.Sleep(time.Hour)
		},
		"slow": func(c *outageFleet) {
			c.set(storer.Fault{Delay: 4 * time.Second})
			time.Sleep(time.Hour)
		},
		"flapping": flap,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newOutageFleet(t)
				fail(c)
				is.Equal(c.lowest(), int64(1))
				c.set(storer.Fault{})
				c.edit(t, "2")
				time.Sleep(convergence)
				synctest.Wait()
				is.Equal(c.lowestWatched(), int64(2))
				t.Logf("most calls in a second: %d; events: %v", c.peakCalls(), c.events)
				is.True(c.peakCalls() <= maxCalls)
				is.True(name == "slow" || c.events[EventStoreFailed] >= 2*outageCentres)
				is.True(name == "slow" || c.events[EventStoreRecovered] >= 2*outageCentres)
			})
		})
	}
}
