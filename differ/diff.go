package differ

import (
	"slices"

	"github.com/kingcuphook/kingcuphook"
)

// Diff returns the rows that differ between base and next. A moved route is a
// difference, because routes are matched in order. The order of pools, and of the
// upstreams and placements in a pool, has no meaning and is ignored.
func Diff(base, next *kingcuphook.Tables) []Row {
	rows := diffRoutes(base.Routes(), next.Routes())
	return append(rows, diffPools(base, next)...)
}

func diffRoutes(base, next []*kingcuphook.Route) []Row {
	head, tail := commonEnds(base, next)
	changedBase, changedNext := base[head:len(base)-tail], next[head:len(next)-tail]
	before := indexRoutes(changedBase)
	after := indexRoutes(changedNext)
	unmoved := unmovedRoutes(before, changedNext)
	var rows []Row
	for i, r := range changedBase {
		if _, ok := after[r.Name()]; ok {
			continue
		}
		rows = append(rows, NewRow(RowFields{
			Before: Value{Route: r}, Placed: true, PreviousBefore: previousRoute(base, head+i),
		}))
	}
	for i, r := range changedNext {
		i += head
		j, known := before[r.Name()]
		if !known {
			rows = append(rows, NewRow(RowFields{
				After: Value{Route: r}, Placed: true, PreviousAfter: previousRoute(next, i),
			}))
			continue
		}
		j += head
		placed := !unmoved[r.Name()]
		if !placed && base[j].Fields() == r.Fields() {
			continue
		}
		f := RowFields{Before: Value{Route: base[j]}, After: Value{Route: r}, Placed: placed}
		if placed {
			f.PreviousBefore = previousRoute(base, j)
			f.PreviousAfter = previousRoute(next, i)
		}
		rows = append(rows, NewRow(f))
	}
	return rows
}

// commonEnds returns how many routes at the start and at the end of both slices are
// the same objects.
func commonEnds(a, b []*kingcuphook.Route) (head, tail int) {
	n := min(len(a), len(b))
	for head < n && a[head] == b[head] {
		head++
	}
	for tail < n-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	return head, tail
}

// indexRoutes returns the position of each route by name.
func indexRoutes(routes []*kingcuphook.Route) map[string]int {
	m := make(map[string]int, len(routes))
	for i, r := range routes {
		m[r.Name()] = i
	}
	return m
}

// previousRoute returns the name of the route before position i; empty for the
// first.
func previousRoute(routes []*kingcuphook.Route, i int) string {
	if i == 0 {
		return ""
	}
	return routes[i-1].Name()
}

// unmovedRoutes returns the names of a largest set of routes that keep their
// relative order: the longest increasing subsequence of their positions in before.
func unmovedRoutes(before map[string]int, next []*kingcuphook.Route) map[string]bool {
	// A link is a route of next that is also in before; predecessor is the index of
	// the link ahead of it in the longest subsequence that ends with it, or -1.
	type link struct{ position, predecessor int }
	// tails holds for each length the link with the lowest position that ends a
	// subsequence of this length.
	var tails []int
	links := make([]link, 0, len(next))
	names := make([]string, 0, len(next))
	for _, r := range next {
		position, ok := before[r.Name()]
		if !ok {
			continue
		}
		k, _ := slices.BinarySearchFunc(tails, position, func(i, position int) int { return links[i].position - position })
		predecessor := -1
		if k > 0 {
			predecessor = tails[k-1]
		}
		links = append(links, link{position: position, predecessor: predecessor})
		names = append(names, r.Name())
		if k == len(tails) {
			tails = append(tails, len(links)-1)
		} else {
			tails[k] = len(links) - 1
		}
	}
	unmoved := make(map[string]bool, len(tails))
	if len(tails) == 0 {
		return unmoved
	}
	for i := tails[len(tails)-1]; i >= 0; i = links[i].predecessor {
		unmoved[names[i]] = true
	}
	return unmoved
}

func diffPools(base, next *kingcuphook.Tables) []Row {
	var rows []Row
	for _, p := range base.Pools() {
		if next.Pool(p.Name()) == nil {
			rows = append(rows, diffPool(p, nil)...)
		}
	}
	for _, p := range next.Pools() {
		if old := base.Pool(p.Name()); old != p {
			rows = append(rows, diffPool(old, p)...)
		}
	}
	return rows
}

// diffPool returns the rows that differ in one pool. A nil pool stands for one that
// does not exist; at most one of the two is nil.
func diffPool(base, next *kingcuphook.Pool) []Row {
	name := poolName(base, next)
	var rows []Row
	b, n := poolValue(base), poolValue(next)
	if !b.Equal(n) {
		rows = append(rows, NewRow(RowFields{Before: b, After: n}))
	}
	keys, before := members(base)
	nextKeys, after := members(next)
	for _, k := range keys {
		if !before[k].Equal(after[k]) {
			rows = append(rows, NewRow(RowFields{Pool: name, Before: before[k], After: after[k]}))
		}
	}
	for _, k := range nextKeys {
		if _, ok := before[k]; !ok {
			rows = append(rows, NewRow(RowFields{Pool: name, After: after[k]}))
		}
	}
	return rows
}

func poolName(a, b *kingcuphook.Pool) string {
	if a != nil {
		return a.Name()
	}
	return b.Name()
}

// poolValue returns the pool's own row, without its upstreams and placements.
func poolValue(p *kingcuphook.Pool) Value {
	if p == nil {
		return Value{}
	}
	f := p.Fields()
	f.Upstreams, f.Placements = nil, nil
	return Value{Pool: kingcuphook.NewPool(f)}
}

// members returns the upstreams and placements of a pool: their keys in order,
// without the pool's name, and their values.
func members(p *kingcuphook.Pool) ([]Key, map[Key]Value) {
	if p == nil {
		return nil, nil
	}
	n := len(p.Upstreams()) + len(p.Placements())
	keys := make([]Key, 0, n)
	values := make(map[Key]Value, n)
	for _, u := range p.Upstreams() {
		k := Key{Kind: RowKindUpstream, Name: u.Address()}
		keys = append(keys, k)
		values[k] = Value{Upstream: u}
	}
	for i := range p.Placements() {
		pl := p.Placements()[i]
		k := Key{Kind: RowKindPlacement, Name: placementName(pl)}
		keys = append(keys, k)
		values[k] = Value{Placement: &pl}
	}
	return keys, values
}

func placementName(p kingcuphook.PlacementFields) string { return p.Model + "@" + p.Region }

func equalPools(a, b *kingcuphook.Pool) bool {
	f, g := a.Fields(), b.Fields()
	return f.Name == g.Name && f.MaxQueued == g.MaxQueued && f.MaxReloading == g.MaxReloading &&
		f.SpillRegions == g.SpillRegions
}

func equalUpstreams(a, b *kingcuphook.Upstream) bool {
	if a == b {
		return true
	}
	return a.Address() == b.Address() && a.Region() == b.Region() && a.DataCentre() == b.DataCentre() &&
		a.Kind() == b.Kind() && a.Slots() == b.Slots() && a.Leaving() == b.Leaving() &&
		a.ChecksFence() == b.ChecksFence() && a.Resumes() == b.Resumes() &&
		a.Priorities() == b.Priorities() && slices.Equal(a.Models(), b.Models())
}
