package leaser

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

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

// Release gives up the lease if one was granted.
func (r *Runner) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Leaser.Release(time.Now())
	r.notify()
}

// Holder returns the address of the holder and its fencing number, as this candidate last
// read them from the key; empty if the key was absent or was not read.
func (r *Runner) Holder() (address string, fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Leaser.Holder()
}

// Owns reads the key and reports whether it is that of the lease that this router holds.
func (r *Runner) Owns(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout())
	defer cancel()
	e, err := r.Store.Get(ctx, r.Leaser.Key)
	if errors.Is(err, kingcuphook.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("leaser: read the key of the lease: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Leaser.held && r.Leaser.owns(e), nil
}

// callTimeout returns the bound of a call to the store. The TTL is set by the first step.
func (r *Runner) callTimeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Leaser.scaled(callTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout())
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
	case ActionProbe:
		err := r.Store.KeepAlive(ctx, s.Lease())
		outcome = func(now time.Time) { l.Probed(now, err) }
	case ActionDelete:
		err := r.Store.Delete(ctx, l.Key, s.Revision())
		outcome = func(now time.Time) { l.Deleted(now, err) }
	default:
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome(time.Now())
}
