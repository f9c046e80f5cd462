// Package gatherer sums what all routers have running on each upstream. The routers of
// a data centre tell one of them, which tells the sum to those of the other data
// centres, and the sum over all data centres to its own. Who that is follows from the
// addresses, by rendezvous hashing: no lock is taken. If two sum at once, the newest
// sum counts; if the one is gone, the next by rank takes its place. It is a pure
// decision: messages and the time are passed in, messages to be sent are returned.
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
	// Every is the least time between two messages of a router to its gatherer. In
	// large data centres it is more, perRouter for each router, so that the gatherer
	// is not busy with it.
	Every     = 150 * time.Millisecond
	perRouter = 5 * time.Millisecond
	// patience is how long the next by rank waits for the sum of the one before it.
	patience = 450 * time.Millisecond
	// stale is the age at which what was heard no longer counts.
	stale = 1500 * time.Millisecond
	// maxMembers and maxCentres bound what is remembered.
	maxMembers = 1024
	maxCentres = 64
	// maxParts bounds the payloads of a sum.
	maxParts = 64
	// contactKept is how long a router of another data centre is told sums that sent
	// one itself.
	contactKept = 3 * time.Second
)

// Kind says what a message tells.
type Kind byte

// Values of Kind. They differ from the first bytes of digests.
const (
	// KindRouter tells what one router runs.
	KindRouter Kind = 0x21
	// KindCentre tells what the routers of a data centre run.
	KindCentre Kind = 0x22
	// KindRelayed is KindCentre, passed on within a data centre.
	KindRelayed Kind = 0x23
	// KindFleet tells what the routers of all data centres run.
	KindFleet Kind = 0x24
)

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(b []byte) bool {
	return len(b) > 0 && Kind(b[0]) >= KindRouter && Kind(b[0]) <= KindFleet
}

// headBytes is the length of what is before the loads: kind, data centre, who made it,
// number of routers, part, number of parts.
const headBytes = 1 + 4 + 4 + 2 + 1 + 1

// Message is a datagram to another router.
type Message struct {
	To      netip.Addr
	Payload []byte
}

// Peers are the other routers that are known.
type Peers struct {
	// Near are those of the own data centre.
	Near []netip.Addr
	// Far has some of each other data centre.
	Far map[uint32][]netip.Addr
}

// Gatherer decides for one router. Its exported fields are set before use. It is used
// by one goroutine.
type Gatherer struct {
	// Self is the IP number of this router, Centre stands for its data centre.
	Self   netip.Addr
	Centre uint32

	// members has what the routers of the data centre told, centres what the others
	// did, fleet what this one was told of all.
	members map[netip.Addr]told
	centres map[uint32]told
	fleet   told
	// gatherer is who told of all last, when.
	gatherer   netip.Addr
	gathererAt time.Time
	// next is when this router tells again.
	next time.Time
	// own are the loads that this router told, the newest last.
	own []ownLoads
}

// told is what was told by one sender.
type told struct {
	at   time.Time
	from netip.Addr
	// routers is how many routers it tells of.
	routers int
	// parts has the loads of each payload.
	parts []tallier.Loads
}

// ownLoads is what this router told of itself.
type ownLoads struct {
	at    time.Time
	loads tallier.Loads
}

// ownKept is how many of these are kept.
const ownKept = 8

// Tick returns what is to be sent now, given what this router runs. It returns nothing
// between two turns.
func (g *Gatherer) Tick(now time.Time, own tallier.Loads, peers Peers) []Message {
	if now.Before(g.next) {
		return nil
	}
	g.next = now.Add(max(Every, time.Duration(len(peers.Near))*perRouter) - Every/2)
	g.own = append(g.own, ownLoads{at: now, loads: own})
	g.own = g.own[max(len(g.own)-ownKept, 0):]
	ranked := g.rank(peers.Near)
	if g.acts(now, slices.Index(ranked, g.Self)) {
		return g.gather(now, own, peers)
	}
	to := []netip.Addr{ranked[0]}
	if now.Sub(g.gathererAt) < stale && g.gatherer != ranked[0] {
		to = append(to, g.gatherer)
	}
	var messages []Message
	for _, a := range to {
		messages = append(messages, g.encode(KindRouter, a, 1, own)...)
	}
	return messages
}

// rank returns the routers of the data centre, the one that sums first.
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

// acts reports whether this router sums, which is of the given rank: it is the first,
// or those before it have not told of all for long.
func (g *Gatherer) acts(now time.Time, rank int) bool {
	return rank == 0 || now.Sub(g.gathererAt) > time.Duration(rank)*patience
}

// gather sums what was heard, and returns the messages that tell it.
func (g *Gatherer) gather(now time.Time, own tallier.Loads, peers Peers) []Message {
	centre, routers := tallier.Loads{}, 1
	centre.Add(own)
	near := slices.Clone(peers.Near)
	for a, m := range g.members {
		if now.Sub(m.at) > stale {
			delete(g.members, a)
			continue
		}
		routers += m.routers
		m.addTo(centre)
		if !slices.Contains(near, a) {
			near = append(near, a)
		}
	}
	var messages []Message
	for c, far := range peers.Far {
		if to, ok := g.contact(now, c, far); ok {
			messages = append(messages, g.encode(KindCentre, to, routers, centre)...)
		}
	}
	fleet := centre
	for c, t := range g.centres {
		if now.Sub(t.at) > stale {
			delete(g.centres, c)
			continue
		}
		routers += t.routers
		t.addTo(fleet)
	}
	for _, a := range near {
		messages = append(messages, g.encode(KindFleet, a, routers, fleet)...)
	}
	g.fleet = told{at: now, from: g.Self, routers: routers, parts: []tallier.Loads{fleet}}
	return messages
}

