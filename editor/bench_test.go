package editor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/loader"
	"github.com/kingcuphook/kingcuphook/parser"
)

// size is the size of tables.
type size struct{ organisations, runners int }

// sizes range from a small deployment to the largest one that the design covers.
var sizes = []size{{10, 12}, {230, 1200}, {2300, 12000}}

const (
	routesPerOrganisation = 4
	models                = 16
	regions               = 10
)

// benchmarkSizes runs a sub-benchmark for each size.
func benchmarkSizes(b *testing.B, run func(b *testing.B, n size)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("routes=%d/upstreams=%d", n.organisations*routesPerOrganisation, n.runners), func(b *testing.B) {
			run(b, n)
		})
	}
}

// newTables returns tables of the given size, with one pool per model and region.
func newTables(n size) *kingcuphook.Tables {
	pools := make([]kingcuphook.PoolFields, min(models*regions, n.runners))
	for i := range n.runners {
		p := &pools[i%len(pools)]
		model, region := fmt.Sprintf("model-%d", i%models), fmt.Sprintf("region-%d", i/models%regions)
		p.Name = model + "-" + region
		p.Upstreams = append(p.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Region: region,
			DataCentre: region + "-1", Kind: kingcuphook.UpstreamKindEngine, Models: []string{model}, Slots: 32,
			ChecksFence: true, Resumes: true,
		}))
		p.Placements = []kingcuphook.PlacementFields{{Model: model, Region: region, Min: 1, Max: 100}}
	}
	ps := make([]*kingcuphook.Pool, len(pools))
	for i, f := range pools {
		ps[i] = kingcuphook.NewPool(f)
	}
	routes := make([]*kingcuphook.Route, 0, n.organisations*routesPerOrganisation)
	for i := range n.organisations {
		for j := range routesPerOrganisation {
			routes = append(routes, kingcuphook.NewRoute(kingcuphook.RouteFields{
				Name: fmt.Sprintf("organisation-%d-class-%d", i, j), Class: fmt.Sprintf("class-%d", j),
				Organisation: fmt.Sprintf("organisation-%d", i), Pool: ps[(i+j)%len(ps)].Name(),
				Tier: kingcuphook.Tier(1 + j), Target: 1500 * time.Millisecond, TokenTarget: 31 * time.Millisecond,
				OrganisationRate: 100,
			}))
		}
	}
	return kingcuphook.NewTables(0, routes, ps)
}

// countingStore counts the bytes read and written.
type countingStore struct {
	*storer.Store
	read, written int
}

func (s *countingStore) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.read += len(e.Value())
	return e, err
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, expect int64, id kingcuphook.LeaseID) (int64, error) {
	s.written += len(value)
	return s.Store.Put(ctx, key, value, expect, id)
}

// newFilledStore returns a store with tables of the given size, and its editor.
func newFilledStore(b *testing.B, n size) (*countingStore, *Editor) {
	b.Helper()
	s := &countingStore{Store: &storer.Store{History: 100}}
	e := &Editor{Store: s}
	t := newTables(n)
	_, err := e.Apply(b.Context(), Edit{
		Author: "nour", Routes: parser.NewRouteTable("routes", t.Routes()), Pools: parser.NewPoolTable("pools", t.Pools()),
	})
	if err != nil {
		b.Fatal(err)
	}
	return s, e
}

