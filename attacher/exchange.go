package attacher

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/accountant"
	"github.com/kingcuphook/kingcuphook/allocator"
	"github.com/kingcuphook/kingcuphook/delegator"
	"github.com/kingcuphook/kingcuphook/digester"
	"github.com/kingcuphook/kingcuphook/gatherer"
	"github.com/kingcuphook/kingcuphook/indexer"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/permitter"
	"github.com/kingcuphook/kingcuphook/pinner"
	"github.com/kingcuphook/kingcuphook/tallier"
)

// receiveDatagrams receives the messages of other routers until the socket is closed.
func (a *Attacher) receiveDatagrams() error {
	buffer := make([]byte, digester.MaxBytes)
	for {
		n, from, err := a.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil //nolint:nilerr // the socket is closed when the router stops
		}
		message, peer := slices.Clone(buffer[:n]), from.Addr().Unmap()
		a.candidates.heard(time.Now(), peer)
		if err := a.handleDatagram(peer, message); err != nil {
			a.Log.Log(logger.PeerFailed, "peer", from.String(), "error", err)
		}
	}
}

// handleDatagram passes the message of a peer to the part of the router that it is for.
func (a *Attacher) handleDatagram(peer netip.Addr, message []byte) error {
	switch {
	case gatherer.IsMessage(message):
		a.control.handleLoads(peer, message)
		return nil
	case permitter.IsMessage(message):
		return a.handlePermits(peer, message)
	case pinner.IsMessage(message):
		return a.pins.handleMessage(peer, message)
	case indexer.IsMessage(message):
		return a.index.Receive(time.Now(), message)
	case isolator.IsMessage(message):
		return a.isolator.Import(time.Now(), message)
	case accountant.IsReport(message), accountant.IsAnswer(message):
		return a.usage.handleMessage(peer, message)
	default:
		return a.handleDigest(peer, message)
	}
}

// handleDigest decodes and applies the digest of a peer.
func (a *Attacher) handleDigest(peer netip.Addr, message []byte) error {
	d, err := digester.Decode(message)
	if err != nil {
		return err
	}
	if err := a.handlePeerLeaving(peer, d.Leaving()); err != nil {
		return err
	}
	if len(d.Suspects()) > 0 {
		if err := a.quarantine.Import(time.Now(), d.Suspects()); err != nil {
			return err
		}
	}
	a.control.updatePeers(peer, d)
	return nil
}

// runExchange exchanges digests and loads with other routers periodically until ctx ends, and
// then closes the socket.
func (a *Attacher) runExchange(ctx context.Context) {
	ticker := time.NewTicker(gatherer.Interval)
	defer ticker.Stop()
	defer func() { _ = a.datagrams.Close() }()
	a.control.do(ctx, a.control.sendDigests)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if n%ticksPerDigest == 0 {
				a.control.do(ctx, a.control.sendDigests)
			}
			a.exchangeLoads(ctx)
			a.exchangeSpeeds(ctx)
			a.exchangeServed(ctx)
		}
	}
}

// exchangeLoads sends the loads of this router and passes the sums of all routers to the
// schedulers.
func (a *Attacher) exchangeLoads(ctx context.Context) {
	own := a.tally.Own()
	own.Subtract(a.relays.paths.Lost(time.Now()))
	if a.BoundsKVMemory {
		own = a.withHeldMemory(own)
	}
	var sum tallier.Sum
	done := a.control.do(ctx, func(now time.Time) {
		a.control.sendAll(a.control.loads.Tick(now, own, a.control.peers.byDataCentre()))
		a.control.sendLocations(now)
		sum = a.control.loads.Sum(now, int(a.routers.Load()))
	})
	if !done {
		return
	}
	if tables := a.control.directory().Tables; tables != nil && !sum.Made.IsZero() {
		a.allocator.SetRouterIndex(int(a.routerIndex.Load()), int(a.routers.Load()))
		a.allocator.SetWaiting(sum.Waiting)
		a.reports.pass(a.allocator, sum, tables)
	}
}

// loadReports passes sums of loads to the schedulers. It is used by one goroutine.
type loadReports struct {
	// sum and tables are the last ones that were passed; reports of equal ones are not made again.
	sum    tallier.Sum
	tables *kingcuphook.Tables
	// reports is the memory of the last reports, which is used again.
	reports []kingcuphook.LoadReport
}

// pass passes a sum to the schedulers. A sum is received less often than it is read in large data
// centres, so that most sums are the same as the last one.
func (r *loadReports) pass(to *allocator.Allocator, sum tallier.Sum, tables *kingcuphook.Tables) {
	if tables == r.tables && sum.Equal(r.sum) {
		to.Refresh()
		return
	}
	r.sum, r.tables = sum, tables
	r.reports = sum.AppendReports(r.reports[:0], tables)
	to.ReportAll(r.reports)
}

// withHeldMemory adds the KV memory that the requests of this router hold to its loads.
func (a *Attacher) withHeldMemory(own tallier.Loads) tallier.Loads {
	if own == nil {
		own = make(tallier.Loads)
	}
	for _, h := range a.allocator.HeldMemory() {
		own.AddHeld(h)
	}
	return own
}

