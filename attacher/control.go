package attacher

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
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
	// tickInterval is how often the control loop does its periodic work.
	tickInterval = 200 * time.Millisecond
	// inboxSize bounds the queued events of the control loop.
	inboxSize = 64
	// minAskInterval is the shortest time between two requests to peers for updates of the
	// store.
	minAskInterval = 700 * time.Millisecond
	// peerWait is how long a router that starts waits for the first peer to tell its version,
	// and newerWait how long for a newer declaration of a peer: the store may have an older one.
	peerWait  = 300 * time.Millisecond
	newerWait = 1500 * time.Millisecond
)

// control is the control loop. It owns the router's state of the store and of its
// peers, which only events of the loop may use.
type control struct {
	a     *Attacher
	inbox chan func(now time.Time)
	// store has the entries of the store.
	store *subscriber.Subscriber
	// self is the address of this router.
	self  netip.Addr
	peers *peers
	// issuersOf is the count of changes of peers that the issuers of permits were last
	// updated to; -1 before the first update.
	issuersOf int
	// loads gathers and sums the loads of all routers.
	loads gatherer.Gatherer
	pull  puller.Puller
	// parts are the records of prompt parts in the store.
	parts recordFolder
	// bodies are the records of quarantined bodies in the store.
	bodies recordFolder
	// versions is the state of the writes of the records of versions.
	versions versionRecords
	// currentAt is when the entries of the store certainly were those in force, or later.
	currentAt time.Time
	// turnAt is when the control loop last began to handle an event, standstillAt when it last
	// found that the process had stood still.
	turnAt, standstillAt time.Time
	// delegator decides which routers of the data centre follow the store.
	delegator delegator.Delegator
	// storeEra is the latest era of the store that an event was seen in; 0 before the first.
	storeEra int64
	// failedAt is when a call to the store last failed; zero after a successful one.
	failedAt time.Time
	// waiting are the pending requests of peers for updates.
	waiting []waiter
	// nextAsk is the earliest time of the next request to a peer for an update; asking
	// is true while a request is in flight.
	nextAsk time.Time
	asking  bool
	// tablesLoaded is closed once there are tables.
	tablesLoaded chan struct{}
	// startedAt is when the router was started; peerVersion is the highest version of the
	// declaration that a peer has told, 0 before the first.
	startedAt   time.Time
	peerVersion int64
	// published are the tables that were published last, publishedAt is when that was.
	published   *kingcuphook.Tables
	publishedAt time.Time
	// publishDue is set while a turn of the control loop is due at the end of publishInterval.
	publishDue bool
	// known has the addresses of the other routers; it is replaced, never changed.
	known atomic.Pointer[map[netip.Addr]bool]
	// draining has those of them that carry no connections: they are stopping or reach hardly any
	// upstream. It is replaced, never changed.
	draining atomic.Pointer[map[netip.Addr]bool]
	// view is the directory that other goroutines read; it is replaced, never changed.
	view atomic.Pointer[receiver.Directory]
}

func newControl(a *Attacher) *control {
	c := &control{
		a:            a,
		inbox:        make(chan func(time.Time), inboxSize),
		tablesLoaded: make(chan struct{}),
		store: &subscriber.Subscriber{
			Codec:              platform.DirectoryCodec{Regions: a.Settings.Regions()},
			DeclarationKey:     platform.DeclarationKey,
			RegistrationPrefix: platform.RegistrationPrefix,
			Versions:           &a.pins.pinner,
		},
		self:  a.Settings.Address(),
		peers: newPeers(a.Settings.Seeds(), digester.HashDataCentre(a.Settings.DataCentre())),

		parts:  newPartFolder(a),
		bodies: newBodyFolder(a),
	}
	c.issuersOf = -1
	c.startedAt = time.Now()
	c.delegator.Self = c.self
	c.loads.Self, c.loads.Centre = c.self, c.peers.centre
	c.view.Store(&receiver.Directory{})
	return c
}

