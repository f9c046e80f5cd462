package admitter

import (
	"container/heap"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// item is a waiting request with its places in the structures that hold it.
type item struct {
	request *kingcuphook.Request
	// seq rises with every offered request and orders equal due times.
	seq uint64
	// due is when the first token is due.
	due time.Time
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

func (it *item) before(other *item) bool {
	if !it.due.Equal(other.due) {
		return it.due.Before(other.due)
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
type deadlineHeap []*item

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	di, dj := h[i].request.Deadline(), h[j].request.Deadline()
	if !di.Equal(dj) {
		return di.Before(dj)
	}
	return h[i].seq < h[j].seq
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.deadlineIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	n := len(*h) - 1
	it := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return it
}

var (
	_ heap.Interface = (*itemHeap)(nil)
	_ heap.Interface = (*deadlineHeap)(nil)
)
