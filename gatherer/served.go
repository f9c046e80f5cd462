package gatherer

import (
	"encoding/binary"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/equalizer"
)

// Kinds of the messages with what organisations were served. Builds without them reject the
// messages, because they know neither these kinds nor a format of digests with these first bytes.
const (
	// KindRouterServed has what one router served.
	KindRouterServed Kind = 0x71
	// KindCentreServed has the sum over the routers of a data centre, for another one.
	KindCentreServed Kind = 0x72
	// KindFleetServed has the sum over the routers of all data centres.
	KindFleetServed Kind = 0x73
)

const (
	// servedInterval is the interval between messages, a multiple of Interval. It is below
	// staleAfter, from which sums are ignored.
	servedInterval = 7 * Interval
	// servedBytesPerSecond bounds what the routers of a data centre send on average for each of
	// them, with the headers of datagrams. The entries of sums follow from it.
	servedBytesPerSecond = 195
	// routerEntries is the maximum number of entries of a message of a router.
	routerEntries = 6
	// servedHeaderBytes is the length of the header: kind, data centre, list of organisations,
	// pools whose entries are cut.
	servedHeaderBytes = 1 + 4 + 4 + 2
)

// servedReport is what one sender reported.
type servedReport struct {
	at    time.Time
	loads equalizer.Loads
	// cut has the pools of which organisations with queued requests are left out.
	cut equalizer.Pools
}

func (r servedReport) fresh(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) <= staleAfter
}

// served is the state of a Gatherer for what organisations were served.
type served struct {
	// next is the earliest time of the next messages.
	next time.Time
	// list has the declared organisations; nil means that nothing is exchanged.
	list *equalizer.List
	// members and centres have what the routers of the own data centre and the aggregators of
	// the others reported, fleet is the last sum over all data centres.
	members map[netip.Addr]servedReport
	centres map[uint32]servedReport
	fleet   servedReport
	// sent are the last two reports of this router as the others decode them, the newest last.
	sent [2]servedReport
}

// SetServedList sets the list of the organisations whose service is exchanged; nil means that
// nothing is sent and that messages are ignored. Reports of another list are dropped.
func (g *Gatherer) SetServedList(l *equalizer.List) {
	if l != nil && g.served.list != nil && l.ID() == g.served.list.ID() {
		return
	}
	g.served = served{list: l, next: g.served.next}
}

// ServedDue reports whether TickServed sends messages now.
func (g *Gatherer) ServedDue(now time.Time) bool {
	return g.served.list != nil && !now.Before(g.served.next)
}

// TickServed returns the messages with what this router served since the last ones, or, if it is
// the aggregator of its data centre, with the sums. Only organisations that have queued requests
// at a router are in them; without any there are no messages.
func (g *Gatherer) TickServed(now time.Time, own equalizer.Loads, peers Peers) []Message {
	if !g.ServedDue(now) {
		return nil
	}
	g.served.next = now.Add(servedInterval - Interval/2)
	payload := g.competing(now, own).Largest(routerEntries).Encode()
	loads, _ := equalizer.Decode(payload, equalizer.MaxRate, equalizer.MaxRouters)
	sent := servedReport{at: now, loads: loads, cut: own.Omitted(loads)}
	g.served.sent = [2]servedReport{g.served.sent[1], sent}
	ranked := g.rank(peers.Near)
	if g.isAggregator(now, slices.Index(ranked, g.Self)) {
		return g.aggregateServed(now, sent, peers)
	}
	if len(loads) == 0 {
		return nil
	}
	to := ranked[0]
	if now.Sub(g.aggregatorAt) < staleAfter {
		to = g.aggregator
	}
	return g.encodeServed(nil, KindRouterServed, to, sent)
}

// competing returns the loads of organisations that have queued requests here or in the last sum.
func (g *Gatherer) competing(now time.Time, own equalizer.Loads) equalizer.Loads {
	competing := maps.Clone(own)
	maps.DeleteFunc(competing, func(k equalizer.Key, l equalizer.Load) bool {
		return l.Routers == 0 && (!g.served.fleet.fresh(now) || g.served.fleet.loads[k].Routers == 0)
	})
	return competing
}

// add adds another report to r.
func (r *servedReport) add(other servedReport) {
	r.loads.Add(other.loads)
	r.cut |= other.cut
}

// clone returns a copy that can be changed.
func (r servedReport) clone() servedReport {
	r.loads = maps.Clone(r.loads)
	return r
}

// largest returns the n largest of some loads of the report.
func (r servedReport) largest(of equalizer.Loads, n int) servedReport {
	listed := of.Largest(n)
	return servedReport{at: r.at, loads: listed, cut: r.cut | of.Omitted(listed)}
}

