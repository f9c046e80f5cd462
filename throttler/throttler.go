// Package throttler holds rates of requests over a whole fleet without asking
// anyone.
//
// Each router estimates the demand of the fleet for a limit from its own demand
// and from the demands that its peers tell of in their digests, and lets the
// same part of its own requests pass as every other router does.
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
	// burst is the time of its whole rate that a limit lets pass at once at one
	// router, and minBurst the least number of requests.
	burst    = time.Second
	minBurst = 10
	// maxCredit bounds the requests that may be saved up; it evens out the noise
	// of the estimate.
	maxCredit = 4
	// turnsPerTTL is how many digests of a peer are expected within the TTL, and
	// maxTTLFactor bounds by how much it grows when a peer needs more.
	turnsPerTTL  = 2
	maxTTLFactor = 4
	// sweepEvery is the time between two searches for what is out of use.
	sweepEvery = 10 * time.Second
	// idleAfter is when a limit without requests is forgotten.
	idleAfter = 5 * time.Minute
	// estimateEvery is how long an estimate of the demand is used.
	estimateEvery = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Limit is one rate that must hold over the fleet.
type Limit struct {
	// Key identifies the limit on every router.
	Key uint64
	// Rate is in requests a second, above 0.
	Rate float64
}

// Rate is the demand of one router for one limit, as it is told to peers.
type Rate struct {
	// Key identifies the limit.
	Key uint64
	// Rate is in requests a second, at least 0.
	Rate float64
}

// Throttler holds the limits at one router. It is used by one goroutine at a
// time.
type Throttler struct {
	// Rand decides where in its sequence each limit begins; nil begins in the
	// middle.
	Rand *rand.Rand
	// TTL is how long what a peer told is used after its last digest, up to 4 times
	// longer if its rates take many digests; 0 means 30 s.
	TTL time.Duration
	// MaxKeys bounds the limits remembered; 0 means 16,384. Past it, requests of
	// limits not yet known pass.
	MaxKeys int
	// DigestRates is how many rates fit into one digest; 0 means that all do.
	DigestRates int

	routers int
	limits  map[uint64]*limit
	// peers has what was heard of each peer by its address.
	peers map[string]*peer
	// told is the number of limits that Tell returned last.
	told      int
	nextSweep time.Time
	rejected  int
}

// limit is one limit at this router.
type limit struct {
	key  uint64
	rate float64
	// demand is the requests that arrived here, also those refused.
	demand meter
	// bucket holds the rate at this router alone, whatever the peers do.
	bucket *rate.Limiter
	// credit is the number of requests that may pass, from 0 to maxCredit.
	credit float64
	// tellUntil is how long peers are told of the demand here.
	tellUntil time.Time
	// told has the demand of each peer by its address.
	told map[string]toldRate
	// fleet is the estimated demand of the fleet at estimated.
	fleet     float64
	estimated time.Time
}

// toldRate is what a peer told of one limit.
type toldRate struct {
	// micros is in millionths of a request a second, so that the order in which
	// demands are added up doesn't matter.
	micros int64
	at     time.Time
}

// LimitsOf appends the limits that hold for a request of the organisation on the
// route to dst.
func LimitsOf(dst []Limit, route *kingcuphook.Route, organisation string) []Limit {
	if route.Rate() > 0 {
		dst = append(dst, Limit{Key: keyOf("route", route.Name(), ""), Rate: route.Rate()})
	}
	if route.OrganisationRate() > 0 {
		key := keyOf("organisation", route.Name(), organisation)
		dst = append(dst, Limit{Key: key, Rate: route.OrganisationRate()})
	}
	return dst
}

// SetRouters tells how many routers there are in the fleet, this one included.
func (t *Throttler) SetRouters(n int) { t.routers = n }

// Allow counts a request and reports whether it may pass all its limits. If not,
// it returns when the caller should come back.
func (t *Throttler) Allow(now time.Time, limits []Limit) (bool, time.Duration) {
	t.sweep(now)
	worst := time.Duration(0)
	for _, lim := range limits {
		l := t.limit(now, lim)
		if l == nil {
			continue
		}
		l.demand.add(now)
		if pass := t.pass(now, l); !l.ready(now, pass) {
			worst = max(worst, retryAfter(l.rate, pass))
		}
	}
	if worst > 0 {
		t.rejected++
		return false, worst
	}
	for _, lim := range limits {
		if l := t.limits[lim.Key]; l != nil {
			l.take(now)
		}
	}
	return true, 0
}

// Rejected returns the number of requests that did not pass.
func (t *Throttler) Rejected() int { return t.rejected }

// Demand returns the estimated demand of the fleet for a limit in requests a
// second; 0 if it is unknown.
func (t *Throttler) Demand(now time.Time, key uint64) float64 {
	l := t.limits[key]
	if l == nil {
		return 0
	}
	return t.estimate(now, l)
}

// pass returns how many requests may pass for each one that comes: below 1 when
// the fleet's demand is over the limit, above when it is under it.
func (t *Throttler) pass(now time.Time, l *limit) float64 {
	if now.Sub(l.estimated) >= estimateEvery {
		l.fleet = t.estimate(now, l)
		l.estimated = now
	}
	if t.routers <= 1 {
		return maxCredit
	}
	return l.rate / max(l.fleet, l.rate/maxCredit)
}

// ready earns the credit of one request and reports whether it may pass.
func (l *limit) ready(now time.Time, pass float64) bool {
	l.credit = min(l.credit+pass, maxCredit)
	return l.credit >= 1 && l.bucket.TokensAt(now) >= 1
}

// take pays for a request that passes.
func (l *limit) take(now time.Time) {
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
		l.bucket.SetBurstAt(now, burstOf(lim.Rate))
		l.demand.window = windowOf(lim.Rate)
	}
	return l
}

func (t *Throttler) newLimit(lim Limit) *limit {
	l := &limit{
		key:    lim.Key,
		rate:   lim.Rate,
		demand: meter{window: windowOf(lim.Rate)},
		bucket: rate.NewLimiter(rate.Limit(lim.Rate), burstOf(lim.Rate)),
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

// ttl is longer the more digests it takes to tell every rate.
func (t *Throttler) ttl() time.Duration {
	ttl := t.TTL
	if ttl == 0 {
		ttl = defaultTTL
	}
	if t.DigestRates == 0 {
		return ttl
	}
	turns := t.told / t.DigestRates
	return ttl * time.Duration(min(max(turns/turnsPerTTL, 1), maxTTLFactor))
}

// retryAfter returns the time in which the limit lets one request pass at its
// rate, longer the smaller the share that passes.
func retryAfter(perSecond, pass float64) time.Duration {
	d := time.Duration(float64(time.Second) / (perSecond * min(max(pass, 0.01), 1)))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func burstOf(perSecond float64) int {
	return max(minBurst, int(perSecond*burst.Seconds()+0.5))
}

func keyOf(kind, route, organisation string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + route + "\x00" + organisation)
}
