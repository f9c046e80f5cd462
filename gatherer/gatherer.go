// Package gatherer aggregates the load of all routers on each upstream. In each data
// centre one router is the aggregator: the others send it their loads, and it sends
// the sum to the aggregators of the other data centres and the sum over all data
// centres to the routers of its own. Each router ranks the addresses by a hash, as in
// rendezvous hashing, and the first by rank is the aggregator, so no lock is needed.
// If two routers aggregate at the same time, the last sum received counts; if the
// aggregator fails, the next by rank takes over. The package does no I/O: messages and
// the time are passed in, and messages to be sent are returned.
package gatherer

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/tallier"
)

const (
	// Interval is the interval at which a router sends its loads to the aggregator. In
	// large data centres it is at least intervalPerRouter for each other router, to
	// limit the load on the aggregator.
	Interval          = 150 * time.Millisecond
	intervalPerRouter = 5 * time.Millisecond
	// takeoverDelay is how long a router waits for a sum, times its rank, before it
	// takes over as aggregator.
	takeoverDelay = 450 * time.Millisecond
	// staleAfter is the age from which received loads and sums are ignored.
	staleAfter = 1500 * time.Millisecond
	// maxMembers and maxCentres limit the routers of the own data centre and the other
	// data centres whose loads are kept.
	maxMembers = 1024
	maxCentres = 64
	// maxParts is the maximum number of messages in which loads are sent.
	maxParts = 64
	// contactTTL is how long after its last sum the aggregator of another data centre
	// stays the contact to which sums for that data centre are sent.
	contactTTL = 3 * time.Second
)

// Kind is the type of a message, its first byte.
type Kind byte

// Values of Kind. They differ from the first bytes of the messages of package digester,
// which arrive on the same socket.
const (
	// KindRouter has the loads of one router.
	KindRouter Kind = 0x21
	// KindCentre has the sum over the routers of a data centre, for another one.
	KindCentre Kind = 0x22
	// KindRelayed is a KindCentre message that a router relays to the aggregator of its
	// own data centre.
	KindRelayed Kind = 0x23
	// KindFleet has the sum over the routers of all data centres.
	KindFleet Kind = 0x24
)

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(b []byte) bool {
	return len(b) > 0 && Kind(b[0]) >= KindRouter && Kind(b[0]) <= KindFleet || isSpeeds(b) || IsServed(b)
}

// headerBytes is the length of the header: kind, data centre, address of the router
// that made the message, number of routers summed, index of the part, number of parts.
const headerBytes = 1 + 4 + 4 + 2 + 1 + 1

// Message is a datagram to another router.
type Message struct {
	To      netip.Addr
	Payload []byte
}

// Peers are the addresses of other routers.
type Peers struct {
	// Near are the routers of the own data centre.
	Near []netip.Addr
	// Far has some routers of each other data centre.
	Far map[uint32][]netip.Addr
}

// Gatherer makes and receives the messages of one router. Its exported fields are set
// before use. It is not safe for concurrent use.
type Gatherer struct {
	// Self is the IP address of this router, Centre identifies its data centre.
	Self   netip.Addr
	Centre uint32

	// members has the loads of the routers of the own data centre, centres the sums of
	// the other data centres, and fleet the last sum over all data centres.
	members map[netip.Addr]report
	centres map[uint32]report
	fleet   report
	// sum has the last sum over all data centres, as Sum returns it; nil if it must be computed
	// again. It is passed to readers, and so is never changed. changes counts the changes of fleet.
	sum     tallier.Loads
	changes int64
	// aggregator is the router that last sent a sum over all data centres,
	// aggregatorAt is when that arrived.
	aggregator   netip.Addr
	aggregatorAt time.Time
	// next is the earliest time at which Tick sends again.
	next time.Time
	// speeds has the samples of the speeds of upstreams.
	speeds speeds
	// served has what organisations were served.
	served served
	// own has the last loads of this router that were sent or added to a sum, the
	// newest last.
	own []ownLoads
}

// report is what one sender last reported.
type report struct {
	at   time.Time
	from netip.Addr
	// routers is the number of routers that the loads cover.
	routers int
	// parts has the loads of each message.
	parts []tallier.Loads
}

// ownLoads are the loads of this router at one time.
type ownLoads struct {
	at    time.Time
	loads tallier.Loads
}

// maxOwnLoads is the maximum number of ownLoads that are kept.
const maxOwnLoads = 8

// Tick returns the messages to be sent now, given the loads of this router. It returns
// none if the interval since the last messages hasn't passed. It must be called every
// Interval.
func (g *Gatherer) Tick(now time.Time, own tallier.Loads, peers Peers) []Message {
	if now.Before(g.next) {
		return nil
	}
	g.next = now.Add(max(Interval, time.Duration(len(peers.Near))*intervalPerRouter) - Interval/2)
	g.own = append(g.own, ownLoads{at: now, loads: own})
	g.own = g.own[max(len(g.own)-maxOwnLoads, 0):]
	ranked := g.rank(peers.Near)
	if g.isAggregator(now, slices.Index(ranked, g.Self)) {
		return g.aggregate(now, own, peers)
	}
	to := []netip.Addr{ranked[0]}
	if now.Sub(g.aggregatorAt) < staleAfter && g.aggregator != ranked[0] {
		to = append(to, g.aggregator)
	}
	return g.encodeAll(KindRouter, to, 1, own)
}

