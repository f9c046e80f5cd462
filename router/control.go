package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/exchanger"
	"github.com/kingcuphook/kingcuphook/follower"
	"github.com/kingcuphook/kingcuphook/gossiper"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/poller"
)

const (
	// tickInterval is how often the control loop looks at the clock.
	tickInterval = 100 * time.Millisecond
	// slowInterval is how often what need not be at once is done.
	slowInterval = 500 * time.Millisecond
	// joinTimeout is how long a router without an answer of any peer waits before
	// it is ready.
	joinTimeout = 5 * time.Second
	// vmListInterval is the mean time between two reads of a short list of VMs. A
	// longer list is read less often, so that it costs a router vmListBytes a
	// second and the platform, together, vmListReads a second.
	vmListInterval = 2 * time.Second
	vmListBytes    = 512
	vmListReads    = 50
	// vmBytes is the size of one VM in the list.
	vmBytes = 44
	// vmListTimeout and questionTimeout bound one call.
	vmListTimeout   = 5 * time.Second
	questionTimeout = 2 * time.Second
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
	// leaving has the upstreams that the list of VMs calls leaving.
	leaving map[string]bool
	reports map[string]kingcuphook.LoadReport
	// revision is that of the tables handed to the schedulers.
	revision int64
	// source is the peer that the newest tables came from; empty for none.
	source string
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
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.inbox:
			event(time.Now())
		case now := <-ticker.C:
			c.tick(ctx, now)
		}
	}
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

// takeTables hands the tables in force to the schedulers and to the peers.
func (c *control) takeTables(now time.Time) {
	s := c.router.follower.Current()
	source := c.source
	c.source = ""
	if s.Revision() == c.revision {
		return
	}
	c.revision = s.Revision()
	c.router.allocator.Update(s.Tables())
	c.gossip.SetRevision(now, s.Revision(), source)
	c.takeUpstreams(s.Tables())
}

// becomeReady makes the router ready once it has tables and has joined its
// peers: it then knows of their suspects, and they tell it of new ones.
func (c *control) becomeReady(now time.Time) {
	if c.begun.IsZero() {
		c.begun = now
	}
	if c.revision == 0 || !c.joined && now.Sub(c.begun) < joinTimeout || c.router.stopping.Load() {
		return
	}
	if c.router.ready.CompareAndSwap(false, true) {
		c.router.Log.Log(logger.Ready, "revision", c.revision)
	}
}

func (c *control) takeUpstreams(t *kingcuphook.Tables) {
	c.upstreams = make(map[string]*kingcuphook.Upstream)
	var addresses []string
	for _, p := range t.Pools() {
		for _, u := range p.Upstreams() {
			if c.upstreams[u.Address()] == nil {
				addresses = append(addresses, u.Address())
			}
			c.upstreams[u.Address()] = u
		}
	}
	c.poll.Update(addresses)
	for a := range c.reports {
		if c.upstreams[a] == nil {
			delete(c.reports, a)
			delete(c.sequences, a)
		}
	}
}

// listVMs reads the platform's list now and then.
func (c *control) listVMs(ctx context.Context, now time.Time) {
	if now.Before(c.nextList) {
		return
	}
	interval := vmListInterval
	if c.joined {
		interval = max(interval,
			time.Duration(c.gossip.Count(now))*time.Second/vmListReads,
			time.Duration(c.listed)*vmBytes*time.Second/vmListBytes)
	}
	c.nextList = now.Add(interval/2 + time.Duration(c.rand.Int64N(int64(interval))))
	go func() {
		ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
		defer cancel()
		vms, err := c.router.platform.VMs(ctx)
		if err != nil {
			return
		}
		c.send(func(now time.Time) { c.takeVMs(now, vms) })
	}()
}

// takeVMs splits the list into routers and upstreams.
func (c *control) takeVMs(now time.Time, vms []kingcuphook.VM) {
	c.listed = len(vms)
	var routers []kingcuphook.VM
	left := c.leaving
	c.leaving = make(map[string]bool)
	for _, vm := range vms {
		u := c.upstreams[vm.Address()]
		if u == nil {
			routers = append(routers, vm)
			continue
		}
		if vm.State() == kingcuphook.VMStateLeaving {
			c.leaving[vm.Address()] = true
		}
	}
	c.gossip.SetHints(now, routers)
	if len(routers) == 0 || len(routers) == 1 && routers[0].Address() == c.gossip.Address {
		c.joined = true
	}
	for a := range c.leaving {
		if !left[a] {
			c.router.Log.Log(logger.UpstreamLeaving, "upstream", a, "source", "vm-list")
			c.takeReport(now, c.reportOf(a, now))
		}
	}
	for a := range left {
		if !c.leaving[a] && c.upstreams[a] != nil {
			c.takeReport(now, c.reportOf(a, now))
		}
	}
}

