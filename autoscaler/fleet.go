package autoscaler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// count counts upstreams of one kind in a data centre.
type count struct {
	// live are those that are not leaving, ready those of them that are past their start.
	live, ready int
}

// fleet is the registered upstreams, counted.
type fleet struct {
	// reclaiming means that spot upstreams are leaving.
	reclaiming bool
	// centres are the data centres of the pool, in order.
	centres []string
	regions map[string]string
	counts  map[subjectKey]count
	// running has the requests by region.
	running map[string]int
}

// count counts the upstreams. Data centres are those with upstreams or orders and those with a price.
func (a *Autoscaler) count(now time.Time, in Input) *fleet {
	f := &fleet{regions: make(map[string]string), counts: make(map[subjectKey]count), running: make(map[string]int)}
	for c := range in.Bounds.Prices {
		f.regions[c] = in.Regions[c]
	}
	for k := range a.subjects {
		f.regions[k.dataCentre] = in.Regions[k.dataCentre]
	}
	seen := make(map[uint64]time.Time, len(in.Upstreams))
	for _, u := range in.Upstreams {
		f.regions[u.DataCentre] = u.Region
		f.running[u.Region] += u.Running
		if u.Leaving {
			f.reclaiming = f.reclaiming || u.Spot
			continue
		}
		first, known := a.firstSeen[u.Key]
		if !known {
			first = now
		}
		seen[u.Key] = first
		k := subjectKey{u.DataCentre, u.Spot}
		c := f.counts[k]
		c.live++
		if now.Sub(first) >= readyTime {
			c.ready++
		}
		f.counts[k] = c
	}
	a.firstSeen = seen
	f.centres = slices.Sorted(maps.Keys(f.regions))
	return f
}

func (f *fleet) at(dataCentre string, spot bool) count { return f.counts[subjectKey{dataCentre, spot}] }

// sizing returns the need that the registered upstreams were ordered for: all on-demand ones or, after
// the change to spot upstreams, those left after the loss of a data centre's with their on-demand quarter. It
// is the same before, during and after that change, so that a change of the holder doesn't raise it. Spot
// upstreams count only if withSpot is true.
func (f *fleet) sizing(withSpot bool) int {
	onDemand, spot, most := 0, 0, 0
	for _, c := range f.centres {
		n := f.at(c, true).live
		onDemand += f.at(c, false).live
		spot += n
		most = max(most, n)
	}
	// While spot upstreams are being reclaimed, a data centre's are lost already.
	if !f.reclaiming {
		spot -= most
	}
	if !withSpot {
		return onDemand
	}
	return max(onDemand, spot+min(onDemand, spot/3))
}

// demand returns the demand in upstreams that are fully used: by requests in slots and by the prefill work
// that delays events beyond the target.
func (f *fleet) demand(in Input) float64 {
	slots, known, running, tokens := 0, 0, in.Queued, 0
	for _, u := range in.Upstreams {
		if u.Slots > 0 {
			slots += u.Slots
			known++
		}
		running += u.Running
		tokens += u.PrefillTokens
	}
	perUpstream := float64(assumedSlots)
	if known > 0 {
		perUpstream = float64(slots) / float64(known)
	}
	target := in.Target
	if target <= 0 {
		target = assumedTarget
	}
	share := usedShare
	if target < tightTarget {
		share = tightShare
	}
	backlog := float64(tokens) * in.TokenTime.Seconds()
	return max(float64(running)/(share*perUpstream), backlog/(backlogShare*target.Seconds()))
}

// assumedSlots is the number of slots of upstreams that registered none.
const assumedSlots = 8

// weights returns the weight of each data centre: half of the total is equal, half by the share of its region in
// the demand. Requests run where there are upstreams, so the demand alone would keep any imbalance.
func (f *fleet) weights(in Input) map[string]float64 {
	perRegion, total := make(map[string]int), 0
	for _, c := range f.centres {
		perRegion[f.regions[c]]++
	}
	for _, n := range f.running {
		total += n
	}
	w := make(map[string]float64, len(f.centres))
	for _, c := range f.centres {
		equal := 1 / float64(len(f.centres))
		w[c] = equal
		if in.HasLoad && total > 0 {
			region := f.regions[c]
			w[c] = (equal + float64(f.running[region])/float64(total)/float64(perRegion[region])) / 2
		}
	}
	return w
}

// shrinkOrder returns what may be given up, the most expensive first.
func (f *fleet) shrinkOrder(b kingcuphook.Autoscaling) []subjectKey {
	keys := make([]subjectKey, 0, kinds*len(f.centres))
	for _, c := range f.centres {
		keys = append(keys, subjectKey{c, false}, subjectKey{c, true})
	}
	slices.SortStableFunc(keys, func(x, y subjectKey) int {
		if x.spot != y.spot {
			if y.spot {
				return -1
			}
			return 1
		}
		return cmp.Compare(priceOf(b, y.dataCentre), priceOf(b, x.dataCentre))
	})
	return keys
}

// excess returns by how many upstreams the registered ones exceed an order.
func (f *fleet) excess(o kingcuphook.CapacityOrder) int {
	return f.at(o.DataCentre, o.Spot).live - o.Desired
}

// priceOf returns the price in a data centre; 1 if none is declared.
func priceOf(b kingcuphook.Autoscaling, dataCentre string) float64 {
	if p := b.Prices[dataCentre]; p > 0 {
		return p
	}
	return 1
}

// usesSpot reports whether spot upstreams exist and cost less.
func usesSpot(b kingcuphook.Autoscaling) bool { return b.SpotPrice > 0 && b.SpotPrice < 1 }
