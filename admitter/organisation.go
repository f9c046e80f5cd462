package admitter

import "container/heap"

func (q *orgQueue) push(it *item) {
	if it.late {
		heap.Push(&q.late, it)
	} else {
		heap.Push(&q.onTime, it)
	}
	q.enlist()
}

func (q *orgQueue) drop(it *item) {
	if it.late {
		heap.Remove(&q.late, it.index)
	} else {
		heap.Remove(&q.onTime, it.index)
	}
	q.enlist()
}

// moveLate moves the items due at limit or before to the late heap.
func (q *orgQueue) moveLate(limit int64) {
	for len(q.onTime) > 0 && q.onTime[0].due <= limit {
		it := heap.Pop(&q.onTime).(*item)
		it.late = true
		heap.Push(&q.late, it)
	}
	q.enlist()
}

// enlist puts q into the heaps of its lane in which it has items, and out of
// the others.
func (q *orgQueue) enlist() {
	enlist(&q.lane.onTime, q, q.onTimeIndex, len(q.onTime) > 0)
	enlist(&q.lane.late, q, q.lateIndex, len(q.late) > 0)
}

func enlist(h *orgHeap, q *orgQueue, index int, wanted bool) {
	switch {
	case wanted && index < 0:
		heap.Push(h, q)
	case !wanted && index >= 0:
		heap.Remove(h, index)
	}
}

// fix restores the order of the heaps of the lane after a change of the counter.
func (q *orgQueue) fix() {
	if q.onTimeIndex >= 0 {
		heap.Fix(&q.lane.onTime, q.onTimeIndex)
	}
	if q.lateIndex >= 0 {
		heap.Fix(&q.lane.late, q.lateIndex)
	}
}

// orgHeap has the organisation that was served the least first.
type orgHeap struct {
	queues []*orgQueue
	// late says which index of a queue belongs to this heap.
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

// loadHeap has the account with the most waiting work first.
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
