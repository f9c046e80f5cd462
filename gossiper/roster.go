package gossiper

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxLocations bounds the names of locations kept.
const maxLocations = 256

// roster orders the members that are not gone. It is built again after a
// change of membership.
type roster struct {
	// alive holds self and all members not gone, in rank order.
	alive []*member
	// byAddress holds self and all members, gone ones included.
	byAddress []*member
	// local holds the members of this data centre in rank order; rank is the
	// position of self in it.
	local []*member
	rank  int
	// centres holds the members of each data centre; order lists their
	// locations, and at is the position of this one.
	centres map[uint32][]*member
	order   []uint32
	at      int
	// regions holds the members of each other region.
	regions     map[string][]*member
	regionOrder []string
}

func orderOf(address string) uint64 { return mix(xxhash.Sum64String(address)) }

// ranks returns the roster, building it if needed.
func (g *Gossiper) ranks() *roster {
	if g.roster == nil {
		g.roster = g.buildRoster()
	}
	return g.roster
}

func (g *Gossiper) buildRoster() *roster {
	r := &roster{centres: make(map[uint32][]*member), regions: make(map[string][]*member)}
	r.byAddress = append(r.byAddress, g.self)
	for _, m := range g.members {
		r.byAddress = append(r.byAddress, m)
	}
	slices.SortFunc(r.byAddress, func(a, b *member) int { return strings.Compare(a.entry.Address, b.entry.Address) })
	for _, m := range r.byAddress {
		if m == g.self || !m.entry.State.gone() {
			r.alive = append(r.alive, m)
		}
	}
	slices.SortFunc(r.alive, func(a, b *member) int { return cmp.Compare(a.order, b.order) })
	for _, m := range r.alive {
		g.place(r, m)
	}
	r.local = r.centres[g.self.entry.Location]
	r.rank = slices.Index(r.local, g.self)
	slices.Sort(r.order)
	r.at = slices.Index(r.order, g.self.entry.Location)
	slices.Sort(r.regionOrder)
	return r
}

// place enters m in the lists of its data centre and region.
func (g *Gossiper) place(r *roster, m *member) {
	l := m.entry.Location
	if _, ok := r.centres[l]; !ok {
		r.order = append(r.order, l)
	}
	r.centres[l] = append(r.centres[l], m)
	region := g.locations[l].Region
	if region == "" || region == g.Location.Region {
		return
	}
	if _, ok := r.regions[region]; !ok {
		r.regionOrder = append(r.regionOrder, region)
	}
	r.regions[region] = append(r.regions[region], m)
}

// neighbours returns the positions next to position i in the tree of a data
// centre of n members. Positions 0 and 1 are its two roots, which are joined.
func neighbours(i, n int) []int {
	next := []int{i/2 - 1, 2*i + 2, 2*i + 3}
	if i < 2 {
		next[0] = 1 - i
	}
	return slices.DeleteFunc(next, func(j int) bool { return j >= n })
}
