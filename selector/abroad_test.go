package selector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// TestPoolOfAnotherRegionIsReached uses a pool without spilling whose upstreams
// all stand in another region.
func TestPoolOfAnotherRegionIsReached(t *testing.T) {
	is := is.New(t)
	s := &Selector{Region: "cairo", DataCentre: "cairo"}
	s.Update(start, kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: upstreams(2, "alex")}))
	c, err := s.Select(start, question(1, 7000, start), nil)
	is.NoErr(err)
	is.Equal(c.Upstream.Region(), "alex")

	both := append(upstreams(2, "alex"), upstreams(1, "cairo")...)
	s.Update(start, kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: both}))
	c, err = s.Select(start, question(2, 7000, start), nil)
	is.NoErr(err)
	is.Equal(c.Upstream.Region(), "cairo")
}

// TestDesertedRegionIsLeft makes the upstreams of the own region leave by their
// own word or be ejected, for a request that has already missed its target.
func TestDesertedRegionIsLeft(t *testing.T) {
	is := is.New(t)
	s := newSelector(append(upstreams(2, "cairo"), upstreams(1, "alex")...)...)
	dead := map[string]bool{}
	s.Live = func(_ time.Time, address string) bool { return !dead[address] }
	late := start.Add(time.Minute)
	usable := func(address string) bool { return address == "alex-0" }

	c, err := s.SelectUsable(late, question(1, 7000, start), nil, usable)
	is.NoErr(err)
	is.Equal(c.Upstream, nil) // a slot may still become free at home

	s.Report(late, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: "cairo-0", Made: late, Leaving: true}))
	dead["cairo-1"] = true
	c, err = s.SelectUsable(late, question(1, 7000, start), nil, usable)
	is.NoErr(err)
	is.Equal(c.Upstream.Region(), "alex")
	is.True(c.Spilled)
}

// TestRequestExcludedAtHomeGoesAway retries a request whose region has no
// upstream that it has not failed on.
func TestRequestExcludedAtHomeGoesAway(t *testing.T) {
	is := is.New(t)
	s := newSelector(append(upstreams(1, "cairo"), upstreams(1, "alex")...)...)
	late := start.Add(time.Minute)
	all := func(string) bool { return true }
	c, err := s.SelectUsable(late, question(1, 7000, start), []string{"cairo-0"}, all)
	is.NoErr(err)
	is.Equal(c.Upstream.Region(), "alex")
}
