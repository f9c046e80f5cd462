package selector

import (
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// suitedShare is the share of the highest tier's token target that a full
	// upstream may take to be suited to that tier.
	suitedShare = 0.75
	// reserveFactor and reserveSlack say how many slots are kept for the highest
	// tier, from what it has used lately.
	reserveFactor = 2.0
	reserveSlack  = 2
	// reserveFade is the time constant with which that use fades.
	reserveFade = 5 * time.Second
	// reserveKept is how long slots are kept after the last request of the
	// highest tier.
	reserveKept = time.Minute
	// minReserve is the share of the suited slots that is kept at least.
	minReserve = 0.4
	// minRest is the share of the suited slots that other tiers may always use.
	minRest = 0.25
)

// reserve keeps a part of the slots of upstreams that are suited to the highest
// tier free for it. An upstream is suited if it keeps the token target of that
// tier when it is full. Others take the rest of those slots.
type reserve struct {
	// target is the token target of the highest tier; 0 if none was seen.
	target time.Duration
	// seen is when a request of that tier was last dispatched.
	seen time.Time
	// slots is this router's part of the suited slots.
	slots float64
	// rest counts this router's requests of other tiers on suited upstreams.
	rest int
	// top counts this router's requests of the highest tier.
	top int
	// peak is the use by the highest tier at the time faded.
	peak  float64
	faded time.Time
}

// remove takes the contribution of t out of the sums, add puts it back; t may
// be changed between the two.
func (v *reserve) remove(t *tracker, routers int) { v.count(t, routers, -1) }

func (v *reserve) add(t *tracker, routers int) { v.count(t, routers, 1) }

func (v *reserve) count(t *tracker, routers, sign int) {
	v.top += sign * t.top
	if t.suited && !t.remote && !t.upstream.Leaving() {
		v.slots += float64(sign*t.slots) / float64(max(routers, 1))
		v.rest += sign * (t.own - t.top)
	}
}

// judge decides again whether t is suited.
func (v *reserve) judge(t *tracker) {
	full := t.gap.at(float64(t.slots))
	t.suited = v.target > 0 && float64(full) < suitedShare*float64(v.target)
}

// use notes what the highest tier uses now.
func (v *reserve) use(now time.Time, r *kingcuphook.Request) {
	if r.Tier() == kingcuphook.HighestTier && r.TokenTarget() > 0 {
		v.target = r.TokenTarget()
		v.seen = now
	}
	v.peak = max(v.wanted(now), float64(v.top))
	v.faded = now
}

// wanted returns the faded use by the highest tier.
func (v *reserve) wanted(now time.Time) float64 {
	return v.peak * math.Exp(-now.Sub(v.faded).Seconds()/reserveFade.Seconds())
}

// full reports whether a request of another tier finds no unreserved slot on t.
func (v *reserve) full(now time.Time, r *kingcuphook.Request, t *tracker) bool {
	if !t.suited || t.remote || r.Tier() == kingcuphook.HighestTier || now.Sub(v.seen) > reserveKept {
		return false
	}
	kept := max(reserveFactor*v.wanted(now)+reserveSlack, minReserve*v.slots)
	return float64(v.rest) >= max(v.slots-kept, minRest*v.slots)
}
