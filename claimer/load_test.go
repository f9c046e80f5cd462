package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/claimer"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

// load is a load test in virtual time.
type load struct {
	routers int
	// rate is the number of claims per second across all routers.
	rate float64
	time time.Duration
	// delay is the minimum duration of a store call, spread the maximum random
	// addition to it.
	delay, spread time.Duration
	// shards and interval configure the claimers; 0 means the default.
	shards   int
	interval time.Duration
	// mayFail allows claims to fail, for a store that is too slow for all of them.
	mayFail bool
}

// results are the measurements of a load test.
type results struct {
	claims, failed, conflicts, headWrites, outcomeWrites int
	reads, writes                                        float64
	delay                                                *hdrhistogram.Histogram
}

func (f results) String() string {
	return fmt.Sprintf("%d claims (%d failed), %.1f writes/s, %.1f reads/s, %d head writes (%d conflicts), %d outcome writes, delay p50 %d ms, p99 %d ms, max %d ms",
		f.claims, f.failed, f.writes, f.reads, f.headWrites, f.conflicts, f.outcomeWrites,
		f.delay.ValueAtQuantile(50), f.delay.ValueAtQuantile(99), f.delay.Max())
}

func (l load) run() results {
	var mu sync.Mutex
	delays := rand.New(rand.NewPCG(3, 3))
	store := &storer.Store{Hook: func(string, string) storer.Fault {
		mu.Lock()
		defer mu.Unlock()
		return storer.Fault{Delay: l.delay + time.Duration(delays.Float64()*float64(l.spread))}
	}}
	all := make([]*claimer.Claimer, 0, l.routers)
	for i := range l.routers {
		all = append(all, &claimer.Claimer{Store: store, Rand: rand.New(rand.NewPCG(1, uint64(i))), Shards: l.shards, Interval: l.interval})
	}
	f := results{delay: hdrhistogram.New(1, 10_000, 3)}
	r := rand.New(rand.NewPCG(2, 2))
	var group sync.WaitGroup
	for began := time.Now(); time.Since(began) < l.time; f.claims++ {
		time.Sleep(time.Duration(r.ExpFloat64() / l.rate * float64(time.Second)))
		c, n := all[r.IntN(l.routers)], f.claims
		group.Go(func() {
			asked := time.Now()
			t, err := c.Claim(context.Background(), claimer.HashOf("cafe", fmt.Sprint(n)), 1)
			took := time.Since(asked)
			mu.Lock()
			defer mu.Unlock()
			_ = f.delay.RecordValue(took.Milliseconds())
			if err != nil || !t.Held() {
				f.failed++
				return
			}
			c.StoreOutcome(t, claimer.Outcome{Status: 200, Body: make([]byte, 200)})
		})
	}
	group.Wait()
	counts := store.Counts()
	f.reads = float64(counts.Reads) / l.time.Seconds()
	f.writes = float64(counts.Writes) / l.time.Seconds()
	for _, c := range all {
		f.headWrites += c.Counts().Writes
		f.conflicts += c.Counts().Conflicts
		f.outcomeWrites += c.Counts().OutcomeWrites
		_ = c.Drain(context.Background())
	}
	return f
}

// TestLoad checks that the claimers stay within the write budget of the store, and
// that no claim fails unless the store is too slow for all of them. It runs in virtual
// time; -v prints the results.
func TestLoad(t *testing.T) {
	const (
		delay = 3 * time.Millisecond
		long  = 12 * time.Second
	)
	for _, c := range []struct {
		name string
		load load
	}{
		{"alone", load{routers: 1, rate: 0.5, time: 200 * time.Second, delay: delay}},
		{"8 routers, 10 claims/s", load{routers: 8, rate: 10, time: long, delay: delay}},
		{"8 routers, 100 claims/s", load{routers: 8, rate: 100, time: long, delay: delay}},
		{"8 routers, 1000 claims/s", load{routers: 8, rate: 1000, time: long, delay: delay}},
		{"the same, store 1 to 11 ms", load{routers: 8, rate: 1000, time: long, delay: time.Millisecond, spread: 10 * time.Millisecond}},
		{"the same, store 10 to 30 ms", load{routers: 8, rate: 1000, time: long, delay: 10 * time.Millisecond, spread: 20 * time.Millisecond}},
		{"the same, store 100 ms", load{routers: 8, rate: 1000, time: long, delay: 100 * time.Millisecond, mayFail: true}},
		{"the same, 2 shards, 250 ms", load{routers: 8, rate: 1000, time: long, delay: delay, shards: 2, interval: 250 * time.Millisecond}},
		{"the same, 4 shards, 500 ms", load{routers: 8, rate: 1000, time: long, delay: delay, shards: 4, interval: 500 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := c.load.run()
				t.Log(f)
				is.True(f.writes <= 100) // the share of the store's writes that claims may use
				is.True(c.load.mayFail || f.failed == 0)
			})
		})
	}
}
