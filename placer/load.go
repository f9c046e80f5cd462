package placer

import "time"

// Load takes how full the runners are, as the share of its slots that each uses
// or that wait at it, by address. The demand for a model in a region is what its
// runners carry together.
func (p *Placer) Load(now time.Time, shares map[string]float64) {
	demand := make(map[place]float64, len(p.shares))
	for address, r := range p.runners {
		if r.serves(r.loaded) {
			demand[place{region: r.upstream.Region(), model: r.loaded}] += shares[address]
		}
	}
	for k := range p.shares {
		p.Demand(now, k.region, k.model, demand[k])
	}
}
