package permitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// openDelay is how long an issuer issues no places of an upstream that has just become
	// brittle, and takeOverDelay that of one that was so before: until the routers have reported
	// the places that they hold from another issuer.
	openDelay     = 300 * time.Millisecond
	takeOverDelay = 2500 * time.Millisecond
	// holderTTL is how long the places of a router count that reports nothing.
	holderTTL = 5 * time.Second
	// grantTTL is after which time places are taken as lost on the way that a router does not
	// report: it does so after confirmDelay, and then each heartbeatInterval.
	grantTTL = confirmDelay + heartbeatInterval + 100*time.Millisecond
	// queueTTL is how long a router waits for the places that it asked for.
	queueTTL = 1500 * time.Millisecond
	// growInterval is the time between two steps of the number of places up to the slots
	// while there are no refusals, each of which is 1/growSteps of the slots. After a refusal
	// there is no step for refusalPause, and then one of one place each probeInterval.
	growInterval  = 250 * time.Millisecond
	growSteps     = 8
	refusalPause  = 2 * time.Second
	probeInterval = time.Second
	// maxSequenceGap is how much older the sequence number of a delayed message is at most.
	maxSequenceGap = 64
)

// room is what the issuer knows about a brittle upstream.
type room struct {
	key              uint64
	slots, tolerated int
	// announcedAt is when a reply last announced that it is brittle. absentReplies is the
	// number of replies since that announced nothing, to requests sent up to absentSentAt.
	announcedAt, absentSentAt time.Time
	absentReplies             int
	// endedAt is when the upstream stopped being brittle; zero while it is.
	endedAt time.Time

	// capacity is the number of places that may be issued; none is before openAt. It grew last
	// at grownAt, and the last refusal was reported at refusedAt.
	capacity                     int
	createdAt, openAt            time.Time
	grownAt, refusedAt, activeAt time.Time
	holders                      map[string]*holder
	// issued counts the times that places were issued.
	issued  int
	ranking ranking
	// acting means that this router issued the places when it was last asked.
	acting bool
	// noticed means that the routers are being told of the state noticedBrittle.
	noticed, noticedBrittle bool
}

// holder is a router that holds places or waits for some.
type holder struct {
	router   string
	held     int
	heardAt  time.Time
	sequence uint16
	refusals uint8
	// unconfirmed is how many of the places were issued at grantedAt and not reported since.
	unconfirmed int
	grantedAt   time.Time
	wanted      int
	tier        kingcuphook.Tier
	queuedAt    time.Time
	// answerAt is when the router is to be told that there is no place; zero if it was told.
	answerAt time.Time
}

// grant is a number of places that is issued to a router.
type grant struct {
	router   string
	sequence uint16
	places   int
}

// room returns the room of an upstream, or nil if there are too many.
func (i *issuer) room(now time.Time, e stateEntry) *room {
	if r := i.rooms[e.key]; r != nil {
		return r
	}
	for key, r := range i.rooms {
		if now.Sub(r.activeAt) > bucketTTL {
			delete(i.rooms, key)
		}
	}
	if len(i.rooms) >= maxBuckets {
		return nil
	}
	if i.rooms == nil {
		i.rooms = make(map[uint64]*room)
	}
	r := &room{
		key: e.key, slots: e.slots, tolerated: e.tolerated, announcedAt: now, createdAt: now, holders: make(map[string]*holder),
	}
	i.rooms[e.key] = r
	return r
}

// act records that this router issues the places from now on.
func (r *room) act(now time.Time) {
	if r.acting {
		return
	}
	r.acting = true
	r.capacity = max(r.slots/2, 1)
	r.openAt = now.Add(takeOverDelay)
	if now.Sub(r.createdAt) < openDelay {
		r.openAt = r.createdAt.Add(openDelay)
	}
}

// beginAnew makes a room whose upstream is brittle again issue places as one that has just become so.
// The places of the holders may be out of date.
func (r *room) beginAnew(now time.Time, e stateEntry) {
	if r.endedAt.IsZero() || !e.announcedAt.After(r.absentSentAt) {
		return
	}
	r.acting = false
	r.createdAt, r.refusedAt = now, time.Time{}
}

// rest records that this router issues no places.
func (r *room) rest() {
	r.acting = false
	clear(r.holders)
}

// record records the state of a router, and reports whether it is newer than the one before.
func (r *room) record(now time.Time, router string, sequence uint16, e stateEntry) bool {
	h := r.holders[router]
	if h == nil {
		if len(r.holders) >= maxWaiting {
			return false
		}
		h = &holder{router: router, heardAt: now, refusals: e.refusals}
		r.holders[router] = h
	} else if gap := h.sequence - sequence; gap < maxSequenceGap {
		return false
	}
	r.activeAt = now
	r.recordEvidence(now, e)
	if n := h.newRefusals(e) - r.surplus(); n > 0 {
		r.shrink(now, n)
	}
	h.sequence, h.refusals, h.held, h.heardAt, h.answerAt = sequence, e.refusals, e.held, now, time.Time{}
	h.unconfirmed = 0
	if e.wanted > 0 && h.wanted == 0 {
		h.queuedAt = now
	}
	h.wanted, h.tier = e.wanted, e.tier
	return true
}

