package encoder_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/encoder"
)

// tables returns tables with the given number of routes, one pool for every four
// routes (at least one), and the given number of upstreams in each pool.
func tables(routes, upstreams int) *kingcuphook.Tables {
	rs := make([]*kingcuphook.Route, routes)
	ps := make([]*kingcuphook.Pool, max(routes/4, 1))
	for i := range rs {
		rs[i] = kingcuphook.NewRoute(kingcuphook.RouteFields{
			Name: fmt.Sprintf("route-%d", i), Path: "/v1", Pool: fmt.Sprintf("pool-%d", i/4), Tier: 1, Target: time.Second, Rate: 200,
		})
	}
	for i := range ps {
		f := kingcuphook.PoolFields{
			Name: fmt.Sprintf("pool-%d", i), MaxQueued: 10, SpillRegions: true,
			Placements: []kingcuphook.PlacementFields{{Model: "m", Region: "cairo", Max: 3}},
		}
		for j := range upstreams {
			f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
				Address: fmt.Sprintf("10.%d.%d.%d:9000", i, j/250, j%250), Region: "cairo", DataCentre: "cairo-1",
				Models: []string{"m"}, ChecksFence: true, Resumes: true,
			}))
		}
		ps[i] = kingcuphook.NewPool(f)
	}
	return kingcuphook.NewTables(1, rs, ps)
}

// join decodes segments and fails the test if one exceeds the largest value of the
// store.
func join(t *testing.T, routes, pools []encoder.Segment) *kingcuphook.Tables {
	t.Helper()
	split := func(segments []encoder.Segment) (keys []string, values [][]byte) {
		for _, g := range segments {
			if len(g.Data) > kingcuphook.MaxValueBytes {
				t.Fatalf("a segment has %d bytes, more than a value of the store may have", len(g.Data))
			}
			keys, values = append(keys, "k"), append(values, g.Data)
		}
		return keys, values
	}
	rs, err := encoder.JoinRoutes(split(routes))
	if err != nil {
		t.Fatal(err)
	}
	ps, err := encoder.JoinPools(split(pools))
	if err != nil {
		t.Fatal(err)
	}
	return kingcuphook.NewTables(1, rs, ps)
}

func TestLargeTablesRoundTripThroughSegments(t *testing.T) {
	is := is.New(t)
	a := tables(12, 4000)
	routes, err := encoder.SplitRoutes(a.Routes())
	is.NoErr(err)
	pools, err := encoder.SplitPools(a.Pools())
	is.NoErr(err)
	is.True(len(pools) > 10)
	is.Equal(len(differ.Diff(a, join(t, routes, pools))), 0)

	// Replacing one upstream changes one segment, or two if it adds or removes the
	// end of one.
	f := a.Pools()[1].Fields()
	f.Upstreams[2000] = kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "10.9.9.9:9000"})
	ps := []*kingcuphook.Pool{a.Pools()[0], kingcuphook.NewPool(f), a.Pools()[2]}
	changed, err := encoder.SplitPools(ps)
	is.NoErr(err)
	known := make(map[uint64]bool)
	for _, g := range pools {
		known[g.Hash] = true
	}
	added := 0
	for _, g := range changed {
		if !known[g.Hash] {
			added++
		}
	}
	is.True(added >= 1 && added <= 2)
}

// snapshots returns a snapshot and the one that results from three changes to it.
func snapshots(t *testing.T) (older, newer *differ.Snapshot) {
	t.Helper()
	older = differ.NewSnapshot(tables(8, 2), 7, nil)
	newer = older
	for i := range 3 {
		revision := newer.Revision() + 1
		next := tables(8+i+1, 2+i)
		c := differ.NewChange(differ.ChangeFields{
			Revision: revision, EditID: fmt.Sprint(i), Author: "nour", Reason: "opening", Time: time.Unix(1000, 0),
			Parent: newer.Lineage(), Lineage: differ.NextLineage(newer.Lineage(), revision, fmt.Sprint(i)),
			Rows: differ.Diff(newer.Tables(), next),
		})
		var err error
		if newer, err = differ.Advance(newer, c, 8); err != nil {
			t.Fatal(err)
		}
	}
	return older, newer
}

func TestUpdateHoldsChangesOrWholeState(t *testing.T) {
	is := is.New(t)
	older, newer := snapshots(t)
	data, err := encoder.EncodeUpdate(newer, older.Revision())
	is.NoErr(err)
	u, err := encoder.DecodeUpdate("peer", data)
	is.NoErr(err)
	is.Equal(u.Whole, nil)
	for _, c := range u.Changes {
		older, err = differ.Advance(older, c, 8)
		is.NoErr(err)
	}
	is.Equal(len(differ.Diff(older.Tables(), newer.Tables())), 0)
	is.Equal(older.Lineage(), newer.Lineage())

	data, err = encoder.EncodeUpdate(newer, 0)
	is.NoErr(err)
	u, err = encoder.DecodeUpdate("peer", data)
	is.NoErr(err)
	is.Equal(len(differ.Diff(u.Whole.Tables(), newer.Tables())), 0)
	is.Equal(u.Whole.Revision(), newer.Revision())

	data, err = encoder.EncodeUpdate(newer, newer.Revision())
	is.NoErr(err)
	is.Equal(data, nil)
}

func TestInconsistentHeadIsRejected(t *testing.T) {
	is := is.New(t)
	_, newer := snapshots(t)
	head := &encoder.Head{Revision: newer.Revision(), Lineage: newer.Lineage(), Manifest: "m", Base: 1, Changes: newer.Changes()}
	valid, err := encoder.EncodeHead(head)
	is.NoErr(err)
	_, err = encoder.DecodeHead(valid)
	is.NoErr(err)
	head.Revision++
	mismatched, err := encoder.EncodeHead(head)
	is.NoErr(err)
	for _, data := range [][]byte{nil, mismatched, valid[:len(valid)-1]} {
		_, err = encoder.DecodeHead(data)
		var e *kingcuphook.InputError
		is.True(errors.As(err, &e))
	}
}

// FuzzStoreForms checks that no value from the store or a peer makes a decoder panic,
// that a decoded head can be encoded and decoded again, and that a decoded snapshot
// can be encoded.
func FuzzStoreForms(f *testing.F) {
	older := differ.NewSnapshot(tables(4, 1), 7, nil)
	whole, _ := encoder.EncodeSnapshot(older)
	f.Add(whole)
	segments, _ := encoder.SplitPools(older.Tables().Pools())
	f.Add(segments[0].Data)
	f.Add([]byte("\x08\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = encoder.JoinRoutes([]string{"k"}, [][]byte{data})
		_, _ = encoder.JoinPools([]string{"k"}, [][]byte{data})
		_, _ = encoder.DecodeManifest("k", data)
		_, _ = encoder.DecodePage("k", data)
		if h, err := encoder.DecodeHead(data); err == nil {
			again, err := encoder.EncodeHead(h)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := encoder.DecodeHead(again); err != nil {
				t.Fatal(err)
			}
		}
		u, err := encoder.DecodeUpdate("k", data)
		if err != nil || u.Whole == nil {
			return
		}
		if _, err := encoder.EncodeSnapshot(u.Whole); err != nil {
			t.Fatal(err)
		}
	})
}
