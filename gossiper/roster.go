package gossiper

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook/hasher"
)

// maxLocations bounds the names of locations kept.
const maxLocations = 256

// roster keeps the members in the orders in which partners are chosen.
type roster struct {
	// byAddress holds self and all members, gone ones included, by address.
	byAddress []*member
	// alive counts self and all members not gone.
	alive int
	// centres holds self and the members not gone of each data centre by rank;
	// none is empty. order lists their locations.
	centres map[uint32][]*member
	order   []uint32
}

func orderOf(address string) uint64 { return hasher.Mix(xxhash.Sum64String(address)) }

func byAddress(m *member, address string) int { return strings.Compare(m.entry.Address, address) }

func byRank(a, b *member) int {
	if c := cmp.Compare(a.order, b.order); c != 0 {
		return c
	}
	return strings.Compare(a.entry.Address, b.entry.Address)
}

// know enters a member that was not known.
func (r *roster) know(m *member) {
	i, _ := slices.BinarySearchFunc(r.byAddress, m.entry.Address, byAddress)
	r.byAddress = slices.Insert(r.byAddress, i, m)
}

// forget takes out a member that is gone.
func (r *roster) forget(m *member) {
	i, found := slices.BinarySearchFunc(r.byAddress, m.entry.Address, byAddress)
	if found {
		r.byAddress = slices.Delete(r.byAddress, i, i+1)
	}
}

// enter counts m among the members of its data centre.
func (r *roster) enter(m *member) {
	l := m.entry.Location
	centre, ok := r.centres[l]
	if !ok {
		i, _ := slices.BinarySearch(r.order, l)
		r.order = slices.Insert(r.order, i, l)
	}
	i, _ := slices.BinarySearchFunc(centre, m, byRank)
	r.centres[l] = slices.Insert(centre, i, m)
	r.alive++
}

// leave takes m out of the members of its data centre.
func (r *roster) leave(m *member) {
	l := m.entry.Location
	i, found := slices.BinarySearchFunc(r.centres[l], m, byRank)
	if !found {
		return
	}
	r.alive--
	r.centres[l] = slices.Delete(r.centres[l], i, i+1)
	if len(r.centres[l]) > 0 {
		return
	}
	delete(r.centres, l)
	j, _ := slices.BinarySearch(r.order, l)
	r.order = slices.Delete(r.order, j, j+1)
}

// local returns the members of this router's data centre and its own position.
func (g *Gossiper) local() (members []*member, rank int) {
	members = g.roster.centres[g.self.entry.Location]
	rank, _ = slices.BinarySearchFunc(members, g.self, byRank)
	return members, rank
}

// neighbours returns the positions next to position i in the tree of a data
// centre of n members for a revision. Positions 0 and 1 are its two roots, which
// are joined. Odd revisions use the tree with all other positions in reverse, so
// that a router with neighbours below it in one has none in the other.
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
