package placer

import "time"

// Load takes how full the runners are, as the share of its slots that each uses
// or that wait at it, by address. The demand for a model in a region is what its
// runners carry together.
func (p *Placer) Load(now time.Time, shares map[string]float64) {
	for k := range p.shares {
		demand := 0.0
		for address, r := range p.runners {
			if r.serves(k.model) && r.upstream.Region() == k.region {
				demand += shares[address]
			}
		}
		p.Demand(now, k.region, k.model, demand)
	}
}
