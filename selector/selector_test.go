package selector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

var start = time.Unix(1_700_000_000, 0)

func upstreams(n int, region string) []*kingcuphook.Upstream {
	us := make([]*kingcuphook.Upstream, 0, n)
	for i := range n {
		us = append(us, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: fmt.Sprintf("%s-%d", region, i), Region: region, DataCentre: region, Slots: 8,
		}))
	}
	return us
}

func newSelector(us ...*kingcuphook.Upstream) *Selector {
	s := &Selector{Region: "cairo", DataCentre: "cairo"}
	s.Update(start, kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: us, SpillRegions: true}))
	return s
}

// newRequest returns a request with the given shared prefix and a last block of its
// own.
func newRequest(n int, prefix uint64, arrived time.Time) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{
		ID: fmt.Sprint("q", n), Tier: 1, Arrived: arrived, Target: time.Second, PromptTokens: 1100, Bytes: 4400,
		Prefix:      []uint64{prefix, prefix + 1, prefix + 2, prefix + 3, prefix + 4, prefix + 5, prefix + 6, uint64(n) + 1<<40},
		Fingerprint: uint64(n) + 1<<50,
	})
}

func TestRoutersChooseTheSameUpstreamForAPrefix(t *testing.T) {
	is := is.New(t)
	a, b := newSelector(upstreams(40, "cairo")...), newSelector(upstreams(40, "cairo")...)
	for n := range 4 {
		r := newRequest(n, 7000, start)
		for _, s := range []*Selector{a, b} {
			c, err := s.Select(start, r, nil)
			is.NoErr(err)
			s.Started(start, c.Upstream.Address(), r)
			s.Finished(start, c.Upstream.Address(), r, kingcuphook.Sample{FirstToken: 50 * time.Millisecond})
		}
	}
	last := newRequest(9, 7000, start)
	x, _ := a.Select(start, last, nil)
	y, _ := b.Select(start, last, nil)
	is.Equal(x.Upstream.Address(), y.Upstream.Address())
	is.Equal(x.UncachedTokens, 1100-7*128)
}

func TestLeavingUpstreamIsNeverChosen(t *testing.T) {
	is := is.New(t)
	us := upstreams(2, "cairo")
	f := us[0].Fields()
	f.Leaving = true
	us[0] = kingcuphook.NewUpstream(f)
	s := newSelector(us...)
	s.Report(start, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: "cairo-1", Made: start, Leaving: true}))
	for n := range 50 {
		c, err := s.Select(start, newRequest(n, uint64(n)*100+1, start), nil)
		is.NoErr(err)
		is.Equal(c.Upstream, nil)
	}
}

func TestCycleOfHashesTerminates(t *testing.T) {
	is := is.New(t)
	s := newSelector(upstreams(1, "cairo")...)
	r := kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "a", Arrived: start, PromptTokens: 400, Prefix: []uint64{5, 6, 5}})
	s.Started(start, "cairo-0", r)
	s.Cached(start, kingcuphook.NewCacheEvent("cairo-0", 1, 5, true))
	c, err := s.Select(start, r, nil)
	is.NoErr(err)
	is.Equal(c.UncachedTokens, 400-3*128)
}

// BenchmarkSelect selects among 600 upstreams for prompts of 60 blocks of which
// 56 are shared.
func BenchmarkSelect(b *testing.B) {
	s := newSelector(upstreams(600, "cairo")...)
	rs := make([]*kingcuphook.Request, 0, 1000)
	for n := range 1000 {
		f := kingcuphook.RequestFields{ID: fmt.Sprint(n), Tier: 1, Arrived: start, Target: time.Second, PromptTokens: 7700, Fingerprint: uint64(n) + 1<<50}
		for i := range 60 {
			f.Prefix = append(f.Prefix, mix(uint64(n%50)<<8|uint64(i)))
		}
		for i := range 4 {
			f.Prefix[56+i] = mix(uint64(n)<<32 | uint64(i))
		}
		r := kingcuphook.NewRequest(f)
		c, _ := s.Select(start, r, nil)
		s.Started(start, c.Upstream.Address(), r)
		s.Progress(start, c.Upstream.Address(), r, 1)
		rs = append(rs, r)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if _, err := s.Select(start, rs[n%len(rs)], nil); err != nil {
			b.Fatal(err)
		}
		n++
	}
}

func TestPrefixUnderPrefillIsNotPrefilledTwice(t *testing.T) {
	is := is.New(t)
	s := newSelector(upstreams(2, "cairo")...)
	first := newRequest(1, 7000, start)
	c, err := s.Select(start, first, nil)
	is.NoErr(err)
	s.Started(start, c.Upstream.Address(), first)

	second := newRequest(2, 7000, start)
	waits, err := s.Select(start, second, nil)
	is.NoErr(err)
	is.Equal(waits.Upstream, nil) // the first prefill has not ended
	late, err := s.Select(start.Add(900*time.Millisecond), second, nil)
	is.NoErr(err)
	is.True(late.Upstream != nil) // it stops waiting before its target is missed

	s.Progress(start.Add(100*time.Millisecond), c.Upstream.Address(), first, 1)
	next, err := s.Select(start.Add(100*time.Millisecond), second, nil)
	is.NoErr(err)
	is.Equal(next.Upstream, c.Upstream)
	is.Equal(next.UncachedTokens, 1100-7*128)
}
