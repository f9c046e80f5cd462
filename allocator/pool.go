package allocator

import (
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// pool is one pool with its queued and running requests.
type pool struct {
	mu        sync.Mutex
	scheduler kingcuphook.Scheduler
	// waiters holds all requests that are queued in the scheduler, by identifier.
	waiters map[string]*waiter
	// slots holds all acquired slots that are not released yet.
	slots map[slotKey]*slot
	// timer calls assign at the time that the scheduler's Wake returned; it is stopped
	// while no request is queued.
	timer *time.Timer
	// closed means that the pool is not in the tables; closedErr is then the error for requests.
	closed    bool
	closedErr error
}

// slotKey identifies an attempt of a request. A hedged request has two slots, on
// different upstreams.
type slotKey struct{ id, upstream string }

// waiter is a queued request whose goroutine is blocked in Acquire.
type waiter struct {
	request *kingcuphook.Request
	// result is buffered for the only result, so that sending it never blocks.
	result chan result
}

// result is what Acquire returns; either slot or err is nil.
type result struct {
	slot *slot
	err  error
}

func (r result) unpack() (kingcuphook.Slot, error) {
	if r.err != nil {
		return nil, r.err
	}
	return r.slot, nil
}

func newPool(s kingcuphook.Scheduler) *pool {
	return &pool{
		scheduler: s,
		waiters:   make(map[string]*waiter),
		slots:     make(map[slotKey]*slot),
	}
}

func (p *pool) update(pool *kingcuphook.Pool) {
	p.apply(func(now time.Time) { p.scheduler.Update(now, pool) })
}

// apply calls change, which passes an event to the scheduler, and then carries out the
// decisions of the scheduler.
func (p *pool) apply(change func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	change(now)
	p.assign(now)
}

// enqueue queues the request. If excluded is not nil, the request was assigned before
// and is requeued.
func (p *pool) enqueue(r *kingcuphook.Request, excluded []string) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, p.closedErr
	}
	if p.waiters[r.ID()] != nil {
		return nil, notRun(CodeDuplicate, kingcuphook.ErrConflict, 0)
	}
	now := time.Now()
	w := &waiter{request: r, result: make(chan result, 1)}
	p.waiters[r.ID()] = w
	if excluded != nil {
		p.rejectShed(p.scheduler.Requeue(now, r, excluded))
	} else {
		p.rejectShed(p.scheduler.Offer(now, r))
	}
	p.assign(now)
	return w, nil
}

// cancel removes a waiter whose context has ended. If the waiter was assigned a slot in
// the meantime, the slot is released.
func (p *pool) cancel(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	id := w.request.ID()
	if p.waiters[id] == w {
		delete(p.waiters, id)
		p.scheduler.Cancel(now, id)
		p.setTimer(now)
		return
	}
	if res := <-w.result; res.slot != nil {
		p.release(now, res.slot, kingcuphook.Sample{Cancelled: true})
		p.assign(now)
	}
}

// assign gets the decisions of the scheduler, carries them out and sets the timer. The
// caller holds mu.
func (p *pool) assign(now time.Time) {
	if p.closed {
		return
	}
	assignments, sheds := p.scheduler.Assign(now)
	p.rejectShed(sheds)
	for _, a := range assignments {
		p.grant(now, a)
	}
	p.setTimer(now)
}

// grant passes the slot of an assignment to its waiter, and preempts the request whose
// slot it takes over, if any. The caller holds mu.
func (p *pool) grant(now time.Time, a kingcuphook.Assignment) {
	if a.Preempts != "" {
		p.preempt(slotKey{a.Preempts, a.Choice.Upstream.Address()})
	}
	id := a.Request.ID()
	s := &slot{pool: p, assignment: a, preempted: make(chan struct{})}
	p.slots[s.key()] = s
	w := p.waiters[id]
	if w == nil {
		p.release(now, s, kingcuphook.Sample{Cancelled: true})
		return
	}
	delete(p.waiters, id)
	w.result <- result{slot: s}
}

// preempt notifies the attempt that its slot is preempted. The caller holds mu.
func (p *pool) preempt(key slotKey) {
	if s := p.slots[key]; s != nil && !s.isPreempted {
		s.isPreempted = true
		close(s.preempted)
	}
}

// rejectShed passes the shed requests their errors. The caller holds mu.
func (p *pool) rejectShed(sheds []kingcuphook.Shed) {
	for _, shed := range sheds {
		w := p.waiters[shed.Request().ID()]
		if w == nil {
			continue
		}
		delete(p.waiters, shed.Request().ID())
		w.result <- result{err: notRun(codeOfShed(shed.Err()), shed.Err(), shed.RetryAfter())}
	}
}

// release releases a slot unless that was done before. The caller holds mu.
func (p *pool) release(now time.Time, s *slot, sample kingcuphook.Sample) {
	if s.released {
		return
	}
	s.released = true
	if p.slots[s.key()] == s {
		delete(p.slots, s.key())
	}
	p.scheduler.Finished(now, s.assignment.Choice.Upstream.Address(), s.assignment.Request, sample)
}

// reopen makes a closed pool take requests again.
func (p *pool) reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed, p.closedErr = false, nil
}

// inUse reports whether slots of the pool are in use.
func (p *pool) inUse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.slots) > 0
}

// close rejects all queued and all later requests with the given error. Running
// requests are not affected.
func (p *pool) close(code string, err error, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	p.closedErr = notRun(code, err, retryAfter)
	now := time.Now()
	for id, w := range p.waiters {
		delete(p.waiters, id)
		p.scheduler.Cancel(now, id)
		w.result <- result{err: p.closedErr}
	}
	if p.timer != nil {
		p.timer.Stop()
	}
}

// setTimer sets the timer to the time at which the scheduler must be called next. The
// caller holds mu.
func (p *pool) setTimer(now time.Time) {
	at := p.scheduler.Wake(now)
	if at.IsZero() || p.closed {
		if p.timer != nil {
			p.timer.Stop()
		}
		return
	}
	d := max(at.Sub(now), 0)
	if p.timer == nil {
		p.timer = time.AfterFunc(d, p.onTimer)
		return
	}
	p.timer.Reset(d)
}

func (p *pool) onTimer() {
	p.apply(func(time.Time) {})
}
