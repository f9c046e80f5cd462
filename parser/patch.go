package parser

import (
	"slices"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/encoder"
)

// patchDocument is the TOML form of a patch.
type patchDocument struct {
	Routes  []patchRoute  `toml:"route"`
	Pools   []patchPool   `toml:"pool"`
	Removes []patchRemove `toml:"remove"`
}

// patchRoute is a route to add, or to replace the route of the same name.
type patchRoute struct {
	encoder.RouteRow
	// Before is the name of the route before which it is placed. If empty, an
	// existing route keeps its position and a new one becomes the last.
	Before string `toml:"before"`
}

// patchPool is a pool to add or change. Fields and rows that it doesn't give stay
// as they are.
type patchPool struct {
	Name         string                 `toml:"name"`
	MaxQueued    *int                   `toml:"max-queued"`
	MaxReloading *int                   `toml:"max-reloading"`
	SpillRegions *bool                  `toml:"spill-regions"`
	Upstreams    []encoder.UpstreamRow  `toml:"upstream"`
	Placements   []encoder.PlacementRow `toml:"placement"`
}

// patchRemove identifies a row to remove: a route, a pool, or an upstream or
// placement of a pool.
type patchRemove struct {
	Route    string `toml:"route"`
	Pool     string `toml:"pool"`
	Upstream string `toml:"upstream"`
	Model    string `toml:"model"`
	Region   string `toml:"region"`
}

// Patch is a set of rows to add to the tables, replace or remove. It is immutable.
type Patch struct {
	file string
	doc  patchDocument
	// routeLines, removeLines and poolLines hold the lines of the rows; empty if
	// unknown.
	routeLines, removeLines []int
	poolLines               []poolLines
}

// ParsePatch parses a patch, which gives rows of both tables to add or change as
// [[route]] and [[pool]], and rows to remove as [[remove]]. File is the name of the
// source in errors, which are of type *kingcuphook.InputError.
func ParsePatch(file string, data []byte) (*Patch, error) {
	p := &Patch{file: file}
	if err := decode(file, data, &p.doc); err != nil {
		return nil, err
	}
	pools := make([]encoder.PoolRow, len(p.doc.Pools))
	for i, row := range p.doc.Pools {
		for j := range row.Upstreams {
			setDefaultKind(&row.Upstreams[j])
		}
		pools[i] = encoder.PoolRow{Upstreams: row.Upstreams, Placements: row.Placements}
	}
	p.routeLines = arrayLines(data, arrayRoute, len(p.doc.Routes))
	p.removeLines = arrayLines(data, arrayRemove, len(p.doc.Removes))
	p.poolLines = linesOfPools(data, pools)
	return p, nil
}

// Apply returns the tables that result from applying the patch to t. It does not
// validate them. The error is a *kingcuphook.InputError if a row to remove or to
// place a route before does not exist, or if a removal is ambiguous.
func (p *Patch) Apply(t *kingcuphook.Tables) (*RouteTable, *PoolTable, error) {
	routes := &RouteTable{file: p.file, routes: slices.Clone(t.Routes()), lines: make([]int, len(t.Routes()))}
	pools := &PoolTable{file: p.file, pools: slices.Clone(t.Pools()), lines: make([]poolLines, len(t.Pools()))}
	for i, r := range p.doc.Removes {
		if err := p.remove(routes, pools, r, lineAt(p.removeLines, i, 0)); err != nil {
			return nil, nil, err
		}
	}
	for i, r := range p.doc.Routes {
		if err := p.putRoute(routes, r, lineAt(p.routeLines, i, 0)); err != nil {
			return nil, nil, err
		}
	}
	for i, row := range p.doc.Pools {
		var lines poolLines
		if i < len(p.poolLines) {
			lines = p.poolLines[i]
		}
		pools.put(row, lines)
	}
	return routes, pools, nil
}

// index returns the index of the route of the given name, or -1.
func (t *RouteTable) index(name string) int {
	return slices.IndexFunc(t.routes, func(r *kingcuphook.Route) bool { return r.Name() == name })
}

// index returns the index of the pool of the given name, or -1.
func (t *PoolTable) index(name string) int {
	return slices.IndexFunc(t.pools, func(p *kingcuphook.Pool) bool { return p.Name() == name })
}

// putRoute adds a route to t, or replaces the one of the same name.
func (p *Patch) putRoute(t *RouteTable, row patchRoute, line int) error {
	i := t.index(row.Name)
	if i >= 0 && row.Before == "" {
		t.routes[i], t.lines[i] = row.Route(), line
		return nil
	}
	if i >= 0 {
		t.routes, t.lines = slices.Delete(t.routes, i, i+1), slices.Delete(t.lines, i, i+1)
	}
	to := len(t.routes)
	if row.Before != "" {
		if to = t.index(row.Before); to < 0 {
			return inputError(p.file, line, "route %q: there is no route %q to place it before", row.Name, row.Before)
		}
	}
	t.routes, t.lines = slices.Insert(t.routes, to, row.Route()), slices.Insert(t.lines, to, line)
	return nil
}

