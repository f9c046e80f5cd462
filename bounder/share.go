package bounder

import (
	"math"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

const (
	// sharedFrom and sharedBy are the loads of a pool, as a share of its slots, from which
	// some and by which all routers share its free slots.
	sharedFrom = 0.4
	sharedBy   = 0.55
	// minLimitShare is the least limit of a tier as a share of the slots, however many
	// requests of higher tiers are queued.
	minLimitShare = 0.25
	// tierStep is the share of the slots by which the limit of a tier is higher than that
	// of the tier below it. With more than fullSteps tiers above the lowest it is smaller, so that
	// the queues of the upstreams have room for what the highest tier may exceed the slots by.
	tierStep  = 0.25
	fullSteps = 5
	// equalPart is the share of the free slots that all routers get equal parts of, whatever
	// organisations are queued at them: those queued after a sum was made are not in it.
	equalPart = 0.1
	// releasedFrom is the load of a pool, as a share of its slots, from which a router that has more
	// than is due to it leaves slots to others, and releasedShare the share of its
	// surplus that it leaves at each report. Below, slots are free for the others.
	releasedFrom  = 0.9
	releasedShare = 0.5
)

// limitFor returns how many requests all routers together may have on an upstream when
// one of the tier is added. That of the lowest tier is the slots. Routers that share an
// upstream have higher limits for higher tiers, so that these get the slots that become
// free before the next report.
func (b *Bounder) limitFor(t kingcuphook.Tier, u *upstream) float64 {
	lowest := max(b.lowest, kingcuphook.LowestDeclaredTier)
	if !t.Valid() || t > lowest || b.routers <= 1 {
		t = lowest
	}
	// What a tier may exceed the slots by is for slots that become free before the next report. The
	// queues of the upstreams bound it, so fast ones aren't given more.
	limit := float64(u.limit()) * (1 + stepFor(lowest)*float64(lowest-t)*min(u.relativeSpeed(), 1))
	if t < lowest && lowest > kingcuphook.LowestDeclaredTier {
		// A small step of a few slots would leave nothing to a tier when all slots are used.
		limit = max(limit, float64(u.limit()+1))
	}
	return max(limit-b.reserved(t), minLimitShare*float64(u.limit()))
}

// stepFor returns the share of the slots by which the limits of two adjacent tiers differ.
func stepFor(lowest kingcuphook.Tier) float64 {
	return tierStep * min(1, fullSteps/float64(lowest-kingcuphook.HighestTier))
}

// reserved returns how many slots of each upstream are left to the requests of higher
// tiers that are queued at the other routers.
func (b *Bounder) reserved(t kingcuphook.Tier) float64 {
	n := 0
	for higher := kingcuphook.HighestTier; higher < t; higher++ {
		n += b.waiting[higher.Index()]
	}
	return float64(n) / float64(max(len(b.upstreams), 1))
}

// turnover returns how many requests, one after the other, can use a slot of the upstream before
// their start shows in a report; at least 1. Routers sum loads up at the interval at which they send
// them.
func (b *Bounder) turnover(u *upstream) float64 {
	mean := b.usage.meanTime()
	if mean == 0 {
		return 1
	}
	return max(1, 2*b.interval.Seconds()*u.relativeSpeed()/mean)
}

func (u *upstream) limit() int {
	if u.slots == 0 {
		return defaultSlots
	}
	return u.slots
}

// sharers returns the number of routers among which free slots are shared. It
// grows with the load of the pool, from none at sharedFrom to all routers at sharedBy.
func (b *Bounder) sharers() float64 {
	used := float64(b.load) / float64(max(b.slots, 1))
	return float64(b.routers) * min(max((used-sharedFrom)/(sharedBy-sharedFrom), 0), 1)
}

// SetPortion sets the part of the free slots of a tier that is due to this router, 0 to 1, by what
// organisations are served at all routers. False means an equal part.
func (b *Bounder) SetPortion(t kingcuphook.Tier, portion float64, ok bool) {
	b.portions[t.Index()] = 0
	if ok {
		b.portions[t.Index()] = equalPart + (1-equalPart)*portion*float64(b.routers)
	}
}

// partOf returns the divisor of the free slots of a tier for this router.
func (b *Bounder) partOf(t kingcuphook.Tier, sharers float64) float64 {
	if p := b.portion(t); p > 0 {
		return max(sharers/p, 1)
	}
	return sharers
}

// portion returns the part of the free slots of a tier relative to an equal one; 0 means that none
// is set.
func (b *Bounder) portion(t kingcuphook.Tier) float64 {
	if !t.Valid() {
		return 0
	}
	return b.portions[t.Index()]
}

// kept returns the share of the slots that this router had at the last report and that it may use
// again when they become free. It is below 1 in a full pool, if the router has more than is due to
// it: the others could never get more otherwise. One more is kept, since requests are whole and what
// is due is mostly not.
func (b *Bounder) kept(t kingcuphook.Tier) float64 {
	p := b.portion(t)
	if p == 0 || b.own == 0 {
		return 1
	}
	used := float64(b.load) / float64(max(b.slots, 1))
	full := min(max((used-releasedFrom)/(1-releasedFrom), 0), 1)
	due := p/float64(max(b.routers, 1))*float64(b.load) + 1
	return 1 - full*releasedShare*max(1-due/float64(b.own), 0)
}

// share returns how many requests this router may have on the upstream: those that it had
// at the last report and its part of the rest of the limit, and of the slots that become
// free again before the next report.
func (b *Bounder) share(u *upstream, t kingcuphook.Tier, limit, sharers float64) int {
	spare := limit - float64(u.ownAtReport+u.otherRequests)
	spare += (b.turnover(u) - 1) * float64(u.limit())
	part := spare / b.partOf(t, sharers)
	if kept := b.kept(t); kept < 1 {
		return int(math.Floor(float64(u.ownAtReport)*kept + part + b.dither(u)))
	}
	return u.ownAtReport + int(math.Floor(part+b.dither(u)))
}

// dither returns what is added to the share of this router before it is rounded down, 0 to 1; 0 before
// the first report. It changes with each report, and is spread evenly over the routers, so that
// together they send about as many requests as the report shows free slots.
func (b *Bounder) dither(u *upstream) float64 {
	if u.reported.IsZero() {
		return 0
	}
	h := hasher.Mix(b.Seed ^ u.hash ^ hasher.Mix(uint64(u.reported.UnixNano())))
	return float64(h>>11) / (1 << 53)
}
