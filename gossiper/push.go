package gossiper

import (
	"slices"
	"time"
)

// pusher spreads a new revision along a tree over the data centre, which depends
// on the revision.
type pusher struct {
	// waiting are the addresses still to be told, in the order found. Those in
	// urgent do not wait for the pause between pushes.
	waiting []string
	urgent  map[string]bool
	// sent holds the revision last pushed to each address.
	sent map[string]int64
	// base is the revision before those to be told. The neighbours are taken to
	// have it, whatever they last said of themselves.
	base int64
	// from is the peer that the revision came from; empty for the store.
	from string
	// last is when the last push went out.
	last time.Time
	// pause is the least time between two pushes.
	pause time.Duration
}

// startPush queues the neighbours in the tree for the revision in force, which
// follows base.
func (g *Gossiper) startPush(base int64, from string) {
	p := &g.push
	if len(p.waiting) == 0 {
		p.base = base
	}
	if p.sent == nil {
		p.sent = make(map[string]int64)
		p.urgent = make(map[string]bool)
	}
	// The push of the new revision reaches all whom an older one was for.
	p.waiting = nil
	clear(p.urgent)
	p.from = from
	p.pause = relayPause
	if from == "" {
		p.pause = sourcePause
	}
	local, rank := g.local()
	for _, i := range neighbours(rank, len(local), g.revision) {
		if from == "" && rank < watchersPerDataCentre && i < watchersPerDataCentre {
			continue
		}
		g.reach(local, i, rank)
	}
}

// reach queues the member at position i. If it did not answer of late, the
// neighbours beyond it, seen from position from, are queued as well.
func (g *Gossiper) reach(local []*member, i, from int) {
	m := local[i]
	if m == g.self || m.entry.Address == g.push.from || slices.Contains(g.push.waiting, m.entry.Address) {
		return
	}
	g.wait(m.entry.Address, false)
	if m.failures == 0 && m.entry.State == StateAlive {
		return
	}
	for _, j := range neighbours(i, len(local), g.revision) {
		if j != from {
			g.reach(local, j, i)
		}
	}
}

func (g *Gossiper) wait(address string, urgent bool) {
	if urgent {
		g.push.urgent[address] = true
	}
	if !slices.Contains(g.push.waiting, address) {
		g.push.waiting = append(g.push.waiting, address)
	}
}

// duePushes takes out the addresses to be told now.
func (g *Gossiper) duePushes(now time.Time) []string {
	p := &g.push
	rested := now.Sub(p.last) >= p.pause
	var due, kept []string
	for _, a := range p.waiting {
		m := g.members[a]
		switch {
		case m == nil || m.entry.State.gone() || m.revision >= g.revision:
		case !rested && !p.urgent[a]:
			kept = append(kept, a)
			continue
		default:
			due = append(due, a)
			p.sent[a] = g.revision
		}
		delete(p.urgent, a)
	}
	p.waiting = kept
	if rested && len(due) > 0 {
		p.last = now
	}
	return due
}

// bypass repeats a push that failed, and tells the neighbours beyond the member
// in its place.
func (g *Gossiper) bypass(m *member) {
	p := &g.push
	if p.sent[m.entry.Address] != g.revision || m.revision >= g.revision {
		return
	}
	delete(p.sent, m.entry.Address)
	if m.failures < suspectFailures {
		g.wait(m.entry.Address, true)
	}
	local, rank := g.local()
	i := slices.Index(local, m)
	if i < 0 {
		return
	}
	for _, j := range neighbours(i, len(local), g.revision) {
		a := local[j].entry.Address
		if j != rank && a != p.from && p.sent[a] != g.revision {
			g.wait(a, true)
		}
	}
}