// put adds a pool, or changes the one of the same name. Rows of the pool that are
// not in the patch have line 0.
func (t *PoolTable) put(row patchPool, lines poolLines) {
	i := t.index(row.Name)
	if i < 0 {
		i = len(t.pools)
		t.pools = append(t.pools, kingcuphook.NewPool(kingcuphook.PoolFields{Name: row.Name}))
		t.lines = append(t.lines, poolLines{})
	}
	f := t.pools[i].Fields()
	if row.MaxQueued != nil {
		f.MaxQueued = *row.MaxQueued
	}
	if row.MaxReloading != nil {
		f.MaxReloading = *row.MaxReloading
	}
	if row.SpillRegions != nil {
		f.SpillRegions = *row.SpillRegions
	}
	given := encoder.PoolRow{Upstreams: row.Upstreams, Placements: row.Placements}.Pool()
	l := poolLines{line: lines.line, upstreams: make([]int, len(f.Upstreams)), placements: make([]int, len(f.Placements))}
	for j, u := range given.Upstreams() {
		k := slices.IndexFunc(f.Upstreams, func(o *kingcuphook.Upstream) bool { return o.Address() == u.Address() })
		if k < 0 {
			k = len(f.Upstreams)
			f.Upstreams, l.upstreams = append(f.Upstreams, nil), append(l.upstreams, 0)
		}
		f.Upstreams[k], l.upstreams[k] = u, lineAt(lines.upstreams, j, lines.line)
	}
	for j, pl := range given.Placements() {
		k := slices.IndexFunc(f.Placements, func(o kingcuphook.PlacementFields) bool {
			return o.Model == pl.Model && o.Region == pl.Region
		})
		if k < 0 {
			k = len(f.Placements)
			f.Placements, l.placements = append(f.Placements, pl), append(l.placements, 0)
		}
		f.Placements[k], l.placements[k] = pl, lineAt(lines.placements, j, lines.line)
	}
	t.pools[i], t.lines[i] = kingcuphook.NewPool(f), l
}

// remove removes the row that the given one identifies.
func (p *Patch) remove(routes *RouteTable, pools *PoolTable, row patchRemove, line int) error {
	k := row.key()
	switch k.Kind {
	case differ.RowKindRoute:
		if i := routes.index(k.Name); i >= 0 {
			routes.routes, routes.lines = slices.Delete(routes.routes, i, i+1), slices.Delete(routes.lines, i, i+1)
			return nil
		}
	case differ.RowKindPool:
		if i := pools.index(k.Name); i >= 0 {
			pools.pools, pools.lines = slices.Delete(pools.pools, i, i+1), slices.Delete(pools.lines, i, i+1)
			return nil
		}
	case differ.RowKindUpstream, differ.RowKindPlacement:
		if i := pools.index(k.Pool); i >= 0 && pools.removeMember(i, row) {
			pools.lines[i] = poolLines{line: line}
			return nil
		}
	default:
		return inputError(p.file, line, "remove names either a route, a pool, or a pool with an upstream or with a model and region")
	}
	return inputError(p.file, line, "there is no %s to remove", k)
}

// key returns the key of the row to remove; the zero key if the fields don't
// identify exactly one.
func (r patchRemove) key() differ.Key {
	switch r {
	case patchRemove{Route: r.Route}:
		return differ.Key{Kind: differ.RowKindRoute, Name: r.Route}
	case patchRemove{Pool: r.Pool}:
		return differ.Key{Kind: differ.RowKindPool, Name: r.Pool}
	case patchRemove{Pool: r.Pool, Upstream: r.Upstream}:
		return differ.Key{Kind: differ.RowKindUpstream, Pool: r.Pool, Name: r.Upstream}
	case patchRemove{Pool: r.Pool, Model: r.Model, Region: r.Region}:
		return differ.Key{Kind: differ.RowKindPlacement, Pool: r.Pool, Name: r.Model + "@" + r.Region}
	}
	return differ.Key{}
}

// removeMember removes an upstream or placement from pool i and reports whether it
// existed.
func (t *PoolTable) removeMember(i int, row patchRemove) bool {
	f := t.pools[i].Fields()
	n := len(f.Upstreams) + len(f.Placements)
	f.Upstreams = slices.DeleteFunc(f.Upstreams, func(u *kingcuphook.Upstream) bool { return u.Address() == row.Upstream })
	f.Placements = slices.DeleteFunc(f.Placements, func(p kingcuphook.PlacementFields) bool {
		return p.Model == row.Model && p.Region == row.Region
	})
	t.pools[i] = kingcuphook.NewPool(f)
	return len(f.Upstreams)+len(f.Placements) < n
}
