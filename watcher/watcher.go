// Package watcher follows the keys of the store under a prefix: it reads them
// whole, then watches for changes, and reads them whole again whenever the watch
// fails or the store has forgotten what came after the last change.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// EventKind says what a Watcher tells.
type EventKind string

// Values of EventKind.
const (
	// EventSnapshot has every entry under the prefix.
	EventSnapshot EventKind = "snapshot"
	// EventChanges has entries that changed.
	EventChanges EventKind = "changes"
	// EventLost says that the store can't be followed at the moment.
	EventLost EventKind = "lost"
)

// Event is what a Watcher tells.
type Event struct {
	// Kind says what it is.
	Kind EventKind
	// Prefix is that of the Watcher.
	Prefix string
	// Entries are in the order in which they changed.
	Entries []kingcuphook.Entry
	// Revision is the revision of the store up to which the entries are complete.
	Revision int64
	// Err is why the store can't be followed; nil but for EventLost.
	Err error
}

const (
	// retryLeast and defaultRetryMost bound the wait after a failed call; it doubles
	// with each one.
	retryLeast       = 150 * time.Millisecond
	defaultRetryMost = 1200 * time.Millisecond
)

// Watcher follows one prefix. Its fields are set before Run.
type Watcher struct {
	// Store holds the keys; never nil.
	Store kingcuphook.RevisionLister
	// Prefix starts the keys.
	Prefix string
	// OnEvent takes the events, one at a time; never nil.
	OnEvent func(Event)
	// Wait returns how long the store may hold the next watch; nil leaves it to
	// the store.
	Wait func() time.Duration
	// Rest returns the pause after a change: what changes meanwhile comes with one
	// call. Nil means none.
	Rest func() time.Duration
	// RetryMost returns the longest wait after a failed call; nil means 1.2 s.
	RetryMost func() time.Duration
	// After is the revision from which on the first watch begins, without reading
	// the prefix; 0 means that nothing is known yet.
	After int64
}

// Run follows the prefix until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	wait, after := retryLeast, w.After
	for ctx.Err() == nil {
		followed, err := w.follow(ctx, after)
		after = 0
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, kingcuphook.ErrCompacted) {
			continue
		}
		w.OnEvent(Event{Kind: EventLost, Prefix: w.Prefix, Err: err})
		if followed {
			wait = retryLeast
		}
		pauser.Pause(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, w.retryMost())
	}
}

func (w *Watcher) retryMost() time.Duration {
	if w.RetryMost == nil {
		return defaultRetryMost
	}
	return w.RetryMost()
}

// follow reads the prefix, unless what stands there is known up to a revision, and
// then its changes until a call fails. It reports whether any call succeeded.
func (w *Watcher) follow(ctx context.Context, known int64) (bool, error) {
	followed, revision := false, known
	if known == 0 {
		entries, at, err := w.Store.ListAt(ctx, w.Prefix)
		if err != nil {
			return false, err
		}
		followed, revision = true, at
		w.OnEvent(Event{Kind: EventSnapshot, Prefix: w.Prefix, Entries: entries, Revision: revision})
	}
	for {
		entries, next, err := w.watch(ctx, revision)
		if err != nil {
			return followed, err
		}
		followed, revision = true, next
		w.OnEvent(Event{Kind: EventChanges, Prefix: w.Prefix, Entries: entries, Revision: revision})
		if len(entries) > 0 && w.Rest != nil {
			pauser.Pause(ctx, w.Rest())
		}
	}
}

func (w *Watcher) watch(ctx context.Context, after int64) ([]kingcuphook.Entry, int64, error) {
	s, ok := w.Store.(kingcuphook.WaitWatcher)
	if !ok || w.Wait == nil {
		return w.Store.Watch(ctx, w.Prefix, after)
	}
	return s.WatchFor(ctx, w.Prefix, after, w.Wait())
}
