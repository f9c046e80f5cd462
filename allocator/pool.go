package allocator

import (
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// pool is one pool with the requests that wait for it and run in it.
type pool struct {
	mu        sync.Mutex
	scheduler kingcuphook.Scheduler
	// waiters has every request that waits in the scheduler, by identifier.
	waiters map[string]*waiter
	// slots has every slot that was handed out and not released.
	slots map[slotKey]*slot
	// timer calls Assign when the scheduler wants it; it is stopped while no
	// request waits.
	timer *time.Timer
	// closed is set for good once; closedErr is what is told then.
	closed    bool
	closedErr error
}

// slotKey identifies an attempt: a hedged request has two slots.
type slotKey struct{ id, upstream string }

// waiter is a goroutine in Acquire.
type waiter struct {
	request *kingcuphook.Request
	// result has room for the one result that the waiter gets.
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
	p.event(func(now time.Time) { p.scheduler.Update(now, pool) })
}

// event tells the scheduler something and carries out what it decides.
func (p *pool) event(tell func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	tell(now)
	p.assign(now)
}

// enter queues the request.
func (p *pool) enter(r *kingcuphook.Request, excluded []string) (*waiter, error) {
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
		p.answer(p.scheduler.Requeue(now, r, excluded))
	} else {
		p.answer(p.scheduler.Offer(now, r))
	}
	p.assign(now)
	return w, nil
}

// leave takes a waiter out whose caller is gone, and gives back the slot that
// it may have been handed meanwhile.
func (p *pool) leave(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	id := w.request.ID()
	if p.waiters[id] == w {
		delete(p.waiters, id)
		p.scheduler.Cancel(now, id)
		p.arm(now)
		return
	}
	if res := <-w.result; res.slot != nil {
		p.release(now, res.slot, kingcuphook.Sample{Cancelled: true})
		p.assign(now)
	}
}

// assign carries out what the scheduler decides and sets the timer. The caller
// holds the lock.
func (p *pool) assign(now time.Time) {
	if p.closed {
		return
	}
	assignments, sheds := p.scheduler.Assign(now)
	p.answer(sheds)
	for _, a := range assignments {
		p.grant(now, a)
	}
	p.arm(now)
}

// grant hands the slot of an assignment to its waiter.
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

func (p *pool) preempt(key slotKey) {
	if s := p.slots[key]; s != nil && !s.isPreempted {
		s.isPreempted = true
		close(s.preempted)
	}
}

// answer gives the shed requests their errors.
func (p *pool) answer(sheds []kingcuphook.Shed) {
	for _, shed := range sheds {
		w := p.waiters[shed.Request().ID()]
		if w == nil {
			continue
		}
		delete(p.waiters, shed.Request().ID())
		w.result <- result{err: notRun(codeOf(shed.Err()), shed.Err(), shed.RetryAfter())}
	}
}

// release gives a slot back. The caller holds the lock.
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

// close answers all that wait; what runs goes on.
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

// arm sets the timer to when the scheduler must be called next.
func (p *pool) arm(now time.Time) {
	at := p.scheduler.Wake(now)
	if at.IsZero() || p.closed {
		if p.timer != nil {
			p.timer.Stop()
		}
		return
	}
	d := max(at.Sub(now), 0)
	if p.timer == nil {
		p.timer = time.AfterFunc(d, p.tick)
		return
	}
	p.timer.Reset(d)
}

func (p *pool) tick() {
	p.event(func(time.Time) {})
}
