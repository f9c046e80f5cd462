package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// callTimeout bounds each call to the store.
const callTimeout = 5 * time.Second

// Runner makes the calls that a Leaser requests. Its exported fields are set
// before Run. Its methods are safe for concurrent use.
type Runner struct {
	// Store is the platform's key-value service; never nil.
	Store kingcuphook.Store
	// Leaser decides which calls to make; never nil. Only the Runner uses it.
	Leaser *Leaser

	mu sync.Mutex
	// wake has a buffer of one and signals that the next step may have changed.
	wake     chan struct{}
	wakeOnce sync.Once
}

// Run acquires and renews the lease until ctx ends, and then releases it.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.step(ctx)
	}
	r.mu.Lock()
	r.Leaser.SetPosition(time.Now(), NotCandidate)
	s := r.Leaser.Next(time.Now())
	r.mu.Unlock()
	if s.Action() == ActionRevoke {
		r.call(context.WithoutCancel(ctx), s)
	}
}

// SetPosition sets the position of this router among the candidates, from 0, or
// NotCandidate.
func (r *Runner) SetPosition(position int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Leaser.position == position && r.Leaser.started {
		return
	}
	r.Leaser.SetPosition(time.Now(), position)
	r.notify()
}

// Rejected handles the rejection of an order by an upstream that follows an order with
// the given fencing number.
func (r *Runner) Rejected(fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Leaser.Rejected(time.Now(), fence)
	r.notify()
}

// Holding returns the fencing number of the held lease and the time until which
// orders may be given, or ErrLeaseLost.
func (r *Runner) Holding() (fence int64, until time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Leaser.Holding(time.Now())
}

func (r *Runner) wakeChannel() chan struct{} {
	r.wakeOnce.Do(func() { r.wake = make(chan struct{}, 1) })
	return r.wake
}

func (r *Runner) notify() {
	select {
	case r.wakeChannel() <- struct{}{}:
	default:
	}
}

// step makes the next call, or waits until it is due.
func (r *Runner) step(ctx context.Context) {
	r.mu.Lock()
	s := r.Leaser.Next(time.Now())
	r.mu.Unlock()
	if s.Action() != ActionNone {
		r.call(ctx, s)
		return
	}
	timer := time.NewTimer(s.Wait())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.wakeChannel():
	case <-ctx.Done():
	}
}

// call makes the call of s and passes its result to the Leaser.
func (r *Runner) call(ctx context.Context, s Step) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l := r.Leaser
	sent := time.Now()
	var outcome func(now time.Time)
	switch s.Action() {
	case ActionGet:
		e, err := r.Store.Get(ctx, l.Key)
		outcome = func(now time.Time) { l.Got(now, e, err) }
	case ActionGrant:
		id, err := r.Store.Grant(ctx, l.TTL)
		outcome = func(now time.Time) { l.Granted(now, sent, id, err) }
	case ActionPut:
		revision, err := r.Store.Put(ctx, l.Key, s.Value(), kingcuphook.RevisionAbsent, s.Lease())
		outcome = func(now time.Time) { l.Written(now, revision, err) }
	case ActionKeepAlive:
		err := r.Store.KeepAlive(ctx, s.Lease())
		outcome = func(now time.Time) { l.KeptAlive(now, sent, err) }
	case ActionRevoke:
		err := r.Store.Revoke(ctx, s.Lease())
		outcome = func(now time.Time) { l.Revoked(now, err) }
	default:
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome(time.Now())
}