// routers returns the addresses of the known routers, this one included, in order.
func (c *control) routers() []netip.Addr {
	list := []netip.Addr{c.self}
	if known := c.known.Load(); known != nil {
		list = slices.AppendSeq(list, maps.Keys(*known))
	}
	slices.SortFunc(list, netip.Addr.Compare)
	return slices.Compact(list)
}

// directory returns the current directory.
func (c *control) directory() receiver.Directory { return *c.view.Load() }

func (c *control) run(ctx context.Context) {
	time.AfterFunc(peerWait, c.wake)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.inbox:
			event(c.beginTurn(time.Now()))
		case <-ticker.C:
			c.tick(ctx, c.beginTurn(time.Now()))
		}
		if c.publish(time.Now()) {
			c.a.pins.pinner.Confirm(c.currentAt)
		}
		c.answerWaiting(time.Now())
	}
}

// do runs f in the control loop and returns when f has returned or ctx has ended. It
// reports whether f has returned; otherwise f may still run, now or later.
func (c *control) do(ctx context.Context, f func(now time.Time)) bool {
	done := make(chan struct{})
	select {
	case c.inbox <- func(now time.Time) { f(now); close(done) }:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// offer passes an event to the control loop, or drops it if the inbox is full.
func (c *control) offer(event func(now time.Time)) {
	select {
	case c.inbox <- event:
	default:
	}
}

// wake makes the control loop publish changes made outside of it. It needs no place in
// a full inbox, since the loop publishes after each event.
func (c *control) wake() { c.offer(func(time.Time) {}) }

func (c *control) tick(ctx context.Context, now time.Time) {
	if n := c.store.Expire(now); n > 0 {
		c.a.Log.Log(logger.UpstreamsUpdated, "reason", "registrations-stayed-away", "count", n)
	}
	c.delegator.SetUnable(c.ineligible(now))
	c.askPeer(ctx, now)
	c.writeParts(ctx, now)
	c.writeBodies(ctx, now)
	c.tryParts(ctx, now)
	c.a.pins.pinner.Refresh(now)
	c.judgeFleet(now)
	c.writeVersions(ctx, now)
	c.readHeld(now)
	c.moveStreams(now, c.published)
}

const (
	// standstillAfter is the time without a turn of the control loop after which the process
	// counts as having stood still. It is longer than the interval of its periodic work.
	standstillAfter = 600 * time.Millisecond
	// standstillDrain is how long after that datagrams may have arrived before.
	standstillDrain = 600 * time.Millisecond
)

// beginTurn records that the control loop begins to handle an event, and returns the time.
func (c *control) beginTurn(now time.Time) time.Time {
	if !c.turnAt.IsZero() {
		c.recordGap(now, now.Sub(c.turnAt), now.Round(0).Sub(c.turnAt.Round(0)))
	}
	c.turnAt = now
	return now
}

// recordGap records the time between two turns on the monotonic clock and on the wall clock. While
// a VM is suspended, the former stands still.
func (c *control) recordGap(now time.Time, monotonic, wall time.Duration) {
	isSuspended := wall-monotonic > standstillAfter
	if isSuspended || monotonic > standstillAfter {
		c.standstillAt = now
	}
	if isSuspended {
		c.currentAt = time.Time{}
		c.a.pins.pinner.Distrust()
	}
}

// isDrained reports whether no datagram that is received now can have waited in the socket while
// the process stood still.
func (c *control) isDrained(now time.Time) bool {
	return now.Sub(c.standstillAt) >= standstillDrain
}

// setCurrent records that the entries of the store were those in force at a time.
func (c *control) setCurrent(at time.Time) {
	if at.After(c.currentAt) {
		c.currentAt = at
	}
}

// ineligibleFor is how long a router does not count as able to follow the store after a
// failed call to it.
const ineligibleFor = 10 * time.Second

// ineligible reports whether other routers should follow the store instead of this one,
// because its last call to the store failed recently or it is stopping.
func (c *control) ineligible(now time.Time) bool {
	return c.a.stopping.Started() || !c.failedAt.IsZero() && now.Sub(c.failedAt) < ineligibleFor
}

// handleStoreEvent passes an event of the store to the control loop.
func (c *control) handleStoreEvent(e watcher.Event) {
	c.inbox <- func(now time.Time) {
		if e.Kind == watcher.EventUnavailable {
			c.failedAt = now
			if c.store.SetUnavailable() {
				c.a.Log.Log(logger.StoreUnavailable, "revision", c.store.Revision(), "error", e.Err)
			}
			return
		}
		c.failedAt = time.Time{}
		c.storeAvailable(now)
		c.updateEra(now, e)
		c.applyEntries(now, e)
		c.setCurrent(e.CurrentAt)
	}
}

// updateEra records the era of the store, and logs if it has come back from an older copy.
func (c *control) updateEra(now time.Time, e watcher.Event) {
	era := c.a.store.Era()
	if era == c.storeEra {
		return
	}
	if c.storeEra != 0 {
		c.store.MarkRestored(now)
		c.a.Log.Log(logger.StoreRestored, "era", era, "era-before", c.storeEra, "revision", e.Revision, "revision-before", c.store.Revision(), "version", c.store.Version())
	}
	c.storeEra = era
}

// storeAvailable records that the store is available, directly or through a delegate.
func (c *control) storeAvailable(now time.Time) {
	if c.store.SetAvailable(now) {
		c.a.Log.Log(logger.StoreAvailable, "revision", c.store.Revision())
	}
}

// pullAfter returns the revision after which updates from peers are needed; 0 if there is
// no declaration yet, so that a peer sends all entries.
func (c *control) pullAfter() int64 {
	if !c.store.HasDeclaration() {
		return 0
	}
	return c.store.Revision()
}

func (c *control) applyEntries(now time.Time, e watcher.Event) {
	c.applyRecords(now, &c.parts, e)
	c.applyRecords(now, &c.bodies, e)
	c.a.pins.applyEntries(e.CurrentAt, e.Entries, e.Kind == watcher.EventSnapshot)
	c.versions.isRead = true
	for _, entry := range e.Entries {
		c.applyDeclaration(entry)
	}
	apply := c.store.ApplyChanges
	if e.Kind == watcher.EventSnapshot {
		apply = c.store.ApplySnapshot
	}
	if err := apply(now, e.Entries, e.Revision); err != nil {
		c.a.Log.Log(logger.RegistrationRejected, "revision", e.Revision, "rejected", c.store.RejectedCount(), "error", err)
	}
	c.a.rejected.Store(int64(c.store.RejectedCount()))
}

func (c *control) applyDeclaration(e kingcuphook.Entry) {
	changed, err := c.store.ApplyDeclaration(e)
	if err != nil {
		c.a.Log.Log(logger.TablesRejected, "revision", e.Revision(), "error", err)
	}
	if changed {
		c.a.Log.Log(logger.TablesApplied, "version", c.store.Version(), "revision", e.Revision(), "source", "store")
	}
}

// askPeer requests an update from a peer if the store is unavailable, or if the peer has
// had a newer revision for longer than a watch takes to deliver it.
func (c *control) askPeer(ctx context.Context, now time.Time) {
	peer := c.peers.ahead
	if !peer.IsValid() && c.store.IsUnavailable() {
		for _, a := range c.peers.pickRandom(1) {
			peer = a
		}
	}
	late := c.store.IsUnavailable() || c.published == nil || now.Sub(c.peers.aheadSince) >= c.a.batchDelay()+aheadTolerance
	if !peer.IsValid() || !late || c.asking || now.Before(c.nextAsk) {
		return
	}
	c.asking = true
	c.nextAsk = now.Add(minAskInterval)
	c.peers.ahead = netip.Addr{}
	address, revision := c.a.Settings.PeerAddressOf(peer), c.pullAfter()
	if c.peers.aheadVersion > c.store.Version() && c.peers.aheadRevision <= c.store.Revision() {
		// The peer's declaration has an earlier revision than this router's entries.
		revision = 0
	}
	go func() {
		payload, err := c.pull.Pull(ctx, address, revision, 0)
		c.do(ctx, func(now time.Time) { c.handleAnswer(now, address, payload, err) })
	}()
}

// handleAnswer handles the answer of a peer to askPeer.
func (c *control) handleAnswer(now time.Time, peer string, payload []byte, err error) {
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

// importFrom applies the export of a peer.
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

// publish passes the tables to the other parts of the router if they have changed. It reports
// whether the published tables are up to date with the entries of the store.
func (c *control) publish(now time.Time) bool {
	if c.isTooEarly(now) {
		return false
	}
	t := c.a.withdrawn.Apply(now, c.store.Tables())
	if t == nil || t == c.published || c.published == nil && c.awaitsPeer(now) {
		return true
	}
	c.publishedAt = now
	c.logPools(t)
	c.a.pins.pinner.Observe(now, t)
	first := c.published == nil
	c.published = t
	c.a.allocator.Update(t)
	c.a.relays.update(t)
	c.a.forwarder.CloseUnused(t)
	c.a.senders.retain(t)
	if c.a.index.Counts().Prefixes > 0 {
		c.a.index.Retain(now, upstreamKeys(t))
	}
	c.a.permits.Update(t)
	c.moveStreams(now, t)
	c.view.Store(&receiver.Directory{Tables: t, MaxBodyBytes: c.store.MaxBodyBytes(), HeadLimits: c.store.HeadLimits()})
	if first {
		close(c.tablesLoaded)
		c.a.Log.Log(logger.Ready, "version", t.Revision(), "revision", c.store.Revision())
	}
	return true
}

// isTooEarly reports whether tables were published less than publishInterval ago, and makes the
// control loop take a turn at its end.
func (c *control) isTooEarly(now time.Time) bool {
	if c.published == nil {
		return false
	}
	wait := publishInterval(c.published.ProgramCount()) - now.Sub(c.publishedAt)
	if wait > 0 && !c.publishDue {
		time.AfterFunc(wait, c.wake)
	}
	c.publishDue = wait > 0
	return wait > 0
}

const (
	// publishIntervalPerUpstream is the least time between two publications of tables, for each
	// upstream. A publication costs time in proportion to the upstreams, and in a large fleet
	// some upstream changes all the time.
	publishIntervalPerUpstream = 100 * time.Microsecond
	// maxPublishInterval bounds it: an upstream that leaves must get no new work after seconds.
	maxPublishInterval = 500 * time.Millisecond
)

// publishInterval returns the least time between two publications of tables with n upstreams.
func publishInterval(n int) time.Duration {
	return min(time.Duration(n)*publishIntervalPerUpstream, maxPublishInterval)
}

// awaitsPeer reports whether a router that starts has to wait before it uses its first tables,
// because a peer has newer ones or may have.
func (c *control) awaitsPeer(now time.Time) bool {
	if c.peerVersion > c.store.Version() {
		return now.Sub(c.startedAt) < newerWait
	}
	return c.peerVersion == 0 && len(c.peers.seeds) > 0 && now.Sub(c.startedAt) < peerWait
}

// logPools logs the pools whose numbers of upstreams differ from those in the tables
// that were published last.
func (c *control) logPools(t *kingcuphook.Tables) {
	for _, p := range t.Pools() {
		now, before := countUpstreams(p), upstreamCounts{}
		if c.published != nil && c.published.Pool(p.Name()) != nil {
			before = countUpstreams(c.published.Pool(p.Name()))
		}
		if now != before {
			c.a.Log.Log(logger.UpstreamsUpdated, "pool", p.Name(), "version", t.Revision(), "revision", c.store.Revision(),
				"upstreams", now.upstreams, "leaving", now.leaving, "upstreams-before", before.upstreams, "leaving-before", before.leaving)
		}
	}
}

// upstreamCounts counts the upstreams of a pool and those that are leaving.
type upstreamCounts struct{ upstreams, leaving int }

func countUpstreams(p *kingcuphook.Pool) upstreamCounts {
	s := upstreamCounts{upstreams: len(p.Upstreams())}
	for _, u := range p.Upstreams() {
		if u.Leaving() {
			s.leaving++
		}
	}
	return s
}
