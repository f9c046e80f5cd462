package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// callTimeout bounds each call to the store.
const callTimeout = 5 * time.Second

// Runner makes the calls that a Leaser asks for. Its exported fields are set
// before Run. Its methods are safe for concurrent use.
type Runner struct {
	// Store is the platform's key-value service; never nil.
	Store kingcuphook.Store
	// Leaser decides; never nil. It belongs to the Runner.
	Leaser *Leaser

	mu sync.Mutex
	// wake has room for one notice that the next step may have changed.
	wake     chan struct{}
	wakeOnce sync.Once
}

// Run takes and keeps the lease until ctx ends, then gives it back.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.step(ctx)
	}
	r.mu.Lock()
	r.Leaser.SetPosition(time.Now(), NoCandidate)
	s := r.Leaser.Next(time.Now())
	r.mu.Unlock()
	if s.Action() == ActionRevoke {
		r.call(context.WithoutCancel(ctx), s)
	}
}

// SetPosition takes the place of this router among the candidates.
func (r *Runner) SetPosition(position int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Leaser.position == position && r.Leaser.started {
		return
	}
	r.Leaser.SetPosition(time.Now(), position)
	r.notify()
}

// Refused takes a fencing number that an upstream holds against the holder's.
func (r *Runner) Refused(fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Leaser.Refused(time.Now(), fence)
	r.notify()
}

// Holding returns the fencing number and the end of the time in which orders
// may be given, or ErrLeaseLost.
func (r *Runner) Holding() (fence int64, until time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Leaser.Holding(time.Now())
}

func (r *Runner) wakes() chan struct{} {
	r.wakeOnce.Do(func() { r.wake = make(chan struct{}, 1) })
	return r.wake
}

func (r *Runner) notify() {
	select {
	case r.wakes() <- struct{}{}:
	default:
	}
}

// step makes one call or waits for the next.
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
	case <-r.wakes():
	case <-ctx.Done():
	}
}

// call makes the call of s and hands its outcome to the Leaser.
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
