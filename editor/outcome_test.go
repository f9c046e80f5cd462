package editor

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/auditor"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/historian"
	"github.com/kingcuphook/kingcuphook/parser"
)

// While the store is down, an edit fails with a NotMadeError, not with an unknown
// outcome.
func TestEditFailsWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s storer.Store
		s.SetFault(storer.Fault{Down: true})
		e := Editor{Store: &s}
		_, err := e.Apply(t.Context(), edit(t, "1", 0, "a"))
		var notMade *NotMadeError
		is.True(errors.As(err, &notMade))
		is.Equal(notMade.EditID, "1")
		is.True(!errors.Is(err, kingcuphook.ErrOutcomeUnknown))
	})
}

// The store goes down during the write of the head: the outcome is unknown at
// first. Once the store is back, the historian returns it, and sending the edit
// again applies it exactly once.
func TestUnknownOutcomeIsResolvedLater(t *testing.T) {
	for _, lost := range []storer.Fault{{LoseReply: true}, {LoseRequest: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var down bool
			s := storer.Store{}
			s.Hook = func(op, key string) storer.Fault {
				if op == storer.OpPut && key == encoder.HeadKey && !down {
					down = true
					return lost
				}
				return storer.Fault{Down: down}
			}
			e := Editor{Store: &s}
			_, err := e.Apply(t.Context(), edit(t, "1", 0, "a"))
			var unknown *UnknownError
			is.True(errors.As(err, &unknown))
			is.True(strings.Contains(err.Error(), "edit 1 "))

			s.Hook = nil
			h := historian.Historian{Store: &s}
			o, err := h.Find(t.Context(), "1", unknown.Expect)
			is.NoErr(err)
			is.Equal(o.Status == historian.StatusAccepted, lost.LoseReply)
			r, err := e.Apply(t.Context(), edit(t, "1", 0, "a"))
			is.NoErr(err)
			is.Equal(r.Revision, int64(1))
			is.Equal(r.Repeated, lost.LoseReply)
		})
	}
}

func TestRejectedEditsAreAudited(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	e := Editor{Store: &s, Audit: &auditor.Auditor{Store: &s}}
	_, err := e.Apply(ctx, edit(t, "1", 0, "a"))
	is.NoErr(err)
	bad := edit(t, "2", 1, "a")
	bad.Pools = parser.NewPoolTable("pools.toml", nil)
	_, err = e.Apply(ctx, bad)
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
	is.Equal(names(t, &s), "a:1")

	h := historian.Historian{Store: &s}
	records, readErr := h.Rejected(ctx)
	is.NoErr(readErr)
	is.Equal(len(records), 1)
	is.Equal(records[0].Fields().Author, "nour")
	is.Equal(records[0].Fields().Cause, err.Error())
	o, err := h.Find(ctx, "2", 0)
	is.NoErr(err)
	is.Equal(o.Status, historian.StatusRejected)
}

// The tables are validated again after a rebase: one operator deletes a pool while
// another adds a route to it, which are changes of different rows.
func TestRebasedTablesAreValidated(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	e := Editor{Store: &s}
	first := edit(t, "1", 0)
	second, err := parser.ParsePools("pools.toml", []byte(poolsText+strings.ReplaceAll(poolsText, `"p"`, `"q"`)))
	is.NoErr(err)
	first.Pools = second
	_, err = e.Apply(ctx, first)
	is.NoErr(err)
	_, err = e.Apply(ctx, edit(t, "2", 1))
	is.NoErr(err)
	late := edit(t, "3", 1, "a")
	late.Pools = second
	late.Routes, err = parser.ParseRoutes("routes.toml", []byte(strings.ReplaceAll(routesText("a"), `"p"`, `"q"`)))
	is.NoErr(err)
	_, err = e.Apply(ctx, late)
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
	is.True(strings.Contains(err.Error(), `there is no pool "q"`))
}

// Sweep deletes an unreferenced value and keeps those in use, and the number of
// keys stays bounded over many edits.
func TestUnreferencedValuesAreDeleted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	e := Editor{Store: &s}
	_, err := s.Put(ctx, encoder.SegmentPrefix+"0000000000000001-ab-cd", []byte("x"), kingcuphook.RevisionAbsent, 0)
	is.NoErr(err)
	for i := range 1000 {
		_, err := e.Apply(ctx, edit(t, fmt.Sprint(i), int64(i), "a", fmt.Sprintf("r%d", i)))
		is.NoErr(err)
	}
	before := names(t, &s)
	n, err := e.Sweep(ctx)
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(names(t, &s), before)
	entries, err := s.List(ctx, "tables/")
	is.NoErr(err)
	// Each revision writes at most one manifest, one segment and one page, which are
	// kept for retiredRevisions.
	is.True(len(entries) <= 3*retiredRevisions+10)
}

