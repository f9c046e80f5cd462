package responder

import (
	"context"
	"slices"
	"sync"
)

// priorityGate lets a bounded number of requests in, the highest priority
// first (a smaller number is higher).
type priorityGate struct {
	mu        sync.Mutex
	free      int
	slots     int
	maxQueued int
	// waiting is sorted by priority, then by arrival.
	waiting []*waiter
}

type waiter struct {
	priority int
	admitted chan struct{}
}

func newPriorityGate(slots, maxQueued int) *priorityGate {
	return &priorityGate{free: slots, slots: slots, maxQueued: maxQueued}
}

// enter waits for a slot. It reports false if too many wait or ctx has ended.
func (g *priorityGate) enter(ctx context.Context, priority int) bool {
	w, ok := g.queue(priority)
	if !ok || w == nil {
		return ok
	}
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
		return g.abandon(w)
	}
}

// queue returns nil and true if a slot was free.
func (g *priorityGate) queue(priority int) (*waiter, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.free > 0 {
		g.free--
		return nil, true
	}
	if len(g.waiting) >= g.maxQueued {
		return nil, false
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].priority > priority {
		i--
	}
	g.waiting = slices.Insert(g.waiting, i, w)
	return w, true
}

// abandon takes w out and reports true if it had been admitted meanwhile; the
// caller then holds a slot.
func (g *priorityGate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.waiting, w)
	if i < 0 {
		return true
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	return false
}

func (g *priorityGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) == 0 {
		g.free++
		return
	}
	close(g.waiting[0].admitted)
	g.waiting = g.waiting[1:]
}

func (g *priorityGate) load() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots - g.free, len(g.waiting)
}
