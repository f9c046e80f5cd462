package gossiper

import (
	"cmp"
	"slices"

	"github.com/kingcuphook/kingcuphook/hasher"
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
	if g.roster.alive == 1 || g.ticks%probeEvery == 0 {
		if a := g.pickStranger(); a != "" {
			return a
		}
	}
	local, rank := g.local()
	if rank < watchersPerDataCentre && g.ticks%4 != 0 && len(g.roster.order) > 1 {
		return g.pickCentre(rank)
	}
	switch g.ticks % 4 {
	case 1:
		if a := g.pickNear(rank); a != "" {
			return a
		}
		return g.pickRemote()
	case 3:
		return g.pickRemote()
	}
	if len(local) > 1 {
		return pickLocal(g, local, rank)
	}
	return g.pickRemote()
}

// pickStranger returns a listed address that is not a member, or a member that
// is dead or has left and may have come back. One that left is tried while it is
// listed: started again without the platform, it knows nobody to ask.
func (g *Gossiper) pickStranger() string {
	var strangers []string
	for a := range g.hints {
		if g.members[a] == nil {
			strangers = append(strangers, a)
		}
	}
	for a, m := range g.members {
		_, listed := g.hints[a]
		if m.entry.State == StateDead || m.entry.State == StateLeft && listed {
			strangers = append(strangers, a)
		}
	}
	if len(strangers) == 0 {
		return ""
	}
	// The order of a map is random; the outcome must depend on Rand only.
	slices.Sort(strangers)
	return strangers[g.Rand.IntN(len(strangers))]
}

// pickLocal returns a partner of this data centre.
func pickLocal(g *Gossiper, local []*member, rank int) string {
	n := len(local)
	offset := localOffsets[g.Rand.IntN(len(localOffsets))] % n
	if offset == 0 {
		offset = 1
	}
	return at(local, rank+offset)
}

// pickCentre returns a root of another data centre, for a root of this one.
func (g *Gossiper) pickCentre(rank int) string {
	order := g.roster.order
	n := len(order)
	offset := centreOffsets[g.Rand.IntN(len(centreOffsets))] % n
	if offset == 0 {
		offset = 1
	}
	own, _ := slices.BinarySearch(order, g.self.entry.Location)
	return at(g.roster.centres[order[(own+offset)%n]], rank)
}

// pickNear returns a partner of another data centre of this region.
func (g *Gossiper) pickNear(rank int) string {
	var near []uint32
	for _, l := range g.roster.order {
		if l != g.self.entry.Location && g.locations[l].Region == g.Location.Region {
			near = append(near, l)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return at(g.roster.centres[near[g.Rand.IntN(len(near))]], rank)
}

// pickRemote returns a partner of another region, or an empty address. The
// partner in a data centre is found by rendezvous hashing, so that it stays
// while others come and go. Each failure in a row leads to another one.
func (g *Gossiper) pickRemote() string {
	var far []uint32
	for _, l := range g.roster.order {
		if g.locations[l].Region != g.Location.Region {
			far = append(far, l)
		}
	}
	if len(far) == 0 {
		return ""
	}
	l := far[g.Rand.IntN(len(far))]
	salt := hasher.Mix(g.self.order + uint64(g.failedRegions[g.locations[l].Region].count))
	partner := slices.MaxFunc(g.roster.centres[l], func(a, b *member) int {
		return cmp.Compare(hasher.Mix(a.order^salt), hasher.Mix(b.order^salt))
	})
	return partner.entry.Address
}

// at returns the address at position i of members, wrapped around.
func at(members []*member, i int) string {
	return members[i%len(members)].entry.Address
}
