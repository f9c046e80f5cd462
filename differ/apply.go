package differ

import (
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

// Apply returns the tables at the given revision that the rows make of t. An
// error wraps ErrInvalid: the rows do not fit t.
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

// Revert returns the tables at the given revision that were there before the
// rows made t.
func Revert(t *kingcuphook.Tables, rows []Row, revision int64) (*kingcuphook.Tables, error) {
	inverse := make([]Row, len(rows))
	for i, r := range rows {
		inverse[i] = r.inverse()
	}
	return Apply(t, inverse, revision)
}

func misfit(k Key) error {
	return fmt.Errorf("differ: %s does not fit the tables: %w", k, kingcuphook.ErrInvalid)
}

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
			return nil, misfit(r.Key())
		}
		follows[r.f.PreviousAfter] = r.f.After.Route
	}
	if len(replaced) == 0 {
		return routes, nil
	}
	out := make([]*kingcuphook.Route, 0, max(n, 0))
	out = appendFollowing(out, follows, "")
	for _, r := range routes {
		next, touched := replaced[r.Name()]
		delete(missing, r.Name())
		if !touched {
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

// appendFollowing appends the chain of placed routes behind the named route.
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

// applyPool returns what the rows make of p; nil is a pool that does not exist.
func applyPool(p *kingcuphook.Pool, rows []Row) (*kingcuphook.Pool, error) {
	if len(rows) == 0 {
		return p, nil
	}
	own := poolValue(p)
	touched := make(map[Key]Row, len(rows))
	for _, r := range rows {
		k := r.Key()
		if k.Kind == RowKindPool {
			if r.f.Before.Exists() != (p != nil) {
				return nil, misfit(k)
			}
			own = r.f.After
			continue
		}
		k.Pool = ""
		touched[k] = r
	}
	f, err := applyMembers(p, rows, touched)
	if err != nil {
		return nil, err
	}
	if !own.Exists() {
		if len(f.Upstreams)+len(f.Placements) > 0 {
			return nil, misfit(rows[0].Key())
		}
		return nil, nil
	}
	of := own.Pool.Fields()
	of.Upstreams, of.Placements = f.Upstreams, f.Placements
	return kingcuphook.NewPool(of), nil
}

func applyMembers(p *kingcuphook.Pool, rows []Row, touched map[Key]Row) (kingcuphook.PoolFields, error) {
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
		r, ok := touched[k]
		if !ok {
			add(before[k])
			continue
		}
		if !r.f.Before.Exists() {
			return f, misfit(r.Key())
		}
		add(r.f.After)
	}
	for _, r := range rows {
		k := r.Key()
		k.Pool = ""
		if _, known := before[k]; known || k.Kind == RowKindPool {
			continue
		}
		if r.f.Before.Exists() {
			return f, misfit(r.Key())
		}
		add(r.f.After)
	}
	return f, nil
}
