package differ

import (
	"slices"

	"github.com/kingcuphook/kingcuphook"
)

// Diff returns the rows that differ between base and next. The order of pools,
// and of upstreams and placements inside a pool, has no meaning and makes no
// row; the order of routes does.
func Diff(base, next *kingcuphook.Tables) []Row {
	rows := diffRoutes(base.Routes(), next.Routes())
	return append(rows, diffPools(base, next)...)
}

func diffRoutes(base, next []*kingcuphook.Route) []Row {
	head, tail := shared(base, next)
	changedBase, changedNext := base[head:len(base)-tail], next[head:len(next)-tail]
	before := indexRoutes(changedBase)
	after := indexRoutes(changedNext)
	stays := unmoved(before, changedNext)
	var rows []Row
	for i, r := range changedBase {
		if _, ok := after[r.Name()]; ok {
			continue
		}
		rows = append(rows, NewRow(RowFields{
			Before: Value{Route: r}, Placed: true, PreviousBefore: previous(base, head+i),
		}))
	}
	for i, r := range changedNext {
		i += head
		j, known := before[r.Name()]
		if !known {
			rows = append(rows, NewRow(RowFields{
				After: Value{Route: r}, Placed: true, PreviousAfter: previous(next, i),
			}))
			continue
		}
		j += head
		placed := !stays[r.Name()]
		if !placed && base[j].Fields() == r.Fields() {
			continue
		}
		f := RowFields{Before: Value{Route: base[j]}, After: Value{Route: r}, Placed: placed}
		if placed {
			f.PreviousBefore = previous(base, j)
			f.PreviousAfter = previous(next, i)
		}
		rows = append(rows, NewRow(f))
	}
	return rows
}

// shared returns how many routes at the start and at the end are the same
// objects in both.
func shared(a, b []*kingcuphook.Route) (head, tail int) {
	n := min(len(a), len(b))
	for head < n && a[head] == b[head] {
		head++
	}
	for tail < n-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	return head, tail
}

func indexRoutes(routes []*kingcuphook.Route) map[string]int {
	m := make(map[string]int, len(routes))
	for i, r := range routes {
		m[r.Name()] = i
	}
	return m
}

func previous(routes []*kingcuphook.Route, i int) string {
	if i == 0 {
		return ""
	}
	return routes[i-1].Name()
}

// unmoved returns the names of a largest set of routes that keep their order:
// the longest increasing subsequence of their positions before.
func unmoved(before map[string]int, next []*kingcuphook.Route) map[string]bool {
	type link struct{ at, behind int }
	var tails []int
	links := make([]link, 0, len(next))
	names := make([]string, 0, len(next))
	for _, r := range next {
		at, ok := before[r.Name()]
		if !ok {
			continue
		}
		k, _ := slices.BinarySearchFunc(tails, at, func(i, at int) int { return links[i].at - at })
		behind := -1
		if k > 0 {
			behind = tails[k-1]
		}
		links = append(links, link{at: at, behind: behind})
		names = append(names, r.Name())
		if k == len(tails) {
			tails = append(tails, len(links)-1)
		} else {
			tails[k] = len(links) - 1
		}
	}
	stays := make(map[string]bool, len(tails))
	if len(tails) == 0 {
		return stays
	}
	for i := tails[len(tails)-1]; i >= 0; i = links[i].behind {
		stays[names[i]] = true
	}
	return stays
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

// diffPool returns the rows of one pool; a nil pool does not exist.
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

// poolValue returns the row of the pool itself.
func poolValue(p *kingcuphook.Pool) Value {
	if p == nil {
		return Value{}
	}
	f := p.Fields()
	f.Upstreams, f.Placements = nil, nil
	return Value{Pool: kingcuphook.NewPool(f)}
}

// members returns the rows inside a pool, in order.
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
