package historian_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/editor"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/historian"
	"github.com/kingcuphook/kingcuphook/parser"
)

// edit returns an edit with one route per name, all to the same pool.
func edit(id string, base int64, names ...string) editor.Edit {
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
		Address: "127.0.0.1:9001", Region: "cairo", DataCentre: "cairo-1", Kind: kingcuphook.UpstreamKindEngine,
	})
	p := kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: []*kingcuphook.Upstream{u}})
	routes := make([]*kingcuphook.Route, len(names))
	for i, name := range names {
		routes[i] = kingcuphook.NewRoute(kingcuphook.RouteFields{Name: name, Class: name, Pool: "p", Tier: 1})
	}
	return editor.Edit{
		ID: id, Author: "nour", Base: base,
		Routes: parser.NewRouteTable("", routes), Pools: parser.NewPoolTable("", []*kingcuphook.Pool{p}),
	}
}

// Reads the history of many edits, the difference between two revisions and the
// tables after rollbacks.
func TestHistoryDiffAndRollback(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	e := editor.Editor{Store: &s}
	const edits = 300
	for i := range edits {
		_, err := e.Apply(ctx, edit(fmt.Sprint(i), int64(i), "a", fmt.Sprintf("r%d", i)))
		is.NoErr(err)
	}
	h := historian.Historian{Store: &s}
	cs, err := h.History(ctx, 0, 1000)
	is.NoErr(err)
	is.Equal(len(cs), edits)
	is.Equal(cs[0].Revision(), int64(edits))
	is.Equal(cs[edits-1].EditID(), "0")
	cs, err = h.History(ctx, 20, 2)
	is.NoErr(err)
	is.Equal(len(cs), 2)
	is.Equal(cs[0].Revision(), int64(20))

	rows, err := h.Diff(ctx, 10, 12)
	is.NoErr(err)
	is.Equal(len(rows), 2)
	is.Equal(rows[0].Key(), differ.Key{Kind: differ.RowKindRoute, Name: "r9"})
	is.Equal(rows[1].Key(), differ.Key{Kind: differ.RowKindRoute, Name: "r11"})

	r, err := e.Rollback(ctx, editor.Edit{ID: "back", Author: "omar", Base: edits}, 7)
	is.NoErr(err)
	is.Equal(r.Revision, int64(edits+1))
	t7, err := h.At(ctx, 7)
	is.NoErr(err)
	newest, err := h.Newest(ctx)
	is.NoErr(err)
	is.Equal(len(differ.Diff(t7, newest)), 0)
	is.Equal(newest.Routes()[1].Name(), "r6")

	// Undoes a single edit; the later one stays.
	_, err = e.Apply(ctx, edit("wrong", edits+1, "a", "r6", "wrong"))
	is.NoErr(err)
	_, err = e.Apply(ctx, edit("later", edits+2, "later", "a", "r6", "wrong"))
	is.NoErr(err)
	_, err = e.Rollback(ctx, editor.Edit{Author: "omar", Base: edits + 2}, edits+1)
	is.NoErr(err)
	rows, err = h.Diff(ctx, edits+1, 0)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key().Name, "later")
	_, err = h.At(ctx, 1000)
	is.True(errors.Is(err, kingcuphook.ErrNotFound))
}
