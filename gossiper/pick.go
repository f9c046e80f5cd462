package gossiper

import (
	"cmp"
	"slices"

	"github.com/kingcuphook/kingcuphook/hasher"
)

// Offsets at which a router finds its partners on a ring of members or data
// centres. Partners only change with the membership, so that connections are
// reused.
var (
	localOffsets  = []int{1, 2, 5, 13, 31}
	centreOffsets = []int{1, 2, 5}
)

// probeEvery is the number of rounds after which an address that is not an active
// member is probed.
const probeEvery = 8

// pick returns the partner for this round, or an empty address if there is none.
func (g *Gossiper) pick() string {
	if a := g.retryAddress; a != "" {
		g.retryAddress = ""
		return a
	}
	if g.roster.alive == 1 || g.rounds%probeEvery == 0 {
		if a := g.pickNonMember(); a != "" {
			return a
		}
	}
	local, rank := g.local()
	if rank < watchersPerDataCentre && g.rounds%4 != 0 && len(g.roster.locationIDs) > 1 {
		return g.pickCentre(rank)
	}
	switch g.rounds % 4 {
	case 1:
		if a := g.pickSameRegion(rank); a != "" {
			return a
		}
		return g.pickOtherRegion()
	case 3:
		return g.pickOtherRegion()
	}
	if len(local) > 1 {
		return pickLocal(g, local, rank)
	}
	return g.pickOtherRegion()
}

// pickNonMember returns a listed address that is not a member, or a member that is
// dead or has left and may have been restarted. One that left is probed while it is
// listed: if it restarts without access to the platform, it has no peers to contact.
func (g *Gossiper) pickNonMember() string {
	var candidates []string
	for a := range g.hints {
		if g.members[a] == nil {
			candidates = append(candidates, a)
		}
	}
	for a, m := range g.members {
		_, listed := g.hints[a]
		if m.entry.State == StateDead || m.entry.State == StateLeft && listed {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	// Map iteration order is random; the result must depend on Rand only.
	slices.Sort(candidates)
	return candidates[g.Rand.IntN(len(candidates))]
}

// pickLocal returns a partner in this data centre.
func pickLocal(g *Gossiper, local []*member, rank int) string {
	n := len(local)
	offset := localOffsets[g.Rand.IntN(len(localOffsets))] % n
	if offset == 0 {
		offset = 1
	}
	return addressAt(local, rank+offset)
}

// pickCentre returns a watcher of another data centre, for a watcher of this one;
// rank is 0 or 1 and selects the watcher with the same rank.
func (g *Gossiper) pickCentre(rank int) string {
	ids := g.roster.locationIDs
	n := len(ids)
	offset := centreOffsets[g.Rand.IntN(len(centreOffsets))] % n
	if offset == 0 {
		offset = 1
	}
	own, _ := slices.BinarySearch(ids, g.self.entry.Location)
	return addressAt(g.roster.centres[ids[(own+offset)%n]], rank)
}

// pickSameRegion returns a partner in another data centre of this region, or an
// empty address.
func (g *Gossiper) pickSameRegion(rank int) string {
	var sameRegion []uint32
	for _, l := range g.roster.locationIDs {
		if l != g.self.entry.Location && g.locations[l].Region == g.Location.Region {
			sameRegion = append(sameRegion, l)
		}
	}
	if len(sameRegion) == 0 {
		return ""
	}
	return addressAt(g.roster.centres[sameRegion[g.Rand.IntN(len(sameRegion))]], rank)
}

// pickOtherRegion returns a partner in another region, or an empty address. The
// partner in a data centre is chosen by rendezvous hashing, so that it rarely
// changes when other members join or leave. The number of consecutive failures
// enters the hash, so that each one leads to another partner.
func (g *Gossiper) pickOtherRegion() string {
	var remote []uint32
	for _, l := range g.roster.locationIDs {
		if g.locations[l].Region != g.Location.Region {
			remote = append(remote, l)
		}
	}
	if len(remote) == 0 {
		return ""
	}
	l := remote[g.Rand.IntN(len(remote))]
	salt := hasher.Mix(g.self.rankHash + uint64(g.failedRegions[g.locations[l].Region].count))
	partner := slices.MaxFunc(g.roster.centres[l], func(a, b *member) int {
		return cmp.Compare(hasher.Mix(a.rankHash^salt), hasher.Mix(b.rankHash^salt))
	})
	return partner.entry.Address
}

// addressAt returns the address of the member at index i modulo the length.
func addressAt(members []*member, i int) string {
	return members[i%len(members)].entry.Address
}
