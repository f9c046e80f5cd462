package admitter

import "container/heap"

func (q *orgQueue) push(it *item) {
	if it.late {
		heap.Push(&q.late, it)
	} else {
		heap.Push(&q.onTime, it)
	}
	q.updateHeaps()
}

func (q *orgQueue) remove(it *item) {
	if it.late {
		heap.Remove(&q.late, it.index)
	} else {
		heap.Remove(&q.onTime, it.index)
	}
	q.updateHeaps()
}

// moveLate moves the items due at or before cutoff to the late heap.
func (q *orgQueue) moveLate(cutoff int64) {
	for len(q.onTime) > 0 && q.onTime[0].due <= cutoff {
		it := heap.Pop(&q.onTime).(*item)
		it.late = true
		heap.Push(&q.late, it)
	}
	q.updateHeaps()
}

// updateHeaps adds q to or removes it from the on-time and late heaps of its model,
// depending on which kinds of items it has.
func (q *orgQueue) updateHeaps() {
	updateHeap(&q.model.onTime, q, q.onTimeIndex, len(q.onTime) > 0)
	updateHeap(&q.model.late, q, q.lateIndex, len(q.late) > 0)
}

func updateHeap(h *orgHeap, q *orgQueue, index int, wanted bool) {
	switch {
	case wanted && index < 0:
		heap.Push(h, q)
	case !wanted && index >= 0:
		heap.Remove(h, index)
	}
}

// fixHeaps restores the heap order after the counter of the organisation changed.
func (q *orgQueue) fixHeaps() {
	if q.onTimeIndex >= 0 {
		heap.Fix(&q.model.onTime, q.onTimeIndex)
	}
	if q.lateIndex >= 0 {
		heap.Fix(&q.model.late, q.lateIndex)
	}
}

// orgHeap is a min-heap of queues by the counter of their organisation.
type orgHeap struct {
	queues []*orgQueue
	// late selects which index of a queue this heap maintains.
	late bool
}

func (h *orgHeap) setIndex(i, index int) {
	if h.late {
		h.queues[i].lateIndex = index
	} else {
		h.queues[i].onTimeIndex = index
	}
}

// Len implements heap.Interface.
func (h *orgHeap) Len() int { return len(h.queues) }

// Less implements heap.Interface.
func (h *orgHeap) Less(i, j int) bool {
	return h.queues[i].account.before(h.queues[j].account)
}

// Swap implements heap.Interface.
func (h *orgHeap) Swap(i, j int) {
	h.queues[i], h.queues[j] = h.queues[j], h.queues[i]
	h.setIndex(i, i)
	h.setIndex(j, j)
}

// Push implements heap.Interface.
func (h *orgHeap) Push(x any) {
	h.queues = append(h.queues, x.(*orgQueue))
	h.setIndex(len(h.queues)-1, len(h.queues)-1)
}

// Pop implements heap.Interface.
func (h *orgHeap) Pop() any {
	n := len(h.queues) - 1
	h.setIndex(n, -1)
	q := h.queues[n]
	h.queues[n] = nil
	h.queues = h.queues[:n]
	return q
}

// loadHeap is a max-heap of accounts by load.
type loadHeap []*account

func (h loadHeap) Len() int { return len(h) }
func (h loadHeap) Less(i, j int) bool {
	if h[i].load != h[j].load {
		return h[i].load > h[j].load
	}
	return h[j].before(h[i])
}

func (h loadHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].loadIndex, h[j].loadIndex = i, j
}

// Push implements heap.Interface.
func (h *loadHeap) Push(x any) {
	acc := x.(*account)
	acc.loadIndex = len(*h)
	*h = append(*h, acc)
}

// Pop implements heap.Interface.
func (h *loadHeap) Pop() any {
	n := len(*h) - 1
	acc := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return acc
}
