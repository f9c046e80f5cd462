package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/exchanger"
	"github.com/kingcuphook/kingcuphook/gossiper"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/poller"
)

const (
	// tickInterval is how often the control loop looks at the clock.
	tickInterval = 100 * time.Millisecond
	// slowInterval is how often what need not be at once is done.
	slowInterval = 500 * time.Millisecond
	// inboxSize bounds the events that wait for the control loop.
	inboxSize = 256
)

// control is the control loop. Its state belongs to one goroutine; all others
// send it events or read the view that it publishes.
type control struct {
	router *Router
	rand   *rand.Rand
	// inbox takes the events. Traffic never waits for it.
	inbox chan func(now time.Time)
	// done is closed when the loop ends.
	done chan struct{}

	gossip *gossiper.Gossiper
	poll   *poller.Poller
	// upstreams are those of the tables in force, by address.
	upstreams map[string]*kingcuphook.Upstream
	// sequences has the last cache event taken from each upstream.
	sequences map[string]int64
	// used has the upstreams that answered requests since they were last asked.
	used map[string]bool
	// leaving has the upstreams that the list of VMs calls leaving.
	leaving map[string]bool
	reports map[string]kingcuphook.LoadReport
	// revision is that of the tables handed to the schedulers.
	revision int64
	// source is the peer that the newest tables came from; empty for none.
	source string
	// untold says that the peers have not been told of the revision yet.
	untold bool
	// pulling is set while tables are being pulled from a peer.
	pulling bool
	// begun is when the loop began. joined says that a peer has answered, or that
	// there is none.
	begun  time.Time
	joined bool
	// listed is the length of the list of VMs when last read.
	listed   int
	nextList time.Time
	nextSlow time.Time
	// known has the addresses of the other routers as last published.
	known map[string]bool

	placement placement

	// view is what others may read; it is replaced, never changed.
	view atomic.Pointer[view]
}

// view is a copy of the control state.
type view struct {
	members []gossiper.Member
	// watches says that this router is a watcher of its data centre.
	watches bool
	reports map[string]kingcuphook.LoadReport
	leaving map[string]bool
}

func newControl(r *Router) *control {
	c := &control{
		router: r,
		rand:   r.newRand(),
		inbox:  make(chan func(time.Time), inboxSize),
		done:   make(chan struct{}),
		gossip: &gossiper.Gossiper{
			Address:     r.PeersAddress(),
			Location:    gossiper.Location{Region: r.Settings.Node.Region, DataCentre: r.Settings.Node.DataCentre},
			Incarnation: uint64(time.Now().Unix()),
			Rand:        r.newRand(),
		},
		poll:      &poller.Poller{},
		upstreams: make(map[string]*kingcuphook.Upstream),
		sequences: make(map[string]int64),
		used:      make(map[string]bool),
		leaving:   make(map[string]bool),
		reports:   make(map[string]kingcuphook.LoadReport),
	}
	c.gossip.Changes = c.changes
	c.view.Store(&view{watches: true})
	return c
}

// run is the control loop.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	// Leases are given back before the connection to the platform is closed.
	defer c.placement.running.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.inbox:
			event(time.Now())
			c.tell(ctx)
		case now := <-ticker.C:
			c.tick(ctx, now)
		}
	}
}

// tell begins the exchanges that a new revision makes due, without waiting for
// the next tick.
func (c *control) tell(ctx context.Context) {
	if !c.untold {
		return
	}
	c.untold = false
	c.exchange(ctx, time.Now())
}

// send queues an event. It reports false if the loop has ended or is behind; the
// event is then lost, as any message may be.
func (c *control) send(event func(now time.Time)) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.inbox <- event:
		return true
	default:
		return false
	}
}

func (c *control) tick(ctx context.Context, now time.Time) {
	c.takeTables(now)
	c.listVMs(ctx, now)
	c.exchange(ctx, now)
	c.ask(ctx, now)
	c.becomeReady(now)
	if now.Before(c.nextSlow) {
		return
	}
	c.nextSlow = now.Add(slowInterval)
	c.tellRates(now)
	c.tellSuspects(now)
	c.place(ctx)
	c.publish(now)
}

// publish makes the control state readable for others.
func (c *control) publish(now time.Time) {
	members := c.gossip.Members(now)
	v := &view{
		members: members,
		watches: c.gossip.WatchesStore(now),
		reports: make(map[string]kingcuphook.LoadReport, len(c.reports)),
		leaving: c.leaving,
	}
	near, place := 0, 0
	known := make(map[string]bool, len(members))
	for _, m := range members {
		if m.Address() != c.gossip.Address {
			known[m.Address()] = true
		}
		if m.Region() == c.router.Settings.Node.Region {
			near++
			if m.Address() < c.gossip.Address {
				place++
			}
		}
	}
	for a, l := range c.reports {
		v.reports[a] = l
	}
	c.view.Store(v)
	c.poll.Rate = min(max(fleetQuestions/float64(max(len(members), 1)), leastQuestions), questionsPerSecond)
	c.router.allocator.SetRouters(max(near, 1))
	c.router.allocator.SetRouterIndex(place, max(near, 1))
	c.compareMembers(known)
}

// compareMembers logs the routers that came and went, and forgets the latter.
func (c *control) compareMembers(known map[string]bool) {
	for a := range known {
		if !c.known[a] {
			c.router.Log.Log(logger.PeerJoined, "peer", a)
		}
	}
	for a := range c.known {
		if !known[a] {
			c.router.Log.Log(logger.PeerLeft, "peer", a)
			c.router.throttle.forget(a)
		}
	}
	c.known = known
}

// leave tells the peers that this router stops.
func (c *control) leave() {
	c.send(func(now time.Time) { c.gossip.Leave(now) })
}

var errBehind = errors.New("router: the control loop is behind")

// call runs f in the control loop and waits for its end.
func (c *control) call(ctx context.Context, f func(now time.Time)) error {
	ran := make(chan struct{})
	if !c.send(func(now time.Time) { f(now); close(ran) }) {
		return errBehind
	}
	select {
	case <-ran:
		return nil
	case <-c.done:
		return errBehind
	case <-ctx.Done():
		return ctx.Err()
	}
}

var _ exchanger.Handler = (*control)(nil)
