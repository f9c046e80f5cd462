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
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/tallier"
)

const (
	// ticksPerDigest is how often loads are told for each digest.
	ticksPerDigest = 2
	// digestPeers bounds the routers that one digest is sent to, nearPeers those of
	// the data centre that a short one is sent to besides.
	digestPeers = 12
	nearPeers   = 2
	// memberKept is how long a router is remembered that is not heard of.
	memberKept = 10 * time.Second
	// suspectBytes bounds the suspects in a digest.
	suspectBytes = 400
	// behindAfter is how long a router waits for the store to tell it what a peer
	// knows already, beyond the time for which it gathers changes.
	behindAfter = 600 * time.Millisecond
)

// peers are the other routers as the control loop knows them.
type peers struct {
	// heard has when each router was last heard or heard of.
	heard map[netip.Addr]time.Time
	// near has those of the own data centre, which centre stands for; far has the last
	// few that were heard of each other one.
	near   map[netip.Addr]bool
	far    map[uint32][]netip.Addr
	centre uint32
	// joined is when a router was met last that was new.
	joined time.Time
	// seeds are asked as long as nobody else is known.
	seeds []netip.Addr
	// ahead is a peer that knows more of the store than this router, since when;
	// the zero address means that there is none.
	ahead      netip.Addr
	aheadSince time.Time
}

func newPeers(seeds []netip.Addr, centre uint32) *peers {
	return &peers{heard: make(map[netip.Addr]time.Time), near: make(map[netip.Addr]bool), far: make(map[uint32][]netip.Addr), seeds: seeds, centre: centre}
}

// meet notes that a router was heard, or heard of. It reports whether it is new.
func (p *peers) meet(now time.Time, a netip.Addr) bool {
	_, known := p.heard[a]
	p.heard[a] = now
	if !known {
		p.joined = now
	}
	return !known
}

// expire forgets routers that were not heard of for long, and returns them.
func (p *peers) expire(now time.Time) []netip.Addr {
	var left []netip.Addr
	for a, at := range p.heard {
		if now.Sub(at) > memberKept {
			delete(p.heard, a)
			delete(p.near, a)
			left = append(left, a)
		}
	}
	for centre, list := range p.far {
		p.far[centre] = slices.DeleteFunc(list, func(a netip.Addr) bool { return slices.Contains(left, a) })
	}
	return left
}

const (
	// maxFar bounds the routers that are kept of another data centre, maxCentres the
	// data centres.
	maxFar     = 4
	maxCentres = 64
)

// place notes the data centre of a router that was heard.
func (p *peers) place(a netip.Addr, centre uint32) {
	if centre == p.centre {
		p.near[a] = true
		return
	}
	list := slices.DeleteFunc(p.far[centre], func(b netip.Addr) bool { return a == b })
	if len(list) == 0 && len(p.far) >= maxCentres {
		return
	}
	p.far[centre] = append(list[max(len(list)-maxFar+1, 0):], a)
}

// known returns the routers of each data centre.
func (p *peers) known() gatherer.Peers {
	return gatherer.Peers{Near: slices.Collect(maps.Keys(p.near)), Far: p.far}
}

// pickNear returns at most n routers of the data centre by chance.
func (p *peers) pickNear(n int) []netip.Addr {
	list := slices.Collect(maps.Keys(p.near))
	shuffle(list)
	return list[:min(len(list), n)]
}

func shuffle(list []netip.Addr) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// pick returns at most n routers by chance, and the seeds if fewer are known.
func (p *peers) pick(n int) []netip.Addr {
	list := slices.Collect(maps.Keys(p.heard))
	shuffle(list)
	for _, a := range p.seeds {
		if len(list) < n && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list[:min(len(list), n)]
}

// recent returns at most n routers that were heard last.
func (p *peers) recent(n int) []netip.Addr {
	list := slices.Collect(maps.Keys(p.heard))
	slices.SortFunc(list, func(a, b netip.Addr) int {
		return cmp.Or(p.heard[b].Compare(p.heard[a]), a.Compare(b))
	})
	return list[:min(len(list), n)]
}

// hear takes the messages of other routers until the socket is closed.
func (a *Attacher) hear() error {
	buffer := make([]byte, digester.MaxBytes)
	for {
		n, from, err := a.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil //nolint:nilerr // the socket is closed at the end of the process
		}
		message, peer := slices.Clone(buffer[:n]), from.Addr().Unmap()
		if gatherer.IsMessage(message) {
			a.control.heardLoads(peer, message)
			continue
		}
		if err := a.heardDigest(peer, message); err != nil {
			a.Log.Log(logger.PeerFailed, "peer", from.String(), "error", err)
		}
	}
}