// newRefusals returns how many refusals the router counted since its last message; none if it has
// begun to count anew, as after a restart.
func (h *holder) newRefusals(e stateEntry) int {
	if e.begunAt.After(h.heardAt) {
		return 0
	}
	return int(e.refusals - h.refusals)
}

func (r *room) recordEvidence(now time.Time, e stateEntry) {
	if now.Sub(e.begunAt) >= 2*openDelay && now.Sub(r.createdAt) < openDelay {
		r.openAt = r.createdAt.Add(takeOverDelay)
	}
	if e.slots > 0 {
		r.slots = e.slots
	}
	if e.announcedAt.After(r.announcedAt) {
		r.tolerated, r.announcedAt = e.tolerated, e.announcedAt
	}
	if e.announcedAt.After(r.absentSentAt) {
		r.absentReplies, r.endedAt = 0, time.Time{}
	}
	if e.absentSentAt.After(r.announcedAt) && e.absentSentAt.After(r.absentSentAt) {
		r.absentSentAt = e.absentSentAt
		r.absentReplies++
	}
	if r.endedAt.IsZero() && r.absentReplies >= endReplies && now.Sub(r.announcedAt) >= minEndTime {
		r.endedAt = now
	}
}

// shrink records that the upstream refused n requests.
func (r *room) shrink(now time.Time, n int) {
	r.capacity = max(min(r.capacity, r.slots)-n, 1)
	r.refusedAt = now
}

// grow raises the number of places if that is due.
func (r *room) grow(now time.Time) {
	interval, step := growInterval, max(r.slots/growSteps, 1)
	if !r.refusedAt.IsZero() {
		interval, step = probeInterval, 1
		if now.Sub(r.refusedAt) < refusalPause {
			return
		}
	}
	if now.Before(r.openAt) || now.Sub(r.grownAt) < interval {
		return
	}
	r.grownAt = now
	r.capacity = min(r.capacity+step, r.slots)
	if r.capacity == r.slots {
		r.refusedAt = time.Time{}
	}
}

// allot issues the free places to the routers that wait, the highest tiers first.
func (r *room) allot(now time.Time) []grant {
	r.grow(now)
	free := r.capacity
	var waiting []*holder
	for router, h := range r.holders {
		if now.Sub(h.heardAt) >= holderTTL {
			delete(r.holders, router)
			continue
		}
		if h.unconfirmed > 0 && now.Sub(h.grantedAt) >= grantTTL {
			h.held, h.unconfirmed = max(h.held-h.unconfirmed, 0), 0
		}
		free -= h.held
		if h.wanted > 0 && now.Sub(h.heardAt) < queueTTL {
			waiting = append(waiting, h)
		}
	}
	if now.Before(r.openAt) || free <= 0 || len(waiting) == 0 {
		return nil
	}
	slices.SortFunc(waiting, func(a, b *holder) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), a.queuedAt.Compare(b.queuedAt), cmp.Compare(a.router, b.router))
	})
	if r.issued%guaranteedEvery == 0 {
		slices.SortStableFunc(waiting, func(a, b *holder) int { return a.queuedAt.Compare(b.queuedAt) })
	}
	var grants []grant
	for i, h := range waiting {
		share := max(free/(len(waiting)-i), 1)
		n := min(h.wanted, share, free)
		if n == 0 {
			break
		}
		free -= n
		h.held += n
		h.unconfirmed, h.grantedAt = n, now
		h.wanted, h.answerAt = 0, time.Time{}
		r.issued++
		grants = append(grants, grant{h.router, h.sequence, n})
	}
	return grants
}

// waiting returns the number of routers that wait for places.
func (r *room) waiting(now time.Time) int {
	n := 0
	for _, h := range r.holders {
		if h.wanted > 0 && now.Sub(h.heardAt) < queueTTL {
			n++
		}
	}
	return n
}

// surplus returns how many places are held beyond those that may be issued: requests that were
// open when the upstream became brittle hold places too.
func (r *room) surplus() int {
	held := 0
	for _, h := range r.holders {
		held += h.held
	}
	return max(held-r.capacity, 0)
}

// contended reports whether routers are to give up places.
func (r *room) contended(now time.Time) bool {
	return r.surplus() > 0 || r.waiting(now) > 0
}

// waitOf returns how long a router waits for a place.
func (r *room) waitOf(now time.Time) time.Duration {
	return time.Duration(r.waiting(now)) * maxTenure / time.Duration(max(r.capacity, 1))
}
