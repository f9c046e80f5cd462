// Package admitter orders the requests that wait for one pool and sheds what
// does not fit.
//
// The order is strict by tier. Inside a tier, requests that can still meet
// their target go before those that are late; among organisations the one that
// has been served the fewest tokens goes first; inside an organisation the
// earliest target goes first. Each class is guaranteed a small part of the
// freed slots, so that none starves.
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
	// maxGuaranteedSum bounds the share of freed slots that all guarantees take
	// together.
	maxGuaranteedSum = 0.025
	// untargetedDelay is the target used to order requests that have none.
	untargetedDelay = 30 * time.Second
)

// Admitter is the queue of one pool at one router. Its zero value is ready for
// use. It is used by one goroutine at a time.
type Admitter struct {
	// MaxQueued bounds the waiting requests; 0 means 10,000.
	MaxQueued int
	// MaxBytes bounds the sum of their bodies; 0 means 64 MiB.
	MaxBytes int
	// GuaranteedShare is the share of the freed slots that each waiting class
	// gets at least, 0 to 1; 0 means 0.005 and a negative one means none.
	// With many classes waiting all their shares together are at most a fortieth.
	GuaranteedShare float64
	// Margin is how long before its target a waiting request counts as late.
	Margin time.Duration

	// base is the time that times are counted from.
	base  time.Time
	tiers [kingcuphook.TierCount]tierQueue
	// byID has every waiting request once.
	byID map[string]*item
	// deadlines has the waiting requests that have a deadline.
	deadlines deadlineHeap
	// lanes has every class with a waiting request once.
	lanes []*classLane
	// laneByKey indexes lanes.
	laneByKey map[laneKey]*classLane
	// bytes is the sum of the bodies of the waiting requests.
	bytes int
	// first and last are the numbers given to requests that were returned and
	// offered; first falls and last rises.
	first, last int64
	drain       drainRate
	// taken remembers the latest requests that Next returned.
	taken takenRing
	// accrued is when what the classes are owed was last calculated.
	accrued time.Time
	// guaranteed says how the request taken last was taken.
	guaranteed bool
}

var _ kingcuphook.Admitter = (*Admitter)(nil)

// Offer implements kingcuphook.Admitter. A request that is waiting already, is
// over its deadline or is larger than the whole queue is refused at once.
func (a *Admitter) Offer(now time.Time, r *kingcuphook.Request) []kingcuphook.Shed {
	if s, ok := a.refuse(now, r); ok {
		return []kingcuphook.Shed{s}
	}
	a.last++
	it := a.insert(r, a.last)
	it.lane.pushLast(it)
	return a.shed(now)
}

// Next implements kingcuphook.Admitter. A request of a tier without free slots
// is returned only when the guaranteed share of its class is due and the
// highest tier has a free slot.
func (a *Admitter) Next(now time.Time, free func(kingcuphook.Tier) int) *kingcuphook.Request {
	return a.NextModel(now, free, nil)
}

// NextModel is Next without the models that skip reports.
func (a *Admitter) NextModel(now time.Time, free func(kingcuphook.Tier) int, skip func(model string) bool) *kingcuphook.Request {
	a.accrue(now)
	it := a.pickGuaranteed(free, skip)
	a.guaranteed = it != nil
	if it == nil {
		it = a.pickOrdered(now, free, skip)
	}
	if it == nil {
		return nil
	}
	acc := it.queue.account
	a.remove(it)
	a.tiers[tierIndex(it.request)].chargeAccount(acc, promptCharge(it.request))
	a.grant(it)
	a.drain.add(now, 1)
	return it.request
}

// Return puts a request that Next has just returned back to its place, as if it
// had not been taken. Of several, the one taken last must be returned first.
func (a *Admitter) Return(now time.Time, r *kingcuphook.Request) {
	if a.byID[r.ID()] != nil {
		return
	}
	a.charge(r, -promptCharge(r))
	a.drain.add(now, -1)
	a.first--
	it := a.insert(r, a.first)
	it.lane.pushFirst(it)
	a.revoke(it)
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

// Resize changes the bound of waiting requests; 0 means the default. What is
// over the new bound is shed by the next Offer.
func (a *Admitter) Resize(maxQueued int) { a.MaxQueued = maxQueued }

// Guaranteed reports whether the request that Next returned last was taken on
// the guaranteed share of its class.
func (a *Admitter) Guaranteed() bool { return a.guaranteed }

// SetMargin changes how long before its target a waiting request counts as late.
func (a *Admitter) SetMargin(d time.Duration) { a.Margin = d }

// Len implements kingcuphook.Admitter.
func (a *Admitter) Len() int { return len(a.byID) }

// Waiting returns the number of requests of the tier that wait.
func (a *Admitter) Waiting(t kingcuphook.Tier) int { return a.tiers[t.Index()].waiting }

// Bytes returns the sum of the bodies of the waiting requests.
func (a *Admitter) Bytes() int { return a.bytes }

// NextDeadline returns the earliest deadline of a waiting request; zero if none
// has one.
func (a *Admitter) NextDeadline() time.Time {
	if len(a.deadlines) == 0 {
		return time.Time{}
	}
	return a.base.Add(time.Duration(a.deadlines[0].deadline))
}

// insert puts r into every structure but the list of its lane.
func (a *Admitter) insert(r *kingcuphook.Request, seq int64) *item {
	if a.byID == nil {
		a.byID = make(map[string]*item)
	}
	it := a.newItem(r, seq)
	it.load = a.pressure(r)
	it.lane = a.lane(r)
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

// pickOrdered returns the first waiting request in the order of the tiers, or
// nil.
func (a *Admitter) pickOrdered(now time.Time, free func(kingcuphook.Tier) int, skip func(string) bool) *item {
	limit := a.lateLimit(now)
	for t := kingcuphook.HighestTier; t <= kingcuphook.LowestTier; t++ {
		q := &a.tiers[t.Index()]
		if q.waiting == 0 || free(t) <= 0 {
			continue
		}
		if it := q.pick(limit, skip); it != nil {
			return it
		}
	}
	return nil
}

// lateLimit returns the due time up to which requests count as late.
func (a *Admitter) lateLimit(now time.Time) int64 { return a.nanos(now.Add(a.Margin)) }

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

// tierIndex returns the index of the tier of r; one out of bounds counts as the
// lowest.
func tierIndex(r *kingcuphook.Request) int {
	if !r.Tier().Valid() {
		return kingcuphook.LowestTier.Index()
	}
	return r.Tier().Index()
}

// promptCharge is what an organisation pays when its request is taken. It is
// at least 1, so that requests without a prompt count too.
func promptCharge(r *kingcuphook.Request) float64 {
	return float64(max(r.PromptTokens(), 1))
}

func (a *Admitter) refuse(now time.Time, r *kingcuphook.Request) (kingcuphook.Shed, bool) {
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
