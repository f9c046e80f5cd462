package locator

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// Costs by which upstreams are compared. The unit is the value of one answer that meets
// its target.
const (
	// crossRegionCost and crossCentreCost are the costs of a KiB transferred to another
	// region and to another data centre.
	crossRegionCost = 0.006
	crossCentreCost = 0.0015
	// recomputeCost is the cost of a token of a shared prefix that is prefilled although
	// another upstream has it cached.
	recomputeCost = 0.00037
	// concurrencyCost is the cost of one more request on a saturated upstream;
	// longConcurrencyCost is that of a long prompt, whose prefill slows all streams
	// down. Both grow with the square of the load relative to saturation.
	concurrencyCost     = 0.4
	longConcurrencyCost = 2.0
	// allSlotsCost is added when all slots are taken. When a smaller share of them is
	// taken, a part of it is added, which grows with the square from 0 at allSlotsStart.
	allSlotsCost  = 0.7
	allSlotsStart = 0.92
	// serviceCost is the cost of each request already on a service.
	serviceCost = 0.04
	// failureCost is added for each recent failure in a row, at most four, and decays to
	// 0 within failureDecay.
	failureCost  = 0.6
	failureDecay = 2 * time.Second
	// reservedPrefillCost is the cost of 1,000 uncached tokens of a long prompt to the
	// streams on a reserved upstream.
	reservedPrefillCost = 0.15
	// unreservedCost is the cost to a stream with a tight token target of an upstream
	// that prefills long prompts. backlogCost is added for each 1,000 tokens of prefill
	// backlog, also on reserved upstreams.
	unreservedCost = 0.15
	backlogCost    = 0.02
)

// candidateCost is the cost of selecting an upstream.
type candidateCost struct {
	// Candidates are compared by total, and by tie if that is equal.
	total float64
	tie   uint64
	// parts are the parts of the total.
	parts kingcuphook.Cost
	// firstToken is the predicted time to the first token.
	firstToken time.Duration
	// uncached is the number of uncached tokens of the prompt.
	uncached int
}

func (c candidateCost) less(other candidateCost) bool {
	return cmp.Or(cmp.Compare(c.total, other.total), cmp.Compare(c.tie, other.tie)) < 0
}

func (l *Locator) costOf(q *query, u *upstream) candidateCost {
	c := candidateCost{tie: hasher.Mix(u.seed ^ q.tie)}
	known, cached := q.commonTokens, max(q.commonTokens, int(q.preferred.cachedShare(u)*float64(q.sharedTokens)))
	switch {
	case u.hasCached(q):
		known, cached = q.sharedTokens, q.sharedTokens
	case len(q.locations) > 0:
		known = q.copiedTokens()
		cached = known
	}
	prompt := q.request.PromptTokens()
	c.uncached = max(prompt-max(known, int(u.warmFraction(q.now)*float64(cached))), 0)
	c.firstToken = u.place.roundTrip + time.Duration(u.atSpeed(q.firstTokenOverhead+float64(c.uncached+u.backlog())*q.prefillTokenTime))
	late := float64(c.firstToken) / q.target
	c.parts = kingcuphook.Cost{FirstToken: q.lateFactor * late * late, Transfer: u.place.costPerKiB * q.transferKiB, Failures: u.penalty(q.now)}
	if u.row.Kind() == kingcuphook.UpstreamKindService {
		c.parts.Load = float64(u.load()) * serviceCost
	} else {
		c.parts.Load = u.concurrencyCostOf(q)
		c.parts.Recompute = float64(max(q.sharedTokens-cached, 0)) * recomputeCost
		c.parts.Interference = u.interferenceCost(q, c.uncached)
	}
	c.total = c.parts.Total()
	return c
}