// heardDigest takes a digest.
func (a *Attacher) heardDigest(peer netip.Addr, message []byte) error {
	d, err := digester.Decode(message)
	if err != nil {
		return err
	}
	if err := a.toldLeaving(peer, d.Leaving()); err != nil {
		return err
	}
	if len(d.Suspects()) > 0 {
		if err := a.quarantine.Import(time.Now(), d.Suspects()); err != nil {
			return err
		}
	}
	a.control.heard(peer, d)
	return nil
}

// tell sends digests and loads, and hands what others run to the schedulers, until ctx
// ends.
func (a *Attacher) tell(ctx context.Context) {
	ticker := time.NewTicker(gatherer.Interval)
	defer ticker.Stop()
	defer func() { _ = a.datagrams.Close() }()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if n%ticksPerDigest == 0 {
				a.control.do(ctx, a.control.tell)
			}
			a.tellLoads(ctx)
		}
	}
}

// tellLoads sends what this router runs, and takes what the others do.
func (a *Attacher) tellLoads(ctx context.Context) {
	own := a.tally.Own()
	var sum tallier.Sum
	a.control.do(ctx, func(now time.Time) {
		a.control.sendAll(a.control.loads.Tick(now, own, a.control.peers.known()))
		sum = a.control.loads.Sum(now, int(a.routers.Load()))
	})
	if tables := a.control.directory().Tables; tables != nil && !sum.Made.IsZero() {
		a.allocator.ReportAll(sum.Reports(tables))
	}
}

// heardLoads takes what a peer tells of loads. What comes faster than the control loop
// takes it is dropped.
func (c *control) heardLoads(from netip.Addr, message []byte) {
	event := func(now time.Time) {
		messages, err := c.loads.Receive(now, from, message, c.peers.known())
		if err != nil {
			c.a.Log.Log(logger.PeerFailed, "peer", from, "error", err)
			return
		}
		c.sendAll(messages)
	}
	c.offer(event)
}

// sendAll sends messages of the gatherer. One that is lost is made up for by the next.
func (c *control) sendAll(messages []gatherer.Message) {
	for _, m := range messages {
		c.sendTo(m.To, m.Payload)
	}
}

// tell sends the digest of this router to some of the others. A datagram that is
// lost is made up for by the next one.
func (c *control) tell(now time.Time) {
	for _, left := range c.peers.expire(now) {
		c.a.Log.Log(logger.PeerLeft, "peer", left, "silent-ms", memberKept.Milliseconds())
	}
	c.a.routers.Store(int64(len(c.peers.heard) + 1))
	f := c.short(now)
	c.send(f, c.peers.pickNear(nearPeers))
	f.Leaving = c.a.withdrawn.Encode()
	f.Suspects = c.a.quarantine.Export(now, suspectBytes)
	c.send(f, c.peers.pick(digestPeers))
}

// short returns a digest that tells of the store and of routers only.
func (c *control) short(now time.Time) digester.Fields {
	return digester.Fields{
		Version:    c.store.Version(),
		Revision:   c.store.Revision(),
		DataCentre: c.peers.centre,
		CanFollow:  !c.away(now),
		Delegates:  c.delegator.Candidates(now),
		Members:    c.peers.recent(digester.MaxMembers),
	}
}

func (c *control) send(f digester.Fields, peers []netip.Addr) {
	message := digester.New(f).Encode()
	for _, peer := range peers {
		c.sendTo(peer, message)
	}
}

func (c *control) sendTo(peer netip.Addr, message []byte) {
	port := uint16(c.a.datagrams.LocalAddr().(*net.UDPAddr).Port)
	_, _ = c.a.datagrams.WriteToUDPAddrPort(message, netip.AddrPortFrom(peer, port))
}

// heard takes the digest of a peer. What comes faster than the control loop takes
// it is dropped.
func (c *control) heard(from netip.Addr, d digester.Digest) {
	event := func(now time.Time) {
		if c.peers.meet(now, from) {
			c.a.Log.Log(logger.PeerJoined, "peer", from)
			// One that has just started knows hardly anybody.
			c.send(c.short(now), []netip.Addr{from})
		}
		for _, m := range d.Members() {
			if _, known := c.peers.heard[m]; !known && m != c.self {
				c.peers.meet(now, m)
				c.a.Log.Log(logger.PeerJoined, "peer", m, "told-by", from)
			}
		}
		c.delegates(now, from, d)
		c.compare(now, from, d)
	}
	c.offer(event)
}

// delegates notes what a router of the data centre says of those that can follow
// the store.
func (c *control) delegates(now time.Time, from netip.Addr, d digester.Digest) {
	c.peers.place(from, d.DataCentre())
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

// compare notes a peer that knows more of the store than this router.
func (c *control) compare(now time.Time, from netip.Addr, d digester.Digest) {
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
}
