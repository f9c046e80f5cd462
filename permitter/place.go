package permitter

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// idleTime is how long a router keeps a place that no request uses, contendedIdleTime
	// that while others wait for one.
	idleTime          = 300 * time.Millisecond
	contendedIdleTime = 2 * time.Millisecond
	// maxTenure is how long a router uses a place for one request after the other while others
	// wait for one.
	maxTenure = time.Second
	// lingerTime is how long the place of a request that was broken off counts as used, since
	// the upstream may not have noticed it yet.
	lingerTime = 300 * time.Millisecond
	// heartbeatInterval is how often a router that holds places reports them. Without replies
	// for leaseTime it uses them for no further requests.
	heartbeatInterval = 500 * time.Millisecond
	// confirmDelay is how long after it got places a router reports them at first.
	confirmDelay = 150 * time.Millisecond
	leaseTime    = 3 * time.Second
	// maxPlaces bounds the places of an upstream in messages.
	maxPlaces = 1 << 15
)

// places is what one router knows about a brittle upstream, with the places that it holds
// there, each of which allows one request to be open.
type places struct {
	program  kingcuphook.Program
	key      uint64
	presence presence
	ranking  ranking
	// slots is the number of slots that the upstream registered, tolerated the number of
	// refusals in a second that it announced, with the reply to a request sent at sentAt.
	slots, tolerated int
	sentAt           time.Time
	// begunAt is when this router learned of it, announcedAt when a reply to this router last
	// announced it, toldAt when the issuer last said so; the latter may be zero.
	begunAt, announcedAt, toldAt time.Time
	// absentSentAt is when the latest request was sent whose reply announced nothing, and
	// newAbsent means that the issuer has not been told.
	absentSentAt time.Time
	newAbsent    bool
	notifiedAt   time.Time

	// running is the number of open requests, held the number of places: at least running
	// unless requests were refused or the lease ended.
	running, held int
	// lingering has until when the places of requests that were broken off count as used.
	lingering []time.Time
	// refusals counts the requests that were sent since begunAt and refused; refusedOpen all that
	// were refused and have not ended here.
	refusals    uint8
	refusedOpen int
	// contended means that other routers wait for places, or that too many are held. tenureFrom
	// is when this router got its first place or last gave one up to them, idleFrom when a request last
	// left its place or places were issued.
	contended            bool
	tenureFrom, idleFrom time.Time

	// needed is the number of places that requests needed since the issuer was asked, tier the
	// highest tier of these.
	needed int
	tier   kingcuphook.Tier
	denial denial
	// changed means that the issuer has to be told that fewer places are held.
	changed bool
	// repeat means that the last such message is to be sent again.
	repeat  bool
	request placeRequest
	// nextRequest is the earliest time to ask for places again, lastState when the issuer was
	// last told of the places, confirmedAt when the last such message was sent that it answered.
	nextRequest, lastState, confirmedAt time.Time
}

// placeRequest is the last message to an issuer.
type placeRequest struct {
	to       string
	sequence uint16
	sentAt   time.Time
	// wanted is the number of places asked for and not issued yet, until queuedUntil.
	wanted      int
	tier        kingcuphook.Tier
	queuedUntil time.Time
	// pending means that there was no reply yet, patient that none is needed while places are awaited.
	pending, patient bool
}

// used returns the number of places that can't be used for a further request.
func (l *places) used(now time.Time) int {
	for len(l.lingering) > 0 && !now.Before(l.lingering[0]) {
		l.lingering = l.lingering[1:]
	}
	return l.running - l.refusedOpen + len(l.lingering)
}

// idle returns the number of places that no request uses.
func (l *places) idle(now time.Time) int { return max(l.held-l.used(now), 0) }

// take uses an idle place for a request.
func (l *places) take(now time.Time) bool {
	if l.idle(now) == 0 || now.Sub(l.confirmedAt) >= leaseTime {
		return false
	}
	l.running++
	return true
}

