package gossiper

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook/hasher"
)

// maxLocations limits the location names kept.
const maxLocations = 256

// roster indexes the members in the orders needed to select partners.
type roster struct {
	// byAddress holds self and all members sorted by address, including those that
	// are dead or have left.
	byAddress []*member
	// alive counts self and all members that are neither dead nor have left.
	alive int
	// centres maps each location to its members sorted by rank, self included and
	// without those that are dead or have left; no entry is empty. locationIDs
	// holds the keys, sorted.
	centres     map[uint32][]*member
	locationIDs []uint32
}

func hashAddress(address string) uint64 { return hasher.Mix(xxhash.Sum64String(address)) }

func compareAddress(m *member, address string) int { return strings.Compare(m.entry.Address, address) }

func compareRank(a, b *member) int {
	if c := cmp.Compare(a.rankHash, b.rankHash); c != 0 {
		return c
	}
	return strings.Compare(a.entry.Address, b.entry.Address)
}

// insert adds a new member to byAddress.
func (r *roster) insert(m *member) {
	i, _ := slices.BinarySearchFunc(r.byAddress, m.entry.Address, compareAddress)
	r.byAddress = slices.Insert(r.byAddress, i, m)
}

// remove deletes a member from byAddress.
func (r *roster) remove(m *member) {
	i, found := slices.BinarySearchFunc(r.byAddress, m.entry.Address, compareAddress)
	if found {
		r.byAddress = slices.Delete(r.byAddress, i, i+1)
	}
}

// addToCentre adds m to the members of its data centre.
func (r *roster) addToCentre(m *member) {
	l := m.entry.Location
	centre, ok := r.centres[l]
	if !ok {
		i, _ := slices.BinarySearch(r.locationIDs, l)
		r.locationIDs = slices.Insert(r.locationIDs, i, l)
	}
	i, _ := slices.BinarySearchFunc(centre, m, compareRank)
	r.centres[l] = slices.Insert(centre, i, m)
	r.alive++
}

// removeFromCentre removes m from the members of its data centre.
func (r *roster) removeFromCentre(m *member) {
	l := m.entry.Location
	i, found := slices.BinarySearchFunc(r.centres[l], m, compareRank)
	if !found {
		return
	}
	r.alive--
	r.centres[l] = slices.Delete(r.centres[l], i, i+1)
	if len(r.centres[l]) > 0 {
		return
	}
	delete(r.centres, l)
	j, _ := slices.BinarySearch(r.locationIDs, l)
	r.locationIDs = slices.Delete(r.locationIDs, j, j+1)
}

// local returns the members of this router's data centre and its position among
// them.
func (g *Gossiper) local() (members []*member, rank int) {
	members = g.roster.centres[g.self.entry.Location]
	rank, _ = slices.BinarySearchFunc(members, g.self, compareRank)
	return members, rank
}

// neighbours returns the positions adjacent to position i in the push tree of a
// data centre with n members. Positions 0 and 1 are the two roots, which are
// adjacent. For odd revisions all other positions are reversed, so that besides the
// roots no router is an inner node for both even and odd revisions.
func neighbours(i, n int, revision int64) []int {
	mirror := func(j int) int {
		if revision%2 == 0 || j < 2 {
			return j
		}
		return n + 1 - j
	}
	i = mirror(i)
	next := []int{i/2 - 1, 2*i + 2, 2*i + 3}
	if i < 2 {
		next[0] = 1 - i
	}
	next = slices.DeleteFunc(next, func(j int) bool { return j >= n })
	for k, j := range next {
		next[k] = mirror(j)
	}
	return next
}
