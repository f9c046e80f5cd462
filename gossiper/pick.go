package gossiper

import (
	"slices"
)

// Offsets around a ring at which a router has its partners. Partners stay the
// same while the membership does, so that connections last.
var (
	localOffsets  = []int{1, 2, 5, 13, 31}
	centreOffsets = []int{1, 2, 5}
)

// probeEvery is the number of rounds between two tries of an address that is
// not a member.
const probeEvery = 8

// pick returns the partner of the next round, or an empty address.
func (g *Gossiper) pick() string {
	if a := g.retry; a != "" {
		g.retry = ""
		return a
	}
	r := g.ranks()
	if g.joining || len(r.alive) == 1 || g.ticks%probeEvery == 0 {
		if a := g.pickStranger(); a != "" {
			return a
		}
	}
	if r.rank < watchersPerDataCentre && g.ticks%4 != 0 && len(r.order) > 1 {
		return g.pickCentre(r)
	}
	switch g.ticks % 4 {
	case 1:
		if a := g.pickNear(r); a != "" {
			return a
		}
		return g.pickRemote(r)
	case 3:
		return g.pickRemote(r)
	}
	if a := g.pickLocal(r); a != "" {
		return a
	}
	return g.pickRemote(r)
}

// pickStranger returns an address of the platform's list, or of a member that
// is gone, that is not a member now. It prefers this data centre.
func (g *Gossiper) pickStranger() string {
	var near, far []string
	for a, l := range g.hints {
		if m := g.members[a]; m != nil && !m.entry.State.gone() && !g.joining {
			continue
		}
		if l == g.Location {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}
	for a, m := range g.members {
		if m.entry.State == StateDead {
			far = append(far, a)
		}
	}
	if len(near) > 0 && (len(far) == 0 || g.Rand.IntN(4) > 0) {
		return g.choose(near)
	}
	return g.choose(far)
}

// choose returns a random one of addresses, which it sorts first so that the
// outcome depends on the source of randomness only.
func (g *Gossiper) choose(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	slices.Sort(addresses)
	return addresses[g.Rand.IntN(len(addresses))]
}

// pickLocal returns a partner of this data centre.
func (g *Gossiper) pickLocal(r *roster) string {
	n := len(r.local)
	if n < 2 {
		return ""
	}
	offset := localOffsets[g.Rand.IntN(len(localOffsets))] % n
	if offset == 0 {
		offset = 1
	}
	return r.local[(r.rank+offset)%n].entry.Address
}

// pickCentre returns a root of another data centre, for a root of this one.
func (g *Gossiper) pickCentre(r *roster) string {
	n := len(r.order)
	offset := centreOffsets[g.Rand.IntN(len(centreOffsets))] % n
	if offset == 0 {
		offset = 1
	}
	return g.at(r.centres[r.order[(r.at+offset)%n]], r.rank)
}

// pickNear returns a partner of another data centre of this region.
func (g *Gossiper) pickNear(r *roster) string {
	var near []uint32
	for _, l := range r.order {
		if l != g.self.entry.Location && g.locations[l].Region == g.Location.Region {
			near = append(near, l)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return g.at(r.centres[near[g.Rand.IntN(len(near))]], r.rank)
}

// pickRemote returns a partner of another region.
func (g *Gossiper) pickRemote(r *roster) string {
	if len(r.regionOrder) == 0 {
		return g.pickLocal(r)
	}
	region := r.regionOrder[g.Rand.IntN(len(r.regionOrder))]
	return g.at(r.regions[region], r.rank+r.at+g.failedRegions[region].count)
}

// at returns the address at position i of members, wrapped around.
func (g *Gossiper) at(members []*member, i int) string {
	return members[i%len(members)].entry.Address
}
