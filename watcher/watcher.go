// Package watcher reads all keys of the store with a prefix, watches them for changes
// and passes the entries on without decoding them. If a watch fails or the store has
// compacted the revision at which it starts, all keys are read again.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// EventKind is the kind of an Event.
type EventKind string

// Values of EventKind.
const (
	// EventSnapshot has all entries with the prefix.
	EventSnapshot EventKind = "snapshot"
	// EventChanges has the entries that changed; none if a watch ended without a
	// change.
	EventChanges EventKind = "changes"
	// EventUnavailable reports that a read or a watch failed. It is repeated with each
	// failed retry.
	EventUnavailable EventKind = "lost"
)

// Event reports entries of the store, or that it is unavailable.
type Event struct {
	Kind EventKind
	// Prefix is the prefix of the Watcher.
	Prefix string
	// Entries are the entries, changed ones in the order of their changes.
	Entries []kingcuphook.Entry
	// Revision is the store revision up to which the entries are complete.
	Revision int64
	// CurrentAt is when the store certainly had no later revision, or later: when the call was
	// sent, or when a watch without a change was due. The reply may have arrived much later.
	// It is zero for EventUnavailable.
	CurrentAt time.Time
	// Err is the error of the failed call; nil unless Kind is EventUnavailable.
	Err error
}

const (
	// minRetryDelay is the first retry delay after a failed call, which doubles with each
	// further failure up to defaultMaxRetryDelay.
	minRetryDelay        = 150 * time.Millisecond
	defaultMaxRetryDelay = 1200 * time.Millisecond
)

// Watcher follows one prefix. Its fields are set before Run.
type Watcher struct {
	// Store holds the keys; never nil.
	Store kingcuphook.RevisionLister
	// Prefix is the prefix of the keys.
	Prefix string
	// OnEvent receives the events, one at a time; never nil.
	OnEvent func(Event)
	// WatchWait returns how long the store may hold the next watch call without a change,
	// if the store supports it; nil means the store's default.
	WatchWait func() time.Duration
	// BatchDelay returns the delay between a change and the next watch call, which then
	// returns all changes made during the delay. Nil means no delay.
	BatchDelay func() time.Duration
	// MaxRetryDelay returns the upper bound of the retry delay; nil means 1.2 s.
	MaxRetryDelay func() time.Duration
	// After is the revision after which the first watch starts if the receiver of the
	// events already has the entries up to it. With 0, the entries are read first.
	After int64
}

// Run follows the prefix until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	delay, after := minRetryDelay, w.After
	for ctx.Err() == nil {
		followed, err := w.follow(ctx, after)
		after = 0
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, kingcuphook.ErrCompacted) {
			continue
		}
		w.OnEvent(Event{Kind: EventUnavailable, Prefix: w.Prefix, Err: err})
		if followed {
			delay = minRetryDelay
		}
		pauser.Pause(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, w.maxRetryDelay())
	}
}

func (w *Watcher) maxRetryDelay() time.Duration {
	if w.MaxRetryDelay == nil {
		return defaultMaxRetryDelay
	}
	return w.MaxRetryDelay()
}

// follow reads the entries, unless the receiver has them up to the known revision, and
// watches for changes until a call fails. It reports whether any call succeeded.
func (w *Watcher) follow(ctx context.Context, known int64) (bool, error) {
	followed, revision := false, known
	if known == 0 {
		sent := time.Now()
		entries, at, err := w.Store.ListAt(ctx, w.Prefix)
		if err != nil {
			return false, err
		}
		followed, revision = true, at
		w.OnEvent(Event{Kind: EventSnapshot, Prefix: w.Prefix, Entries: entries, Revision: revision, CurrentAt: sent})
	}
	for {
		entries, next, currentAt, err := w.watch(ctx, revision)
		if err != nil {
			return followed, err
		}
		followed, revision = true, next
		w.OnEvent(Event{Kind: EventChanges, Prefix: w.Prefix, Entries: entries, Revision: revision, CurrentAt: currentAt})
		if len(entries) > 0 && w.BatchDelay != nil {
			pauser.Pause(ctx, w.BatchDelay())
		}
	}
}

// watch watches for changes. It also returns since when, at the latest, the store has had no
// revision after the one returned.
func (w *Watcher) watch(ctx context.Context, after int64) (entries []kingcuphook.Entry, next int64, currentAt time.Time, err error) {
	sent := time.Now()
	s, ok := w.Store.(kingcuphook.WaitWatcher)
	if !ok || w.WatchWait == nil {
		entries, next, err = w.Store.Watch(ctx, w.Prefix, after)
		return entries, next, sent, err
	}
	wait := w.WatchWait()
	entries, next, err = s.WatchFor(ctx, w.Prefix, after, wait)
	if due := sent.Add(wait); len(entries) == 0 && !time.Now().Before(due) {
		return entries, next, due, err
	}
	return entries, next, sent, err
}
