package gossiper

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// Request builds the digest for an exchange that this router starts with a peer.
func (g *Gossiper) Request(now time.Time, to string) *Digest {
	g.start(now)
	m := g.members[to]
	push := m != nil && m.revision < g.revision && g.push.sent[to] == g.revision
	d := g.header(now, push)
	switch {
	case push:
		g.addChanges(d, max(m.revision, g.push.base))
	case m != nil && m.revision > 0:
		g.addChanges(d, m.revision)
	}
	d.Joining = g.joining
	if d.Joining {
		d.After = g.joinCursor
	}
	g.addMembers(d, m)
	return d
}

// Reply builds the digest that answers a request, which must have been merged
// before.
func (g *Gossiper) Reply(now time.Time, request *Digest) *Digest {
	g.start(now)
	push := len(request.Changes) > 0 || request.Revision > g.revision
	d := g.header(now, push)
	g.addChanges(d, request.Revision)
	if request.Joining {
		g.addList(d, request.After)
		return d
	}
	g.addMembers(d, g.members[request.Sender.Address])
	return d
}

// header returns a digest without members and table changes. The load sections
// are omitted when the exchange serves to spread a new revision.
func (g *Gossiper) header(now time.Time, push bool) *Digest {
	d := &Digest{
		Sender:   g.self.entry,
		Revision: g.revision,
		Checksum: g.checksum,
	}
	if g.self.queued {
		d.Locations = append(d.Locations, g.Location)
	}
	if !push {
		g.load.addTo(g, now, d)
	}
	return d
}

// addChanges adds the table changes from revision after to the current revision,
// if they fit into MaxChangesBytes.
func (g *Gossiper) addChanges(d *Digest, after int64) {
	if g.Changes == nil || after >= g.revision {
		return
	}
	c := g.Changes(after, MaxChangesBytes)
	if len(c) == 0 || len(c) > MaxChangesBytes {
		return
	}
	d.Changes = c
	d.ChangesAfter = after
}

// addMembers adds the receiver's own entry if it is not listed as alive, so that
// the receiver can refute it, then the queued membership changes and, if the
// receiver's checksum differs, the next slice of all members.
func (g *Gossiper) addMembers(d *Digest, to *member) {
	if to != nil && to.entry.State != StateAlive {
		d.Members = append(d.Members, to.entry)
	}
	g.addQueue(d)
	if to != nil && to.checksumDiffers {
		g.addSlice(d)
	}
	g.addNames(d)
}

// addQueue adds the queued membership changes that were sent least often, and
// drops those from the queue that were sent often enough to reach the fleet.
func (g *Gossiper) addQueue(d *Digest) {
	slices.SortStableFunc(g.queue, func(a, b *member) int { return a.sends - b.sends })
	limit := 3 * bits.Len(uint(len(g.members)+1))
	for _, m := range g.queue {
		if len(d.Members) >= MaxMembers {
			break
		}
		m.sends++
		if m != g.self {
			d.Members = append(d.Members, m.entry)
		}
	}
	g.queue = slices.DeleteFunc(g.queue, func(m *member) bool {
		m.queued = m.sends < limit
		return !m.queued
	})
}

// addSlice adds the members that follow the previous slice, up to MaxMembers.
func (g *Gossiper) addSlice(d *Digest) {
	all := g.roster.byAddress
	i := after(all, g.cursor)
	for range all {
		if len(d.Members) >= MaxMembers {
			return
		}
		m := all[i%len(all)]
		i++
		g.cursor = m.entry.Address
		if m != g.self {
			d.Members = append(d.Members, m.entry)
		}
	}
}

// addList adds the members that follow address for a joining router, up to
// MaxJoinMembers.
func (g *Gossiper) addList(d *Digest, address string) {
	d.After = address
	all := g.roster.byAddress
	for _, m := range all[after(all, address):] {
		if len(d.Members) >= MaxJoinMembers {
			break
		}
		if !m.entry.State.deadOrLeft() {
			d.Members = append(d.Members, m.entry)
		}
	}
	g.addNames(d)
}

// addNames adds the region and data centre of a random member of the digest.
func (g *Gossiper) addNames(d *Digest) {
	if len(d.Members) == 0 {
		return
	}
	e := d.Members[g.Rand.IntN(len(d.Members))]
	l, ok := g.locations[e.Location]
	if ok && l != g.Location {
		d.Locations = append(d.Locations, l)
	}
}

// after returns the index of the first member whose address sorts after address.
func after(members []*member, address string) int {
	i, found := slices.BinarySearchFunc(members, address, func(m *member, a string) int {
		return strings.Compare(m.entry.Address, a)
	})
	if found {
		i++
	}
	return i
}
