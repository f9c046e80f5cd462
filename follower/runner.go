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

// runner is the state of Run. It is used by one goroutine.
type runner struct {
	f *Follower
	// watchLimiter limits the rate of watch calls.
	watchLimiter *rate.Limiter
	// watchAfter is the store revision after which the next watch starts; 0 means that the
	// head must be read first.
	watchAfter int64
	// nextRead is when a router that does not watch reads the head next.
	nextRead time.Time
	// failures counts the failed calls since the last successful one.
	failures int
}

// scheduleFirstRead sets a random time for the first read. On a watcher it also waits,
// for at most maxFirstWatcherDelay.
func (r *runner) scheduleFirstRead(ctx context.Context) {
	wait := time.Duration(r.f.Rand.Int64N(int64(maxFirstDelay)))
	r.nextRead = time.Now().Add(wait)
	if r.watches() {
		pauser.Pause(ctx, min(wait, maxFirstWatcherDelay))
	}
}

// step makes one read or watch of the head if it is due, applies the result, and
// returns how long to wait before the next step.
func (r *runner) step(ctx context.Context) time.Duration {
	watches := r.watches()
	if !watches {
		r.watchAfter = 0
		if wait := time.Until(r.nextRead); wait > 0 {
			return min(wait, checkInterval)
		}
	}
	if r.f.Budget != nil && r.f.Budget.Wait(ctx) != nil {
		return checkInterval
	}
	var err error
	if watches && r.watchAfter > 0 {
		err = r.watch(ctx)
	} else {
		err = r.read(ctx)
	}
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		return r.handleFailure(err, watches)
	}
	r.handleSuccess()
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

// read reads the head and applies its tables.
func (r *runner) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := r.f.Store.Get(ctx, encoder.HeadKey)
	if errors.Is(err, kingcuphook.ErrNotFound) {
		r.f.reportMissingHead()
		r.scheduleRead()
		r.watchAfter = 0
		return r.waitForHead(ctx)
	}
	if err != nil {
		return err
	}
	if err := r.f.applyHead(ctx, e); err != nil {
		return err
	}
	r.watchAfter = e.Revision()
	r.scheduleRead()
	return nil
}

// waitForHead waits before the next read of a store that has no head.
func (r *runner) waitForHead(ctx context.Context) error {
	pauser.Pause(ctx, checkInterval)
	return nil
}

// scheduleRead sets the next read of a router that does not watch. The random interval
// spreads the reads of all routers.
func (r *runner) scheduleRead() {
	spread := time.Duration(r.f.Rand.Int64N(int64(readInterval)))
	r.nextRead = time.Now().Add(readInterval/2 + spread)
}

// watch waits for changes of the head and applies them.
func (r *runner) watch(ctx context.Context) error {
	if err := r.watchLimiter.Wait(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	entries, revision, err := r.f.Store.Watch(ctx, encoder.HeadKey, r.watchAfter)
	if errors.Is(err, kingcuphook.ErrCompacted) {
		r.watchAfter = 0
		return nil
	}
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		r.watchAfter = max(revision, r.watchAfter)
		return nil
	}
	r.f.applyChanges(entries[:len(entries)-1])
	last := entries[len(entries)-1]
	if last.Deleted() {
		r.f.reportMissingHead()
		r.watchAfter = 0
		return r.waitForHead(ctx)
	}
	if err := r.f.applyHead(ctx, last); err != nil {
		r.watchAfter = 0
		return err
	}
	r.watchAfter = last.Revision()
	return nil
}

// handleFailure returns how long to wait after a failed call: an exponential delay with
// jitter. A router that does not watch and has tables keeps its usual interval.
func (r *runner) handleFailure(err error, watches bool) time.Duration {
	r.failures++
	r.f.reportStoreFailed(err)
	limit := maxWatcherBackoff
	if !watches {
		limit = maxNonWatcherBackoff
		if r.f.Current().Revision() > 0 {
			r.scheduleRead()
			return 0
		}
	}
	limit = min(limit, minBackoff<<min(r.failures, maxBackoffDoublings))
	return limit/2 + time.Duration(r.f.Rand.Int64N(int64(limit)/2))
}

// maxBackoffDoublings bounds the exponent of the retry delay.
const maxBackoffDoublings = 10

func (r *runner) handleSuccess() {
	r.failures = 0
	r.f.reportStoreRecovered()
}

// reportMissingHead reports a store that has no head although this router has tables, as after
// the loss of the store's data.
func (f *Follower) reportMissingHead() {
	if f.Current().Revision() > 0 {
		f.reportStaleStore(-1, 0)
	}
}

func (f *Follower) reportStoreFailed(err error) {
	if !f.storeFailing.CompareAndSwap(false, true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.emit(Event{Kind: EventStoreFailed, Source: sourceStore, Err: err})
}

func (f *Follower) reportStoreRecovered() {
	if !f.storeFailing.CompareAndSwap(true, false) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.emit(Event{Kind: EventStoreRecovered, Source: sourceStore})
}

// StoreFailing reports whether the last call to the store failed.
func (f *Follower) StoreFailing() bool { return f.storeFailing.Load() }
