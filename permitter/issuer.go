package permitter

import (
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// issuedShare is the share of a limit that one issuer issues. It leaves room for two
	// issuers at once, while routers know different routers or messages are lost, and for
	// permits that are used late.
	issuedShare = 0.6
	// lowLimitShare is the share that is issued in addition, up to lowLimitPerSecond permits
	// a second, so that low limits are used although permits are whole numbers.
	lowLimitShare     = 0.3
	lowLimitPerSecond = 0.15
	// minPerSecond is the least rate of permits. It lets some requests through to an
	// upstream that accepts none, so that the end of its limit is noticed.
	minPerSecond = 0.25
	// minBurst is the least capacity of a token bucket, burstTime the time in which a
	// larger one fills up.
	minBurst  = 1.5
	burstTime = 200 * time.Millisecond
	// reservedTokens is what requests of lower tiers leave in the bucket for tierClaimTTL
	// after a request of a higher tier was denied. Each guaranteedEvery-th permit is
	// issued to the first request of any tier.
	reservedTokens  = 0.5
	tierClaimTTL    = 2 * time.Second
	guaranteedEvery = 8
	// spareReserve is what the draw of a spare permit leaves in the bucket.
	spareReserve = 0.2
	// prefetchShare is the share of the tokens that one request gets of a surplus if it needs
	// less, up to maxPrefetch permits.
	prefetchShare = 0.25
	maxPrefetch   = 4

	// endReplies is the number of replies in a row without a limit after which it ends,
	// and minEndTime the least time since a reply announced it.
	endReplies = 2
	minEndTime = time.Second
	// confirmPerSecond is the least rate after the first reply without a limit.
	confirmPerSecond = 0.5
	// rampUpTime is how long after its end a limit still holds, while the rate grows by
	// rampUpFactor each second, so that the routers don't return all at once.
	rampUpTime   = 2 * time.Second
	rampUpFactor = 4

	// retriesPerWait is how often a router asks again while it waits for a permit. minRetry
	// and maxRetry bound the time between two requests, maxSpareRetry that between two
	// requests for spare permits.
	retriesPerWait = 4
	minRetry       = 100 * time.Millisecond
	maxRetry       = 2 * time.Second
	maxSpareRetry  = 500 * time.Millisecond
	// waitingTTL is how long a denied router counts as waiting.
	waitingTTL = 30 * time.Second
	// maxBuckets bounds the token buckets of an issuer, maxWaiting the waiting routers of
	// each, and bucketTTL is how long an unused bucket is kept.
	maxBuckets = 4096
	maxWaiting = 2048
	bucketTTL  = time.Minute
)

// evidence is what a router observed of the limit of an upstream.
type evidence struct {
	// perSecond is the limit that was announced last.
	perSecond float64
	// announcedAt is when that was; zero if the issuer was told before. unlimitedSentAt is when
	// the latest request was sent whose reply announced no limit; zero if there was none
	// or the issuer was told before.
	announcedAt, unlimitedSentAt time.Time
}

// issuer issues permits for the upstreams that this router is responsible for.
type issuer struct {
	buckets map[uint64]*bucket
	// rooms are those of the brittle upstreams, of which the routers are told: the next one is
	// that after nextNotice, and untold have not been told of the latest change.
	rooms map[uint64]*room
	// joined has the routers that are to be told first.
	joined             []string
	noticedAt          time.Time
	nextNotice, untold int
}

// bucket is the token bucket of one upstream.
type bucket struct {
	perSecond   float64
	announcedAt time.Time
	// unlimitedSentAt is when the latest request was sent whose reply announced no limit, and
	// unlimitedReplies the number of such replies since one announced it.
	unlimitedSentAt  time.Time
	unlimitedReplies int
	// endedAt is when the limit ended; zero while it holds.
	endedAt time.Time

	tokens   float64
	filledAt time.Time
	// issued counts the permits, surplus those of them since surplusSince that no other
	// router needed.
	issued, surplus int
	surplusSince    time.Time
	// claimedTier is the highest tier that was denied, until claimedUntil.
	claimedTier  kingcuphook.Tier
	claimedUntil time.Time
	// waiting has the routers whose last request was denied, and when.
	waiting map[string]time.Time
}

// bucket returns the bucket of an upstream after it has recorded the evidence, or nil if
// there are too many.
func (i *issuer) bucket(now time.Time, key uint64, e evidence) *bucket {
	b := i.buckets[key]
	if b == nil {
		i.removeUnused(now)
		if len(i.buckets) >= maxBuckets {
			return nil
		}
		if i.buckets == nil {
			i.buckets = make(map[uint64]*bucket)
		}
		b = &bucket{perSecond: e.perSecond, announcedAt: now, filledAt: now, waiting: make(map[string]time.Time)}
		i.buckets[key] = b
	}
	b.refill(now)
	b.record(now, e)
	return b
}

func (i *issuer) removeUnused(now time.Time) {
	for key, b := range i.buckets {
		if now.Sub(b.filledAt) > bucketTTL {
			delete(i.buckets, key)
		}
	}
}