// contact returns the router of another data centre to be told: the one that told its
// sum last, or one of those that are known.
func (g *Gatherer) contact(now time.Time, centre uint32, far []netip.Addr) (netip.Addr, bool) {
	if t, ok := g.centres[centre]; ok && now.Sub(t.at) < contactKept {
		return t.from, true
	}
	if len(far) == 0 {
		return netip.Addr{}, false
	}
	return far[int(now.UnixMilli()/Every.Milliseconds())%len(far)], true
}

func (t *told) addTo(sum tallier.Loads) {
	for _, part := range t.parts {
		sum.Add(part)
	}
}

// encode returns the messages that tell the loads.
func (g *Gatherer) encode(kind Kind, to netip.Addr, routers int, loads tallier.Loads) []Message {
	parts := loads.Encode()
	self := g.Self.As4()
	messages := make([]Message, 0, len(parts))
	for i, part := range parts {
		b := make([]byte, 0, headBytes+len(part))
		b = append(b, byte(kind))
		b = binary.BigEndian.AppendUint32(b, g.Centre)
		b = append(b, self[:]...)
		b = binary.BigEndian.AppendUint16(b, uint16(min(routers, 1<<16-1)))
		b = append(b, byte(i), byte(len(parts)))
		messages = append(messages, Message{To: to, Payload: append(b, part...)})
	}
	return messages
}

// Take takes a message, and returns those that pass it on. The error wraps ErrInvalid.
func (g *Gatherer) Take(now time.Time, from netip.Addr, b []byte, peers Peers) ([]Message, error) {
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
		g.takeCentre(now, centre, p)
		return g.relay(now, kind, b, peers), nil
	case centre != g.Centre:
		return nil, fmt.Errorf("gatherer: message of another data centre: %w", kingcuphook.ErrInvalid)
	case from != p.from:
		return nil, fmt.Errorf("gatherer: message of %v: %w", p.from, kingcuphook.ErrInvalid)
	case kind == KindRouter:
		g.takeMember(now, p)
	default:
		g.fleet.take(now, p)
		g.gatherer, g.gathererAt = from, now
	}
	return nil, nil
}

// decode reads what a message tells.
func decode(b []byte) (part, error) {
	if !IsMessage(b) || len(b) < headBytes {
		return part{}, fmt.Errorf("gatherer: no message: %w", kingcuphook.ErrInvalid)
	}
	p := part{
		from:    netip.AddrFrom4([4]byte(b[5:])),
		routers: int(binary.BigEndian.Uint16(b[9:])),
		index:   int(b[11]),
		of:      int(b[12]),
	}
	if p.of == 0 || p.of > maxParts || p.index >= p.of {
		return part{}, fmt.Errorf("gatherer: part %d of %d: %w", p.index, p.of, kingcuphook.ErrInvalid)
	}
	var err error
	if p.loads, err = tallier.Decode(b[headBytes:]); err != nil {
		return part{}, fmt.Errorf("gatherer: %w", err)
	}
	return p, nil
}

// part is one payload of the router that made it.
type part struct {
	from      netip.Addr
	routers   int
	index, of int
	loads     tallier.Loads
}

func (g *Gatherer) takeCentre(now time.Time, centre uint32, p part) {
	if g.centres == nil {
		g.centres = make(map[uint32]told)
	}
	t, known := g.centres[centre]
	if !known && len(g.centres) >= maxCentres {
		return
	}
	t.take(now, p)
	g.centres[centre] = t
}

func (g *Gatherer) takeMember(now time.Time, p part) {
	if g.members == nil {
		g.members = make(map[netip.Addr]told)
	}
	t, known := g.members[p.from]
	if !known && len(g.members) >= maxMembers {
		return
	}
	t.take(now, p)
	g.members[p.from] = t
}

// take replaces a part of what a sender told, or all of it if it tells in another
// number of parts.
func (t *told) take(now time.Time, p part) {
	if len(t.parts) != p.of || t.from != p.from {
		t.parts = make([]tallier.Loads, p.of)
	}
	t.at, t.from, t.routers = now, p.from, p.routers
	t.parts[p.index] = p.loads
}

// relay passes the sum of another data centre on to who sums here.
func (g *Gatherer) relay(now time.Time, kind Kind, b []byte, peers Peers) []Message {
	ranked := g.rank(peers.Near)
	if kind == KindRelayed || g.acts(now, slices.Index(ranked, g.Self)) {
		return nil
	}
	to := ranked[0]
	if now.Sub(g.gathererAt) < stale {
		to = g.gatherer
	}
	relayed := slices.Clone(b)
	relayed[0] = byte(KindRelayed)
	return []Message{{To: to, Payload: relayed}}
}

// Sum returns what all routers run, as last heard; routers is how many there are. It is
// empty if nothing was heard lately.
func (g *Gatherer) Sum(now time.Time, routers int) tallier.Sum {
	s := tallier.Sum{Loads: tallier.Loads{}, Heard: 1, Routers: routers, Made: g.fleet.at}
	if g.fleet.at.IsZero() || now.Sub(g.fleet.at) > stale {
		return s
	}
	s.Heard = max(g.fleet.routers, 1)
	g.fleet.addTo(s.Loads)
	s.Own = g.ownAt(g.fleet.at)
	return s
}

// ownAt returns what this router had told of itself when a sum that came at the given
// time was made.
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
