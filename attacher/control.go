package attacher

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/delegator"
	"github.com/kingcuphook/kingcuphook/digester"
	"github.com/kingcuphook/kingcuphook/gatherer"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/puller"
	"github.com/kingcuphook/kingcuphook/receiver"
	"github.com/kingcuphook/kingcuphook/subscriber"
	"github.com/kingcuphook/kingcuphook/watcher"
)

const (
	// tickInterval is how often the control loop looks at the clock.
	tickInterval = 200 * time.Millisecond
	// inboxSize bounds the events that wait for the control loop.
	inboxSize = 64
	// askEvery is how often a peer is asked while the store can't be followed.
	askEvery = 700 * time.Millisecond
)

// control owns what the router knows of the store and of its peers.
type control struct {
	a     *Attacher
	inbox chan func(now time.Time)
	// store is what stands in the store.
	store *subscriber.Subscriber
	// self is the address of this router.
	self  netip.Addr
	peers *peers
	// loads sums what the routers run.
	loads gatherer.Gatherer
	pull  puller.Puller
	// delegator decides which routers of the data centre follow the store.
	delegator delegator.Delegator
	// failed is when this router last failed to follow the store; zero if it could
	// since.
	failed time.Time
	// waiting are the peers that wait for news.
	waiting []waiter
	// nextAsk is when a peer may be asked again; asking is set while one is.
	nextAsk time.Time
	asking  bool
	// known is closed once there are tables.
	known chan struct{}
	// published are the tables handed out last.
	published *kingcuphook.Tables
	// view is what others may read; it is replaced, never changed.
	view atomic.Pointer[receiver.Directory]
}

func newControl(a *Attacher) *control {
	c := &control{
		a:     a,
		inbox: make(chan func(time.Time), inboxSize),
		known: make(chan struct{}),
		store: &subscriber.Subscriber{
			Codec:              platform.DirectoryCodec{Regions: a.Settings.Regions()},
			DeclarationKey:     platform.DeclarationKey,
			RegistrationPrefix: platform.RegistrationPrefix,
		},
		self:  a.Settings.Address(),
		peers: newPeers(a.Settings.Seeds(), digester.HashDataCentre(a.Settings.DataCentre())),
	}
	c.delegator.Self = c.self
	c.loads.Self, c.loads.Centre = c.self, c.peers.centre
	c.view.Store(&receiver.Directory{})
	return c
}

// directory returns what is in force.
func (c *control) directory() receiver.Directory { return *c.view.Load() }

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.inbox:
			event(time.Now())
		case <-ticker.C:
			c.tick(ctx, time.Now())
		}
		c.publish()
		c.answerWaiting(time.Now())
	}
}