// rank returns the routers of the own data centre in order of their rank as aggregator.
func (g *Gatherer) rank(near []netip.Addr) []netip.Addr {
	ranked := append([]netip.Addr{g.Self}, near...)
	slices.SortFunc(ranked, func(a, b netip.Addr) int {
		return cmp.Or(cmp.Compare(hash(b), hash(a)), a.Compare(b))
	})
	return ranked
}

func hash(a netip.Addr) uint64 {
	b := a.As16()
	return xxhash.Sum64(b[:])
}

// isAggregator reports whether this router, which has the given rank, is the
// aggregator now: it is the first, or no other router has sent a sum over all data
// centres for takeoverDelay times the rank.
func (g *Gatherer) isAggregator(now time.Time, rank int) bool {
	return rank == 0 || now.Sub(g.aggregatorAt) > time.Duration(rank)*takeoverDelay
}

// aggregate sums the loads that were received and the own ones, and returns the
// messages with the sums: that of this data centre for the others, and that over all
// data centres for the routers of this one.
func (g *Gatherer) aggregate(now time.Time, own tallier.Loads, peers Peers) []Message {
	centre, routers := tallier.Loads{}, 1
	centre.Add(own)
	near := slices.Clone(peers.Near)
	for a, m := range g.members {
		if now.Sub(m.at) > staleAfter {
			delete(g.members, a)
			continue
		}
		routers += m.routers
		m.addTo(centre)
		if !slices.Contains(near, a) {
			near = append(near, a)
		}
	}
	var contacts []netip.Addr
	for c, far := range peers.Far {
		if to, ok := g.contact(now, c, far); ok {
			contacts = append(contacts, to)
		}
	}
	messages := g.encodeAll(KindCentre, contacts, routers, centre)
	fleet := centre
	for c, r := range g.centres {
		if now.Sub(r.at) > staleAfter {
			delete(g.centres, c)
			continue
		}
		routers += r.routers
		r.addTo(fleet)
	}
	messages = append(messages, g.encodeAll(KindFleet, near, routers, fleet)...)
	g.fleet = report{at: now, from: g.Self, routers: routers, parts: []tallier.Loads{fleet}}
	g.sum, g.changes = nil, g.changes+1
	return messages
}

// contact returns the router of another data centre to which sums are sent: the one
// that last sent the sum of that data centre, or else the routers of far in turn.
func (g *Gatherer) contact(now time.Time, centre uint32, far []netip.Addr) (netip.Addr, bool) {
	if r, ok := g.centres[centre]; ok && now.Sub(r.at) < contactTTL {
		return r.from, true
	}
	if len(far) == 0 {
		return netip.Addr{}, false
	}
	return far[int(now.UnixMilli()/Interval.Milliseconds())%len(far)], true
}

func (r *report) addTo(sum tallier.Loads) {
	for _, part := range r.parts {
		sum.Add(part)
	}
}

// encodeAll returns the messages with the given loads to each of the addresses. They share the payloads.
func (g *Gatherer) encodeAll(kind Kind, to []netip.Addr, routers int, loads tallier.Loads) []Message {
	if len(to) == 0 {
		return nil
	}
	payloads := g.encode(kind, routers, loads)
	messages := make([]Message, 0, len(to)*len(payloads))
	for _, a := range to {
		for _, payload := range payloads {
			messages = append(messages, Message{To: a, Payload: payload})
		}
	}
	return messages
}

// encode returns the payloads of the messages with the given loads.
func (g *Gatherer) encode(kind Kind, routers int, loads tallier.Loads) [][]byte {
	parts := loads.Encode()
	self := g.Self.As4()
	payloads := make([][]byte, 0, len(parts))
	for i, part := range parts {
		b := make([]byte, 0, headerBytes+len(part))
		b = append(b, byte(kind))
		b = binary.BigEndian.AppendUint32(b, g.Centre)
		b = append(b, self[:]...)
		b = binary.BigEndian.AppendUint16(b, uint16(min(routers, 1<<16-1)))
		b = append(b, byte(i), byte(len(parts)))
		payloads = append(payloads, append(b, part...))
	}
	return payloads
}

