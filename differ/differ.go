// Package differ computes the rows that differ between two states of the routing
// tables, and applies, reverts and rebases such differences. It does no I/O and has
// no state of its own.
package differ

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// RowKind is the kind of a row.
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
	Kind RowKind
	// Pool is the name of the pool of an upstream or placement; empty otherwise.
	Pool string
	// Name is the name of a route or pool, the address of an upstream, or the
	// model and region of a placement joined by "@".
	Name string
}

// String returns the key as messages to operators show it.
func (k Key) String() string {
	if k.Pool == "" {
		return string(k.Kind) + " " + k.Name
	}
	return string(k.Kind) + " " + k.Pool + "/" + k.Name
}

// Value is the content of a row. One field is set, or none for a row that does not
// exist.
type Value struct {
	Route *kingcuphook.Route
	// Pool has no upstreams and placements, which are separate rows.
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

// RowFields are the fields of a Row.
type RowFields struct {
	// Pool is the name of the pool of an upstream or placement; empty otherwise.
	Pool string
	// Before and After are the contents of the row before and after the change. At
	// least one exists.
	Before, After Value
	// Placed reports whether a route was added, removed or moved, rather than
	// changed in its place.
	Placed bool
	// PreviousBefore and PreviousAfter are the names of the routes directly before a
	// placed route, before and after the change; empty if it is the first.
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

// Before returns the content before the change; it does not exist for an added row.
func (r Row) Before() Value { return r.f.Before }

// After returns the content after the change; it does not exist for a removed row.
func (r Row) After() Value { return r.f.After }

// Key returns the key of the row.
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

// inverse returns the row that undoes r.
func (r Row) inverse() Row {
	f := r.f
	f.Before, f.After = f.After, f.Before
	f.PreviousBefore, f.PreviousAfter = f.PreviousAfter, f.PreviousBefore
	return Row{f: f}
}

// ChangeFields are the fields of a Change.
type ChangeFields struct {
	// Revision is the revision that the change created.
	Revision int64
	// EditID identifies the edit; it is unique over all edits.
	EditID string
	// Author is the name of the edit's author.
	Author string
	// Reason is the author's free-text reason for the edit; may be empty.
	Reason string
	// Time is when the edit was written, by the clock of the router that wrote it.
	Time time.Time
	// Parent is the lineage of the state that the change applies to.
	Parent uint64
	// Lineage is the lineage of the state that results from the change.
	Lineage uint64
	// Rows are the rows that differ; empty if Truncated.
	Rows []Row
	// Truncated reports whether the rows were left out because they take up too
	// much space.
	Truncated bool
	// RowCount is the number of rows, also if Truncated.
	RowCount int
	// Compact reports whether the previous content of each row is reduced to the
	// fields of its key: the change can be applied but not reverted.
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

// Revision returns the revision that the change created.
func (c Change) Revision() int64 { return c.f.Revision }

// EditID returns the identifier of the edit.
func (c Change) EditID() string { return c.f.EditID }

// Author returns the name of the edit's author.
func (c Change) Author() string { return c.f.Author }

// Reason returns the author's reason for the edit; may be empty.
func (c Change) Reason() string { return c.f.Reason }

// Time returns when the edit was written.
func (c Change) Time() time.Time { return c.f.Time }

// Parent returns the lineage of the state that the change applies to.
func (c Change) Parent() uint64 { return c.f.Parent }

// Lineage returns the lineage of the state that results from the change.
func (c Change) Lineage() uint64 { return c.f.Lineage }

// Rows returns the rows; the caller must not change the slice.
func (c Change) Rows() []Row { return c.f.Rows }

// Truncated reports whether the rows were left out because they take up too much
// space.
func (c Change) Truncated() bool { return c.f.Truncated }

// Reversible reports whether the change holds the previous content of its rows.
func (c Change) Reversible() bool { return !c.f.Truncated && !c.f.Compact }

// RowCount returns the number of rows that the edit changed.
func (c Change) RowCount() int { return c.f.RowCount }

// Compact returns c with the previous content of each row reduced to the fields of
// its key, which is enough to apply the change.
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

// identity returns v with only the fields that make up its key.
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