// handleLoads handles a loads message of a peer. The message is dropped if the inbox of
// the control loop is full.
func (c *control) handleLoads(from netip.Addr, message []byte) {
	event := func(now time.Time) {
		messages, err := c.loads.Receive(now, from, message, c.peers.byDataCentre())
		if err != nil {
			c.logRejected(from, message, err)
			return
		}
		c.sendAll(messages)
	}
	c.offer(event)
}

// sendAll sends messages of the gatherer. Lost messages are not repeated, because later
// ones replace them.
func (c *control) sendAll(messages []gatherer.Message) {
	for _, m := range messages {
		c.sendTo(m.To, m.Payload)
	}
}

// sendDigests sends the digest of this router to random others. Lost datagrams are not
// repeated, because later ones replace them.
func (c *control) sendDigests(now time.Time) {
	for _, left := range c.peers.expire(now) {
		c.a.Log.Log(logger.PeerLeft, "peer", left, "silent-ms", memberTimeout.Milliseconds())
	}
	c.a.routers.Store(int64(len(c.peers.lastSeen) + 1))
	c.a.routerIndex.Store(int64(c.peers.index(c.a.Settings.Address())))
	c.a.fleet.Set(now, len(c.peers.lastSeen)+1)
	others := c.peers.pickRandom(len(c.peers.lastSeen) + len(c.peers.seeds))
	c.a.pins.peers.Store(&others)
	c.updateIssuers(now)
	c.updateHelpers()
	f := c.shortDigest(now)
	c.send(f, c.peers.pickRandomNear(nearPeers))
	f.Leaving = c.a.withdrawn.Encode()
	f.Suspects = c.a.quarantine.Export(now, suspectBytes)
	c.send(f, c.peers.pickRandom(digestPeers))
	c.announceGuard(now, others)
	c.sendParts(now)
}

// updateIssuers passes the routers to those that issue permits if their list has changed.
func (c *control) updateIssuers(now time.Time) {
	if c.peers.changes == c.issuersOf {
		return
	}
	c.issuersOf = c.peers.changes
	c.a.permits.SetRouters(now, c.peers.addresses())
}

// shortDigest returns the fields of a digest without leaving and suspected upstreams.
func (c *control) shortDigest(now time.Time) digester.Fields {
	return digester.Fields{
		Version:     c.store.Version(),
		Revision:    c.store.Revision(),
		DataCentre:  c.peers.centre,
		CanFollow:   !c.ineligible(now),
		Current:     !c.currentAt.IsZero(),
		CurrentAge:  max(now.Sub(c.currentAt), 0),
		CarriesNone: c.a.relays.carriesNone(),
		Delegates:   c.delegator.Candidates(now),
		Members:     c.peers.recent(digester.MaxMembers),
	}
}

func (c *control) send(f digester.Fields, peers []netip.Addr) {
	message := digester.New(f).Encode()
	c.sendToAll(message, peers)
}

func (c *control) sendTo(peer netip.Addr, message []byte) {
	port := uint16(c.a.datagrams.LocalAddr().(*net.UDPAddr).Port)
	_, _ = c.a.datagrams.WriteToUDPAddrPort(message, netip.AddrPortFrom(peer, port))
}

// updatePeers updates the known routers from the digest of a peer. The digest is dropped if
// the inbox of the control loop is full.
func (c *control) updatePeers(from netip.Addr, d digester.Digest) {
	event := func(now time.Time) {
		c.peers.guards.Heard(now, from)
		if c.peers.recordSeen(now, from) {
			c.a.Log.Log(logger.PeerJoined, "peer", from)
			c.updateHelpers()
			// A router that has just started has a short list of others.
			c.send(c.shortDigest(now), []netip.Addr{from})
			c.greetWithParts(now, from)
		}
		for _, m := range d.Members() {
			if _, known := c.peers.lastSeen[m]; !known && m != c.self {
				c.peers.recordSeen(now, m)
				c.a.Log.Log(logger.PeerJoined, "peer", m, "told-by", from)
			}
		}
		c.updateDelegates(now, from, d)
		c.updateCarries(now, from, d.CarriesNone())
		c.compareRevision(now, from, d)
	}
	c.offer(event)
}

// updateDelegates records the data centre of a peer and, if it is the own one, which routers
// the peer reports as able to follow the store.
func (c *control) updateDelegates(now time.Time, from netip.Addr, d digester.Digest) {
	c.peers.setDataCentre(from, d.DataCentre())
	if d.DataCentre() != c.peers.centre {
		return
	}
	if d.CanFollow() {
		c.delegator.RecordCandidate(now, delegator.Candidate{Address: from})
	} else {
		c.delegator.RecordWithdrawal(now, from)
	}
	for _, candidate := range d.Delegates() {
		c.delegator.RecordCandidate(now, candidate)
	}
}

// compareRevision records whether a peer has a newer revision of the store than this router.
func (c *control) compareRevision(now time.Time, from netip.Addr, d digester.Digest) {
	c.peerVersion = max(c.peerVersion, d.Version())
	if d.Version() <= c.store.Version() && d.Revision() <= c.store.Revision() {
		if from == c.peers.ahead {
			c.peers.ahead = netip.Addr{}
		}
		if age, ok := d.CurrentAge(); ok && c.isDrained(now) {
			c.setCurrent(now.Add(-age))
		}
		return
	}
	if !c.peers.ahead.IsValid() {
		c.peers.aheadSince = now
	}
	c.peers.ahead = from
	c.peers.aheadVersion, c.peers.aheadRevision = d.Version(), d.Revision()
}
