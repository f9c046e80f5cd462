package throttler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAllow measures one decision with 2,300 organisations and the rates of
// 200 peers for each.
func BenchmarkAllow(b *testing.B) {
	t := &Throttler{DigestRates: digestRates}
	t.SetRouters(1100)
	limits := make([][]Limit, 2300)
	for i := range limits {
		limits[i] = []Limit{{Key: 1 << 40, Rate: 10_000}, {Key: uint64(i), Rate: 5}}
		t.Allow(start, limits[i])
		for p := range 200 {
			t.UpdatePeer(start, fmt.Sprint(p), []Rate{{Key: uint64(i), Rate: 0.01}})
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		t.Allow(start.Add(time.Duration(i)*11*time.Millisecond), limits[i%len(limits)])
	}
}

// BenchmarkFleet reports the lowest and highest ratio of the admitted rate to the
// limit at a demand of three times the limit, by fleet size, number of routers
// with demand and number of hot limits, over a minute after a warm-up of two
// minutes.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 64, 1100} {
		for _, active := range []int{n, n / 8} {
			for _, hot := range []int{1, 16} {
				if n > 100 && hot > 1 {
					continue
				}
				b.Run(fmt.Sprintf("%d-routers/%d-active/%d-hot", n, active, hot), func(b *testing.B) {
					for b.Loop() {
						low, high := fleetError(n, active, hot)
						b.ReportMetric(low, "lowest/limit")
						b.ReportMetric(high, "highest/limit")
					}
				})
			}
		}
	}
}

// fleetError returns the lowest and the highest ratio of admitted rate to limit.
func fleetError(n, active, hot int) (low, high float64) {
	f := newFleet(7, n)
	weights := make([]float64, n)
	for i := range active {
		weights[i] = 1
	}
	streams := make([]*stream, hot)
	for i := range streams {
		streams[i] = &stream{limit: Limit{Key: uint64(i), Rate: 50}, demand: 150, weights: weights}
	}
	f.run(2*time.Minute, streams...)
	for _, s := range streams {
		s.reset()
	}
	f.run(time.Minute, streams...)
	low, high = 1e9, 0
	for _, s := range streams {
		share := float64(s.admitted) / (s.limit.Rate * 60)
		low, high = min(low, share), max(high, share)
	}
	return low, high
}