// reportOf returns the last report of an upstream, or an empty one.
func (c *control) reportOf(address string, now time.Time) kingcuphook.LoadReport {
	if l, ok := c.reports[address]; ok {
		return l
	}
	return kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: address, Made: now})
}

// reported takes a report that came with an answer.
func (c *control) reported(l kingcuphook.LoadReport) {
	c.send(func(now time.Time) {
		c.poll.Heard(now, l.Upstream())
		c.takeReport(now, l)
	})
}

// takeReport hands a report to the schedulers. An upstream that the list of VMs
// calls leaving is leaving whatever it says itself.
func (c *control) takeReport(_ time.Time, l kingcuphook.LoadReport) {
	if old, ok := c.reports[l.Upstream()]; ok && old.Made().After(l.Made()) {
		return
	}
	c.reports[l.Upstream()] = l
	if c.leaving[l.Upstream()] && !l.Leaving() {
		l = kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{
			Upstream:     l.Upstream(),
			Made:         l.Made(),
			Running:      l.Running(),
			Queued:       l.Queued(),
			QueuedTokens: l.QueuedTokens(),
			CachedTokens: l.CachedTokens(),
			Leaving:      true,
		})
	}
	c.router.allocator.Report(l)
}

// ask asks the upstreams that are due for their load and cache events.
func (c *control) ask(ctx context.Context, now time.Time) {
	for _, address := range c.poll.Next(now) {
		u := c.upstreams[address]
		after := c.sequences[address]
		go c.askOne(ctx, u, after)
	}
}

func (c *control) askOne(ctx context.Context, u *kingcuphook.Upstream, after int64) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	l, err := c.router.upstreams.Load(ctx, u)
	if err != nil {
		return
	}
	c.send(func(now time.Time) { c.takeReport(now, l) })
	if u.Kind() != kingcuphook.UpstreamKindEngine {
		return
	}
	events, err := c.router.upstreams.Events(ctx, u, after)
	if err != nil || len(events) == 0 {
		return
	}
	c.send(func(time.Time) { c.takeEvents(u.Address(), events) })
}

func (c *control) takeEvents(address string, events []kingcuphook.CacheEvent) {
	for _, e := range events {
		if e.Sequence() <= c.sequences[address] {
			continue
		}
		c.sequences[address] = e.Sequence()
		c.router.allocator.Cached(e)
	}
}

// publish makes the control state readable for others.
func (c *control) publish(now time.Time) {
	members := c.gossip.Members(now)
	v := &view{
		members: members,
		watches: c.gossip.Watches(now),
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
	c.router.allocator.SetRouters(max(near, 1))
	c.router.allocator.SetPlace(place, max(near, 1))
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

// watches reports whether this router watches the store.
func (c *control) watches() bool { return c.view.Load().watches }

// inForce returns the newest state of the tables known here, and whether a
// router of every region has told its revision and none told a higher one.
func (c *control) inForce() (*differ.Snapshot, bool) {
	s := c.router.follower.Current()
	heard := make(map[string]bool)
	for _, m := range c.view.Load().members {
		if m.Revision() > s.Revision() {
			return s, false
		}
		heard[m.Region()] = heard[m.Region()] || m.Revision() > 0 && m.Reachable()
	}
	for _, h := range heard {
		if !h {
			return s, false
		}
	}
	return s, true
}

// tablesEvent logs what happens to the tables.
func (c *control) tablesEvent(e follower.Event) {
	log := c.router.Log
	switch e.Kind {
	case follower.EventApplied:
		log.Log(logger.TablesInForce, "revision", e.InForce, "source", e.Source)
	case follower.EventForked:
		log.Log(logger.TablesForked, "revision", e.InForce, "source", e.Source)
	case follower.EventStoreOlder:
		log.Log(logger.TablesOlder, "in-force", e.InForce, "store", e.Seen)
	case follower.EventRefused:
		log.Log(logger.TablesBad, "in-force", e.InForce, "source", e.Source, "error", e.Err)
	case follower.EventStoreFailed:
		log.Log(logger.StoreUnavailable, "error", e.Err)
	case follower.EventStoreBack:
		log.Log(logger.StoreAvailable)
	}
	c.send(c.takeTables)
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
