package applier

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
)

// snapshotChain returns the empty snapshot and n more, each with one more route than the one
// before.
func snapshotChain(t *testing.T, n int, name string) []*differ.Snapshot {
	t.Helper()
	out := append(make([]*differ.Snapshot, 0, n+1), differ.EmptySnapshot())
	for i := range n {
		s := out[len(out)-1]
		id := fmt.Sprintf("%s-%d", name, i)
		routes := append([]*kingcuphook.Route{}, s.Tables().Routes()...)
		routes = append(routes, kingcuphook.NewRoute(kingcuphook.RouteFields{Name: id}))
		next, err := differ.Advance(s, differ.NewChange(differ.ChangeFields{
			Revision: s.Revision() + 1, EditID: id, Parent: s.Lineage(),
			Lineage: differ.NextLineage(s.Lineage(), s.Revision()+1, id),
			Rows:    differ.Diff(s.Tables(), kingcuphook.NewTables(0, routes, nil)),
		}), defaultMaxChanges)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, next)
	}
	return out
}

func TestOnlyHigherRevisionIsApplied(t *testing.T) {
	is := is.New(t)
	a, b := snapshotChain(t, 5, "a"), snapshotChain(t, 6, "b")
	var p Applier
	is.Equal(p.ApplySnapshot(a[3]), OutcomeApplied)
	is.Equal(p.ApplySnapshot(a[3]), OutcomeCurrent)
	is.Equal(p.ApplySnapshot(a[2]), OutcomeOlder)
	is.Equal(p.ApplySnapshot(b[3]), OutcomeOlder)
	is.Equal(p.Current(), a[3])

	advance := func(cs []differ.Change) Outcome {
		v, err := p.ApplyChanges(cs)
		is.NoErr(err)
		return v
	}
	is.Equal(advance(a[2].Changes()), OutcomeOlder)
	is.Equal(advance(a[3].Changes()), OutcomeCurrent)
	is.Equal(advance(b[3].Changes()), OutcomeOlder)
	is.Equal(advance(b[5].Changes()), OutcomeGap)
	is.Equal(advance(a[5].Changes()[4:]), OutcomeGap)
	is.Equal(p.Current(), a[3])
	is.Equal(advance(a[5].Changes()), OutcomeApplied)
	is.Equal(p.Current().Lineage(), a[5].Lineage())
	is.Equal(p.ApplySnapshot(b[6]), OutcomeForked)
	is.Equal(p.Current(), b[6])
}
