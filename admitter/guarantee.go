package admitter

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// maxClassQueues is the number of class queues from which further classes
	// share one queue per tier.
	maxClassQueues = 256
	// contendedRate and uncontendedRate are the slots per second that a class with
	// queued requests earns at one router, in addition to its share of freed slots:
	// contendedRate while a higher tier has queued requests, uncontendedRate while
	// none has. Slots that no higher tier needs thus reach lower tiers eventually,
	// even where the limits reserve them.
	contendedRate   = 0.02
	uncontendedRate = 2.0
	// accrueInterval is the minimum interval between updates of the time credits.
	accrueInterval = 10 * time.Millisecond
	// maxShareCredit bounds the slots that a class can be owed for its share.
	maxShareCredit = 2
	// maxUndo is the number of consecutive requests that Return can undo.
	maxUndo = 64
)

// classKey identifies a class queue.
type classKey struct {
	tier         int
	class, model string
}

// classQueue holds the queued requests of one tier, class and model in order of
// arrival, and what the class is owed under the guarantee.
type classQueue struct {
	key classKey
	// first and last are the ends of a linked list; an empty queue is removed.
	first, last *item
	// shareCredit is the number of slots that the class is owed as its share of
	// those granted to others, from 0 to maxShareCredit; timeCredit is the number
	// it is owed for the time it was queued, from 0 to 1.
	shareCredit, timeCredit float64
}

// grantRing is a ring buffer of the latest grants.
type grantRing struct {
	entries [maxUndo]grantRecord
	next    int
}

// grantRecord is the state needed to undo a grant.
type grantRecord struct {
	id string
	// shareCredit and timeCredit are the values of the class queue before the
	// grant, share is what every other class queue gained.
	shareCredit, timeCredit, share float64
}

// classQueue returns the class queue of r and creates it if necessary.
func (a *Admitter) classQueue(r *kingcuphook.Request) *classQueue {
	key := classKey{tier: tierIndex(r), class: r.Class(), model: r.Group()}
	if c := a.classByKey[key]; c != nil {
		return c
	}
	if len(a.classes) >= maxClassQueues {
		key = classKey{tier: key.tier}
		if c := a.classByKey[key]; c != nil {
			return c
		}
	}
	if a.classByKey == nil {
		a.classByKey = make(map[classKey]*classQueue)
	}
	c := &classQueue{key: key}
	a.classByKey[key] = c
	a.classes = append(a.classes, c)
	return c
}

// pickGuaranteed returns the oldest request of the class that is owed the most
// slots, or nil if none is owed a whole slot or the highest tier has no free
// slot. Time credit counts only while the tier of the class has no free slot.
func (a *Admitter) pickGuaranteed(free func(kingcuphook.Tier) int, skip func(string) bool) *item {
	var best *classQueue
	most := 0.0
	for _, c := range a.classes {
		if skip != nil && skip(c.key.model) {
			continue
		}
		credit := c.shareCredit
		if credit < 1 && c.timeCredit >= 1 && free(c.tier()) <= 0 {
			credit = c.timeCredit
		}
		if credit >= 1 && credit > most {
			best, most = c, credit
		}
	}
	if best == nil || free(kingcuphook.HighestTier) <= 0 {
		return nil
	}
	return best.first
}

func (c *classQueue) tier() kingcuphook.Tier {
	return kingcuphook.HighestTier + kingcuphook.Tier(c.key.tier)
}

// share returns the slots that every other class earns for one granted slot.
func (a *Admitter) share() float64 {
	share := a.GuaranteedShare
	if share == 0 {
		share = defaultGuaranteedShare
	}
	return max(0, min(share, maxGuaranteedSum/float64(max(len(a.classes), 1))))
}

// accrue adds the time credit of all classes with queued requests since the last
// update.
func (a *Admitter) accrue(now time.Time) {
	passed := now.Sub(a.lastAccrual)
	if passed < accrueInterval {
		return
	}
	first := a.lastAccrual.IsZero()
	a.lastAccrual = now
	if first || a.GuaranteedShare < 0 {
		return
	}
	highest := a.highestQueued()
	for _, c := range a.classes {
		rate := uncontendedRate
		if c.key.tier > highest {
			rate = contendedRate
		}
		c.timeCredit = min(c.timeCredit+rate*passed.Seconds(), 1)
	}
}

// highestQueued returns the index of the highest tier with queued requests at any
// router, or the number of tiers if there is none.
func (a *Admitter) highestQueued() int {
	for i := range a.tiers {
		if a.tiers[i].queued > 0 || a.waiting[i] > 0 {
			return i
		}
	}
	return len(a.tiers)
}

// grant charges a slot to the class of it, which has already been removed.
func (a *Admitter) grant(it *item) {
	share := a.share()
	a.grants.add(grantRecord{id: it.request.ID(), shareCredit: it.class.shareCredit, timeCredit: it.class.timeCredit, share: share})
	for _, c := range a.classes {
		if c != it.class {
			c.shareCredit = min(c.shareCredit+share, maxShareCredit)
		}
	}
	it.class.shareCredit = max(it.class.shareCredit-1, 0)
	it.class.timeCredit = 0
}

// undoGrant undoes the grant of it, which has already been inserted again.
func (a *Admitter) undoGrant(it *item) {
	record, ok := a.grants.take(it.request.ID())
	if !ok {
		return
	}
	for _, c := range a.classes {
		if c != it.class {
			c.shareCredit = max(c.shareCredit-record.share, 0)
		}
	}
	it.class.shareCredit, it.class.timeCredit = record.shareCredit, record.timeCredit
}

// unlink removes it from its class queue, and the class queue if it is then empty.
func (a *Admitter) unlink(it *item) {
	c := it.class
	c.remove(it)
	if c.first != nil {
		return
	}
	delete(a.classByKey, c.key)
	a.classes = slices.DeleteFunc(a.classes, func(o *classQueue) bool { return o == c })
}

func (c *classQueue) pushLast(it *item) {
	it.prev = c.last
	if c.last == nil {
		c.first = it
	} else {
		c.last.next = it
	}
	c.last = it
}

func (c *classQueue) pushFirst(it *item) {
	it.next = c.first
	if c.first == nil {
		c.last = it
	} else {
		c.first.prev = it
	}
	c.first = it
}

func (c *classQueue) remove(it *item) {
	if it.prev == nil {
		c.first = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		c.last = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
}

func (g *grantRing) add(e grantRecord) {
	g.entries[g.next] = e
	g.next = (g.next + 1) % maxUndo
}

func (g *grantRing) take(id string) (grantRecord, bool) {
	for i, e := range g.entries {
		if e.id == id {
			g.entries[i] = grantRecord{}
			return e, true
		}
	}
	return grantRecord{}, false
}
