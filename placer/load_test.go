package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

func TestLoadAddsRunnerToFullModel(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := &Placer{}
	up := func(a string) *kingcuphook.Upstream {
		return kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: a, Region: "cairo", Kind: kingcuphook.UpstreamKindEngine})
	}
	p.Update(kingcuphook.NewPool(kingcuphook.PoolFields{
		Name:       "p",
		Upstreams:  []*kingcuphook.Upstream{up("1"), up("2")},
		Placements: []kingcuphook.PlacementFields{{Model: "m", Region: "cairo", Min: 1, Max: 2}},
	}))
	p.Observe("1", "m", 1)
	full := map[string]float64{"1": 0.95}
	p.SetLoad(now, full)
	is.Equal(p.Want("cairo", "m"), 1) // not before defaultGrowAfter has passed
	p.SetLoad(now.Add(defaultGrowAfter), full)
	is.Equal(p.Want("cairo", "m"), 2)
	p.SetLoad(now.Add(time.Hour), map[string]float64{"1": 0.95, "2": 5})
	is.Equal(p.Want("cairo", "m"), 2) // never above the declared maximum
}
