package equalizer

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// maxPools is the maximum number of pools that a Key can name. The others are left out.
const maxPools = 16

// List has the names of the pools and organisations of a declaration, in order. It is immutable.
type List struct {
	id                   uint32
	pools, organisations []string
	poolAt, orgAt        map[string]int
}

// NewList returns the list of the tables.
func NewList(t *kingcuphook.Tables) *List {
	pools, organisations := make(map[string]bool), make(map[string]bool)
	for _, p := range t.Pools() {
		pools[p.Name()] = true
	}
	for _, o := range t.Organisations() {
		organisations[o.Name] = true
	}
	return newList(slices.Sorted(maps.Keys(pools)), slices.Sorted(maps.Keys(organisations)))
}

// newList returns the list of sorted names.
func newList(pools, organisations []string) *List {
	l := &List{
		pools:         pools[:min(len(pools), maxPools)],
		organisations: organisations[:min(len(organisations), math.MaxUint16)],
	}
	l.poolAt, l.orgAt = positions(l.pools), positions(l.organisations)
	h := xxhash.New()
	for _, names := range [][]string{l.pools, l.organisations} {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(names))))
		for _, name := range names {
			_, _ = h.WriteString(name + "\x00")
		}
	}
	l.id = uint32(h.Sum64())
	return l
}

func positions(names []string) map[string]int {
	at := make(map[string]int, len(names))
	for i, name := range names {
		at[name] = i
	}
	return at
}

// ID identifies the list. Loads are only added to those of the same list, so that routers with
// other tables don't misread them.
func (l *List) ID() uint32 { return l.id }

// Check reports keys that aren't in the list. The error wraps ErrInvalid.
func (l *List) Check(loads Loads) error {
	for k := range loads {
		if k.organisation() >= len(l.organisations) || k.pool() >= len(l.pools) {
			return fmt.Errorf("equalizer: organisation %d of pool %d isn't declared: %w", k.organisation(), k.pool(), kingcuphook.ErrInvalid)
		}
	}
	return nil
}

// Loads returns the loads of the demands by pool. Those that aren't in the list are left out.
func (l *List) Loads(byPool map[string][]kingcuphook.Demand) Loads {
	loads := make(Loads)
	for pool, demands := range byPool {
		p, ok := l.poolAt[pool]
		if !ok {
			continue
		}
		for _, d := range demands {
			if o, ok := l.orgAt[d.Organisation]; ok && d.Tier.Valid() {
				loads[keyOf(o, p, d.Tier.Index())] = Load{Rate: min(d.Rate, MaxRouterRate), Routers: d.Routers}
			}
		}
	}
	return loads
}

// Demands returns the demands of a pool, in order. The loads must have passed Check.
func (l *List) Demands(pool string, loads Loads) []kingcuphook.Demand {
	p, ok := l.poolAt[pool]
	if !ok {
		return nil
	}
	var demands []kingcuphook.Demand
	for _, k := range slices.Sorted(maps.Keys(loads)) {
		if k.pool() == p {
			demands = append(demands, kingcuphook.Demand{
				Organisation: l.organisations[k.organisation()],
				Tier:         kingcuphook.HighestTier + kingcuphook.Tier(k.tier()),
				Rate:         loads[k].Rate,
				Routers:      loads[k].Routers,
			})
		}
	}
	return demands
}
