// Package differ computes the rows that differ between two states of the
// tables, and applies, reverts and rebases them. It is pure.
package differ

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// RowKind says which table a row belongs to.
type RowKind string

// Values of RowKind.
const (
	RowKindRoute     RowKind = "route"
	RowKindPool      RowKind = "pool"
	RowKindUpstream  RowKind = "upstream"
	RowKindPlacement RowKind = "placement"
)

// Key identifies a row.
type Key struct {
	// Kind is the kind of the row.
	Kind RowKind
	// Pool is the pool of an upstream or placement; empty otherwise.
	Pool string
	// Name is the name of a route or pool, the address of an upstream, or the
	// model and region of a placement joined by "@".
	Name string
}

// String returns the key as operators see it.
func (k Key) String() string {
	if k.Pool == "" {
		return string(k.Kind) + " " + k.Name
	}
	return string(k.Kind) + " " + k.Pool + "/" + k.Name
}

// Value is the content of a row. Exactly one field is set, or none for a row
// that does not exist.
type Value struct {
	Route *kingcuphook.Route
	// Pool has neither upstreams nor placements: those are rows of their own.
	Pool      *kingcuphook.Pool
	Upstream  *kingcuphook.Upstream
	Placement *kingcuphook.PlacementFields
}

// Exists reports whether the row exists.
func (v Value) Exists() bool {
	return v.Route != nil || v.Pool != nil || v.Upstream != nil || v.Placement != nil
}

// Equal reports whether both values are the same.
func (v Value) Equal(w Value) bool {
	switch {
	case v.Route != nil && w.Route != nil:
		return v.Route.Fields() == w.Route.Fields()
	case v.Pool != nil && w.Pool != nil:
		return equalPools(v.Pool, w.Pool)
	case v.Upstream != nil && w.Upstream != nil:
		return equalUpstreams(v.Upstream, w.Upstream)
	case v.Placement != nil && w.Placement != nil:
		return *v.Placement == *w.Placement
	}
	return !v.Exists() && !w.Exists()
}

// RowFields are the fields a Row is made from.
type RowFields struct {
	// Pool is the pool of an upstream or placement; empty otherwise.
	Pool string
	// Before and After are the row in both states; at least one exists.
	Before, After Value
	// Placed says that a route was added, removed or moved.
	Placed bool
	// PreviousBefore and PreviousAfter name the routes ahead of a placed route
	// in both states; empty for the first.
	PreviousBefore, PreviousAfter string
}

// Row is one row that differs. It is immutable.
type Row struct {
	f RowFields
}

// NewRow returns a row with the given fields.
func NewRow(f RowFields) Row { return Row{f: f} }

// Fields returns the fields of r.
func (r Row) Fields() RowFields { return r.f }

// Before returns the row as it was; it does not exist for an added row.
func (r Row) Before() Value { return r.f.Before }

// After returns the row as it became; it does not exist for a removed row.
func (r Row) After() Value { return r.f.After }

// Key returns what identifies the row.
func (r Row) Key() Key {
	v := r.f.After
	if !v.Exists() {
		v = r.f.Before
	}
	switch {
	case v.Route != nil:
		return Key{Kind: RowKindRoute, Name: v.Route.Name()}
	case v.Pool != nil:
		return Key{Kind: RowKindPool, Name: v.Pool.Name()}
	case v.Upstream != nil:
		return Key{Kind: RowKindUpstream, Pool: r.f.Pool, Name: v.Upstream.Address()}
	case v.Placement != nil:
		return Key{Kind: RowKindPlacement, Pool: r.f.Pool, Name: placementName(*v.Placement)}
	}
	return Key{}
}

func (r Row) inverse() Row {
	f := r.f
	f.Before, f.After = f.After, f.Before
	f.PreviousBefore, f.PreviousAfter = f.PreviousAfter, f.PreviousBefore
	return Row{f: f}
}

// ChangeFields are the fields a Change is made from.
type ChangeFields struct {
	// Revision is the revision that the change made.
	Revision int64
	// EditID identifies the edit; unique over all edits.
	EditID string
	// Author is who made the edit.
	Author string
	// Reason is why, in the author's words; may be empty.
	Reason string
	// Time is when the edit was made, by its editor's clock.
	Time time.Time
	// Parent is the lineage of the state that the change applies to.
	Parent uint64
	// Lineage is the lineage of the state that the change makes.
	Lineage uint64
	// Rows are the rows that differ; empty if Truncated.
	Rows []Row
	// Truncated says that the rows were too many to be kept.
	Truncated bool
	// RowCount is the number of rows, also when truncated.
	RowCount int
	// Compact says that the former state of each row is cut down to what
	// identifies it: the change can be applied but not reverted.
	Compact bool
}

// Change is one accepted edit. It is immutable.
type Change struct {
	f ChangeFields
}

// NewChange returns a change with the given fields.
func NewChange(f ChangeFields) Change {
	f.Rows = slices.Clone(f.Rows)
	if !f.Truncated {
		f.RowCount = len(f.Rows)
	}
	return Change{f: f}
}

// Fields returns the fields of c; the caller must not change the rows.
func (c Change) Fields() ChangeFields { return c.f }

// Revision returns the revision that the change made.
func (c Change) Revision() int64 { return c.f.Revision }

// EditID returns the identifier of the edit.
func (c Change) EditID() string { return c.f.EditID }

// Author returns who made the edit.
func (c Change) Author() string { return c.f.Author }

// Reason returns why the edit was made.
func (c Change) Reason() string { return c.f.Reason }

// Time returns when the edit was made.
func (c Change) Time() time.Time { return c.f.Time }

// Parent returns the lineage of the state that the change applies to.
func (c Change) Parent() uint64 { return c.f.Parent }

// Lineage returns the lineage of the state that the change makes.
func (c Change) Lineage() uint64 { return c.f.Lineage }

// Rows returns the rows; the caller must not change the slice.
func (c Change) Rows() []Row { return c.f.Rows }

// Truncated reports whether the rows were too many to be kept.
func (c Change) Truncated() bool { return c.f.Truncated }

// Reversible reports whether the change holds the former state of its rows.
func (c Change) Reversible() bool { return !c.f.Truncated && !c.f.Compact }

// RowCount returns the number of rows that the edit touched.
func (c Change) RowCount() int { return c.f.RowCount }

// Compact returns c with each row's former state cut down to what identifies
// it.
func (c Change) Compact() Change {
	f := c.f
	f.Compact = true
	f.Rows = make([]Row, len(c.f.Rows))
	for i, r := range c.f.Rows {
		r.f.Before = r.f.Before.identity()
		r.f.PreviousBefore = ""
		f.Rows[i] = r
	}
	return Change{f: f}
}

// identity returns a value with the fields that make up its key.
func (v Value) identity() Value {
	switch {
	case v.Route != nil:
		return Value{Route: kingcuphook.NewRoute(kingcuphook.RouteFields{Name: v.Route.Name()})}
	case v.Pool != nil:
		return Value{Pool: kingcuphook.NewPool(kingcuphook.PoolFields{Name: v.Pool.Name()})}
	case v.Upstream != nil:
		return Value{Upstream: kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: v.Upstream.Address()})}
	case v.Placement != nil:
		return Value{Placement: &kingcuphook.PlacementFields{Model: v.Placement.Model, Region: v.Placement.Region}}
	}
	return v
}
