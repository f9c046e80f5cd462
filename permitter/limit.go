package permitter

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// permitTTL is how long after its arrival a permit can be used. That of surplus permits
	// depends on the fleet.
	permitTTL = 1500 * time.Millisecond
	// maxNeeded bounds the permits that one request can ask for.
	maxNeeded = 255
	// minChangeInterval is the least time between two calls of OnChange for a changed
	// value, which may differ in each reply.
	minChangeInterval = time.Second
)

// limit is the rate limit of an upstream as one router knows it, with the permits of this
// router.
type limit struct {
	program  kingcuphook.Program
	key      uint64
	presence presence
	// perSecond is the announced limit, sentAt when the request was sent whose reply
	// announced it.
	perSecond float64
	sentAt    time.Time
	// announcedAt is when the last reply arrived that announced a limit. unlimitedSentAt is when
	// the latest request was sent whose reply announced none; it is after announcedAt or
	// not used.
	announcedAt, unlimitedSentAt time.Time
	// newAnnouncement and newUnlimited mean that the issuer has not been told these yet.
	newAnnouncement, newUnlimited bool
	// notified and notifiedAt are the value and the time of the last change that OnChange was
	// called for.
	notified   float64
	notifiedAt time.Time

	// permits has the permits that can be used, the one that expires first at the start.
	permits []permit
	// issuedBy is the router that issued the last permits, unused the number of its
	// permits that expired and have not been returned.
	issuedBy string
	unused   int
	// needed is the number of permits needed since the last request for some, tier the
	// highest tier that needs one.
	needed int
	tier   kingcuphook.Tier
	denial denial
	// offered means that a request could use a permit although none needs one, nextOffer
	// is the earliest time of the next such offer.
	offered   bool
	nextOffer time.Time

	request permitRequest
	// nextRequest is the earliest time of the next request for permits, nextReport that of
	// the next message that only reports to the issuer.
	nextRequest, nextReport time.Time
	ranking                 ranking
}

// permit allows one request.
type permit struct {
	expires time.Time
	// surplus means that no other router needed it, spare that no request did.
	surplus, spare bool
}

// denial is the last reply of the issuer that it has no permits.
type denial struct {
	// tier is the tier of the denied request; lower tiers are denied too.
	tier kingcuphook.Tier
	// until is when a permit can be expected, retryAt when the issuer may be asked again.
	until, retryAt time.Time
}

func newDenial(now time.Time, t kingcuphook.Tier, wait, retry time.Duration) denial {
	return denial{tier: t, until: now.Add(wait), retryAt: now.Add(retry)}
}

// permitRequest is the last request for permits.
type permitRequest struct {
	pending  bool
	to       string
	sequence uint16
	sentAt   time.Time
	wanted   int
	tier     kingcuphook.Tier
	// spare means that it asks only for a permit that is not used otherwise.
	spare bool
}

// observe records an announced limit, and reports whether OnChange is to be called.
func (l *limit) observe(now time.Time, perSecond float64, sentAt time.Time) bool {
	l.announcedAt = now
	l.newAnnouncement = true
	l.newUnlimited = false
	if sentAt.Before(l.sentAt) {
		return false
	}
	l.perSecond, l.sentAt = perSecond, sentAt
	if !l.notifiedAt.IsZero() && (perSecond == l.notified || now.Sub(l.notifiedAt) < minChangeInterval) {
		return false
	}
	l.notified, l.notifiedAt = perSecond, now
	return true
}

// observeUnlimited records that a reply announced no limit.
func (l *limit) observeUnlimited(sentAt time.Time) {
	if sentAt.Before(l.announcedAt) || !sentAt.After(l.unlimitedSentAt) {
		return
	}
	l.unlimitedSentAt = sentAt
	l.newUnlimited = true
}

// need records that a request of the tier needs a permit.
func (l *limit) need(t kingcuphook.Tier) {
	if l.needed == 0 || t < l.tier {
		l.tier = t
	}
	l.needed = min(l.needed+1, maxNeeded)
}

func (l *limit) takePermit() bool {
	if len(l.permits) == 0 {
		return false
	}
	l.permits = l.permits[1:]
	return true
}

// addPermits adds permits that a router issued.
func (l *limit) addPermits(issuer string, n int, p permit) {
	if issuer != l.issuedBy {
		l.issuedBy, l.unused = issuer, 0
	}
	for range n {
		l.permits = append(l.permits, p)
	}
	slices.SortStableFunc(l.permits, func(a, b permit) int { return a.expires.Compare(b.expires) })
	l.denial = denial{}
}

func (l *limit) expirePermits(now time.Time) {
	for len(l.permits) > 0 && now.After(l.permits[0].expires) {
		l.permits = l.permits[1:]
		l.unused = min(l.unused+1, maxNeeded)
	}
}

// expiring reports whether the next request should use a permit: no request needed it, or
// it expires soon and another router could have used it.
func (l *limit) expiring(now time.Time) bool {
	if len(l.permits) == 0 {
		return false
	}
	p := l.permits[0]
	return p.spare || !p.surplus && p.expires.Sub(now) <= permitTTL/2
}

// denialOf returns the denial that applies to requests of the tier; zero if none does.
func (l *limit) denialOf(t kingcuphook.Tier) denial {
	if t < l.denial.tier {
		return denial{}
	}
	return l.denial
}

// requestDue reports whether the issuer is to be asked for permits.
func (l *limit) requestDue(now time.Time) bool {
	return !l.request.pending && !now.Before(l.nextRequest) && (l.wanted(now) > 0 || l.wantsSpare())
}

// reportDue reports whether the issuer is to be told what this router observed, or gets back
// permits.
func (l *limit) reportDue(now time.Time) bool {
	return !l.request.pending && !now.Before(l.nextReport) && (l.newAnnouncement || l.newUnlimited || l.unused > 0)
}

// wantsSpare reports whether to ask for a permit only if it is not used otherwise.
func (l *limit) wantsSpare() bool { return l.offered && l.needed == 0 && len(l.permits) == 0 }

// wanted returns how many permits to ask for now.
func (l *limit) wanted(now time.Time) int {
	if l.needed == 0 || now.Before(l.denialOf(l.tier).retryAt) {
		return 0
	}
	return max(l.needed-len(l.permits), 0)
}

// evidence returns what the issuer has not been told yet.
func (l *limit) evidence() evidence {
	e := evidence{perSecond: l.perSecond}
	if l.newAnnouncement {
		e.announcedAt = l.announcedAt
	}
	if l.newUnlimited {
		e.unlimitedSentAt = l.unlimitedSentAt
	}
	return e
}

// clearReport records that the issuer was told what this router observed.
func (l *limit) clearReport() {
	l.newAnnouncement, l.newUnlimited = false, false
	l.unused = 0
}

// clearNeed records that the issuer was asked for the permits needed.
func (l *limit) clearNeed() {
	l.needed = 0
	l.offered = false
}

// restore makes a request that failed due again, at once.
func (l *limit) restore() {
	if l.request.wanted == 0 || l.request.spare {
		return
	}
	if l.needed == 0 || l.request.tier < l.tier {
		l.tier = l.request.tier
	}
	l.needed = max(l.needed, l.request.wanted)
	l.nextRequest = time.Time{}
}
