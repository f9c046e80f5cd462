package selector

import (
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// suitedShare is the share of the highest tier's token target below which the
	// token gap of a full upstream must stay for it to be suited to that tier.
	suitedShare = 0.75
	// reserveFactor and reserveSlack give the slots reserved for the highest tier
	// as a multiple of its recent use plus a constant.
	reserveFactor = 2.0
	reserveSlack  = 2
	// reserveDecay is the time constant with which the recent use decays.
	reserveDecay = 5 * time.Second
	// reserveTTL is how long slots stay reserved after the last request of the
	// highest tier.
	reserveTTL = time.Minute
	// minReserveShare is the least share of the suited slots that is reserved.
	minReserveShare = 0.4
	// minOtherShare is the share of the suited slots that other tiers may always
	// use.
	minOtherShare = 0.25
)

// reserve reserves a part of the slots of suited upstreams for the highest tier.
// An upstream is suited if it meets the token target of that tier when all its
// slots are in use. Other tiers may use the remaining slots.
type reserve struct {
	// target is the token target of the highest tier; 0 if none was seen.
	target time.Duration
	// lastSeen is when a request of that tier was last dispatched.
	lastSeen time.Time
	// slots is this router's share of the slots of suited upstreams.
	slots float64
	// otherTiers counts this router's requests of other tiers on suited upstreams.
	otherTiers int
	// highestTier counts this router's requests of the highest tier.
	highestTier int
	// peak is the decayed use by the highest tier at the time peakAt.
	peak   float64
	peakAt time.Time
}

// remove subtracts the contribution of t from the sums, and add adds it again.
// Changes to t that affect the sums must be made between the two.
func (v *reserve) remove(t *tracker, routers int) { v.count(t, routers, -1) }

func (v *reserve) add(t *tracker, routers int) { v.count(t, routers, 1) }

func (v *reserve) count(t *tracker, routers, sign int) {
	v.highestTier += sign * t.ownHighestTier
	if t.suited && !t.remote && !t.upstream.Leaving() {
		v.slots += float64(sign*t.slots) / float64(max(routers, 1))
		v.otherTiers += sign * (t.ownRequests - t.ownHighestTier)
	}
}

// updateSuited recomputes whether t is suited.
func (v *reserve) updateSuited(t *tracker) {
	full := t.gapFit.valueAt(float64(t.slots))
	t.suited = v.target > 0 && float64(full) < suitedShare*float64(v.target)
}

// recordUse records the use by the highest tier after a dispatch.
func (v *reserve) recordUse(now time.Time, r *kingcuphook.Request) {
	if r.Tier() == kingcuphook.HighestTier && r.TokenTarget() > 0 {
		v.target = r.TokenTarget()
		v.lastSeen = now
	}
	v.peak = max(v.decayedPeak(now), float64(v.highestTier))
	v.peakAt = now
}

// decayedPeak returns the recent use by the highest tier, decayed until now.
func (v *reserve) decayedPeak(now time.Time) float64 {
	return v.peak * math.Exp(-now.Sub(v.peakAt).Seconds()/reserveDecay.Seconds())
}

// rejects reports whether t has no unreserved slot for a request of another tier.
func (v *reserve) rejects(now time.Time, r *kingcuphook.Request, t *tracker) bool {
	if !t.suited || t.remote || r.Tier() == kingcuphook.HighestTier || now.Sub(v.lastSeen) > reserveTTL {
		return false
	}
	kept := max(reserveFactor*v.decayedPeak(now)+reserveSlack, minReserveShare*v.slots)
	return float64(v.otherTiers) >= max(v.slots-kept, minOtherShare*v.slots)
}
