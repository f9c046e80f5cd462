package differ

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// NextLineage returns the lineage of the state that an edit creates: a hash of the
// parent state's lineage, the new revision and the edit's id. Two states with the
// same revision but different lineages result from different edits.
func NextLineage(parent uint64, revision int64, editID string) uint64 {
	b := make([]byte, 0, 16+len(editID))
	b = binary.LittleEndian.AppendUint64(b, parent)
	b = binary.LittleEndian.AppendUint64(b, uint64(revision))
	return xxhash.Sum64(append(b, editID...))
}

// Follows reports whether c was made on top of s.
func Follows(s *Snapshot, c Change) bool {
	return c.Revision() == s.Revision()+1 && c.Parent() == s.Lineage()
}

// Advance returns the snapshot that results from applying c to s. It keeps the
// newest changes, at most keep of them, and restores the previous state of the
// rows in a compact change. An error wraps ErrConflict if c was not made on top of
// s, and ErrInvalid if c is truncated or its rows don't match the tables.
func Advance(s *Snapshot, c Change, keep int) (*Snapshot, error) {
	if !Follows(s, c) {
		return nil, fmt.Errorf("differ: change %d does not follow revision %d: %w",
			c.Revision(), s.Revision(), kingcuphook.ErrConflict)
	}
	if c.Truncated() {
		return nil, fmt.Errorf("differ: change %d has no rows: %w", c.Revision(), kingcuphook.ErrInvalid)
	}
	t, err := Apply(s.Tables(), c.Rows(), c.Revision())
	if err != nil {
		return nil, err
	}
	recent := s.changes[max(0, len(s.changes)-keep+1):]
	return NewSnapshot(t, c.Lineage(), slices.Concat(recent, []Change{restoreBefore(s.Tables(), c)})), nil
}

// RestoreRows returns s with the changes of base and c, if c is a truncated change
// that leads from base to s; the rows of c are the difference between the two. In
// all other cases, also if base is nil or empty, it returns s unchanged.
func RestoreRows(base, s *Snapshot, c Change) *Snapshot {
	if base == nil || base.Revision() == 0 || !c.Truncated() || !Follows(base, c) || c.Lineage() != s.lineage {
		return s
	}
	f := c.Fields()
	f.Rows, f.Truncated = Diff(base.Tables(), s.Tables()), false
	return NewSnapshot(s.tables, s.lineage, slices.Concat(base.changes, []Change{NewChange(f)}))
}

// restoreBefore returns c with the previous state of its rows taken from t, if c is
// compact.
func restoreBefore(t *kingcuphook.Tables, c Change) Change {
	f := c.f
	if !f.Compact {
		return c
	}
	f.Compact = false
	f.Rows = slices.Clone(f.Rows)
	for i, r := range f.Rows {
		if !r.f.Before.Exists() {
			continue
		}
		r.f.Before, r.f.PreviousBefore = lookUp(t, r.Key())
		if !r.f.Placed {
			r.f.PreviousBefore = ""
		}
		f.Rows[i] = r
	}
	return Change{f: f}
}

// lookUp returns a row of t and, for a route, the name of the route before it.
func lookUp(t *kingcuphook.Tables, k Key) (Value, string) {
	if k.Kind == RowKindRoute {
		i := slices.IndexFunc(t.Routes(), func(r *kingcuphook.Route) bool { return r.Name() == k.Name })
		if i < 0 {
			return Value{}, ""
		}
		return Value{Route: t.Routes()[i]}, previousRoute(t.Routes(), i)
	}
	if k.Kind == RowKindPool {
		return poolValue(t.Pool(k.Name)), ""
	}
	p := t.Pool(k.Pool)
	if p == nil {
		return Value{}, ""
	}
	for _, u := range p.Upstreams() {
		if k.Kind == RowKindUpstream && u.Address() == k.Name {
			return Value{Upstream: u}, ""
		}
	}
	for _, pl := range p.Placements() {
		if k.Kind == RowKindPlacement && placementName(pl) == k.Name {
			return Value{Placement: &pl}, ""
		}
	}
	return Value{}, ""
}