// interferenceCost returns the cost of interference between prefills of long prompts and
// streams with tight token targets.
func (u *upstream) interferenceCost(q *query, uncached int) float64 {
	r := q.request
	switch {
	case u.reserved && uncached >= longPrompt:
		return u.atSpeed(float64(uncached)) / 1000 * reservedPrefillCost
	case !r.Stream() || r.TokenTarget() == 0 || r.TokenTarget() >= tightGap:
		return 0
	case u.reserved:
		return u.atSpeed(float64(u.backlog())) / 1000 * backlogCost
	default:
		return unreservedCost + u.atSpeed(float64(u.backlog()))/1000*backlogCost
	}
}

// concurrencyCostOf returns the cost of the requests on the upstream to one more.
func (u *upstream) concurrencyCostOf(q *query) float64 {
	streams := float64(u.load()) / q.saturationOf(u)
	cost := concurrencyCost * streams * streams
	if q.long {
		cost = longConcurrencyCost * streams * streams
	}
	full := float64(u.load()) / float64(max(u.row.Slots(), 1))
	over := max(full-allSlotsStart, 0) / (1 - allSlotsStart)
	return cost + allSlotsCost*over*over
}

// place is the data centre of upstreams. They share its distance, so that it is computed once for all of them.
type place struct {
	region     *region
	dataCentre string
	// roundTrip is the round trip to the upstreams, costPerKiB the cost of a KiB transferred, as of
	// measuredAt.
	roundTrip  time.Duration
	costPerKiB float64
	measuredAt time.Time
}

// placeKey identifies a place.
type placeKey struct{ region, dataCentre string }

// maxPlaces bounds the places that are indexed for new upstreams; upstreams keep theirs.
const maxPlaces = 256

// placeOf returns the place of an upstream.
func (l *Locator) placeOf(now time.Time, u *kingcuphook.Upstream) *place {
	key := placeKey{u.Region(), u.DataCentre()}
	p := l.places[key]
	if p == nil {
		if l.places == nil || len(l.places) >= maxPlaces {
			l.places = make(map[placeKey]*place)
		}
		p = &place{region: l.regionOf(u), dataCentre: key.dataCentre}
		l.places[key] = p
	}
	l.measure(now, p)
	return p
}

// regionOf returns the region of an upstream.
func (l *Locator) regionOf(u *kingcuphook.Upstream) *region {
	r := l.regions[u.Region()]
	if r == nil {
		if l.regions == nil {
			l.regions = make(map[string]*region)
		}
		r = &region{name: u.Region()}
		l.regions[u.Region()] = r
	}
	return r
}

// measure updates the distance of a place unless that was done at the same instant. The reports of all upstreams are
// passed with one instant.
func (l *Locator) measure(now time.Time, p *place) {
	if now.Equal(p.measuredAt) && !now.IsZero() {
		return
	}
	p.measuredAt = now
	p.roundTrip, p.costPerKiB = assumedCentreRoundTrip, 0
	switch {
	case p.region.name != l.Region:
		p.roundTrip, p.costPerKiB = assumedRegionRoundTrip, crossRegionCost
	case p.dataCentre != l.DataCentre:
		p.costPerKiB = crossCentreCost
	default:
		p.roundTrip = 0
	}
	if l.RoundTrip != nil {
		if measured := l.RoundTrip(p.dataCentre); measured > 0 {
			p.roundTrip = measured
		}
	}
}

// Round trips assumed until a connection was measured.
const (
	assumedRegionRoundTrip = 50 * time.Millisecond
	assumedCentreRoundTrip = 2 * time.Millisecond
)

// penalty returns the cost of recent failures.
func (u *upstream) penalty(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	age := now.Sub(u.failed)
	if age >= failureDecay {
		return 0
	}
	left := 1 - age.Seconds()/failureDecay.Seconds()
	return left * failureCost * float64(min(u.failures, 4))
}

// hasCached reports whether this router has sent the shared prefix to the upstream
// within prefixTTL, or the upstream has it cached by the index.
func (u *upstream) hasCached(q *query) bool {
	if q.prefix == 0 {
		return false
	}
	if slices.Contains(q.locations, u.program) {
		return true
	}
	used, ok := u.prefixes[q.prefix]
	return ok && q.now.Sub(used) < prefixTTL
}
