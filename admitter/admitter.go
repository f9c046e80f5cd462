// Package admitter implements the priority queue of one pool, which orders
// requests for dispatch and sheds those that exceed its bounds.
//
// Tiers have strict priority. Within a tier, requests that can still meet their
// target precede late ones, the organisation that has been served the fewest
// tokens comes first, and the requests of one organisation are ordered by
// target time. Each class is guaranteed a small share of the freed slots, which
// prevents starvation.
package admitter

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	defaultMaxQueued       = 10_000
	defaultMaxBytes        = 64 << 20
	defaultGuaranteedShare = 0.005
	// maxGuaranteedSum bounds the combined guaranteed share of all classes.
	maxGuaranteedSum = 0.025
	// assumedTarget is the first-token target assumed when ordering requests
	// without one.
	assumedTarget = 30 * time.Second
)

// Admitter is the queue of one pool at one router. The zero value is ready for
// use. It is not safe for concurrent use.
type Admitter struct {
	// MaxQueued bounds the number of queued requests; 0 means 10,000.
	MaxQueued int
	// MaxBytes bounds the total size of their bodies; 0 means 64 MiB.
	MaxBytes int
	// GuaranteedShare is the minimum share of freed slots for each class with
	// queued requests, 0 to 1; 0 means 0.005 and a negative value means none.
	// The shares of all classes together are capped at a fortieth.
	GuaranteedShare float64
	// Margin is how long before its target time a queued request counts as late.
	Margin time.Duration

	// base is the reference time of due times and deadlines.
	base  time.Time
	tiers [kingcuphook.TierCount]tierQueue
	// byID indexes every queued request by its identifier.
	byID map[string]*item
	// deadlines holds the queued requests that have a deadline.
	deadlines deadlineHeap
	// classes holds the class queues, all of which have queued requests.
	classes []*classQueue
	// classByKey indexes classes.
	classByKey map[classKey]*classQueue
	// bytes is the total body size of the queued requests.
	bytes int
	// firstSeq and lastSeq are the latest sequence numbers of requeued and of
	// offered requests; firstSeq decreases and lastSeq increases.
	firstSeq, lastSeq int64
	dispatches        dispatchRate
	// grants records the latest requests that Next returned, so that Return can
	// undo their effect on the guarantees.
	grants grantRing
	// waiting has the number of queued requests of the other routers by tier.
	waiting [kingcuphook.TierCount]int
	// demandsAt is when Demands was last called.
	demandsAt time.Time
	// lastAccrual is when the time credits of the classes were last updated.
	lastAccrual time.Time
	// guaranteed reports whether the last request taken used a guaranteed slot.
	guaranteed bool
}

var _ kingcuphook.Admitter = (*Admitter)(nil)

// Offer implements kingcuphook.Admitter. It rejects a request that is already
// queued, past its deadline or larger than the whole queue.
func (a *Admitter) Offer(now time.Time, r *kingcuphook.Request) []kingcuphook.Shed {
	if s, ok := a.reject(now, r); ok {
		return []kingcuphook.Shed{s}
	}
	a.lastSeq++
	it := a.insert(r, a.lastSeq)
	it.class.pushLast(it)
	return a.shed(now)
}

// Next implements kingcuphook.Admitter. A request of a tier without free slots
// is returned only if its class is owed a guaranteed slot and the highest tier
// has a free slot.
func (a *Admitter) Next(now time.Time, free func(kingcuphook.Tier) int) *kingcuphook.Request {
	return a.NextGroup(now, free, nil)
}

// NextGroup is like Next but ignores the groups of requests for which skip returns true.
func (a *Admitter) NextGroup(now time.Time, free func(kingcuphook.Tier) int, skip func(group string) bool) *kingcuphook.Request {
	a.accrue(now)
	it := a.pickGuaranteed(free, skip)
	a.guaranteed = it != nil
	if it == nil {
		it = a.pickByTier(now, free, skip)
	}
	if it == nil {
		return nil
	}
	acc := it.queue.account
	a.remove(it)
	a.tiers[tierIndex(it.request)].chargeAccount(acc, promptCharge(it.request))
	a.grant(it)
	a.dispatches.add(now, 1)
	return it.request
}

// Return puts a request that Next has just returned back into its place in the
// queue, as if it had not been taken. Several requests must be put back in
// reverse order.
func (a *Admitter) Return(now time.Time, r *kingcuphook.Request) {
	if a.byID[r.ID()] != nil {
		return
	}
	a.charge(r, -promptCharge(r))
	a.dispatches.add(now, -1)
	a.firstSeq--
	it := a.insert(r, a.firstSeq)
	it.class.pushFirst(it)
	a.undoGrant(it)
}

// Expire implements kingcuphook.Admitter.
func (a *Admitter) Expire(now time.Time) []kingcuphook.Shed {
	var sheds []kingcuphook.Shed
	for len(a.deadlines) > 0 && a.deadlines[0].deadline <= a.nanos(now) {
		it := a.deadlines[0].item
		a.remove(it)
		sheds = append(sheds, a.newShed(now, it.request, kingcuphook.ErrDeadline))
	}
	return sheds
}