// Receive handles a received message, and returns the messages that relay it, if any.
// The error wraps ErrInvalid.
func (g *Gatherer) Receive(now time.Time, from netip.Addr, b []byte, peers Peers) ([]Message, error) {
	if isSpeeds(b) {
		return nil, g.receiveSpeeds(now, from, b)
	}
	if IsServed(b) {
		return nil, g.receiveServed(now, from, b)
	}
	p, err := decode(b)
	if err != nil {
		return nil, err
	}
	kind, centre := Kind(b[0]), binary.BigEndian.Uint32(b[1:])
	switch {
	case kind == KindCentre || kind == KindRelayed:
		if centre == g.Centre {
			return nil, nil
		}
		g.updateCentre(now, centre, p)
		return g.relay(now, kind, b, peers), nil
	case centre != g.Centre:
		return nil, fmt.Errorf("gatherer: message is from another data centre: %w", kingcuphook.ErrInvalid)
	case from != p.from:
		return nil, fmt.Errorf("gatherer: sender is not %v, which the message names: %w", p.from, kingcuphook.ErrInvalid)
	case kind == KindRouter:
		g.updateMember(now, p)
	default:
		g.fleet.update(now, p)
		g.sum, g.changes = nil, g.changes+1
		g.aggregator, g.aggregatorAt = from, now
	}
	return nil, nil
}

// decode parses a message.
func decode(b []byte) (part, error) {
	if !IsMessage(b) || len(b) < headerBytes {
		return part{}, fmt.Errorf("gatherer: unknown or truncated message: %w", kingcuphook.ErrInvalid)
	}
	p := part{
		from:    netip.AddrFrom4([4]byte(b[5:])),
		routers: int(binary.BigEndian.Uint16(b[9:])),
		index:   int(b[11]),
		count:   int(b[12]),
	}
	if p.count == 0 || p.count > maxParts || p.index >= p.count {
		return part{}, fmt.Errorf("gatherer: invalid part number %d of %d: %w", p.index, p.count, kingcuphook.ErrInvalid)
	}
	var err error
	if p.loads, err = tallier.Decode(b[headerBytes:]); err != nil {
		return part{}, fmt.Errorf("gatherer: %w", err)
	}
	return p, nil
}

// part is a parsed message: one of the parts in which a router sends loads.
type part struct {
	from         netip.Addr
	routers      int
	index, count int
	loads        tallier.Loads
}

func (g *Gatherer) updateCentre(now time.Time, centre uint32, p part) {
	if g.centres == nil {
		g.centres = make(map[uint32]report)
	}
	r, known := g.centres[centre]
	if !known && len(g.centres) >= maxCentres {
		return
	}
	r.update(now, p)
	g.centres[centre] = r
}

func (g *Gatherer) updateMember(now time.Time, p part) {
	if g.members == nil {
		g.members = make(map[netip.Addr]report)
	}
	r, known := g.members[p.from]
	if !known && len(g.members) >= maxMembers {
		return
	}
	r.update(now, p)
	g.members[p.from] = r
}

// update replaces one part of the loads, or all of them if the sender or the number of
// parts has changed.
func (r *report) update(now time.Time, p part) {
	if len(r.parts) != p.count || r.from != p.from {
		r.parts = make([]tallier.Loads, p.count)
	}
	r.at, r.from, r.routers = now, p.from, p.routers
	r.parts[p.index] = p.loads
}

// relay returns a message that relays the sum of another data centre to the aggregator
// of this one, unless this router is the aggregator or the message was relayed already.
func (g *Gatherer) relay(now time.Time, kind Kind, b []byte, peers Peers) []Message {
	ranked := g.rank(peers.Near)
	if kind == KindRelayed || g.isAggregator(now, slices.Index(ranked, g.Self)) {
		return nil
	}
	to := ranked[0]
	if now.Sub(g.aggregatorAt) < staleAfter {
		to = g.aggregator
	}
	relayed := slices.Clone(b)
	relayed[0] = byte(KindRelayed)
	return []Message{{To: to, Payload: relayed}}
}

// Sum returns the last sum over all data centres; routers is the number of routers of
// the fleet. The loads are empty if the last sum is stale or there is none.
func (g *Gatherer) Sum(now time.Time, routers int) tallier.Sum {
	s := tallier.Sum{Loads: tallier.Loads{}, Included: 1, Routers: routers, Made: g.fleet.at}
	if g.fleet.at.IsZero() || now.Sub(g.fleet.at) > staleAfter {
		return s
	}
	s.Included = max(g.fleet.routers, 1)
	s.Loads, s.Change = g.fleetLoads(), g.changes
	s.Own = g.ownAt(g.fleet.at)
	return s
}

// fleetLoads returns the loads in the last sum, which are added up once: a sum has many parts, and is
// read more often than it changes.
func (g *Gatherer) fleetLoads() tallier.Loads {
	if g.sum == nil {
		n := 0
		for _, part := range g.fleet.parts {
			n += len(part)
		}
		g.sum = make(tallier.Loads, n)
		g.fleet.addTo(g.sum)
	}
	return g.sum
}

// ownAt returns the last own loads up to the given time. A sum that arrived at that
// time is taken to include them.
func (g *Gatherer) ownAt(at time.Time) tallier.Loads {
	var loads tallier.Loads
	for _, o := range g.own {
		if o.at.After(at) {
			break
		}
		loads = o.loads
	}
	return loads
}
