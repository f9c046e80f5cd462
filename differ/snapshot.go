package differ

import (
	"slices"

	"github.com/kingcuphook/kingcuphook"
)

// Snapshot is a state of the tables and the newest changes that led to it. It is
// immutable.
type Snapshot struct {
	tables *kingcuphook.Tables
	// lineage identifies the sequence of edits that led to the tables.
	lineage uint64
	// changes have consecutive revisions up to that of the tables.
	changes []Change
}

// NewSnapshot returns a snapshot. The changes must have consecutive revisions up to
// that of the tables; there may be none.
func NewSnapshot(t *kingcuphook.Tables, lineage uint64, changes []Change) *Snapshot {
	return &Snapshot{tables: t, lineage: lineage, changes: changes}
}

// EmptySnapshot returns the state before the first edit.
func EmptySnapshot() *Snapshot {
	return NewSnapshot(kingcuphook.NewTables(0, nil, nil), 0, nil)
}

// Tables returns the tables; never nil.
func (s *Snapshot) Tables() *kingcuphook.Tables { return s.tables }

// Revision returns the revision of the tables; 0 before the first edit.
func (s *Snapshot) Revision() int64 { return s.tables.Revision() }

// Lineage returns a hash that identifies the sequence of edits that led to the
// tables.
func (s *Snapshot) Lineage() uint64 { return s.lineage }

// Changes returns the newest changes, oldest first; the caller must not change
// the slice.
func (s *Snapshot) Changes() []Change { return s.changes }

// Since returns the changes after the given revision. It returns false if the
// snapshot lacks one of them or the rows of one.
func (s *Snapshot) Since(revision int64) ([]Change, bool) {
	if revision == s.Revision() {
		return nil, true
	}
	i := slices.IndexFunc(s.changes, func(c Change) bool { return c.Revision() == revision+1 })
	if i < 0 {
		return nil, false
	}
	cs := s.changes[i:]
	if slices.ContainsFunc(cs, Change.Truncated) {
		return nil, false
	}
	return cs, true
}