// Cancel implements kingcuphook.Admitter.
func (a *Admitter) Cancel(id string) bool {
	it := a.byID[id]
	if it == nil {
		return false
	}
	a.remove(it)
	return true
}

// Served implements kingcuphook.Admitter.
func (a *Admitter) Served(r *kingcuphook.Request, tokens int) {
	a.charge(r, float64(tokens))
}

// Resize changes the bound on queued requests; 0 means the default. The next
// Offer sheds what exceeds the new bound.
func (a *Admitter) Resize(maxQueued int) { a.MaxQueued = maxQueued }

// SetWaiting sets how many requests of each tier are queued at the other routers.
func (a *Admitter) SetWaiting(n [kingcuphook.TierCount]int) { a.waiting = n }

// Guaranteed reports whether the request that Next returned last used a
// guaranteed slot of its class.
func (a *Admitter) Guaranteed() bool { return a.guaranteed }

// SetMargin changes how long before its target time a queued request counts as
// late.
func (a *Admitter) SetMargin(d time.Duration) { a.Margin = d }

// Len implements kingcuphook.Admitter.
func (a *Admitter) Len() int { return len(a.byID) }

// Queued returns the number of queued requests of the tier.
func (a *Admitter) Queued(t kingcuphook.Tier) int { return a.tiers[t.Index()].queued }

// Bytes returns the total body size of the queued requests.
func (a *Admitter) Bytes() int { return a.bytes }

// NextDeadline returns the earliest deadline of the queued requests, or the zero
// time if none has a deadline.
func (a *Admitter) NextDeadline() time.Time {
	if len(a.deadlines) == 0 {
		return time.Time{}
	}
	return a.base.Add(time.Duration(a.deadlines[0].deadline))
}

// insert adds r to every structure except the list of its class queue.
func (a *Admitter) insert(r *kingcuphook.Request, seq int64) *item {
	if a.byID == nil {
		a.byID = make(map[string]*item)
	}
	it := a.newItem(r, seq)
	it.load = a.loadOf(r)
	it.class = a.classQueue(r)
	a.byID[r.ID()] = it
	a.bytes += r.Bytes()
	if it.deadline != 0 {
		heap.Push(&a.deadlines, it)
	}
	a.tiers[tierIndex(r)].insert(it)
	return it
}

func (a *Admitter) remove(it *item) {
	r := it.request
	delete(a.byID, r.ID())
	a.bytes -= r.Bytes()
	if it.deadline != 0 {
		heap.Remove(&a.deadlines, it.deadlineIndex)
	}
	a.unlink(it)
	a.tiers[tierIndex(r)].remove(it)
}

// pickByTier returns the first request of the highest tier that has both queued
// requests and free slots, or nil.
func (a *Admitter) pickByTier(now time.Time, free func(kingcuphook.Tier) int, skip func(string) bool) *item {
	cutoff := a.lateCutoff(now)
	for t := kingcuphook.HighestTier; t <= kingcuphook.LowestTier; t++ {
		q := &a.tiers[t.Index()]
		if q.queued == 0 || free(t) <= 0 {
			continue
		}
		if it := q.pick(cutoff, skip); it != nil {
			return it
		}
	}
	return nil
}

// lateCutoff returns the latest due time at which a request counts as late.
func (a *Admitter) lateCutoff(now time.Time) int64 { return a.nanos(now.Add(a.Margin)) }

func (a *Admitter) charge(r *kingcuphook.Request, tokens float64) {
	a.tiers[tierIndex(r)].charge(r.Organisation(), tokens)
}

func (a *Admitter) maxQueued() int {
	if a.MaxQueued > 0 {
		return a.MaxQueued
	}
	return defaultMaxQueued
}

func (a *Admitter) maxBytes() int {
	if a.MaxBytes > 0 {
		return a.MaxBytes
	}
	return defaultMaxBytes
}

// tierIndex returns the index of the tier of r. An invalid tier counts as the
// lowest one.
func tierIndex(r *kingcuphook.Request) int {
	if !r.Tier().Valid() {
		return kingcuphook.LowestTier.Index()
	}
	return r.Tier().Index()
}

// promptCharge returns the tokens charged to an organisation when its request is
// taken. It is at least 1, so that requests without a prompt count as well.
func promptCharge(r *kingcuphook.Request) float64 {
	return float64(max(r.PromptTokens(), 1))
}

func (a *Admitter) reject(now time.Time, r *kingcuphook.Request) (kingcuphook.Shed, bool) {
	switch {
	case a.byID[r.ID()] != nil:
		return a.newShed(now, r, fmt.Errorf("admitter: %q is waiting already: %w", r.ID(), kingcuphook.ErrConflict)), true
	case !r.Deadline().IsZero() && !r.Deadline().After(now):
		return a.newShed(now, r, kingcuphook.ErrDeadline), true
	case r.Bytes() > a.maxBytes():
		return a.newShed(now, r, fmt.Errorf("admitter: body over the bytes of the queue: %w", kingcuphook.ErrOverloaded)), true
	}
	return kingcuphook.Shed{}, false
}