// do runs f in the control loop and returns when it has, or when ctx ends.
func (c *control) do(ctx context.Context, f func(now time.Time)) {
	done := make(chan struct{})
	select {
	case c.inbox <- func(now time.Time) { f(now); close(done) }:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// offer hands an event to the control loop, or drops it if the loop is behind.
func (c *control) offer(event func(now time.Time)) {
	select {
	case c.inbox <- event:
	default:
	}
}

// wake has the control loop publish what has changed beside it. A loop that is busy
// does so anyway.
func (c *control) wake() { c.offer(func(time.Time) {}) }

func (c *control) tick(ctx context.Context, now time.Time) {
	if n := c.store.Expire(now); n > 0 {
		c.a.Log.Log(logger.UpstreamsUpdated, "reason", "registrations-stayed-away", "count", n)
	}
	c.delegator.SetUnable(c.away(now))
	c.ask(ctx, now)
}

// awayFor is how long a router leaves the store to others after it failed to follow
// it.
const awayFor = 10 * time.Second

// away reports whether this router leaves it to others to follow the store: it
// could not lately, or is about to stop.
func (c *control) away(now time.Time) bool {
	return c.a.closing.Load() != nil || !c.failed.IsZero() && now.Sub(c.failed) < awayFor
}

// take takes an event of the store.
func (c *control) take(e watcher.Event) {
	c.inbox <- func(now time.Time) {
		if e.Kind == watcher.EventLost {
			c.failed = now
			if c.store.Lost() {
				c.a.Log.Log(logger.StoreUnavailable, "revision", c.store.Revision(), "error", e.Err)
			}
			return
		}
		c.failed = time.Time{}
		c.found(now)
		c.takeEntries(now, e)
	}
}

// found notes that what stands in the store is known again.
func (c *control) found(now time.Time) {
	if c.store.Found(now) {
		c.a.Log.Log(logger.StoreAvailable, "revision", c.store.Revision())
	}
}

// wanted returns the revision from which on news of the store are wanted.
func (c *control) wanted() int64 {
	if !c.store.Declared() {
		return 0
	}
	return c.store.Revision()
}

func (c *control) takeEntries(now time.Time, e watcher.Event) {
	for _, entry := range e.Entries {
		c.declare(entry)
	}
	take := c.store.Register
	if e.Kind == watcher.EventSnapshot {
		take = c.store.Replace
	}
	if err := take(now, e.Entries, e.Revision); err != nil {
		c.a.Log.Log(logger.RegistrationRejected, "revision", e.Revision, "error", err)
	}
}

func (c *control) declare(e kingcuphook.Entry) {
	changed, err := c.store.Declare(e)
	if err != nil {
		c.a.Log.Log(logger.TablesRejected, "revision", e.Revision(), "error", err)
	}
	if changed {
		c.a.Log.Log(logger.TablesApplied, "version", c.store.Version(), "revision", e.Revision(), "source", "store")
	}
}

// ask asks a peer for news of the store, if the store can't be followed or the
// peer knows more of it.
func (c *control) ask(ctx context.Context, now time.Time) {
	peer := c.peers.ahead
	if !peer.IsValid() && c.store.IsLost() {
		for _, a := range c.peers.pick(1) {
			peer = a
		}
	}
	late := c.store.IsLost() || now.Sub(c.peers.aheadSince) >= c.a.watchRest()+behindAfter
	if !peer.IsValid() || !late || c.asking || now.Before(c.nextAsk) {
		return
	}
	c.asking = true
	c.nextAsk = now.Add(askEvery)
	c.peers.ahead = netip.Addr{}
	address, revision := c.a.Settings.PeerAddressOf(peer), c.wanted()
	go func() {
		payload, err := c.pull.Pull(ctx, address, revision, 0)
		c.do(ctx, func(now time.Time) { c.answered(now, address, payload, err) })
	}()
}

// answered takes the answer of a peer.
func (c *control) answered(now time.Time, peer string, payload []byte, err error) {
	c.asking = false
	if errors.Is(err, kingcuphook.ErrNotFound) {
		return
	}
	if err != nil {
		c.a.Log.Log(logger.PeerFailed, "peer", peer, "error", err)
		return
	}
	c.importFrom(now, peer, payload)
}

// importFrom takes what a peer has of the store.
func (c *control) importFrom(now time.Time, peer string, payload []byte) {
	before := c.store.Version()
	changed, err := c.store.Import(now, payload)
	if err != nil {
		c.a.Log.Log(logger.RegistrationRejected, "peer", peer, "error", err)
	}
	if changed {
		c.a.Log.Log(logger.StoreUpdateReceived, "peer", peer, "revision", c.store.Revision(), "version", c.store.Version(), "version-before", before)
	}
}

// publish hands out the tables if they have changed.
func (c *control) publish() {
	t := c.a.withdrawn.Apply(time.Now(), c.store.Tables())
	if t == nil || t == c.published {
		return
	}
	c.logPools(t)
	first := c.published == nil
	c.published = t
	c.a.allocator.Update(t)
	c.a.forwarder.CloseUnused(t)
	c.view.Store(&receiver.Directory{Tables: t, MaxBodyBytes: c.store.MaxBodyBytes()})
	if first {
		close(c.known)
		c.a.Log.Log(logger.Ready, "version", t.Revision(), "revision", c.store.Revision())
	}
}

// logPools logs the pools whose upstreams are not those published last.
func (c *control) logPools(t *kingcuphook.Tables) {
	for _, p := range t.Pools() {
		now, before := statesOf(p), poolStates{}
		if c.published != nil && c.published.Pool(p.Name()) != nil {
			before = statesOf(c.published.Pool(p.Name()))
		}
		if now != before {
			c.a.Log.Log(logger.UpstreamsUpdated, "pool", p.Name(), "version", t.Revision(), "revision", c.store.Revision(),
				"upstreams", now.upstreams, "leaving", now.leaving, "upstreams-before", before.upstreams, "leaving-before", before.leaving)
		}
	}
}

// poolStates counts the upstreams of a pool.
type poolStates struct{ upstreams, leaving int }

func statesOf(p *kingcuphook.Pool) poolStates {
	s := poolStates{upstreams: len(p.Upstreams())}
	for _, u := range p.Upstreams() {
		if u.Leaving() {
			s.leaving++
		}
	}
	return s
}