// release records that a request ended; clean means that the upstream has seen its end.
func (l *places) release(now time.Time, clean bool) {
	l.running = max(l.running-1, 0)
	switch {
	case l.refusedOpen > 0 && !clean:
		l.refusedOpen--
		return
	case !clean:
		l.lingering = append(l.lingering, now.Add(lingerTime))
		return
	}
	if l.contended && now.Sub(l.tenureFrom) >= maxTenure && l.held > 0 {
		l.drop(1)
		l.tenureFrom = now
	}
	l.idleFrom = now
}

// refuse records that the upstream refused a request, whose place is lost.
func (l *places) refuse(sentAt time.Time) {
	if !sentAt.Before(l.begunAt) {
		l.refusals++
	}
	if l.refusedOpen < l.running {
		l.refusedOpen++
	}
	l.drop(1)
}

// drop returns n places.
func (l *places) drop(n int) {
	l.held = max(l.held-n, 0)
	l.changed = true
}

// returnIdle returns the places that were not used for some time.
func (l *places) returnIdle(now time.Time) {
	keep := idleTime
	if l.contended {
		keep = contendedIdleTime
	}
	idle := l.idle(now)
	if now.Sub(l.confirmedAt) >= leaseTime {
		keep = 0
	}
	if idle > 0 && now.Sub(l.idleFrom) >= keep {
		l.drop(idle)
	}
}

// add adds places that were issued.
func (l *places) add(now time.Time, n int) {
	if l.held == 0 {
		l.tenureFrom = now
	}
	l.held += n
	l.idleFrom = now
	l.lastState = now.Add(confirmDelay - heartbeatInterval)
	l.denial = denial{}
}

// need records that a request needs a place.
func (l *places) need(t kingcuphook.Tier) {
	if l.needed == 0 || t < l.tier {
		l.tier = t
	}
	l.needed = min(l.needed+1, maxNeeded)
}

// queued reports whether the issuer has been asked for places that it may still issue.
func (l *places) queued(now time.Time) bool {
	return l.request.wanted > 0 && now.Before(l.request.queuedUntil)
}

// askDue reports whether the issuer is to be asked for places.
func (l *places) askDue(now time.Time) bool {
	return l.needed > 0 && !l.queued(now) && !l.request.pending && !now.Before(l.nextRequest)
}

// stateDue reports whether a message to the issuer is due.
func (l *places) stateDue(now time.Time) bool {
	if l.askDue(now) || l.changed {
		return true
	}
	return (l.held > 0 || l.newAbsent || l.repeat) && now.Sub(l.lastState) >= heartbeatInterval
}

// state returns what requests of a tier can get.
func (l *places) state(now time.Time, t kingcuphook.Tier) kingcuphook.PermitState {
	s := kingcuphook.PermitState{Limited: true, Bounded: true, Requested: l.queued(now) || l.request.pending, NextRequest: l.nextRequest}
	if now.Sub(l.confirmedAt) < leaseTime {
		s.Held = l.idle(now)
	}
	s.Expiring = s.Held > 0
	if t >= l.denial.tier {
		s.DeniedUntil = l.denial.until
	}
	return s
}

// observe records what a reply announced, and reports whether the number changed.
func (l *places) observe(now time.Time, b kingcuphook.Brittleness, sentAt time.Time) bool {
	l.announcedAt = now
	l.newAbsent = false
	n, known := b.Tolerated()
	if !known || sentAt.Before(l.sentAt) {
		return false
	}
	changed := n != l.tolerated && now.Sub(l.notifiedAt) >= minChangeInterval
	l.tolerated, l.sentAt = n, sentAt
	return changed
}

// observeAbsent records that a reply announced nothing.
func (l *places) observeAbsent(sentAt time.Time) {
	if sentAt.Before(l.announcedAt) || !sentAt.After(l.absentSentAt) {
		return
	}
	l.absentSentAt, l.newAbsent = sentAt, true
}
