package attacher

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook/delegator"
	"github.com/kingcuphook/kingcuphook/digester"
	"github.com/kingcuphook/kingcuphook/gatherer"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/permitter"
	"github.com/kingcuphook/kingcuphook/tallier"
)

const (
	// ticksPerDigest is how many ticks of the exchange there are per digest. Loads are
	// sent at each tick.
	ticksPerDigest = 2
	// digestPeers bounds the routers that get each full digest, nearPeers those of the
	// own data centre that get a short one in addition.
	digestPeers = 12
	nearPeers   = 2
	// memberTimeout is how long a router is kept in the list after it was last seen.
	memberTimeout = 10 * time.Second
	// suspectBytes bounds the size of the suspects in a digest.
	suspectBytes = 400
	// aheadTolerance is how long a router waits for the store to deliver changes that a
	// peer already has, in addition to the batching delay of its watch.
	aheadTolerance = 600 * time.Millisecond
)

// peers is the list of the other routers.
type peers struct {
	// lastSeen has when each router last sent a digest or was first listed in one.
	lastSeen map[netip.Addr]time.Time
	// near has the routers of the own data centre, whose hash is centre. far has the
	// routers of each other data centre that sent a digest last, by its hash.
	near   map[netip.Addr]bool
	far    map[uint32][]netip.Addr
	centre uint32
	// joined is when a new router was last seen.
	joined time.Time
	// changes counts the routers that were added to the list or removed from it.
	changes int
	// seeds are the configured addresses, which are used while few routers are known.
	seeds []netip.Addr
	// ahead is a peer with a newer revision of the store than this router, since
	// aheadSince; the zero address means that there is none.
	ahead      netip.Addr
	aheadSince time.Time
	// aheadVersion and aheadRevision are the version and the revision in its last digest.
	aheadVersion, aheadRevision int64
}

func newPeers(seeds []netip.Addr, centre uint32) *peers {
	return &peers{lastSeen: make(map[netip.Addr]time.Time), near: make(map[netip.Addr]bool), far: make(map[uint32][]netip.Addr), seeds: seeds, centre: centre}
}

// recordSeen records that a router was seen, directly or in the digest of another one.
// It reports whether the router is new.
func (p *peers) recordSeen(now time.Time, a netip.Addr) bool {
	_, known := p.lastSeen[a]
	p.lastSeen[a] = now
	if !known {
		p.joined = now
		p.changes++
	}
	return !known
}

// expire removes the routers that were not seen for memberTimeout, and returns them.
func (p *peers) expire(now time.Time) []netip.Addr {
	var left []netip.Addr
	for a, at := range p.lastSeen {
		if now.Sub(at) > memberTimeout {
			delete(p.lastSeen, a)
			delete(p.near, a)
			left = append(left, a)
			p.changes++
		}
	}
	for centre, list := range p.far {
		p.far[centre] = slices.DeleteFunc(list, func(a netip.Addr) bool { return slices.Contains(left, a) })
	}
	return left
}

const (
	// maxPerCentre bounds the known routers of each other data centre, maxCentres the number
	// of other data centres.
	maxPerCentre = 4
	maxCentres   = 64
)

// setDataCentre records the data centre of a router that sent a digest.
func (p *peers) setDataCentre(a netip.Addr, centre uint32) {
	if centre == p.centre {
		p.near[a] = true
		return
	}
	list := slices.DeleteFunc(p.far[centre], func(b netip.Addr) bool { return a == b })
	if len(list) == 0 && len(p.far) >= maxCentres {
		return
	}
	p.far[centre] = append(list[max(len(list)-maxPerCentre+1, 0):], a)
}

// byDataCentre returns the known routers by data centre.
func (p *peers) byDataCentre() gatherer.Peers {
	return gatherer.Peers{Near: slices.Collect(maps.Keys(p.near)), Far: p.far}
}

// pickRandomNear returns at most n random routers of the own data centre.
func (p *peers) pickRandomNear(n int) []netip.Addr {
	list := slices.Collect(maps.Keys(p.near))
	shuffle(list)
	return list[:min(len(list), n)]
}

func shuffle(list []netip.Addr) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// pickRandom returns at most n random routers, filled up with seeds if fewer are known.
func (p *peers) pickRandom(n int) []netip.Addr {
	list := slices.Collect(maps.Keys(p.lastSeen))
	shuffle(list)
	for _, a := range p.seeds {
		if len(list) < n && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list[:min(len(list), n)]
}

// addresses returns the addresses of all other routers.
func (p *peers) addresses() []string {
	list := make([]string, 0, len(p.lastSeen))
	for a := range p.lastSeen {
		list = append(list, a.String())
	}
	return list
}

// recent returns at most n routers, those that were seen last.
func (p *peers) recent(n int) []netip.Addr {
	list := slices.Collect(maps.Keys(p.lastSeen))
	slices.SortFunc(list, func(a, b netip.Addr) int {
		return cmp.Or(p.lastSeen[b].Compare(p.lastSeen[a]), a.Compare(b))
	})
	return list[:min(len(list), n)]
}

// receiveDatagrams receives the messages of other routers until the socket is closed.
func (a *Attacher) receiveDatagrams() error {
	buffer := make([]byte, digester.MaxBytes)
	for {
		n, from, err := a.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil //nolint:nilerr // the socket is closed when the router stops
		}
		message, peer := slices.Clone(buffer[:n]), from.Addr().Unmap()
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
	case isolator.IsMessage(message):
		return a.isolator.Import(time.Now(), message)
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
		}
	}
}

// exchangeLoads sends the loads of this router and passes the sums of all routers to the
// schedulers.
func (a *Attacher) exchangeLoads(ctx context.Context) {
	own := a.tally.Own()
	var sum tallier.Sum
	done := a.control.do(ctx, func(now time.Time) {
		a.control.sendAll(a.control.loads.Tick(now, own, a.control.peers.byDataCentre()))
		sum = a.control.loads.Sum(now, int(a.routers.Load()))
	})
	if !done {
		return
	}
	if tables := a.control.directory().Tables; tables != nil && !sum.Made.IsZero() {
		a.allocator.ReportAll(sum.Reports(tables))
	}
}

// handleLoads handles a loads message of a peer. The message is dropped if the inbox of
// the control loop is full.
func (c *control) handleLoads(from netip.Addr, message []byte) {
	event := func(now time.Time) {
		messages, err := c.loads.Receive(now, from, message, c.peers.byDataCentre())
		if err != nil {
			c.a.Log.Log(logger.PeerFailed, "peer", from, "error", err)
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
	c.a.fleet.Set(now, len(c.peers.lastSeen)+1)
	c.updateIssuers(now)
	f := c.shortDigest(now)
	c.send(f, c.peers.pickRandomNear(nearPeers))
	f.Leaving = c.a.withdrawn.Encode()
	f.Suspects = c.a.quarantine.Export(now, suspectBytes)
	c.send(f, c.peers.pickRandom(digestPeers))
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
		Version:    c.store.Version(),
		Revision:   c.store.Revision(),
		DataCentre: c.peers.centre,
		CanFollow:  !c.ineligible(now),
		Delegates:  c.delegator.Candidates(now),
		Members:    c.peers.recent(digester.MaxMembers),
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
		if c.peers.recordSeen(now, from) {
			c.a.Log.Log(logger.PeerJoined, "peer", from)
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
		return
	}
	if !c.peers.ahead.IsValid() {
		c.peers.aheadSince = now
	}
	c.peers.ahead = from
	c.peers.aheadVersion, c.peers.aheadRevision = d.Version(), d.Revision()
}
