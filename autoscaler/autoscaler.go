// Package autoscaler decides how many upstreams of a pool each data centre is to have. It uses neither
// clock nor network: it gets what is registered, the load and the time, and returns orders.
package autoscaler

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// registrationWait is how long a pool without upstreams may be one whose upstreams haven't registered yet.
	registrationWait = 10 * time.Second
	// spotSizingTime is how long after a router became the holder registered spot upstreams count for the size
	// of the pool. It is shorter than upstreams take to start, so that own orders don't count.
	spotSizingTime = 2 * time.Second
	// readyTime is how long after its registration, which comes once it serves, an upstream counts as known
	// to all routers.
	readyTime = time.Second
	// orderTimeout is how long beyond its startup an ordered upstream may take to register before the
	// order is repeated.
	orderTimeout = 3 * time.Second
	// noCapacityDelay is how long no upstreams are ordered in a data centre after the platform had none.
	noCapacityDelay = 5 * time.Second
	// retryDelay is the time until an order that wasn't accepted is sent again.
	retryDelay = time.Second
	// shrinkDelay is how long fewer upstreams must suffice before some are given up.
	shrinkDelay = time.Minute
)

// Upstream is a registered upstream with its load from all routers.
type Upstream struct {
	// Key identifies the program of the upstream.
	Key uint64
	// DataCentre and Region are where it runs.
	DataCentre, Region string
	// Spot is true if the platform may reclaim it, Leaving if it gets no new work.
	Spot, Leaving bool
	// Slots is the number of requests that it runs at once; 0 means unknown.
	Slots int
	// Running is the number of its requests, PrefillTokens that of their uncached prompt tokens in prefill.
	Running, PrefillTokens int
}

// Input is what a decision is based on.
type Input struct {
	// Bounds are the declared bounds and prices.
	Bounds kingcuphook.Autoscaling
	// Regions has the regions of data centres.
	Regions map[string]string
	// Upstreams are the registered upstreams.
	Upstreams []Upstream
	// HasLoad is true if the load of the upstreams and Queued are known.
	HasLoad bool
	// Queued is the number of requests that are queued for the pool.
	Queued int
	// IsPartial is true if a part of the load is unknown: it may raise the need, but not lower it.
	IsPartial bool
	// TokenTime is the time that an upstream takes to prefill a token; 0 if unknown or if it prefills none.
	TokenTime time.Duration
	// Target is the shortest target of the streams: to the first event or between two of them; 0 means none.
	Target time.Duration
}

// Autoscaler decides for one pool. Its exported field is set before use. It is not safe for concurrent use.
type Autoscaler struct {
	// Pool is the name of the pool.
	Pool string

	// heldSince is when this router first saw upstreams as the lease holder; zero before. emptySince is
	// since when it has seen none.
	heldSince, emptySince time.Time
	demand                demand
	level                 level
	// firstSeen has when each registered upstream was first seen without being about to leave.
	firstSeen map[uint64]time.Time
	// subjects has the orders by data centre and kind.
	subjects map[subjectKey]*subject
	// weights has the weight of each data centre.
	weights map[string]float64
}

// subjectKey identifies what is ordered separately.
type subjectKey struct {
	dataCentre string
	spot       bool
}

// Need returns the number of upstreams that must be left if a data centre loses its spot upstreams.
func (a *Autoscaler) Need() int { return a.level.need }

// Desired returns the number of on-demand or of spot upstreams that are ordered in all data centres.
func (a *Autoscaler) Desired(spot bool) int {
	n := 0
	for k, s := range a.subjects {
		if k.spot == spot {
			n += s.ordered
		}
	}
	return n
}

// Decide returns the orders to be sent now, those for more upstreams first. The result of each must be
// passed to Record.
func (a *Autoscaler) Decide(now time.Time, in Input) []kingcuphook.CapacityOrder {
	if !in.Bounds.Enabled() || a.isAwaiting(now, in) {
		return nil
	}
	if a.heldSince.IsZero() {
		a.heldSince = now
		a.firstSeen = make(map[uint64]time.Time)
		a.subjects = make(map[subjectKey]*subject)
	}
	f := a.count(now, in)
	isChanged := a.updateLevel(now, in, f)
	if isChanged || len(a.weights) != len(f.centres) {
		a.weights = f.weights(in)
	}
	for _, c := range f.centres {
		a.subject(c, false).observe(now, f.at(c, false), in.Bounds.Startup)
		a.subject(c, true).observe(now, f.at(c, true), in.Bounds.Startup)
	}
	t := newPlan(a, now, in, f).targets()
	a.grow(now, in, f, t)
	a.shrink(now, in, f, t)
	return a.due(now, f)
}

// isAwaiting reports whether no upstream has been registered so far and one may still be.
func (a *Autoscaler) isAwaiting(now time.Time, in Input) bool {
	if len(in.Upstreams) > 0 || !a.heldSince.IsZero() {
		return false
	}
	if a.emptySince.IsZero() {
		a.emptySince = now
	}
	return now.Sub(a.emptySince) < registrationWait
}

// isSettling reports whether orders of an earlier holder may still take effect. Until they have, no upstream is
// given up, nor is the number of on-demand ones ordered: an order for more than is registered so far may
// be for less than there is.
func (a *Autoscaler) isSettling(now time.Time, startup time.Duration) bool {
	return now.Sub(a.heldSince) < startup+orderTimeout
}