// After the store was restored from an older copy, the next edit first writes the
// state in force to it, but fails if not every region was queried for its revision.
func TestOlderStoreIsRepaired(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	e := Editor{Store: &s}
	_, err := e.Apply(ctx, edit(t, "1", 0, "a"))
	is.NoErr(err)
	old := s.Snapshot()
	_, err = e.Apply(ctx, edit(t, "2", 1, "a", "b"))
	is.NoErr(err)
	high := e.last
	s.Restore(old)

	complete := false
	e.InForce = func() (*differ.Snapshot, bool) { return high, complete }
	_, err = e.Apply(ctx, edit(t, "3", 2, "a", "b", "c"))
	var older *OlderStoreError
	is.True(errors.As(err, &older))
	is.True(errors.Is(err, kingcuphook.ErrUnavailable))
	is.Equal(names(t, &s), "a:1")

	complete = true
	r, err := e.Apply(ctx, edit(t, "4", 2, "a", "b", "c"))
	is.NoErr(err)
	is.Equal(r.Revision, int64(4))
	is.Equal(names(t, &s), "a:1 b:1 c:1")
	h := historian.Historian{Store: &s}
	o, err := h.Find(ctx, "2", 0)
	is.NoErr(err)
	is.Equal(o.Status, historian.StatusAccepted)
}

// An edit that changes no row creates no revision, and one without an author is
// invalid.
func TestEditWithoutEffectCreatesNoRevision(t *testing.T) {
	is := is.New(t)
	var s storer.Store
	e := Editor{Store: &s}
	_, err := e.Apply(context.Background(), edit(t, "1", 0, "a"))
	is.NoErr(err)
	r, err := e.Apply(context.Background(), edit(t, "2", 1, "a"))
	is.NoErr(err)
	is.Equal(r, Result{EditID: "2", Revision: 1})
	_, err = e.Apply(context.Background(), Edit{ID: "3"})
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
}

// staleStore returns an old head while stale is true.
type staleStore struct {
	*storer.Store
	// first is the old head.
	first kingcuphook.Entry
	stale bool
}

// Get implements kingcuphook.Store.
func (s *staleStore) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	if s.stale && key == encoder.HeadKey {
		return s.first, nil
	}
	return s.Store.Get(ctx, key)
}

// The outcome of a write of the head is unknown, and the next read returns a stale
// head without the edit: the editor must not report the edit as not made, because
// the write may still take effect.
func TestStaleReadLeavesOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &staleStore{Store: &storer.Store{}}
		e := Editor{Store: s}
		_, err := e.Apply(t.Context(), edit(t, "1", 0, "a"))
		is.NoErr(err)
		s.first, err = s.Get(t.Context(), encoder.HeadKey)
		is.NoErr(err)
		_, err = e.Apply(t.Context(), edit(t, "2", 1, "a", "b"))
		is.NoErr(err)
		lost := false
		s.Hook = func(op, key string) storer.Fault {
			if op != storer.OpPut || key != encoder.HeadKey {
				return storer.Fault{}
			}
			if !lost {
				lost, s.stale = true, true
				return storer.Fault{LoseRequest: true}
			}
			return storer.Fault{Down: true}
		}
		_, err = e.Apply(t.Context(), edit(t, "3", 2, "a", "b", "c"))
		is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
	})
}

// A damaged head fails every edit until the state in force is known; then the head
// is written again from that state.
func TestDamagedHeadIsRepaired(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	e := Editor{Store: &s}
	_, err := e.Apply(ctx, edit(t, "1", 0, "a"))
	is.NoErr(err)
	high := e.last
	_, err = s.Put(ctx, encoder.HeadKey, []byte("damaged"), kingcuphook.RevisionAny, 0)
	is.NoErr(err)
	_, err = e.Apply(ctx, edit(t, "2", 1, "a", "b"))
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
	e.InForce = func() (*differ.Snapshot, bool) { return high, true }
	r, err := e.Apply(ctx, edit(t, "3", 1, "a", "b"))
	is.NoErr(err)
	is.Equal(r.Revision, int64(3))
	is.Equal(names(t, &s), "a:1 b:1")
}

// A damaged segment of a revision higher than the one in force must not be repaired
// from the state in force: that would undo the newer edits.
func TestDamagedSegmentOfNewerRevisionIsKept(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	e := Editor{Store: &s}
	for i := range 9 {
		_, err := e.Apply(ctx, edit(t, fmt.Sprint(i), int64(i), "a", fmt.Sprint(i)))
		is.NoErr(err)
	}
	high := differ.NewSnapshot(kingcuphook.NewTables(2, nil, nil), 7, nil)
	entries, err := s.List(ctx, encoder.SegmentPrefix)
	is.NoErr(err)
	for _, entry := range entries {
		_, err = s.Put(ctx, entry.Key(), []byte{}, kingcuphook.RevisionAny, 0)
		is.NoErr(err)
	}
	before, err := s.Get(ctx, encoder.HeadKey)
	is.NoErr(err)
	late := Editor{Store: &s, InForce: func() (*differ.Snapshot, bool) { return high, true }}
	_, err = late.Apply(ctx, edit(t, "late", BaseNewest, "b"))
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
	after, err := s.Get(ctx, encoder.HeadKey)
	is.NoErr(err)
	is.Equal(after.Revision(), before.Revision())
}
