package differ

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// propertyRounds is the number of random tables on which each property is checked.
const propertyRounds = 2000

// randomTables returns small tables whose rows often coincide with those of
// other random tables.
func randomTables(rng *rand.Rand) *kingcuphook.Tables {
	routes := make([]*kingcuphook.Route, 0, 7)
	for _, i := range rng.Perm(7)[:rng.IntN(8)] {
		routes = append(routes, kingcuphook.NewRoute(kingcuphook.RouteFields{
			Name: fmt.Sprintf("r%d", i), Pool: "p", Tier: kingcuphook.Tier(1 + rng.IntN(2)),
		}))
	}
	var pools []*kingcuphook.Pool
	for i := range 3 {
		if rng.IntN(3) == 0 {
			continue
		}
		f := kingcuphook.PoolFields{Name: fmt.Sprintf("p%d", i), MaxQueued: rng.IntN(2)}
		for j := range 4 {
			if rng.IntN(2) == 0 {
				f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
					Address: fmt.Sprintf("127.0.0.1:%d", 9000+j), Leaving: rng.IntN(2) == 0,
				}))
			}
		}
		if rng.IntN(2) == 0 {
			f.Placements = []kingcuphook.PlacementFields{{Model: "m", Region: "cairo", Max: rng.IntN(2)}}
		}
		pools = append(pools, kingcuphook.NewPool(f))
	}
	return kingcuphook.NewTables(1, routes, pools)
}

// same reports whether two tables have the same rows, and the routes in the same
// order.
func same(a, b *kingcuphook.Tables) bool {
	if len(a.Routes()) != len(b.Routes()) || len(a.Pools()) != len(b.Pools()) || len(Diff(a, b)) > 0 {
		return false
	}
	for i, r := range a.Routes() {
		if r.Name() != b.Routes()[i].Name() {
			return false
		}
	}
	return true
}

// Applying the difference of two random tables to the first gives the second, and
// reverting it gives the first again.
func TestRevertUndoesApply(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range propertyRounds {
		a, b := randomTables(rng), randomTables(rng)
		rows := Diff(a, b)
		next, err := Apply(a, rows, 2)
		is.NoErr(err)
		is.True(same(next, b))
		back, err := Revert(next, rows, 1)
		is.NoErr(err)
		is.True(same(back, a))

		// Advance restores the previous content of the rows in a compact change.
		c := NewChange(ChangeFields{Revision: 2, EditID: "e", Rows: rows})
		s, err := Advance(NewSnapshot(a, 0, nil), c.Compact(), 4)
		is.NoErr(err)
		is.True(s.Changes()[0].Reversible())
		is.Equal(s.Changes()[0].Rows(), rows)
	}
}

// After a successful rebase, every row changed by either side has the content that
// this side gave it. All other cases are conflicts.
func TestRebaseKeepsChangesOfBothSides(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	conflicts := 0
	for range propertyRounds {
		base, mine, theirs := randomTables(rng), randomTables(rng), randomTables(rng)
		merged, err := Rebase(base, mine, theirs)
		if err != nil {
			var c *ConflictError
			is.True(errors.As(err, &c))
			is.True(errors.Is(err, kingcuphook.ErrConflict))
			conflicts++
			continue
		}
		got := make(map[Key]Value)
		for _, r := range Diff(base, merged) {
			got[r.Key()] = r.After()
		}
		for _, r := range append(Diff(base, mine), Diff(base, theirs)...) {
			is.True(got[r.Key()].Equal(r.After()))
		}
	}
	is.True(conflicts > 0 && conflicts < propertyRounds)
}

// Applying a difference to tables that it was not computed from either succeeds or
// fails with ErrInvalid.
func TestMismatchedRowsAreRejected(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 8))
	rejected := 0
	for range propertyRounds {
		a, b, c := randomTables(rng), randomTables(rng), randomTables(rng)
		if _, err := Apply(c, Diff(a, b), 2); err != nil {
			is.True(errors.Is(err, kingcuphook.ErrInvalid))
			rejected++
		}
	}
	is.True(rejected > 0)
}

// Moving one route gives a single row, not one for every route that it passes.
func TestMovedRouteIsOneRow(t *testing.T) {
	is := is.New(t)
	route := func(name string) *kingcuphook.Route {
		return kingcuphook.NewRoute(kingcuphook.RouteFields{Name: name})
	}
	a, b, c, d := route("a"), route("b"), route("c"), route("d")
	before := kingcuphook.NewTables(1, []*kingcuphook.Route{a, b, c, d}, nil)
	after := kingcuphook.NewTables(1, []*kingcuphook.Route{d, a, b, c}, nil)
	rows := Diff(before, after)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key(), Key{Kind: RowKindRoute, Name: "d"})
}