func (a *Autoscaler) updateLevel(now time.Time, in Input, f *fleet) bool {
	if a.isSettling(now, in.Bounds.Startup) {
		a.level.setSizing(now, f.sizing(now.Sub(a.heldSince) < spotSizingTime))
	}
	if in.HasLoad {
		a.demand.add(now, f.demand(in), !in.IsPartial)
	}
	return a.level.update(now, &a.demand, reachableNeed(in.Bounds, len(f.centres)))
}

// reachableNeed returns the largest need that the bounds allow after the loss of a data centre's spot upstreams.
func reachableNeed(b kingcuphook.Autoscaling, centres int) int {
	most := b.Max * centres
	if usesSpot(b) {
		most -= int((1 - onDemandShare) * float64(b.Max))
	}
	return most
}

// subject returns the state of the orders of a kind in a data centre.
func (a *Autoscaler) subject(dataCentre string, spot bool) *subject {
	k := subjectKey{dataCentre, spot}
	if a.subjects[k] == nil {
		a.subjects[k] = &subject{}
	}
	return a.subjects[k]
}

// grow orders what the targets exceed the orders by. It takes effect at once.
func (a *Autoscaler) grow(now time.Time, in Input, f *fleet, t targets) {
	for _, c := range f.centres {
		for _, spot := range []bool{true, false} {
			k := subjectKey{c, spot}
			s := a.subject(c, spot)
			if t[k] > s.ordered && (spot || !a.isSettling(now, in.Bounds.Startup)) {
				a.raise(now, in, f, t, k)
			}
			if t[k] >= s.ordered {
				s.lowerSince = time.Time{}
			} else if s.lowerSince.IsZero() {
				s.lowerSince = now
			}
		}
	}
}

// raise orders the target, at most as many as the upper bound allows beside those of the other kind. Of these, the
// order for the ones that are absent is withdrawn if there is no room for both.
func (a *Autoscaler) raise(now time.Time, in Input, f *fleet, t targets, k subjectKey) {
	most := in.Bounds.Max
	s, other := a.subject(k.dataCentre, k.spot), a.subject(k.dataCentre, !k.spot)
	n, live := t[k], f.at(k.dataCentre, k.spot).live
	otherLive := f.at(k.dataCentre, !k.spot).live
	needed := max(t[subjectKey{k.dataCentre, !k.spot}], otherLive, most-n)
	if other.isStarting(now, in.Bounds.Startup) {
		needed = other.ordered
	}
	if n+other.ordered > most && needed < other.ordered {
		other.order(now, needed)
	}
	n = min(n, most-max(other.ordered, otherLive))
	// An order below what is registered would give upstreams up.
	if n <= s.ordered || n < live {
		return
	}
	s.isRaised = s.isRaised || n > live
	s.order(now, n)
}

// shrink gives up upstreams beyond the targets as far as those that are ready cover the need without the
// spot upstreams of any one data centre. On-demand upstreams that spot upstreams replace are given up at
// once, others after shrinkDelay; so are on-demand ones that stood in for spot upstreams.
func (a *Autoscaler) shrink(now time.Time, in Input, f *fleet, t targets) {
	if a.isSettling(now, in.Bounds.Startup) {
		return
	}
	spare := a.afterLoss(f) - a.level.need
	for _, k := range f.shrinkOrder(in.Bounds) {
		s := a.subject(k.dataCentre, k.spot)
		delay := shrinkDelay
		if !k.spot && usesSpot(in.Bounds) && !s.isRaised {
			delay = 0
		}
		if s.lowerSince.IsZero() || now.Sub(s.lowerSince) < delay {
			continue
		}
		// Upstreams that are ordered but not registered aren't ready, so nothing is lost with them.
		absent := max(s.ordered-f.at(k.dataCentre, k.spot).live, 0)
		n := min(s.ordered-t[k], max(spare, 0)+absent)
		if n <= 0 {
			continue
		}
		spare -= max(n-absent, 0)
		s.order(now, s.ordered-n)
	}
}

// afterLoss returns how many ready upstreams are left if a data centre loses its spot upstreams. Those that
// were given up don't count, though they are registered until they are drained.
func (a *Autoscaler) afterLoss(f *fleet) int {
	total, most := 0, 0
	for _, c := range f.centres {
		spot := min(f.at(c, true).ready, a.subject(c, true).ordered)
		total += min(f.at(c, false).ready, a.subject(c, false).ordered) + spot
		most = max(most, spot)
	}
	return total - most
}

// due returns the orders to be sent now.
func (a *Autoscaler) due(now time.Time, f *fleet) []kingcuphook.CapacityOrder {
	var orders []kingcuphook.CapacityOrder
	for _, c := range f.centres {
		for _, spot := range []bool{true, false} {
			if s := a.subject(c, spot); s.isDue(now) {
				orders = append(orders, kingcuphook.CapacityOrder{Pool: a.Pool, DataCentre: c, Spot: spot, Desired: s.ordered})
			}
		}
	}
	slices.SortStableFunc(orders, func(x, y kingcuphook.CapacityOrder) int {
		return cmp.Compare(f.excess(x), f.excess(y))
	})
	return orders
}

// Record records the result of sending an order.
func (a *Autoscaler) Record(now time.Time, o kingcuphook.CapacityOrder, err error) {
	s := a.subjects[subjectKey{o.DataCentre, o.Spot}]
	switch {
	case s == nil:
	case err == nil, errors.Is(err, kingcuphook.ErrOutcomeUnknown):
		// An order that may have taken effect is repeated if the registrations don't follow it.
		s.sent(now)
	case errors.Is(err, kingcuphook.ErrNoCapacity):
		s.refused(now)
	default:
		s.retryAt = now.Add(retryDelay)
	}
}
