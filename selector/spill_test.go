package selector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// TestOtherRegionIsUsedWithoutLocalUpstreams uses a pool that doesn't allow
// spilling and has all its upstreams in another region. Once it has a local
// upstream, that one is chosen.
func TestOtherRegionIsUsedWithoutLocalUpstreams(t *testing.T) {
	is := is.New(t)
	s := &Selector{Region: "cairo", DataCentre: "cairo"}
	s.Update(start, kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: upstreams(2, "alex")}))
	c, err := s.Select(start, newRequest(1, 7000, start), nil)
	is.NoErr(err)
	is.Equal(c.Upstream.Region(), "alex")

	both := append(upstreams(2, "alex"), upstreams(1, "cairo")...)
	s.Update(start, kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: both}))
	c, err = s.Select(start, newRequest(2, 7000, start), nil)
	is.NoErr(err)
	is.Equal(c.Upstream.Region(), "cairo")
}

// TestRequestSpillsWithoutAvailableLocalUpstreams lets one local upstream report
// that it is leaving and marks the other one as not live. A request that has
// already missed its target must then go to the other region instead of waiting.
func TestRequestSpillsWithoutAvailableLocalUpstreams(t *testing.T) {
	is := is.New(t)
	s := newSelector(append(upstreams(2, "cairo"), upstreams(1, "alex")...)...)
	ejected := map[string]bool{}
	s.Live = func(_ time.Time, address string) bool { return !ejected[address] }
	late := start.Add(time.Minute)
	usable := func(address string) bool { return address == "alex-0" }

	c, err := s.SelectUsable(late, newRequest(1, 7000, start), nil, usable)
	is.NoErr(err)
	is.Equal(c.Upstream, nil) // a local slot may still become free

	s.Report(late, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: "cairo-0", Made: late, Leaving: true}))
	ejected["cairo-1"] = true
	c, err = s.SelectUsable(late, newRequest(1, 7000, start), nil, usable)
	is.NoErr(err)
	is.Equal(c.Upstream.Region(), "alex")
	is.True(c.Spilled)
}

// TestRequestSpillsIfLocalUpstreamsAreExcluded retries a request that has failed
// on every upstream of its region. It must not wait for one of them.
func TestRequestSpillsIfLocalUpstreamsAreExcluded(t *testing.T) {
	is := is.New(t)
	s := newSelector(append(upstreams(1, "cairo"), upstreams(1, "alex")...)...)
	late := start.Add(time.Minute)
	all := func(string) bool { return true }
	c, err := s.SelectUsable(late, newRequest(1, 7000, start), []string{"cairo-0"}, all)
	is.NoErr(err)
	is.Equal(c.Upstream.Region(), "alex")
}
