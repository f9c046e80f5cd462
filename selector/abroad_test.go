package selector

import (
	"testing"

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
