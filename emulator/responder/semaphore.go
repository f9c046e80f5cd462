package responder

import (
	"context"
	"slices"
	"sync"
)

// prioritySemaphore limits the number of requests in flight. Queued requests acquire
// slots in order of priority; a smaller number is a higher priority.
type prioritySemaphore struct {
	mu        sync.Mutex
	free      int
	slots     int
	maxQueued int
	// waiting is sorted by priority, then by time of arrival.
	waiting []*waiter
}

// waiter is a queued request.
type waiter struct {
	priority int
	// admitted is closed when the request holds a slot.
	admitted chan struct{}
}

func newPrioritySemaphore(slots, maxQueued int) *prioritySemaphore {
	return &prioritySemaphore{free: slots, slots: slots, maxQueued: maxQueued}
}

// acquire acquires a slot and waits for one if none is free. It returns false if the queue
// is full or ctx is cancelled first.
func (s *prioritySemaphore) acquire(ctx context.Context, priority int) bool {
	w, ok := s.queue(priority)
	if !ok || w == nil {
		return ok
	}
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
		return s.cancel(w)
	}
}

// queue returns nil and true if it acquired a free slot, a new waiter and true if the
// request is queued, and false if the queue is full.
func (s *prioritySemaphore) queue(priority int) (*waiter, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free > 0 {
		s.free--
		return nil, true
	}
	if len(s.waiting) >= s.maxQueued {
		return nil, false
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority > priority {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
	return w, true
}

// cancel removes w from the queue. It returns true if w was admitted in the meantime;
// the caller then holds a slot.
func (s *prioritySemaphore) cancel(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, w)
	if i < 0 {
		return true
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return false
}

// release releases a slot to the first waiter, if there is one.
func (s *prioritySemaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	close(s.waiting[0].admitted)
	s.waiting = s.waiting[1:]
}

func (s *prioritySemaphore) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots - s.free, len(s.waiting)
}
