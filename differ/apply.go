package differ

import (
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

// Apply returns the tables that result from applying the rows to t, with the given
// revision. An error wraps ErrInvalid: the rows don't match t.
func Apply(t *kingcuphook.Tables, rows []Row, revision int64) (*kingcuphook.Tables, error) {
	routes, err := applyRoutes(t.Routes(), rows)
	if err != nil {
		return nil, err
	}
	pools, err := applyPools(t, rows)
	if err != nil {
		return nil, err
	}
	return kingcuphook.NewTables(revision, routes, pools), nil
}

// Revert returns the tables that result from undoing the rows in t, with the given
// revision.
func Revert(t *kingcuphook.Tables, rows []Row, revision int64) (*kingcuphook.Tables, error) {
	inverse := make([]Row, len(rows))
	for i, r := range rows {
		inverse[i] = r.inverse()
	}
	return Apply(t, inverse, revision)
}

// mismatch returns the error for a row that can't be applied to the tables.
func mismatch(k Key) error {
	return fmt.Errorf("differ: %s does not fit the tables: %w", k, kingcuphook.ErrInvalid)
}

// applyRoutes returns the routes after the rows. Rows of other kinds are ignored.
func applyRoutes(routes []*kingcuphook.Route, rows []Row) ([]*kingcuphook.Route, error) {
	replaced := make(map[string]*kingcuphook.Route)
	follows := make(map[string]*kingcuphook.Route)
	missing := make(map[string]bool)
	n := len(routes)
	for _, r := range rows {
		if r.Key().Kind != RowKindRoute {
			continue
		}
		name := r.Key().Name
		if r.f.Before.Exists() {
			missing[name] = true
		} else {
			n++
		}
		if !r.f.After.Exists() {
			replaced[name] = nil
			n--
			continue
		}
		if !r.f.Placed {
			replaced[name] = r.f.After.Route
			continue
		}
		replaced[name] = nil
		if follows[r.f.PreviousAfter] != nil {
			return nil, mismatch(r.Key())
		}
		follows[r.f.PreviousAfter] = r.f.After.Route
	}
	if len(replaced) == 0 {
		return routes, nil
	}
	out := make([]*kingcuphook.Route, 0, max(n, 0))
	out = appendFollowing(out, follows, "")
	for _, r := range routes {
		next, changed := replaced[r.Name()]
		delete(missing, r.Name())
		if !changed {
			next = r
		}
		if next == nil {
			continue
		}
		out = append(out, next)
		out = appendFollowing(out, follows, r.Name())
	}
	if len(follows) > 0 || len(missing) > 0 || len(out) != n {
		return nil, fmt.Errorf("differ: routes do not fit the tables: %w", kingcuphook.ErrInvalid)
	}
	return out, nil
}

// appendFollowing appends the placed routes that come directly after the named
// route, one after the other, and removes them from follows.
func appendFollowing(out []*kingcuphook.Route, follows map[string]*kingcuphook.Route, name string) []*kingcuphook.Route {
	for {
		r, ok := follows[name]
		if !ok {
			return out
		}
		delete(follows, name)
		out = append(out, r)
		name = r.Name()
	}
}

// applyPools returns the pools after the rows: first those of t in their order,
// then those that the rows add. Rows of routes are ignored.
func applyPools(t *kingcuphook.Tables, rows []Row) ([]*kingcuphook.Pool, error) {
	byPool := make(map[string][]Row)
	var names []string
	for _, r := range rows {
		k := r.Key()
		name := k.Pool
		switch k.Kind {
		case RowKindRoute:
			continue
		case RowKindPool:
			name = k.Name
		}
		if byPool[name] == nil {
			names = append(names, name)
		}
		byPool[name] = append(byPool[name], r)
	}
	if len(names) == 0 {
		return t.Pools(), nil
	}
	pools := make([]*kingcuphook.Pool, 0, len(t.Pools())+len(names))
	for _, p := range t.Pools() {
		next, err := applyPool(p, byPool[p.Name()])
		if err != nil {
			return nil, err
		}
		if next != nil {
			pools = append(pools, next)
		}
	}
	for _, name := range names {
		if t.Pool(name) != nil {
			continue
		}
		next, err := applyPool(nil, byPool[name])
		if err != nil {
			return nil, err
		}
		if next != nil {
			pools = append(pools, next)
		}
	}
	return pools, nil
}

// applyPool returns p after the rows, which all belong to it. A nil pool stands for
// one that does not exist.
func applyPool(p *kingcuphook.Pool, rows []Row) (*kingcuphook.Pool, error) {
	if len(rows) == 0 {
		return p, nil
	}
	poolRow := poolValue(p)
	changed := make(map[Key]Row, len(rows))
	for _, r := range rows {
		k := r.Key()
		if k.Kind == RowKindPool {
			if r.f.Before.Exists() != (p != nil) {
				return nil, mismatch(k)
			}
			poolRow = r.f.After
			continue
		}
		k.Pool = ""
		changed[k] = r
	}
	f, err := applyMembers(p, rows, changed)
	if err != nil {
		return nil, err
	}
	if !poolRow.Exists() {
		if len(f.Upstreams)+len(f.Placements) > 0 {
			return nil, mismatch(rows[0].Key())
		}
		return nil, nil
	}
	fields := poolRow.Pool.Fields()
	fields.Upstreams, fields.Placements = f.Upstreams, f.Placements
	return kingcuphook.NewPool(fields), nil
}

// applyMembers returns the upstreams and placements of p after the rows. Changed
// holds the rows by their keys without the pool.
func applyMembers(p *kingcuphook.Pool, rows []Row, changed map[Key]Row) (kingcuphook.PoolFields, error) {
	var f kingcuphook.PoolFields
	add := func(v Value) {
		if v.Upstream != nil {
			f.Upstreams = append(f.Upstreams, v.Upstream)
		}
		if v.Placement != nil {
			f.Placements = append(f.Placements, *v.Placement)
		}
	}
	keys, before := members(p)
	for _, k := range keys {
		r, ok := changed[k]
		if !ok {
			add(before[k])
			continue
		}
		if !r.f.Before.Exists() {
			return f, mismatch(r.Key())
		}
		add(r.f.After)
	}
	for _, r := range rows {
		k := r.Key()
		k.Pool = ""
		if _, existed := before[k]; existed || k.Kind == RowKindPool {
			continue
		}
		if r.f.Before.Exists() {
			return f, mismatch(r.Key())
		}
		add(r.f.After)
	}
	return f, nil
}
