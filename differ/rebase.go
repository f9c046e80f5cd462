package differ

import (
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

// ConflictError reports that a row of the edit being rebased conflicts with a row of
// an edit accepted before. It wraps ErrConflict.
type ConflictError struct {
	// Key is the key of the row in the edit being rebased.
	Key Key
	// Mine is the row in the edit being rebased.
	Mine Row
	// Theirs is the conflicting row in the accepted edits. Its key differs from Key
	// if one side removes a pool in which the other changes something.
	Theirs Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("differ: %s was changed by another edit: yours is %s, theirs is %s",
		e.Key, Describe(e.Mine.After()), Describe(e.Theirs.After()))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return kingcuphook.ErrConflict }

// Rebase returns head with the changes between base and mine applied to it. It
// returns a *ConflictError if a row was changed differently in both mine and head,
// or if one of them removes a pool in which the other changes something.
func Rebase(base, mine, head *kingcuphook.Tables) (*kingcuphook.Tables, error) {
	rows := Diff(base, mine)
	theirs := make(map[Key]Row)
	poolRows := make(map[string]Row)
	for _, r := range Diff(base, head) {
		k := r.Key()
		theirs[k] = r
		if k.Kind != RowKindRoute {
			poolRows[poolOf(k)] = r
		}
	}
	kept := make([]Row, 0, len(rows))
	for _, r := range rows {
		k := r.Key()
		other, both := theirs[k]
		if both && sameOutcome(r, other) {
			continue
		}
		if !both {
			other, both = poolConflict(r, theirs, poolRows)
		}
		if both {
			return nil, &ConflictError{Key: k, Mine: r, Theirs: other}
		}
		kept = append(kept, r)
	}
	kept = anchor(kept, mine.Routes(), head.Routes())
	return Apply(head, kept, head.Revision())
}

// poolOf returns the name of the pool that a row other than a route belongs to.
func poolOf(k Key) string {
	if k.Kind == RowKindPool {
		return k.Name
	}
	return k.Pool
}

// sameOutcome reports whether both rows have the same content and position after
// the change.
func sameOutcome(a, b Row) bool {
	return a.f.After.Equal(b.f.After) && a.f.Placed == b.f.Placed && a.f.PreviousAfter == b.f.PreviousAfter
}

// poolConflict returns a row in theirs that conflicts with r because one side
// removes the pool to which both rows belong. PoolRows holds one row of theirs for
// each pool with changes.
func poolConflict(r Row, theirs map[Key]Row, poolRows map[string]Row) (Row, bool) {
	k := r.Key()
	if k.Kind == RowKindRoute {
		return Row{}, false
	}
	if k.Kind == RowKindPool {
		other, ok := poolRows[k.Name]
		return other, ok && !r.f.After.Exists()
	}
	other, ok := theirs[Key{Kind: RowKindPool, Name: k.Pool}]
	return other, ok && !other.f.After.Exists()
}

// anchor sets the position of each added or moved route to directly after the
// nearest route before it in mine that head also has, or that rows place too.
func anchor(rows []Row, mine, head []*kingcuphook.Route) []Row {
	positions := indexRoutes(mine)
	inHead := indexRoutes(head)
	placed := make(map[string]bool)
	for _, r := range rows {
		if r.f.Placed && r.f.After.Exists() {
			placed[r.Key().Name] = true
		}
	}
	for i, r := range rows {
		if !r.f.Placed || !r.f.After.Exists() {
			continue
		}
		j := positions[r.Key().Name] - 1
		for j >= 0 && !placed[mine[j].Name()] && !contains(inHead, mine[j].Name()) {
			j--
		}
		r.f.PreviousAfter = previousRoute(mine, j+1)
		rows[i] = r
	}
	return rows
}

func contains(m map[string]int, name string) bool {
	_, ok := m[name]
	return ok
}
