// Package throttler enforces request rate limits across the whole fleet without
// coordination on the request path.
//
// Each router estimates the demand of the fleet for a limit from its own demand
// and the demands that its peers report in their digests, and admits the same
// fraction of its requests as every other router.
package throttler

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
)

const (
	defaultMaxKeys = 16_384
	defaultTTL     = 30 * time.Second
	// burst is the burst size of the token bucket of a limit at one router, as time
	// at the full rate of the limit; minBurst is its minimum in requests.
	burst    = time.Second
	minBurst = 10
	// maxCredit bounds the credit that a limit accumulates, in requests. Credit
	// smooths out noise in the demand estimate.
	maxCredit = 4
	// digestsPerTTL is the number of digests of a peer expected within the TTL, and
	// maxTTLFactor bounds how much the TTL grows if all rates take more digests.
	digestsPerTTL = 2
	maxTTLFactor  = 4
	// sweepInterval is the interval between removals of expired limits and rates.
	sweepInterval = 10 * time.Second
	// idleTimeout is how long a limit without requests is kept.
	idleTimeout = 5 * time.Minute
	// estimateTTL is how long an estimate of the fleet's demand is cached.
	estimateTTL = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of rejected requests.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Limit is a rate limit for the whole fleet.
type Limit struct {
	// Key identifies the limit on every router.
	Key uint64
	// Rate is in requests per second, above 0.
	Rate float64
}

// Rate is the demand of one router for one limit, as it is reported to peers.
type Rate struct {
	// Key identifies the limit.
	Key uint64
	// Rate is in requests per second, at least 0.
	Rate float64
}

// Throttler enforces the limits at one router. It is not safe for concurrent use.
type Throttler struct {
	// Rand sets the initial credit of each limit, from 0 to 1; nil means 0.5.
	Rand *rand.Rand
	// TTL is how long the rates of a peer are used after its last digest; 0 means
	// 30 s. It is up to 4 times longer if reporting all rates takes many digests.
	TTL time.Duration
	// MaxKeys bounds the number of limits tracked; 0 means 16,384. Above it, further
	// limits are not enforced.
	MaxKeys int
	// DigestRates is the number of rates that fit into one digest; 0 means
	// unlimited.
	DigestRates int

	routers int
	limits  map[uint64]*limit
	// peers holds the state of each peer by its address.
	peers map[string]*peer
	// reported is the number of rates in the last result of LocalRates.
	reported  int
	nextSweep time.Time
	rejected  int
}

// limit is the state of one limit at this router.
type limit struct {
	key  uint64
	rate float64
	// demand measures the requests that arrive here, including rejected ones.
	demand meter
	// bucket enforces the whole rate at this router, independently of the peers.
	bucket *rate.Limiter
	// credit is the number of requests that may be admitted, from 0 to maxCredit.
	credit float64
	// reportUntil is until when the demand here is reported to peers.
	reportUntil time.Time
	// peerRates holds the reported demand of each peer by its address.
	peerRates map[string]peerRate
	// fleet is the estimated demand of the fleet as of estimated.
	fleet     float64
	estimated time.Time
}

// peerRate is the demand of a peer for one limit.
type peerRate struct {
	// micros is in millionths of a request per second. An integer makes the sum of
	// demands independent of the order of addition.
	micros int64
	at     time.Time
}

// LimitsOf appends the limits that apply to a request of the organisation on the
// route to dst and returns the extended slice.
func LimitsOf(dst []Limit, route *kingcuphook.Route, organisation string) []Limit {
	if route.Rate() > 0 {
		dst = append(dst, Limit{Key: keyFor("route", route.Name(), ""), Rate: route.Rate()})
	}
	if route.OrganisationRate() > 0 {
		key := keyFor("organisation", route.Name(), organisation)
		dst = append(dst, Limit{Key: key, Rate: route.OrganisationRate()})
	}
	return dst
}

// SetRouters sets the number of routers in the fleet, including this one.
func (t *Throttler) SetRouters(n int) { t.routers = n }

// Allow counts a request and reports whether all its limits admit it. If not, it
// returns the delay after which the caller should retry, and charges no limit.
func (t *Throttler) Allow(now time.Time, limits []Limit) (bool, time.Duration) {
	t.sweep(now)
	worst := time.Duration(0)
	for _, lim := range limits {
		l := t.limit(now, lim)
		if l == nil {
			continue
		}
		worst = max(worst, t.count(now, l))
	}
	if worst > 0 {
		t.rejected++
		return false, worst
	}
	for _, lim := range limits {
		if l := t.limits[lim.Key]; l != nil {
			l.charge(now)
		}
	}
	return true, 0
}

// Preview returns what Allow would return, and counts no request.
func (t *Throttler) Preview(now time.Time, limits []Limit) (bool, time.Duration) {
	worst := time.Duration(0)
	for _, lim := range limits {
		l := t.limits[lim.Key]
		if l == nil || l.rate != lim.Rate {
			// A new limit admits its first requests.
			continue
		}
		counted := *l
		worst = max(worst, t.count(now, &counted))
	}
	return worst == 0, worst
}

// count counts a request for the limit, and returns after which delay to retry; 0 if the limit admits it.
func (t *Throttler) count(now time.Time, l *limit) time.Duration {
	l.demand.add(now)
	if credit := t.creditPerRequest(now, l); !l.accrue(now, credit) {
		return retryAfter(l.rate, credit)
	}
	return 0
}

// Rejected returns the number of rejected requests.
func (t *Throttler) Rejected() int { return t.rejected }

// Demand returns the estimated demand of the fleet for a limit in requests per
// second; 0 if the limit is unknown.
func (t *Throttler) Demand(now time.Time, key uint64) float64 {
	l := t.limits[key]
	if l == nil {
		return 0
	}
	return t.fleetDemand(now, l)
}

// creditPerRequest returns the credit that each arriving request earns: the ratio
// of the limit to the fleet's demand, at most maxCredit. It is below 1 if the
// demand exceeds the limit. It is maxCredit in a fleet of one router, where the
// token bucket suffices.
func (t *Throttler) creditPerRequest(now time.Time, l *limit) float64 {
	if now.Sub(l.estimated) >= estimateTTL {
		l.fleet = t.fleetDemand(now, l)
		l.estimated = now
	}
	if t.routers <= 1 {
		return maxCredit
	}
	return l.rate / max(l.fleet, l.rate/maxCredit)
}

// accrue adds the credit that a request earns and reports whether both the credit
// and the token bucket admit it.
func (l *limit) accrue(now time.Time, credit float64) bool {
	l.credit = min(l.credit+credit, maxCredit)
	return l.credit >= 1 && l.bucket.TokensAt(now) >= 1
}

// charge charges an admitted request.
func (l *limit) charge(now time.Time) {
	l.credit--
	l.bucket.AllowN(now, 1)
}

func (t *Throttler) limit(now time.Time, lim Limit) *limit {
	l := t.limits[lim.Key]
	if l == nil {
		if len(t.limits) >= t.maxKeys() {
			return nil
		}
		l = t.newLimit(lim)
	}
	if l.rate != lim.Rate {
		l.rate = lim.Rate
		l.bucket.SetLimitAt(now, rate.Limit(lim.Rate))
		l.bucket.SetBurstAt(now, burstFor(lim.Rate))
		l.demand.window = windowFor(lim.Rate)
	}
	return l
}

func (t *Throttler) newLimit(lim Limit) *limit {
	l := &limit{
		key:    lim.Key,
		rate:   lim.Rate,
		demand: meter{window: windowFor(lim.Rate)},
		bucket: rate.NewLimiter(rate.Limit(lim.Rate), burstFor(lim.Rate)),
		credit: 0.5,
	}
	if t.Rand != nil {
		l.credit = t.Rand.Float64()
	}
	if t.limits == nil {
		t.limits = make(map[uint64]*limit)
	}
	t.limits[lim.Key] = l
	return l
}

func (t *Throttler) maxKeys() int {
	if t.MaxKeys > 0 {
		return t.MaxKeys
	}
	return defaultMaxKeys
}

// ttl returns the TTL of peer rates. It grows with the number of digests that
// reporting all rates takes.
func (t *Throttler) ttl() time.Duration {
	ttl := t.TTL
	if ttl == 0 {
		ttl = defaultTTL
	}
	if t.DigestRates == 0 {
		return ttl
	}
	digests := t.reported / t.DigestRates
	return ttl * time.Duration(min(max(digests/digestsPerTTL, 1), maxTTLFactor))
}

// retryAfter returns the time in which the limit admits one request at its rate,
// divided by the fraction of requests that it admits.
func retryAfter(perSecond, credit float64) time.Duration {
	d := time.Duration(float64(time.Second) / (perSecond * min(max(credit, 0.01), 1)))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func burstFor(perSecond float64) int {
	return max(minBurst, int(perSecond*burst.Seconds()+0.5))
}

func keyFor(kind, route, organisation string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + route + "\x00" + organisation)
}