// aggregateServed sums the reports that were received and the own one.
func (g *Gatherer) aggregateServed(now time.Time, own servedReport, peers Peers) []Message {
	centre := own.clone()
	maps.DeleteFunc(g.served.members, func(_ netip.Addr, r servedReport) bool { return !r.fresh(now) })
	for _, r := range g.served.members {
		centre.add(r)
	}
	fleet := centre.clone()
	maps.DeleteFunc(g.served.centres, func(_ uint32, r servedReport) bool { return !r.fresh(now) })
	for _, r := range g.served.centres {
		fleet.add(r)
	}
	n := sumEntries(len(peers.Near), len(peers.Far))
	// Those that are queued in other data centres only are listed for them as well.
	maps.DeleteFunc(centre.loads, func(k equalizer.Key, _ equalizer.Load) bool { return fleet.loads[k].Routers == 0 })
	centre, fleet = centre.largest(centre.loads, n), fleet.largest(fleet.loads.Queued(), n)
	var messages []Message
	for c, far := range peers.Far {
		if to, ok := g.contact(now, c, far); ok {
			messages = g.encodeServed(messages, KindCentreServed, to, centre)
		}
	}
	for _, a := range peers.Near {
		messages = g.encodeServed(messages, KindFleetServed, a, fleet)
	}
	g.served.fleet = fleet
	return messages
}

// sumEntries returns how many entries each sum may have, so that servedBytesPerSecond holds with
// the given numbers of other routers of the data centre and of other data centres.
func sumEntries(near, far int) int {
	const head = servedHeaderBytes + datagramHeaderBytes
	sums := near + far
	if sums == 0 {
		return equalizer.MaxEntries
	}
	left := float64(near+1)*servedBytesPerSecond*servedInterval.Seconds() - float64(near*(head+routerEntries*equalizer.EntryBytes)+sums*head)
	return min(max(int(left)/(sums*equalizer.EntryBytes), 0), equalizer.MaxEntries)
}

// encodeServed adds a message with the loads of a report, if there are any.
func (g *Gatherer) encodeServed(messages []Message, kind Kind, to netip.Addr, r servedReport) []Message {
	if len(r.loads) == 0 {
		return messages
	}
	b := append(make([]byte, 0, servedHeaderBytes+len(r.loads)*equalizer.EntryBytes), byte(kind))
	b = binary.BigEndian.AppendUint32(b, g.Centre)
	b = binary.BigEndian.AppendUint32(b, g.served.list.ID())
	b = binary.BigEndian.AppendUint16(b, uint16(r.cut))
	return append(messages, Message{To: to, Payload: append(b, r.loads.Encode()...)})
}

// IsServed reports whether a datagram has what organisations were served.
func IsServed(b []byte) bool {
	return len(b) > 0 && Kind(b[0]) >= KindRouterServed && Kind(b[0]) <= KindFleetServed
}

// receiveServed handles a message with what organisations were served. The error wraps ErrInvalid.
func (g *Gatherer) receiveServed(now time.Time, from netip.Addr, b []byte) error {
	if g.served.list == nil {
		return nil
	}
	if len(b) <= servedHeaderBytes {
		return fmt.Errorf("gatherer: truncated message of %d bytes: %w", len(b), kingcuphook.ErrInvalid)
	}
	kind, centre := Kind(b[0]), binary.BigEndian.Uint32(b[1:])
	if (centre == g.Centre) == (kind == KindCentreServed) {
		return fmt.Errorf("gatherer: tokens served from %v don't fit its data centre: %w", from, kingcuphook.ErrInvalid)
	}
	maxRate, maxRouters := float64(equalizer.MaxRate), equalizer.MaxRouters
	if kind == KindRouterServed {
		maxRate, maxRouters = equalizer.MaxRouterRate, 1
	}
	loads, err := equalizer.Decode(b[servedHeaderBytes:], maxRate, maxRouters)
	if err != nil {
		return fmt.Errorf("gatherer: %w", err)
	}
	if binary.BigEndian.Uint32(b[5:]) != g.served.list.ID() {
		return nil
	}
	if err := g.served.list.Check(loads); err != nil {
		return fmt.Errorf("gatherer: %w", err)
	}
	cut := equalizer.Pools(binary.BigEndian.Uint16(b[9:]))
	g.recordServed(kind, from, centre, servedReport{at: now, loads: loads, cut: cut})
	return nil
}

// recordServed replaces the last report of a sender. Reports of too many senders are dropped.
func (g *Gatherer) recordServed(kind Kind, from netip.Addr, centre uint32, r servedReport) {
	s := &g.served
	if s.members == nil {
		s.members, s.centres = make(map[netip.Addr]servedReport), make(map[uint32]servedReport)
	}
	switch kind {
	case KindRouterServed:
		if _, known := s.members[from]; known || len(s.members) < maxMembers {
			s.members[from] = r
		}
	case KindCentreServed:
		if _, known := s.centres[centre]; known || len(s.centres) < maxCentres {
			s.centres[centre] = r
		}
	default:
		s.fleet = r
	}
}

// ServedElsewhere returns what the other routers served according to the last sum. It returns
// false if the sum is stale or there is none. Pools with more competing organisations than the
// sum lists are left out: the organisations that it lacks would get almost nothing.
func (g *Gatherer) ServedElsewhere(now time.Time) (equalizer.Loads, bool) {
	if g.served.list == nil || !g.served.fleet.fresh(now) {
		return nil, false
	}
	var own equalizer.Loads
	for _, r := range g.served.sent {
		// A sum that arrived at the time of a report is taken to include it.
		if r.fresh(now) && !r.at.After(g.served.fleet.at) {
			own = r.loads
		}
	}
	return g.served.fleet.loads.Without(own).WithoutPools(g.served.fleet.cut), true
}
