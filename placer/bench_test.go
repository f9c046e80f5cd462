package placer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/placer"
)

// BenchmarkPlan reports the time per plan and the heap per runner, in a pool of 16
// models and 10 regions where nothing needs to move.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{160, 1600, 12_000} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			before := heapBytes()
			p := filledPlacer(n)
			heap := float64(heapBytes()-before) / float64(n)
			now := time.Unix(2_000_000, 0)
			for b.Loop() {
				now = now.Add(5 * time.Second)
				if moves := p.Plan(now, nil); len(moves) > 0 {
					b.Fatal("Plan returned moves although nothing needs to move")
				}
			}
			b.ReportMetric(heap, "heap-B/runner")
		})
	}
}

func filledPlacer(n int) *placer.Placer {
	upstreams := make([]*kingcuphook.Upstream, n)
	counts := make(map[kingcuphook.PlacementFields]int)
	var placements []kingcuphook.PlacementFields
	for i := range upstreams {
		region := fmt.Sprintf("region%d", i%10)
		upstreams[i] = kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), Region: region, Kind: kingcuphook.UpstreamKindEngine,
		})
		k := kingcuphook.PlacementFields{Model: fmt.Sprintf("model%d", i/10%16), Region: region}
		if counts[k]++; counts[k] == 1 {
			k.Max = n
			placements = append(placements, k)
		}
	}
	p := &placer.Placer{}
	p.Update(kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: upstreams, Placements: placements}))
	for i, u := range upstreams {
		p.Observe(u.Address(), fmt.Sprintf("model%d", i/10%16), 1)
	}
	return p
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