// randomPatch returns an edit that changes one random upstream if i is even, and
// one random route if it is odd.
func randomPatch(b *testing.B, e *Editor, rng *rand.Rand, i int) Edit {
	b.Helper()
	t := e.last.Tables()
	r := t.Routes()[rng.IntN(len(t.Routes()))]
	text := fmt.Sprintf("[[route]]\nname = %q\nclass = %q\norganisation = %q\npool = %q\ntier = %d\nrate = %d.0\n",
		r.Name(), r.Class(), r.Organisation(), r.Pool(), r.Tier(), i+1)
	if i%2 == 0 {
		p := t.Pools()[rng.IntN(len(t.Pools()))]
		u := p.Upstreams()[rng.IntN(len(p.Upstreams()))]
		text = fmt.Sprintf("[[pool]]\nname = %q\n[[pool.upstream]]\naddress = %q\nregion = %q\ndata-centre = %q\nslots = %d\n",
			p.Name(), u.Address(), u.Region(), u.DataCentre(), i+100)
	}
	p, err := parser.ParsePatch("patch", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	return Edit{Author: "nour", Reason: "opening time", Base: BaseNewest, Patch: p}
}

// BenchmarkEdit applies patches of one row each.
func BenchmarkEdit(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n size) {
		s, e := newFilledStore(b, n)
		rng := rand.New(rand.NewPCG(1, 1))
		calls, written, read := s.Counts(), s.written, s.read
		head, i := 0, 0
		for b.Loop() {
			if _, err := e.Apply(b.Context(), randomPatch(b, e, rng, i)); err != nil {
				b.Fatal(err)
			}
			i++
			h, err := s.Store.Get(b.Context(), encoder.HeadKey)
			if err != nil {
				b.Fatal(err)
			}
			head += len(h.Value())
		}
		after := s.Counts()
		per := func(v int) float64 { return float64(v) / float64(i) }
		b.ReportMetric(per(after.Writes-calls.Writes), "writes/op")
		b.ReportMetric(per(after.Reads-calls.Reads)-1, "reads/op")
		b.ReportMetric(per(s.written-written), "written-B/op")
		b.ReportMetric(per(s.read-read), "read-B/op")
		b.ReportMetric(per(head), "head-B")
	})
}

// freedBytes returns by how much the heap shrinks when release drops its
// references.
func freedBytes(release func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	release()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(before.HeapAlloc) - float64(after.HeapAlloc)
}

// BenchmarkLoad reads the whole tables, as a router does when it starts. It reports
// the memory of the tables alone, and of the tables with the changes kept for peers.
func BenchmarkLoad(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n size) {
		s, e := newFilledStore(b, n)
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range loader.DefaultKeep {
			if _, err := e.Apply(b.Context(), randomPatch(b, e, rng, i)); err != nil {
				b.Fatal(err)
			}
		}
		calls, i := s.Counts().Reads, 0
		l := loader.Loader{Store: s.Store}
		var state *loader.State
		for b.Loop() {
			var err error
			if state, err = l.Load(b.Context(), nil); err != nil {
				b.Fatal(err)
			}
			i++
		}
		b.ReportMetric(float64(s.Counts().Reads-calls)/float64(i), "reads/op")
		data, err := encoder.EncodeSnapshot(state.Snapshot)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "whole-B")
		b.ReportMetric(freedBytes(func() { state = nil }), "tables-B")
		b.ReportMetric(freedBytes(func() { e.last = nil }), "with-changes-B")
		runtime.KeepAlive(s)
	})
}

// BenchmarkAdvance decodes and applies updates of one row each, as every router
// does when it receives them from a peer.
func BenchmarkAdvance(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n size) {
		_, e := newFilledStore(b, n)
		rng := rand.New(rand.NewPCG(1, 1))
		base := e.last
		updates := make([][]byte, 0, 64)
		bytes := 0
		for i := range 64 {
			if _, err := e.Apply(b.Context(), randomPatch(b, e, rng, i)); err != nil {
				b.Fatal(err)
			}
			data, err := encoder.EncodeUpdate(e.last, e.last.Revision()-1)
			if err != nil {
				b.Fatal(err)
			}
			updates = append(updates, data)
			bytes += len(data)
		}
		s, i := base, 0
		for b.Loop() {
			u, err := encoder.DecodeUpdate("peer", updates[i%len(updates)])
			if err != nil {
				b.Fatal(err)
			}
			if s, err = differ.Advance(s, u.Changes[0], loader.DefaultKeep); err != nil {
				b.Fatal(err)
			}
			if i++; i%len(updates) == 0 {
				s = base
			}
		}
		b.ReportMetric(float64(bytes)/float64(len(updates)), "update-B")
	})
}

// BenchmarkText parses and validates whole tables in text form, as an operator's
// edit of whole tables does.
func BenchmarkText(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n size) {
		t := newTables(n)
		routes, err := encoder.RoutesTOML(t.Routes())
		if err != nil {
			b.Fatal(err)
		}
		pools, err := encoder.PoolsTOML(t.Pools())
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			r, err := parser.ParseRoutes("routes", routes)
			if err != nil {
				b.Fatal(err)
			}
			p, err := parser.ParsePools("pools", pools)
			if err != nil {
				b.Fatal(err)
			}
			if err := parser.Validate(r, p); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(routes)+len(pools)), "text-B")
	})
}
