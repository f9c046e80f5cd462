package gossiper

import (
	"slices"
	"time"
)

// pushState is the state of pushing new revisions along a tree of the members of a
// data centre. The shape of the tree depends on the revision.
type pushState struct {
	// pending are the addresses that still need the current revision, in the order
	// of discovery. Those in urgent are not subject to minInterval.
	pending []string
	urgent  map[string]bool
	// sent holds the latest revision pushed to each address.
	sent map[string]int64
	// base is the revision before those being pushed. The neighbours are assumed to
	// have it even if their latest digest had a lower one.
	base int64
	// from is the address of the peer that the current revision came from; empty for
	// the store.
	from string
	// lastPush is the time of the latest push made after minInterval had elapsed.
	lastPush time.Time
	// minInterval is the minimum time between two pushes.
	minInterval time.Duration
}

// startPush queues pushes of the current revision, which follows base, to the
// neighbours in the tree. A watcher that read it from the store skips the other
// watcher, which reads it there as well.
func (g *Gossiper) startPush(base int64, from string) {
	p := &g.push
	if len(p.pending) == 0 {
		p.base = base
	}
	if p.sent == nil {
		p.sent = make(map[string]int64)
		p.urgent = make(map[string]bool)
	}
	// The push of the new revision replaces pending pushes of older ones.
	p.pending = nil
	clear(p.urgent)
	p.from = from
	p.minInterval = relayPushInterval
	if from == "" {
		p.minInterval = sourcePushInterval
	}
	local, rank := g.local()
	for _, i := range neighbours(rank, len(local), g.revision) {
		if from == "" && rank < watchersPerDataCentre && i < watchersPerDataCentre {
			continue
		}
		g.queueNeighbour(local, i, rank)
	}
}

// queueNeighbour queues a push to the member at position i. If that member failed
// to answer or is suspected, its neighbours other than position from are queued too.
func (g *Gossiper) queueNeighbour(local []*member, i, from int) {
	m := local[i]
	if m == g.self || m.entry.Address == g.push.from || slices.Contains(g.push.pending, m.entry.Address) {
		return
	}
	g.queuePush(m.entry.Address, false)
	if m.failures == 0 && m.entry.State == StateAlive {
		return
	}
	for _, j := range neighbours(i, len(local), g.revision) {
		if j != from {
			g.queueNeighbour(local, j, i)
		}
	}
}

func (g *Gossiper) queuePush(address string, urgent bool) {
	if urgent {
		g.push.urgent[address] = true
	}
	if !slices.Contains(g.push.pending, address) {
		g.push.pending = append(g.push.pending, address)
	}
}

// duePushes removes the addresses from the pending ones to which the current
// revision is to be pushed now, and returns them.
func (g *Gossiper) duePushes(now time.Time) []string {
	p := &g.push
	intervalElapsed := now.Sub(p.lastPush) >= p.minInterval
	var due, deferred []string
	for _, a := range p.pending {
		m := g.members[a]
		switch {
		case m == nil || m.entry.State.deadOrLeft() || m.revision >= g.revision:
		case !intervalElapsed && !p.urgent[a]:
			deferred = append(deferred, a)
			continue
		default:
			due = append(due, a)
			p.sent[a] = g.revision
		}
		delete(p.urgent, a)
	}
	p.pending = deferred
	if intervalElapsed && len(due) > 0 {
		p.lastPush = now
	}
	return due
}

// recoverPush handles a failed push to m: it repeats the push unless m has failed
// suspectFailures times in a row, and pushes to the other neighbours of m in its
// place.
func (g *Gossiper) recoverPush(m *member) {
	p := &g.push
	if p.sent[m.entry.Address] != g.revision || m.revision >= g.revision {
		return
	}
	delete(p.sent, m.entry.Address)
	if m.failures < suspectFailures {
		g.queuePush(m.entry.Address, true)
	}
	local, rank := g.local()
	i := slices.Index(local, m)
	if i < 0 {
		return
	}
	for _, j := range neighbours(i, len(local), g.revision) {
		a := local[j].entry.Address
		if j != rank && a != p.from && p.sent[a] != g.revision {
			g.queuePush(a, true)
		}
	}
}
