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

// load returns what the store holds, starting from have, and the reads it took.
func load(t *testing.T, s *storer.Store, have *loader.State) (*loader.State, int, error) {
	t.Helper()
	l := loader.Loader{Store: s}
	before := s.Counts().Reads
	if have == nil {
		state, err := l.Load(t.Context(), nil)
		return state, s.Counts().Reads - before, err
	}
	state, err := l.Load(t.Context(), have.Snapshot)
	return state, s.Counts().Reads - before, err
}

// change makes n edits of one upstream.
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

func TestLoadReadsOnlyWhatIsMissing(t *testing.T) {
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

	// Behind by more than the head holds: the head, the manifest and the page.
	change(t, &s, 40)
	state, reads, err = load(t, &s, old)
	is.NoErr(err)
	is.Equal(reads, 3)
	_, known := state.Snapshot.Since(old.Snapshot.Revision())
	is.True(known)
}

// A segment that was damaged in the store is refused by its hash.
func TestDamagedSegmentIsRefused(t *testing.T) {
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

// limitedStore refuses some reads of values other than the head as over the rate,
// and some as missing.
type limitedStore struct {
	kingcuphook.Store
	refuse, missing int
}

// Get implements kingcuphook.Store.
func (s *limitedStore) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	switch {
	case key == encoder.HeadKey:
	case s.refuse > 0:
		s.refuse--
		return kingcuphook.Entry{}, &kingcuphook.StoreError{Op: storer.OpGet, Key: key, Err: kingcuphook.ErrRateLimited}
	case s.missing > 0:
		s.missing--
		return kingcuphook.Entry{}, &kingcuphook.StoreError{Op: storer.OpGet, Key: key, Err: kingcuphook.ErrNotFound}
	}
	return s.Store.Get(ctx, key)
}

// A load goes on when the store is over its rate for a moment, and begins again
// when an edit removed a value that it was about to read.
func TestLoadSurvivesRateAndCleaning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s storer.Store
		change(t, &s, 20)
		limited := &limitedStore{Store: &s, refuse: 3}
		l := loader.Loader{Store: limited}
		state, err := l.Load(t.Context(), nil)
		is.NoErr(err)
		is.Equal(state.Snapshot.Revision(), int64(20))
		is.Equal(limited.refuse, 0)

		limited.missing = 1
		state, err = l.Load(t.Context(), nil)
		is.NoErr(err)
		is.Equal(state.Snapshot.Revision(), int64(20))
		is.Equal(limited.missing, 0)
	})
}
