package autoscaler

import (
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// onDemandShare is the least share of the need that is on demand.
	onDemandShare = 0.25
	// spotRoom is how many places in a data centre on-demand upstreams that stand in for spot ones leave.
	spotRoom = 4
	// pricePower makes the cheaper data centre of a region get more on-demand upstreams, but not all:
	// at prices of 0.85 and 1.2 about three of four.
	pricePower = 3
)

// targets has the number of upstreams by data centre and kind.
type targets map[subjectKey]int

// plan distributes the need over the data centres.
type plan struct {
	bounds kingcuphook.Autoscaling
	need   int
	places []place
	// totals are the upstreams of each kind, most the spot upstreams of the data centre that has most.
	totals [kinds]int
	most   int
}

// place is a data centre in a plan. Its arrays are indexed by kind.
type place struct {
	name string
	// costs are what an upstream costs relative to others of its kind, by weight and price.
	costs [kinds]float64
	// n is the number of upstreams, caps the most that can be had.
	n, caps [kinds]int
}

// Indices of the kinds of upstreams.
const (
	onDemand = iota
	spot
	kinds
)

func newPlan(a *Autoscaler, now time.Time, in Input, f *fleet) *plan {
	p := &plan{bounds: in.Bounds, need: a.level.need}
	sums, n := make(map[string]float64), make(map[string]float64)
	for _, c := range f.centres {
		sums[f.regions[c]] += priceOf(in.Bounds, c)
		n[f.regions[c]]++
	}
	for _, c := range f.centres {
		// The price is relative to the mean of the region.
		relativePrice := priceOf(in.Bounds, c) * n[f.regions[c]] / sums[f.regions[c]]
		x := place{name: c, costs: [kinds]float64{math.Pow(relativePrice, pricePower) / a.weights[c], 1 / a.weights[c]}}
		for kind := range kinds {
			x.caps[kind] = in.Bounds.Max
			if a.subject(c, kind == spot).isCapped(now) {
				x.caps[kind] = min(f.at(c, kind == spot).live, in.Bounds.Max)
			}
		}
		// On-demand upstreams that spot ones replace are given up later; both together keep the bound.
		x.caps[spot] = max(min(x.caps[spot], in.Bounds.Max-max(a.subject(c, false).ordered, f.at(c, false).live, 1)), 0)
		if !usesSpot(in.Bounds) {
			x.caps[spot] = 0
		}
		p.places = append(p.places, x)
	}
	return p
}

// targets returns the number of upstreams of each kind in each data centre: the on-demand share, then
// spot upstreams until the need is covered without those of any one data centre, and on-demand ones for the rest.
func (p *plan) targets() targets {
	for i := range p.places {
		p.raise(i, onDemand)
	}
	share := int(math.Ceil(onDemandShare * float64(p.need)))
	for p.totals[onDemand] < share && p.raise(p.next(onDemand), onDemand) {
	}
	for p.afterLoss() < p.need {
		i := p.next(spot)
		if p.isUseless(i) || !p.raise(i, spot) {
			break
		}
	}
	p.reserveRoom()
	for p.afterLoss() < p.need && p.raise(p.next(onDemand), onDemand) {
	}
	p.fillMin()
	t := make(targets, kinds*len(p.places))
	for _, x := range p.places {
		t[subjectKey{x.name, false}], t[subjectKey{x.name, true}] = x.n[onDemand], x.n[spot]
	}
	return t
}

// reserveRoom keeps places for spot upstreams in data centres that have none to give now, so that they can be
// ordered again there.
func (p *plan) reserveRoom() {
	if !usesSpot(p.bounds) {
		return
	}
	for i := range p.places {
		x := &p.places[i]
		x.caps[onDemand] = min(x.caps[onDemand], max(p.bounds.Max-spotRoom, p.bounds.Min, x.n[onDemand]))
	}
}

// fillMin raises the data centres that are below the lower bound.
func (p *plan) fillMin() {
	for i := range p.places {
		for p.places[i].total() < p.bounds.Min && (p.raise(i, spot) || p.raise(i, onDemand)) {
		}
	}
}

func (x *place) total() int { return x.n[onDemand] + x.n[spot] }

// raise adds an upstream if the bounds allow it. A negative index means nowhere.
func (p *plan) raise(i, kind int) bool {
	if i < 0 || p.isFull(i, kind) {
		return false
	}
	x := &p.places[i]
	x.n[kind]++
	p.totals[kind]++
	p.most = max(p.most, x.n[spot])
	return true
}

func (p *plan) isFull(i, kind int) bool {
	x := &p.places[i]
	return x.n[kind] >= x.caps[kind] || x.total() >= p.bounds.Max
}

// next returns where the next upstream of a kind goes; -1 if nowhere.
func (p *plan) next(kind int) int {
	best, least := -1, math.Inf(1)
	for i := range p.places {
		x := &p.places[i]
		if cost := float64(x.n[kind]+1) * x.costs[kind]; cost < least && !p.isFull(i, kind) {
			best, least = i, cost
		}
	}
	return best
}

// isUseless reports whether spot upstreams in a data centre add nothing after the loss of them, because
// it has most of them and no other data centre can get more.
func (p *plan) isUseless(i int) bool {
	if i < 0 || p.places[i].n[spot] < p.most {
		return i < 0
	}
	for other := range p.places {
		if other != i && !p.isFull(other, spot) {
			return false
		}
	}
	return true
}

// afterLoss returns how many upstreams are left if a data centre loses its spot upstreams.
func (p *plan) afterLoss() int { return p.totals[onDemand] + p.totals[spot] - p.most }
