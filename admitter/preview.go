package admitter

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Place returns the place that a request would have in the queue, which it leaves unchanged. Guaranteed slots
// are left out.
func (a *Admitter) Place(now time.Time, r *kingcuphook.Request) kingcuphook.QueuePlace {
	i := tierIndex(r)
	p := kingcuphook.QueuePlace{Queued: len(a.byID), PerSecond: a.dispatches.rate(now)}
	for _, n := range a.waiting[:i+1] {
		p.Elsewhere += n
	}
	for _, higher := range a.tiers[:i] {
		p.Higher += higher.queued
		for _, acc := range higher.byLoad {
			for _, q := range acc.queues {
				if q.model.name == r.Group() {
					p.InGroup += len(q.onTime) + len(q.late)
				}
			}
		}
	}
	for _, it := range a.tiers[i].before(&item{request: r, due: a.nanos(dueTime(r)), seq: a.lastSeq + 1}, a.lateCutoff(now)) {
		p.Before++
		if it.request.Group() == r.Group() {
			p.InGroup++
		}
	}
	return p
}

// turn is an organisation in a copy of the fair queue of a tier.
type turn struct {
	account account
	// items are its requests in their order.
	items []*item
}

// before returns the queued requests that go before one that is not queued, in their order.
func (t *tierQueue) before(added *item, cutoff int64) []*item {
	isLate := func(it *item) bool { return it.due <= cutoff }
	own := &turn{account: account{seq: t.seq + 1, counter: t.virtualTime}, items: []*item{added}}
	if acc := t.accounts[added.request.Organisation()]; acc != nil {
		own.account.seq, own.account.counter, own.account.factor = acc.seq, acc.counter, acc.factor
		if acc.queued == 0 {
			own.account.counter = max(acc.counter, t.virtualTime)
		}
	}
	turns := []*turn{own}
	for _, acc := range t.byLoad {
		to := own
		if acc.organisation != added.request.Organisation() {
			to = &turn{account: account{seq: acc.seq, counter: acc.counter, factor: acc.factor}}
			turns = append(turns, to)
		}
		for _, q := range acc.queues {
			to.items = append(append(to.items, q.onTime...), q.late...)
		}
	}
	// pick takes the requests of an organisation model by model.
	models := make(map[string]int, len(t.models)+1)
	models[added.request.Group()] = len(t.models)
	for i, m := range t.models {
		models[m.name] = i
	}
	for _, to := range turns {
		slices.SortFunc(to.items, func(x, y *item) int {
			if late := isLate(x); late != isLate(y) {
				if late {
					return 1
				}
				return -1
			}
			return cmp.Or(cmp.Compare(models[x.request.Group()], models[y.request.Group()]), cmp.Compare(x.due, y.due), cmp.Compare(x.seq, y.seq))
		})
	}
	h := turnHeap{turns, isLate}
	heap.Init(&h)
	var before []*item
	for {
		next := h.turns[0]
		it := next.items[0]
		if it == added {
			return before
		}
		before = append(before, it)
		next.items = next.items[1:]
		next.account.counter += promptCharge(it.request) * next.account.chargeFactor()
		if len(next.items) == 0 {
			heap.Pop(&h)
			continue
		}
		heap.Fix(&h, 0)
	}
}

// turnHeap is a min-heap of organisations, none without requests: those whose next request can still meet its
// target go first, then those that were served the least.
type turnHeap struct {
	turns  []*turn
	isLate func(*item) bool
}

// Len implements heap.Interface.
func (h *turnHeap) Len() int { return len(h.turns) }

// Less implements heap.Interface.
func (h *turnHeap) Less(i, j int) bool {
	x, y := h.turns[i], h.turns[j]
	if late := h.isLate(x.items[0]); late != h.isLate(y.items[0]) {
		return !late
	}
	return x.account.before(&y.account)
}

// Swap implements heap.Interface.
func (h *turnHeap) Swap(i, j int) { h.turns[i], h.turns[j] = h.turns[j], h.turns[i] }

// Push implements heap.Interface.
func (h *turnHeap) Push(x any) { h.turns = append(h.turns, x.(*turn)) }

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	last := h.turns[len(h.turns)-1]
	h.turns = h.turns[:len(h.turns)-1]
	return last
}

// PreviewOffer returns the refusal that Offer would return for the request, and whether there is one.
func (a *Admitter) PreviewOffer(now time.Time, r *kingcuphook.Request) (kingcuphook.Shed, bool) {
	if s, ok := a.reject(now, r); ok {
		return s, true
	}
	full := len(a.byID)+1 > a.maxQueued() || a.bytes+r.Bytes() > a.maxBytes()
	if !full || !a.isVictim(now, r) {
		return kingcuphook.Shed{}, false
	}
	return a.newShed(now, r, fmt.Errorf("admitter: queue is full: %w", kingcuphook.ErrOverloaded)), true
}

// isVictim reports whether the request would be the one that victim returns if it were queued.
func (a *Admitter) isVictim(now time.Time, r *kingcuphook.Request) bool {
	t := &a.tiers[tierIndex(r)]
	if len(a.byID) == 0 || tierIndex(r) != a.lowestIndex() {
		return len(a.byID) == 0 || tierIndex(r) > a.lowestIndex()
	}
	own, top := t.accounts[r.Organisation()], t.byLoad[0]
	switch {
	case own == nil || own.queued == 0:
		return a.loadOf(r) > top.load
	case own != top && own.load+a.loadOf(r) <= top.load:
		return false
	}
	it := &item{request: r, due: a.nanos(dueTime(r)), seq: a.lastSeq + 1}
	cutoff := a.lateCutoff(now)
	for _, q := range own.queues {
		isLate := func(it *item) bool { return it.due <= cutoff }
		n := len(q.onTime)
		if len(q.late) > 0 || slices.ContainsFunc(q.onTime, isLate) {
			return it.due <= cutoff && q.model.name == r.Group()
		}
		last := q.onTime[n-1]
		if q.model.name == r.Group() {
			// Where the request would end up in the heap if it were added at the end.
			last = q.onTime[(n-1)/2]
		}
		if it.before(last) {
			return false
		}
	}
	return true
}