// record records the evidence of a router.
func (b *bucket) record(now time.Time, e evidence) {
	if e.announcedAt.After(b.announcedAt) {
		b.perSecond, b.announcedAt = e.perSecond, e.announcedAt
	}
	if e.announcedAt.After(b.unlimitedSentAt) {
		b.unlimitedReplies = 0
		b.endedAt = time.Time{}
	}
	if e.unlimitedSentAt.After(b.announcedAt) && e.unlimitedSentAt.After(b.unlimitedSentAt) {
		b.unlimitedSentAt = e.unlimitedSentAt
		b.unlimitedReplies++
	}
	if b.endedAt.IsZero() && b.unlimitedReplies >= endReplies && now.Sub(b.announcedAt) >= minEndTime {
		b.endedAt = now
	}
	b.tokens = min(b.tokens, capacity(b.rate(now)))
}

// ended reports whether the upstream can be used without permits again.
func (b *bucket) ended(now time.Time) bool {
	return !b.endedAt.IsZero() && now.Sub(b.endedAt) >= rampUpTime
}

// issuedPerSecond returns the rate of permits for a limit that holds.
func issuedPerSecond(limit float64) float64 {
	return max(limit*issuedShare+min(limit*lowLimitShare, lowLimitPerSecond), minPerSecond)
}

// rate returns the rate of permits per second.
func (b *bucket) rate(now time.Time) float64 {
	r := issuedPerSecond(b.perSecond)
	if b.unlimitedReplies > 0 {
		r = max(r, confirmPerSecond)
	}
	if !b.endedAt.IsZero() {
		r *= math.Pow(rampUpFactor, min(now.Sub(b.endedAt), rampUpTime).Seconds())
	}
	return r
}

func (b *bucket) refill(now time.Time) {
	r := b.rate(now)
	b.tokens = min(b.tokens+r*now.Sub(b.filledAt).Seconds(), capacity(r))
	b.filledAt = now
}

// capacity returns the capacity of a bucket that is filled at a rate.
func capacity(perSecond float64) float64 { return max(minBurst, perSecond*burstTime.Seconds()) }

// hasSurplus reports whether less is used than the limit allows: the bucket is full, and the
// surplus permits that were issued within their time to live stay within one second of the
// limit.
func (b *bucket) hasSurplus(now time.Time, ttl time.Duration) bool {
	if now.Sub(b.surplusSince) >= ttl {
		b.surplus, b.surplusSince = 0, now
	}
	return b.tokens >= capacity(b.rate(now)) && float64(b.surplus) <= b.perSecond
}

// putBack adds permits that a router returned unused.
func (b *bucket) putBack(now time.Time, n int) {
	b.tokens = min(b.tokens+float64(n), capacity(b.rate(now)))
}

// draw issues permits to a router that wants some for requests up to the given tier, and
// returns their number. Surplus permits are issued in larger numbers.
func (b *bucket) draw(now time.Time, router string, tier kingcuphook.Tier, wanted int, surplus bool) int {
	if wanted == 0 {
		return 0
	}
	available := b.tokens
	if tier > b.claimedTier && now.Before(b.claimedUntil) && b.issued%guaranteedEvery != 0 {
		available -= reservedTokens
	}
	if surplus {
		wanted = max(wanted, min(int(available*prefetchShare), maxPrefetch))
	}
	n := min(int(available), wanted)
	if n > 0 {
		b.tokens -= float64(n)
		b.issued += n
		if surplus {
			b.surplus += n
		}
		delete(b.waiting, router)
		return n
	}
	if tier <= b.claimedTier || !now.Before(b.claimedUntil) {
		b.claimedTier, b.claimedUntil = tier, now.Add(tierClaimTTL)
	}
	b.enqueue(now, router)
	return 0
}

// enqueue records that a router waits for permits.
func (b *bucket) enqueue(now time.Time, router string) {
	for address, at := range b.waiting {
		if now.Sub(at) > waitingTTL {
			delete(b.waiting, address)
		}
	}
	if len(b.waiting) < maxWaiting {
		b.waiting[router] = now
	}
}

// waitOf returns how long a waiting router waits for a permit on average.
func (b *bucket) waitOf(now time.Time) time.Duration {
	seconds := (float64(len(b.waiting)) - b.tokens) / b.rate(now)
	return time.Duration(min(max(seconds, 0), maxAge.Seconds()) * float64(time.Second))
}

// retryOf returns after which time a waiting router may ask again. That is before its turn,
// so that no token stays unused because others need none.
func (b *bucket) retryOf(now time.Time, router string) time.Duration {
	return min(max(b.waitOf(now)/retriesPerWait, minRetry), b.spreadRetry(router, maxRetry))
}

// drawSpare issues a permit that no request needs, and returns the number of permits. It
// leaves more in the bucket than other draws, so that these come first.
func (b *bucket) drawSpare() int {
	if b.tokens < 1+spareReserve {
		return 0
	}
	b.tokens--
	b.issued++
	return 1
}

// spreadRetry returns a time from half of longest to longest. It differs between routers, so
// that they don't all ask at the same moment.
func (b *bucket) spreadRetry(router string, longest time.Duration) time.Duration {
	spread := float64(score(uint64(b.issued), router)) / math.MaxUint64
	return time.Duration((1 + spread) / 2 * float64(longest))
}
