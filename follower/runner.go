package follower

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// runner is the state of Run. It belongs to one goroutine.
type runner struct {
	f *Follower
	// pace spreads the watches.
	pace *rate.Limiter
	// after is the store's revision up to which changes were seen; 0 means that
	// the head must be read.
	after int64
	// nextRead is when a router that does not watch reads again.
	nextRead time.Time
	// failures counts the failed calls since the last good one.
	failures int
}

// start waits before the first read.
func (r *runner) start(ctx context.Context) {
	wait := time.Duration(r.f.Rand.Int64N(int64(firstRead)))
	r.nextRead = time.Now().Add(wait)
	if r.watches() {
		pauser.Pause(ctx, min(wait, firstWatcherRead))
	}
}

// step makes at most one call and returns how long to wait before the next.
func (r *runner) step(ctx context.Context) time.Duration {
	watches := r.watches()
	if !watches {
		r.after = 0
		if wait := time.Until(r.nextRead); wait > 0 {
			return min(wait, checkInterval)
		}
	}
	if r.f.Budget != nil && r.f.Budget.Wait(ctx) != nil {
		return checkInterval
	}
	var err error
	if watches && r.after > 0 {
		err = r.watch(ctx)
	} else {
		err = r.read(ctx)
	}
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		return r.failed(err, watches)
	}
	r.succeeded()
	return 0
}

func (r *runner) watches() bool {
	if r.f.IsWatcher != nil {
		return r.f.IsWatcher()
	}
	if r.f.Routers == nil {
		return true
	}
	return Watches(r.f.Self, r.f.Routers())
}

// read reads the head.
func (r *runner) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := r.f.Store.Get(ctx, encoder.HeadKey)
	if errors.Is(err, kingcuphook.ErrNotFound) {
		r.f.missing()
		r.schedule()
		r.after = 0
		return r.idle(ctx)
	}
	if err != nil {
		return err
	}
	if err := r.f.take(ctx, e); err != nil {
		return err
	}
	r.after = e.Revision()
	r.schedule()
	return nil
}

// idle waits where there is no head to watch from yet.
func (r *runner) idle(ctx context.Context) error {
	pauser.Pause(ctx, checkInterval)
	return nil
}

// schedule sets when a router that does not watch reads again: at a random time
// around the interval, so that routers spread.
func (r *runner) schedule() {
	spread := time.Duration(r.f.Rand.Int64N(int64(rereadInterval)))
	r.nextRead = time.Now().Add(rereadInterval/2 + spread)
}

// watch waits for changes of the head.
func (r *runner) watch(ctx context.Context) error {
	if err := r.pace.Wait(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	entries, revision, err := r.f.Store.Watch(ctx, encoder.HeadKey, r.after)
	if errors.Is(err, kingcuphook.ErrCompacted) {
		r.after = 0
		return nil
	}
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		r.after = max(revision, r.after)
		return nil
	}
	r.f.advance(entries[:len(entries)-1])
	last := entries[len(entries)-1]
	if last.Deleted() {
		r.f.missing()
		r.after = 0
		return r.idle(ctx)
	}
	if err := r.f.take(ctx, last); err != nil {
		r.after = 0
		return err
	}
	r.after = last.Revision()
	return nil
}

// failed returns how long to wait after a failed call: an exponential delay with
// jitter. A router that does not watch and has tables reads at its usual pace.
func (r *runner) failed(err error, watches bool) time.Duration {
	r.failures++
	r.f.storeFailed(err)
	limit := maxBackOff
	if !watches {
		limit = maxIdleBackOff
		if r.f.Current().Revision() > 0 {
			r.schedule()
			return 0
		}
	}
	limit = min(limit, minBackOff<<min(r.failures, maxBackOffDoublings))
	return limit/2 + time.Duration(r.f.Rand.Int64N(int64(limit)/2))
}

// maxBackOffDoublings bounds the exponent of the delay.
const maxBackOffDoublings = 10

func (r *runner) succeeded() {
	r.failures = 0
	r.f.storeBack()
}

// missing reports a store without a head while tables are in force.
func (f *Follower) missing() {
	if f.Current().Revision() > 0 {
		f.older(-1, 0)
	}
}

func (f *Follower) storeFailed(err error) {
	if !f.storeFailing.CompareAndSwap(false, true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.emit(Event{Kind: EventStoreFailed, Source: sourceStore, Err: err})
}

func (f *Follower) storeBack() {
	if !f.storeFailing.CompareAndSwap(true, false) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.emit(Event{Kind: EventStoreBack, Source: sourceStore})
}

// StoreFailing reports whether the last call to the store failed.
func (f *Follower) StoreFailing() bool { return f.storeFailing.Load() }
