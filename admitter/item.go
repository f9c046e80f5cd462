package admitter

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// item is a waiting request with its places in the structures that hold it.
type item struct {
	request *kingcuphook.Request
	// seq orders equal due times; returned requests go before others.
	seq int64
	// due is when the first token is due, deadline when the request is given up;
	// both in nanoseconds of the steady clock of the Admitter. A deadline of 0
	// means never.
	due, deadline int64
	// queue is the queue of its organisation and model; never nil while the
	// request waits.
	queue *orgQueue
	// load is the share of the bounds that the item takes while it waits.
	load float64
	// late says which heap of the queue holds the item.
	late bool
	// index is the position in that heap, deadlineIndex that in the deadlines.
	index, deadlineIndex int
	// lane is the lane of the guarantee; prev and next link its items.
	lane       *classLane
	prev, next *item
}

// newItem returns an item outside of every structure.
func (a *Admitter) newItem(r *kingcuphook.Request, seq int64) *item {
	it := &item{request: r, seq: seq, due: a.nanos(dueTime(r))}
	if !r.Deadline().IsZero() {
		it.deadline = a.nanos(r.Deadline())
	}
	return it
}

// nanos returns the time since the Admitter was first used, by the steady clock: a
// time of day that jumps changes nothing. It is never 0.
func (a *Admitter) nanos(t time.Time) int64 {
	if a.base.IsZero() {
		a.base = t.Add(-baseLead)
	}
	if d := t.Sub(a.base); d != 0 {
		return int64(d)
	}
	return 1
}

// baseLead keeps the times that are counted from the first use positive.
const baseLead = time.Hour

// dueTime returns the target time, or a late one without a target.
func dueTime(r *kingcuphook.Request) time.Time {
	if r.Target() == 0 {
		return r.Arrived().Add(untargetedDelay)
	}
	return r.TargetTime()
}

func (it *item) before(other *item) bool {
	if it.due != other.due {
		return it.due < other.due
	}
	return it.seq < other.seq
}

// itemHeap has the earliest due item first.
type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	n := len(*h) - 1
	it := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return it
}

// deadlineHeap has the item with the earliest deadline first.
type deadlineHeap []deadlineEntry

// deadlineEntry keeps the deadline beside the item, to be compared without it.
type deadlineEntry struct {
	deadline int64
	item     *item
}

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	if h[i].deadline != h[j].deadline {
		return h[i].deadline < h[j].deadline
	}
	return h[i].item.seq < h[j].item.seq
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].item.deadlineIndex, h[j].item.deadlineIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.deadlineIndex = len(*h)
	*h = append(*h, deadlineEntry{it.deadline, it})
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	n := len(*h) - 1
	it := (*h)[n].item
	(*h)[n] = deadlineEntry{}
	*h = (*h)[:n]
	return it
}
