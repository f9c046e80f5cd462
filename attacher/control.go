package attacher

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
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
	// peers has the addresses of the other routers.
	peers map[string]bool
	pull  puller.Puller
	// nextAsk is when a peer may be asked again; asking is set while one is.
	nextAsk time.Time
	asking  bool
	// published are the tables handed out last.
	published *kingcuphook.Tables
	// view is what others may read; it is replaced, never changed.
	view atomic.Pointer[receiver.Directory]
	// addresses are those of peers, for others to read.
	addresses atomic.Pointer[[]string]
}

func newControl(a *Attacher) *control {
	c := &control{
		a:     a,
		inbox: make(chan func(time.Time), inboxSize),
		store: &subscriber.Subscriber{
			Codec:              platform.Directory{Regions: a.Settings.Regions()},
			DeclarationKey:     platform.DeclarationKey,
			RegistrationPrefix: platform.RegistrationPrefix,
		},
		peers: make(map[string]bool),
	}
	for _, address := range a.Settings.SeedAddresses() {
		c.peers[address] = true
	}
	c.view.Store(&receiver.Directory{})
	c.publishPeers()
	return c
}

// peerAddresses returns a copy of the addresses of the other routers.
func (c *control) peerAddresses() []string { return slices.Clone(*c.addresses.Load()) }

func (c *control) publishPeers() {
	addresses := slices.Sorted(maps.Keys(c.peers))
	c.addresses.Store(&addresses)
	c.a.routers.Store(int64(len(addresses) + 1))
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

func (c *control) tick(ctx context.Context, now time.Time) {
	if n := c.store.Expire(now); n > 0 {
		c.a.Log.Log(logger.UpstreamsChanged, "reason", "registrations-stayed-away", "count", n)
	}
	c.ask(ctx, now)
}

// take takes an event of the store.
func (c *control) take(e watcher.Event) {
	c.inbox <- func(now time.Time) {
		if e.Kind == watcher.EventLost {
			if c.store.Lost() {
				c.a.Log.Log(logger.StoreUnavailable, "revision", c.store.Revision(), "error", e.Err)
			}
			return
		}
		if c.store.Found(now) {
			c.a.Log.Log(logger.StoreAvailable, "revision", e.Revision)
		}
		c.takeEntries(now, e)
	}
}

func (c *control) takeEntries(now time.Time, e watcher.Event) {
	for _, entry := range e.Entries {
		c.declare(entry)
		c.meet(entry)
	}
	c.a.sharer.Adopt(e.Entries)
	take := c.store.Register
	if e.Kind == watcher.EventSnapshot {
		take = c.store.Replace
	}
	if err := take(now, e.Entries, e.Revision); err != nil {
		c.a.Log.Log(logger.UpstreamBad, "revision", e.Revision, "error", err)
	}
}

func (c *control) declare(e kingcuphook.Entry) {
	changed, err := c.store.Declare(e)
	if err != nil {
		c.a.Log.Log(logger.TablesBad, "revision", e.Revision(), "error", err)
	}
	if changed {
		c.a.Log.Log(logger.TablesInForce, "version", c.store.Version(), "revision", e.Revision(), "source", "store")
	}
}

// meet notes that a router came or went.
func (c *control) meet(e kingcuphook.Entry) {
	address, ok := strings.CutPrefix(e.Key(), routersPrefix)
	if !ok || address == c.a.Settings.PeerAddress() {
		return
	}
	switch {
	case e.Deleted():
		delete(c.peers, address)
		c.a.Log.Log(logger.PeerLeft, "peer", address)
	case !c.peers[address]:
		c.peers[address] = true
		c.a.Log.Log(logger.PeerJoined, "peer", address)
	}
	c.publishPeers()
}

// ask asks a peer for news of the store, if the store can't be followed.
func (c *control) ask(ctx context.Context, now time.Time) {
	if !c.store.IsLost() || c.asking || now.Before(c.nextAsk) || len(c.peers) == 0 {
		return
	}
	c.asking = true
	c.nextAsk = now.Add(askEvery)
	peer, revision := c.pickPeer(), c.store.Revision()
	go func() {
		payload, err := c.pull.Pull(ctx, peer, revision)
		c.do(ctx, func(now time.Time) { c.answered(now, peer, payload, err) })
	}()
}

func (c *control) pickPeer() string {
	n := rand.N(len(c.peers))
	for address := range c.peers {
		if n == 0 {
			return address
		}
		n--
	}
	return ""
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
	before := c.store.Version()
	changed, err := c.store.Import(now, payload)
	if err != nil {
		c.a.Log.Log(logger.UpstreamBad, "peer", peer, "error", err)
	}
	if changed {
		c.a.Log.Log(logger.PeerAsked, "peer", peer, "revision", c.store.Revision(), "version", c.store.Version(), "version-before", before)
	}
}

// export returns what this router has of the store, for a peer.
func (c *control) export(revision int64) (payload []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	err = kingcuphook.ErrUnavailable
	c.do(ctx, func(time.Time) { payload, err = c.store.Export(revision) })
	return payload, err
}

// exportTimeout bounds the wait for the control loop.
const exportTimeout = 500 * time.Millisecond

// publish hands out the tables if they have changed.
func (c *control) publish() {
	t := c.store.Tables()
	if t == nil || t == c.published {
		return
	}
	c.published = t
	c.a.allocator.Update(t)
	c.a.forwarder.Keep(t)
	c.view.Store(&receiver.Directory{Tables: t, MaxBodyBytes: c.store.MaxBodyBytes()})
	for _, p := range t.Pools() {
		leaving := 0
		for _, u := range p.Upstreams() {
			if u.Leaving() {
				leaving++
			}
		}
		c.a.Log.Log(logger.UpstreamsChanged, "pool", p.Name(), "version", t.Revision(), "revision", c.store.Revision(),
			"upstreams", len(p.Upstreams()), "leaving", leaving)
	}
}
