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

// FleetNodes is the size of the larger fleets.
var FleetNodes = flag.Int("fleet-nodes", 63, "routers of the larger fleets; 1,100 is the size to design for")

const (
	outageCentres = 21
	// maxCalls is a tenth of the store's reads a second.
	maxCalls = 200
)

// crowd is a fleet without links between its routers, before a store that fails.
type crowd struct {
	fanout

	mu sync.Mutex
	// fault is that of each call now.
	fault storer.Fault
	// calls are those of each second.
	calls map[int64]int
	// events counts the events of all followers.
	events map[EventKind]int
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{calls: make(map[int64]int), events: make(map[EventKind]int)}
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

func (c *crowd) edit(t *testing.T, name string) {
	t.Helper()
	editRoute(t, &editor.Editor{Store: c.store}, kingcuphook.RouteFields{Name: name, Tier: 1})
}

// editRoute makes tables of one route and returns their revision.
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

func (c *crowd) set(f storer.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// peak returns the most calls of a second.
func (c *crowd) peak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, v := range c.calls {
		n = max(n, v)
	}
	return n
}

// watching returns the lowest revision in force on a router that watches.
func (c *crowd) watching() int64 {
	low := int64(math.MaxInt64)
	for _, n := range c.nodes {
		if n.watches.Load() {
			low = min(low, n.f.Current().Revision())
		}
	}
	return low
}

// A store that fails for an hour, in any of three ways, changes nothing in force
// and is not crowded, neither meanwhile nor on its return, and what it holds
// then is in force on the watchers in time.
func TestStoreOutage(t *testing.T) {
	flap := func(c *crowd) {
		for range 600 {
			c.set(storer.Fault{Down: true})
			time.Sleep(3 * time.Second)
			c.set(storer.Fault{})
			time.Sleep(3 * time.Second)
		}
	}
	for name, fail := range map[string]func(c *crowd){
		"down": func(c *crowd) {
			c.set(storer.Fault{Down: true})
			time.Sleep(time.Hour)
		},
		"slow": func(c *crowd) {
			c.set(storer.Fault{Delay: 4 * time.Second})
			time.Sleep(time.Hour)
		},
		"flapping": flap,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCrowd(t)
				fail(c)
				is.Equal(c.lowest(), int64(1))
				c.set(storer.Fault{})
				c.edit(t, "2")
				time.Sleep(convergence)
				synctest.Wait()
				is.Equal(c.watching(), int64(2))
				t.Logf("most calls in a second: %d; events: %v", c.peak(), c.events)
				is.True(c.peak() <= maxCalls)
				is.True(name == "slow" || c.events[EventStoreFailed] >= 2*outageCentres)
				is.True(name == "slow" || c.events[EventStoreBack] >= 2*outageCentres)
			})
		})
	}
}
