package loader_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/editor"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/loader"
	"github.com/kingcuphook/kingcuphook/parser"
)

// load loads the tables, given an earlier state or nil, and returns the new state and the
// number of reads.
func load(t *testing.T, s *storer.Store, earlier *loader.State) (*loader.State, int, error) {
	t.Helper()
	l := loader.Loader{Store: s}
	before := s.Counts().Reads
	if earlier == nil {
		state, err := l.Load(t.Context(), nil)
		return state, s.Counts().Reads - before, err
	}
	state, err := l.Load(t.Context(), earlier.Snapshot)
	return state, s.Counts().Reads - before, err
}

// change applies n edits, each of which sets one upstream.
func change(t *testing.T, s *storer.Store, n int) {
	t.Helper()
	e := editor.Editor{Store: s}
	for i := range n {
		text := fmt.Sprintf("[[pool]]\nname = \"p\"\n[[pool.upstream]]\naddress = \"10.0.0.1:%d\"\nregion = \"cairo\"\ndata-centre = \"a\"\n", 1000+i)
		p, err := parser.ParsePatch("patch", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := e.Apply(t.Context(), editor.Edit{Author: "nour", Base: editor.BaseNewest, Patch: p}); err != nil {
			t.Fatal(err)
		}
	}
}

// A load reads no segments that the earlier state has, and uses the changes in the head or
// the pages if they reach back to it.
func TestLoadReadsOnlyMissingParts(t *testing.T) {
	is := is.New(t)
	var s storer.Store
	state, reads, err := load(t, &s, nil)
	is.NoErr(err)
	is.Equal(reads, 1)
	is.Equal(state.Snapshot.Revision(), int64(0))

	change(t, &s, 20)
	old, _, err := load(t, &s, nil)
	is.NoErr(err)
	_, reads, err = load(t, &s, old)
	is.NoErr(err)
	is.Equal(reads, 1)

	// The head no longer holds all changes since the earlier state, so the manifest
	// and a page of changes are read too.
	change(t, &s, 40)
	state, reads, err = load(t, &s, old)
	is.NoErr(err)
	is.Equal(reads, 3)
	_, ok := state.Snapshot.Since(old.Snapshot.Revision())
	is.True(ok)
}

// A segment whose content in the store is damaged is detected by its hash.
func TestDamagedSegmentIsRejected(t *testing.T) {
	is := is.New(t)
	var s storer.Store
	change(t, &s, 20)
	entries, err := s.List(t.Context(), encoder.SegmentPrefix)
	is.NoErr(err)
	for _, e := range entries {
		_, err = s.Put(t.Context(), e.Key(), []byte{}, kingcuphook.RevisionAny, 0)
		is.NoErr(err)
	}
	_, _, err = load(t, &s, nil)
	var e *kingcuphook.InputError
	is.True(errors.As(err, &e))
}

// failingStore fails some reads of keys other than the head: first as rate limited, then as
// missing.
type failingStore struct {
	kingcuphook.Store
	// limited and missing are the numbers of reads that still fail.
	limited, missing int
}

// Get implements kingcuphook.Store.
func (s *failingStore) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	switch {
	case key == encoder.HeadKey:
	case s.limited > 0:
		s.limited--
		return kingcuphook.Entry{}, &kingcuphook.StoreError{Op: storer.OpGet, Key: key, Err: kingcuphook.ErrRateLimited}
	case s.missing > 0:
		s.missing--
		return kingcuphook.Entry{}, &kingcuphook.StoreError{Op: storer.OpGet, Key: key, Err: kingcuphook.ErrNotFound}
	}
	return s.Store.Get(ctx, key)
}

// A load retries reads while the store limits the rate, and starts again if an edit has
// removed a value that the head it read refers to.
func TestLoadSurvivesRateLimitAndRemovedValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s storer.Store
		change(t, &s, 20)
		failing := &failingStore{Store: &s, limited: 3}
		l := loader.Loader{Store: failing}
		state, err := l.Load(t.Context(), nil)
		is.NoErr(err)
		is.Equal(state.Snapshot.Revision(), int64(20))
		is.Equal(failing.limited, 0)

		failing.missing = 1
		state, err = l.Load(t.Context(), nil)
		is.NoErr(err)
		is.Equal(state.Snapshot.Revision(), int64(20))
		is.Equal(failing.missing, 0)
	})
}
