package editor

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/loader"
	"github.com/kingcuphook/kingcuphook/parser"
)

const poolsText = `
[[pool]]
name = "p"
[[pool.upstream]]
address = "127.0.0.1:9001"
region = "cairo"
data-centre = "cairo-1"
`

// routesText returns a routes table with one route per row. A row is a name, or a
// name and a tier joined by a colon; the tier defaults to 1.
func routesText(rows ...string) string {
	var b strings.Builder
	for _, row := range rows {
		name, tier, _ := strings.Cut(row, ":")
		if tier == "" {
			tier = "1"
		}
		fmt.Fprintf(&b, "[[route]]\nname = %q\nclass = %q\npool = \"p\"\ntier = %s\n", name, name, tier)
	}
	return b.String()
}

// edit returns an edit with the routes of routesText and the pools of poolsText.
func edit(t *testing.T, id string, base int64, rows ...string) Edit {
	t.Helper()
	routes, err := parser.ParseRoutes("routes.toml", []byte(routesText(rows...)))
	if err != nil {
		t.Fatal(err)
	}
	pools, err := parser.ParsePools("pools.toml", []byte(poolsText))
	if err != nil {
		t.Fatal(err)
	}
	return Edit{ID: id, Author: "nour", Base: base, Routes: routes, Pools: pools}
}

// names returns the name and tier of each route in the store, in order.
func names(t *testing.T, s kingcuphook.Store) string {
	t.Helper()
	l := loader.Loader{Store: s}
	state, err := l.Load(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	ns := make([]string, 0, len(state.Snapshot.Tables().Routes()))
	for _, r := range state.Snapshot.Tables().Routes() {
		ns = append(ns, fmt.Sprintf("%s:%d", r.Name(), r.Tier()))
	}
	return strings.Join(ns, " ")
}

// Two operators edit the same base: rows that only one of them changed are merged,
// and a row that both changed is a conflict.
func TestConcurrentEditIsRebased(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	e := Editor{Store: &s}
	_, err := e.Apply(ctx, edit(t, "1", 0, "a", "b", "c"))
	is.NoErr(err)
	_, err = e.Apply(ctx, edit(t, "2", 1, "a", "x", "b:2", "c"))
	is.NoErr(err)
	r, err := e.Apply(ctx, edit(t, "3", 1, "a:3", "b", "c", "d"))
	is.NoErr(err)
	is.Equal(r.Revision, int64(3))
	is.True(r.Rebased)
	is.Equal(names(t, &s), "a:3 x:1 b:2 c:1 d:1")

	_, err = e.Apply(ctx, edit(t, "4", 1, "a:4", "b", "c"))
	is.True(errors.Is(err, kingcuphook.ErrConflict))
	is.True(strings.Contains(err.Error(), "tier = 4"))
	is.True(strings.Contains(err.Error(), "tier = 3"))
}

// The store applies the write of the head but the reply is lost: the editor reads
// the head again and finds the edit accepted.
func TestLostReplyIsReadBack(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	lose := true
	s := storer.Store{Hook: func(op, key string) storer.Fault {
		if op == storer.OpPut && key == "tables/head" && lose {
			lose = false
			return storer.Fault{LoseReply: true}
		}
		return storer.Fault{}
	}}
	var accepted *differ.Snapshot
	e := Editor{Store: &s, OnAccept: func(s *differ.Snapshot) { accepted = s }}
	r, err := e.Apply(ctx, edit(t, "1", 0, "a"))
	is.NoErr(err)
	is.True(r.Repeated)
	is.Equal(r.Revision, int64(1))
	is.Equal(accepted.Revision(), int64(1))
}

func TestPatchIsRebased(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	e := Editor{Store: &s}
	_, err := e.Apply(ctx, edit(t, "1", 0, "a", "b"))
	is.NoErr(err)
	patch := func(id string, base int64, rows ...string) error {
		p, err := parser.ParsePatch("patch.toml", []byte(routesText(rows...)))
		is.NoErr(err)
		_, err = e.Apply(ctx, Edit{ID: id, Author: "omar", Base: base, Patch: p})
		return err
	}
	is.NoErr(patch("2", 1, "a:2"))
	is.NoErr(patch("3", 1, "b:3", "c"))
	is.True(errors.Is(patch("4", 1, "a:4"), kingcuphook.ErrConflict))
	is.NoErr(patch("5", BaseNewest, "a:5"))
	is.Equal(names(t, &s), "a:5 b:3 c:1")
}
