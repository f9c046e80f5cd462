package editor

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/historian"
	"github.com/kingcuphook/kingcuphook/loader"
)

// manyRoutes returns n rows for edit, each with the given tier.
func manyRoutes(n int, tier string) []string {
	rows := make([]string, n)
	for i := range rows {
		rows[i] = fmt.Sprintf("route-%d:%s", i, tier)
	}
	return rows
}

// A reader that has the revision before a large edit receives the changed rows, not
// the whole tables, and needs few reads for them.
func TestLargeEditsAreReadAsRows(t *testing.T) {
	for _, tt := range []struct{ rows, maxReads int }{
		// The rows are in the head.
		{40, 1},
		// The rows are too large for the head: reads the head, the manifest, a page
		// and the segments.
		{2000, 3 + 2*2000/100},
	} {
		is := is.New(t)
		ctx := context.Background()
		var s storer.Store
		e := Editor{Store: &s}
		_, err := e.Apply(ctx, edit(t, "1", 0, manyRoutes(3000, "1")...))
		is.NoErr(err)
		l := loader.Loader{Store: &s}
		before, err := l.Load(ctx, nil)
		is.NoErr(err)
		next := append(manyRoutes(tt.rows, "2"), manyRoutes(3000, "1")[tt.rows:]...)
		_, err = e.Apply(ctx, edit(t, "2", 1, next...))
		is.NoErr(err)

		reads := s.Counts().Reads
		after, err := l.Load(ctx, before.Snapshot)
		is.NoErr(err)
		is.True(s.Counts().Reads-reads <= tt.maxReads)
		is.Equal(len(differ.Diff(e.last.Tables(), after.Snapshot.Tables())), 0)
		data, err := encoder.EncodeUpdate(after.Snapshot, 1)
		is.NoErr(err)
		u, err := encoder.DecodeUpdate("peer", data)
		is.NoErr(err)
		is.Equal(u.Whole, nil)
		is.Equal(len(u.Changes[0].Rows()), tt.rows)

		// The change is still found after a further edit, and both can be rolled back.
		_, err = e.Apply(ctx, edit(t, "3", 2, append(next, "last")...))
		is.NoErr(err)
		after, err = l.Load(ctx, before.Snapshot)
		is.NoErr(err)
		_, known := after.Snapshot.Since(1)
		is.True(known)
		_, err = e.Rollback(ctx, Edit{Author: "omar", Base: 3}, 1)
		is.NoErr(err)
		h := historian.Historian{Store: &s}
		rows, err := h.Diff(ctx, 1, 4)
		is.NoErr(err)
		is.Equal(len(rows), 0)
	}
}

// Edits sent through many routers at the same time are all accepted, although each
// write of the head conflicts with those of the other routers.
func TestManyConcurrentEditors(t *testing.T) {
	for _, editors := range []int{2, 10, 50} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := storer.Store{Hook: func(string, string) storer.Fault { return storer.Fault{Delay: 3 * time.Millisecond} }}
			first := Editor{Store: &s}
			_, err := first.Apply(t.Context(), edit(t, "first", 0, "a"))
			is.NoErr(err)
			before, start := s.Counts(), time.Now()
			var wg sync.WaitGroup
			for i := range editors {
				wg.Go(func() {
					e := Editor{Store: &s}
					if _, err := e.Apply(t.Context(), edit(t, fmt.Sprint(i), 1, "a", fmt.Sprint("r", i))); err != nil {
						t.Error(err)
					}
				})
			}
			wg.Wait()
			after := s.Counts()
			t.Logf("%d editors: all accepted after %v, %.1f reads and %.1f writes per edit", editors, time.Since(start),
				float64(after.Reads-before.Reads)/float64(editors), float64(after.Writes-before.Writes)/float64(editors))
			is.Equal(len(strings.Fields(names(t, &s))), editors+1)
		})
	}
}
