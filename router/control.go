package router

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/exchanger"
	"github.com/kingcuphook/kingcuphook/gossiper"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/poller"
)

const (
	// tickInterval is how often the control loop runs its periodic work.
	tickInterval = 100 * time.Millisecond
	// maintenanceInterval is how often the control loop runs the periodic work that
	// may wait longer than a tick.
	maintenanceInterval = 500 * time.Millisecond
	// inboxSize limits the events queued for the control loop.
	inboxSize = 256
)

// control is the control loop. Only its own goroutine accesses its state; others
// send it events or read the view that it publishes.
type control struct {
	router *Router
	rand   *rand.Rand
	// inbox queues the events. Senders never block on it.
	inbox chan func(now time.Time)
	// done is closed when the loop ends.
	done chan struct{}

	gossip *gossiper.Gossiper
	poller *poller.Poller
	// upstreams holds the upstreams of the current tables, by address.
	upstreams map[string]*kingcuphook.Upstream
	// lastSequences holds the sequence number of the last cache event applied from
	// each upstream.
	lastSequences map[string]int64
	// usedSincePoll holds the upstreams that answered a request since they were last
	// polled.
	usedSincePoll map[string]bool
	// leaving holds the upstreams that are leaving according to the list of VMs.
	leaving map[string]bool
	// reports holds the newest load report of each upstream.
	reports map[string]kingcuphook.LoadReport
	// revision is the revision of the tables last passed to the schedulers.
	revision int64
	// tablesSource is the peer that sent the newest tables; empty if they came from
	// elsewhere.
	tablesSource string
	// unannounced is true until exchanges with peers have been started for the
	// current revision.
	unannounced bool
	// pulling is set while tables are being pulled from a peer.
	pulling bool
	// startTime is the time of the first tick. joined is true once a digest from a
	// peer has arrived or the list of VMs shows no other router.
	startTime time.Time
	joined    bool
	// vmCount is the length of the last list of VMs.
	vmCount         int
	nextVMList      time.Time
	nextMaintenance time.Time
	// peers holds the addresses of the other routers in the last published view.
	peers map[string]bool

	placement placement

	// view is the copy of the state for other goroutines. It is replaced as a whole,
	// never modified.
	view atomic.Pointer[view]
}

// view is a snapshot of the control loop's state for other goroutines.
type view struct {
	members []gossiper.Member
	// isWatcher reports whether this router is one of those that watch the store for
	// their data centre.
	isWatcher bool
	reports   map[string]kingcuphook.LoadReport
	leaving   map[string]bool
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
		poller:        &poller.Poller{},
		upstreams:     make(map[string]*kingcuphook.Upstream),
		lastSequences: make(map[string]int64),
		usedSincePoll: make(map[string]bool),
		leaving:       make(map[string]bool),
		reports:       make(map[string]kingcuphook.LoadReport),
	}
	c.gossip.Changes = c.changes
	c.view.Store(&view{isWatcher: true})
	return c
}

// run processes events and ticks until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	// The managers must release their leases before the connection to the platform
	// is closed.
	defer c.placement.wg.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.inbox:
			event(time.Now())
			c.announceRevision(ctx)
		case now := <-ticker.C:
			c.tick(ctx, now)
		}
	}
}

// announceRevision starts the exchanges that a new revision makes due, without
// waiting for the next tick.
func (c *control) announceRevision(ctx context.Context) {
	if !c.unannounced {
		return
	}
	c.unannounced = false
	c.exchange(ctx, time.Now())
}

// send queues an event without blocking. It returns false and drops the event if
// the loop has ended or its queue is full. Senders must tolerate this, as they
// must the loss of any message.
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
	c.applyTables(now)
	c.listVMs(ctx, now)
	c.exchange(ctx, now)
	c.pollUpstreams(ctx, now)
	c.updateReadiness(now)
	if now.Before(c.nextMaintenance) {
		return
	}
	c.nextMaintenance = now.Add(maintenanceInterval)
	c.publishRates(now)
	c.publishSuspects(now)
	c.updatePlacement(ctx)
	c.publish(now)
}

// publish replaces the view and passes the size of the fleet, and this router's
// index among the routers of its region, to the poller and the schedulers.
func (c *control) publish(now time.Time) {
	members := c.gossip.Members(now)
	v := &view{
		members:   members,
		isWatcher: c.gossip.WatchesStore(now),
		reports:   make(map[string]kingcuphook.LoadReport, len(c.reports)),
		leaving:   c.leaving,
	}
	regionRouters, index := 0, 0
	peers := make(map[string]bool, len(members))
	for _, m := range members {
		if m.Address() != c.gossip.Address {
			peers[m.Address()] = true
		}
		if m.Region() == c.router.Settings.Node.Region {
			regionRouters++
			if m.Address() < c.gossip.Address {
				index++
			}
		}
	}
	for a, l := range c.reports {
		v.reports[a] = l
	}
	c.view.Store(v)
	c.poller.Rate = min(max(fleetPollsPerSecond/float64(max(len(members), 1)), minPollsPerSecond), maxPollsPerSecond)
	c.router.allocator.SetRouters(max(regionRouters, 1))
	c.router.allocator.SetRouterIndex(index, max(regionRouters, 1))
	c.router.permits.SetRouters(now, slices.Collect(maps.Keys(peers)))
	c.updatePeers(peers)
}

// updatePeers logs the routers that joined and left since the last call and drops
// the rates of those that left.
func (c *control) updatePeers(peers map[string]bool) {
	for a := range peers {
		if !c.peers[a] {
			c.router.Log.Log(logger.PeerJoined, "peer", a)
		}
	}
	for a := range c.peers {
		if !peers[a] {
			c.router.Log.Log(logger.PeerLeft, "peer", a)
			c.router.throttle.removePeer(a)
		}
	}
	c.peers = peers
}

// leave announces to the peers that this router is leaving.
func (c *control) leave() {
	c.send(func(now time.Time) { c.gossip.Leave(now) })
}

var errControlUnavailable = errors.New("router: the control loop is behind")

// call runs f in the control loop and waits until it returns, ctx ends or the loop
// stops.
func (c *control) call(ctx context.Context, f func(now time.Time)) error {
	finished := make(chan struct{})
	if !c.send(func(now time.Time) { f(now); close(finished) }) {
		return errControlUnavailable
	}
	select {
	case <-finished:
		return nil
	case <-c.done:
		return errControlUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
}

var _ exchanger.Handler = (*control)(nil)
