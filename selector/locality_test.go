package selector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// reportQueuedTokens sends a load report with the given number of prompt tokens
// waiting for prefill.
func reportQueuedTokens(s *Selector, now time.Time, address string, tokens int) {
	s.Report(now, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: address, Made: now, QueuedTokens: tokens}))
}

func TestSpillOnlyWhenLocalMissesAndRemoteMeets(t *testing.T) {
	for _, test := range []struct {
		name          string
		local, remote int
		bytes         int
		spilled       bool
	}{
		{name: "both meet", local: 2_000, remote: 0, spilled: false},
		{name: "local misses", local: 20_000, remote: 0, spilled: true},
		{name: "both miss", local: 20_000, remote: 20_000, spilled: false},
		{name: "too many bytes", local: 12_000, remote: 0, bytes: 1 << 20, spilled: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSelector(append(upstreams(1, "cairo"), upstreams(1, "alex")...)...)
			reportQueuedTokens(s, start, "cairo-0", test.local)
			reportQueuedTokens(s, start, "alex-0", test.remote)
			r := kingcuphook.NewRequest(kingcuphook.RequestFields{
				ID: "r", Arrived: start, Target: time.Second, PromptTokens: 100, Bytes: test.bytes, Fingerprint: 7,
			})
			c, err := s.Select(start, r, nil)
			is.NoErr(err)
			is.Equal(c.Spilled, test.spilled)
		})
	}
}

// TestSpillDoesNotOscillate lets the local wait vary around the target. With a
// single threshold, each change would switch spilling on or off.
func TestSpillDoesNotOscillate(t *testing.T) {
	is := is.New(t)
	s := newSelector(append(upstreams(1, "cairo"), upstreams(1, "alex")...)...)
	changes, before := 0, false
	for n := range 40 {
		now := start.Add(time.Duration(n) * 250 * time.Millisecond)
		tokens := 9_000 + 2_000*(n%2) // 0.94 s and 1.14 s with the initial estimates
		reportQueuedTokens(s, now, "cairo-0", tokens)
		r := kingcuphook.NewRequest(kingcuphook.RequestFields{
			ID: fmt.Sprint(n), Arrived: now, Target: time.Second, PromptTokens: 100, Fingerprint: uint64(n) + 1,
		})
		c, err := s.Select(now, r, nil)
		is.NoErr(err)
		s.Started(now, c.Upstream.Address(), r)
		if c.Spilled != before {
			changes++
		}
		before = c.Spilled
	}
	is.Equal(changes, 1) // spilling starts once and continues
	now := start.Add(time.Minute)
	reportQueuedTokens(s, now, "cairo-0", 100)
	r := kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "last", Arrived: now, Target: time.Second, PromptTokens: 100})
	c, err := s.Select(now, r, nil)
	is.NoErr(err)
	is.True(!c.Spilled) // spilling stops once the wait is short
}

func TestGapInCacheEventsMakesEntriesStale(t *testing.T) {
	is := is.New(t)
	s := newSelector(upstreams(1, "cairo")...)
	uncached := func() int {
		c, err := s.Select(start.Add(time.Hour), newRequest(9, 7000, start), nil)
		is.NoErr(err)
		return c.UncachedTokens
	}
	first := newRequest(1, 7000, start)
	s.Started(start, "cairo-0", first)
	s.Progress(start, "cairo-0", first, 1)
	s.Cached(start, kingcuphook.NewCacheEvent("cairo-0", 1, 99, true))
	is.Equal(uncached(), 1100-7*128)
	s.Cached(start, kingcuphook.NewCacheEvent("cairo-0", 3, 98, true)) // 2 was lost
	is.Equal(uncached(), 1100-7*128/2)
	s.Cached(start, kingcuphook.NewCacheEvent("cairo-0", 4, 7006, true)) // confirms the shared blocks
	is.Equal(uncached(), 1100-7*128)
	s.Cached(start, kingcuphook.NewCacheEvent("cairo-0", 5, 7006, false))
	is.Equal(uncached(), 1100-6*128)
}

func TestPrefixIndexIsBounded(t *testing.T) {
	is := is.New(t)
	s := newSelector(upstreams(1, "cairo")...)
	s.index = newPrefixIndex(100)
	for n := range 1000 {
		s.Started(start, "cairo-0", newRequest(n, uint64(n)*1000+1, start))
	}
	is.Equal(len(s.index.positions), 100)
	is.Equal(len(s.index.blocks), 100)
}
