package differ

import (
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

// ConflictError says that two edits touched the same row. It wraps ErrConflict.
type ConflictError struct {
	// Key is the row that both edits touched.
	Key Key
	// Mine is the row as the refused edit wants it.
	Mine Row
	// Theirs is the row as the accepted edit made it.
	Theirs Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("differ: %s was changed by another edit: yours is %s, theirs is %s",
		e.Key, Describe(e.Mine.After()), Describe(e.Theirs.After()))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return kingcuphook.ErrConflict }

// Rebase returns the tables that mine would be if it had been made on head
// in place of base. An error is a *ConflictError: a row was touched by both and
// not in the same way.
func Rebase(base, mine, head *kingcuphook.Tables) (*kingcuphook.Tables, error) {
	rows := Diff(base, mine)
	theirs := make(map[Key]Row)
	poolRows := make(map[string]Row)
	for _, r := range Diff(base, head) {
		k := r.Key()
		theirs[k] = r
		if k.Kind != RowKindRoute {
			poolRows[pool(k)] = r
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
			other, both = brokenPool(r, theirs, poolRows)
		}
		if both {
			return nil, &ConflictError{Key: k, Mine: r, Theirs: other}
		}
		kept = append(kept, r)
	}
	kept = anchor(kept, mine.Routes(), head.Routes())
	return Apply(head, kept, head.Revision())
}

func pool(k Key) string {
	if k.Kind == RowKindPool {
		return k.Name
	}
	return k.Pool
}

func sameOutcome(a, b Row) bool {
	return a.f.After.Equal(b.f.After) && a.f.Placed == b.f.Placed && a.f.PreviousAfter == b.f.PreviousAfter
}

// brokenPool returns the other edit's row that a row of a pool clashes with
// when one of both edits removes that pool.
func brokenPool(r Row, theirs map[Key]Row, poolRows map[string]Row) (Row, bool) {
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

// anchor places the rows behind the nearest route ahead of them that is still
// there in head.
func anchor(rows []Row, mine, head []*kingcuphook.Route) []Row {
	at := indexRoutes(mine)
	there := indexRoutes(head)
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
		j := at[r.Key().Name] - 1
		for j >= 0 && !placed[mine[j].Name()] && !has(there, mine[j].Name()) {
			j--
		}
		r.f.PreviousAfter = previous(mine, j+1)
		rows[i] = r
	}
	return rows
}

func has(m map[string]int, name string) bool {
	_, ok := m[name]
	return ok
}
