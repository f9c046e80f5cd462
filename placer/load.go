package placer

import "time"

// SetLoad records the load of the runners by address, as running and queued requests
// relative to the slots of each. The demand for a model in a region is the sum over
// the runners that serve it.
func (p *Placer) SetLoad(now time.Time, shares map[string]float64) {
	demand := make(map[modelRegion]float64, len(p.allocations))
	for address, r := range p.runners {
		if r.serves(r.loaded) {
			demand[modelRegion{region: r.upstream.Region(), model: r.loaded}] += shares[address]
		}
	}
	for k := range p.allocations {
		p.SetDemand(now, k.region, k.model, demand[k])
	}
}
