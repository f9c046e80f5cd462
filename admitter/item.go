package admitter

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// item is a queued request with its positions in the structures that hold it.
type item struct {
	request *kingcuphook.Request
	// seq breaks ties between equal due times. Requeued requests have lower numbers
	// than offered ones.
	seq int64
	// due is when the first token is due and deadline when the request expires,
	// both in nanoseconds since the base of the Admitter. A deadline of 0 means
	// none.
	due, deadline int64
	// queue is the queue of its organisation and model; never nil while the
	// request is queued.
	queue *orgQueue
	// load is the share of the bounds that the item takes up.
	load float64
	// late reports whether the late heap of the queue holds the item.
	late bool
	// index is the position in that heap, deadlineIndex that in the deadline heap.
	index, deadlineIndex int
	// class is the class queue of the request; prev and next link its items.
	class      *classQueue
	prev, next *item
}

// newItem returns an item that is not in any structure yet.
func (a *Admitter) newItem(r *kingcuphook.Request, seq int64) *item {
	it := &item{request: r, seq: seq, due: a.nanos(dueTime(r))}
	if !r.Deadline().IsZero() {
		it.deadline = a.nanos(r.Deadline())
	}
	return it
}

// nanos returns t in nanoseconds since the base, an hour before the first use. The
// difference uses the monotonic clock, so that a clock step has no effect. The
// result is never 0, which stands for no deadline.
func (a *Admitter) nanos(t time.Time) int64 {
	if a.base.IsZero() {
		a.base = t.Add(-baseOffset)
	}
	if d := t.Sub(a.base); d != 0 {
		return int64(d)
	}
	return 1
}

// baseOffset is how far the base lies before the first use, which keeps the
// results of nanos positive.
const baseOffset = time.Hour

// dueTime returns the target time, or the arrival plus assumedTarget for a
// request without a target.
func dueTime(r *kingcuphook.Request) time.Time {
	if r.Target() == 0 {
		return r.Arrived().Add(assumedTarget)
	}
	return r.TargetTime()
}

func (it *item) before(other *item) bool {
	if it.due != other.due {
		return it.due < other.due
	}
	return it.seq < other.seq
}

// itemHeap is a min-heap of items by due time.
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

// deadlineHeap is a min-heap of items by deadline.
type deadlineHeap []deadlineEntry

// deadlineEntry duplicates the deadline, so that comparisons need not dereference
// the item.
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
