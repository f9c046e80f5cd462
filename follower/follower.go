// Package follower keeps a router's copy of the tables that operators edit up to date.
// It watches the head of the tables in the store if the router is one of the watchers of
// its data centre, and otherwise reads it at long intervals. It also applies updates
// from peers. Package applier decides which revision becomes the current one.
package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/applier"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/loader"
	"github.com/kingcuphook/kingcuphook/pauser"
)

const (
	// checkInterval is how often a router checks whether it is a watcher.
	checkInterval = time.Second
	// readInterval is the mean time between two reads of the store by a router
	// that does not watch it.
	readInterval = 60 * time.Second
	// minWatchInterval is the shortest mean time between two watch calls, so that one
	// call returns several edits that follow each other quickly.
	minWatchInterval = 250 * time.Millisecond
	// maxFirstWatcherDelay and maxFirstDelay bound the random delay before the first read
	// of a watcher and of another router. The delay spreads the reads of routers that
	// start at the same time and lets peers deliver the tables before.
	maxFirstWatcherDelay = 500 * time.Millisecond
	maxFirstDelay        = 10 * time.Second
	// watchBurst is how many watch calls may follow each other without a delay.
	watchBurst = 4
	// watchTimeout ends a watch call whose connection is unresponsive.
	watchTimeout = 30 * time.Second
	// readTimeout bounds one read of the head and of the tables that it refers to.
	readTimeout = 10 * time.Second
	// minBackoff and maxWatcherBackoff bound the retry delay of a watcher.
	minBackoff        = 100 * time.Millisecond
	maxWatcherBackoff = 2 * time.Second
	// maxNonWatcherBackoff bounds the retry delay of a router that does not watch and has
	// no tables yet.
	maxNonWatcherBackoff = 10 * time.Second
)

// EventKind is the kind of an Event.
type EventKind string

// Values of EventKind.
const (
	// EventApplied reports that a higher revision was applied.
	EventApplied EventKind = "tables-applied"
	// EventForked reports that a higher revision was applied that does not descend
	// from the previous one.
	EventForked EventKind = "tables-forked"
	// EventStoreOlder reports that the store holds a lower revision than the current
	// one, or another state of the same revision. It is not applied.
	EventStoreOlder EventKind = "tables-store-older"
	// EventRejected reports that a value from the store or from a peer is invalid and
	// was rejected.
	EventRejected EventKind = "tables-refused"
	// EventStoreFailed reports the first failed call to the store after a successful
	// one.
	EventStoreFailed EventKind = "tables-store-failed"
	// EventStoreRecovered reports the first successful call to the store after a failed
	// one.
	EventStoreRecovered EventKind = "tables-store-back"
)

// Event reports a change or a failure of the tables of a router.
type Event struct {
	Kind EventKind
	// Source is "store", "edit" or the source that was passed to ApplyUpdate.
	Source string
	// CurrentRevision is the current revision after the event.
	CurrentRevision int64
	// ReceivedRevision is the revision that was received; 0 if there is none.
	ReceivedRevision int64
	// Err is the cause of EventRejected and EventStoreFailed; otherwise nil.
	Err error
}

// Sources of events other than peers.
const (
	sourceStore = "store"
	sourceEdit  = "edit"
)

// Follower keeps the tables of one router up to date. Its fields are set before
// first use. All methods are safe for concurrent use; Current takes no lock.
type Follower struct {
	// Store is the platform's key-value service.
	Store kingcuphook.Store
	// Self is this router.
	Self Router
	// Routers returns the routers that are presumed to be alive. It is used if
	// IsWatcher is nil; if both are nil, the router watches the store.
	Routers func() []Router
	// Rand is the source of randomness; never nil. Only Run uses it.
	Rand *rand.Rand
	// Budget limits the rate of calls to the store; nil means no limit.
	Budget *rate.Limiter
	// OnEvent receives the events, one at a time; may be nil. It must not call the
	// follower.
	OnEvent func(Event)
	// IsWatcher reports whether this router watches the store; nil means that
	// Watches decides from Routers. It must not block.
	IsWatcher func() bool

	mu      sync.Mutex
	applier applier.Applier
	// reportedRevision is the store revision of the last head that was reported as older than
	// the current one; -1 if the head was missing.
	reportedRevision int64
	// current is a copy of the applier's snapshot that is read without the lock; nil
	// means empty.
	current atomic.Pointer[differ.Snapshot]
	// storeFailing is true if the last call to the store failed.
	storeFailing atomic.Bool
}

// Current returns the current snapshot; never nil.
func (f *Follower) Current() *differ.Snapshot {
	if s := f.current.Load(); s != nil {
		return s
	}
	return differ.EmptySnapshot()
}

// Tables returns the current tables, which have revision 0 until some are loaded.
func (f *Follower) Tables() *kingcuphook.Tables { return f.Current().Tables() }

// Update returns the encoded update that brings a peer from the given revision to
// the current one, for the peer's ApplyUpdate; nil if there is nothing newer. For revision
// 0 it is a complete snapshot.
func (f *Follower) Update(revision int64) ([]byte, error) {
	return encoder.EncodeUpdate(f.Current(), revision)
}

// ApplyUpdate applies the update that a peer's Update returned, if it is newer. An error
// wraps ErrInvalid, or ErrConflict if the changes do not continue the current
// revision. After ErrConflict, the caller asks the peer for a complete snapshot.
func (f *Follower) ApplyUpdate(source string, data []byte) error {
	u, err := encoder.DecodeUpdate(source, data)
	if err != nil {
		f.reportRejected(source, err)
		return fmt.Errorf("follower: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.Whole != nil {
		return f.applySnapshot(source, u.Whole)
	}
	outcome, err := f.applier.ApplyChanges(u.Changes)
	if err != nil {
		f.emit(Event{Kind: EventRejected, Source: source, Err: err})
		return fmt.Errorf("follower: %w", err)
	}
	f.publish(source, outcome, 0)
	if outcome == applier.OutcomeGap {
		return fmt.Errorf("follower: changes from %s do not continue revision %d: %w",
			source, f.applier.Current().Revision(), kingcuphook.ErrConflict)
	}
	return nil
}

// ApplyEdit applies the snapshot that an edit through this router has stored.
func (f *Follower) ApplyEdit(s *differ.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(sourceEdit, f.applier.ApplySnapshot(s), s.Revision())
}

// applySnapshot applies the complete snapshot of a peer; mu is held.
func (f *Follower) applySnapshot(source string, s *differ.Snapshot) error {
	if s.Revision() <= f.applier.Current().Revision() {
		return nil
	}
	if err := loader.Validate(s.Tables()); err != nil {
		f.emit(Event{Kind: EventRejected, Source: source, ReceivedRevision: s.Revision(), Err: err})
		return fmt.Errorf("follower: %w", err)
	}
	f.publish(source, f.applier.ApplySnapshot(s), s.Revision())
	return nil
}

// publish makes the applier's snapshot the current one after the applier returned
// v, and reports the event; mu is held.
func (f *Follower) publish(source string, v applier.Outcome, seen int64) {
	s := f.applier.Current()
	switch v {
	case applier.OutcomeApplied:
		f.current.Store(s)
		f.emit(Event{Kind: EventApplied, Source: source, ReceivedRevision: s.Revision()})
	case applier.OutcomeForked:
		f.current.Store(s)
		f.emit(Event{Kind: EventForked, Source: source, ReceivedRevision: s.Revision()})
	case applier.OutcomeOlder:
		if source == sourceStore {
			f.emit(Event{Kind: EventStoreOlder, Source: source, ReceivedRevision: seen})
		}
	}
}

// emit adds the current revision to an event and reports it; mu is held.
func (f *Follower) emit(e Event) {
	e.CurrentRevision = f.applier.Current().Revision()
	if f.OnEvent != nil {
		f.OnEvent(e)
	}
}

func (f *Follower) reportRejected(source string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.emit(Event{Kind: EventRejected, Source: source, Err: err})
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	r := runner{f: f, watchLimiter: rate.NewLimiter(rate.Every(minWatchInterval), watchBurst)}
	r.scheduleFirstRead(ctx)
	for ctx.Err() == nil {
		pause := r.step(ctx)
		pauser.Pause(ctx, pause)
	}
}

// applyHead loads and applies the tables of a head that was read from the store. It
// returns only errors of the store: invalid values are reported and skipped.
func (f *Follower) applyHead(ctx context.Context, e kingcuphook.Entry) error {
	h, err := encoder.DecodeHead(e.Value())
	if err != nil {
		f.reportRejected(sourceStore, err)
		return nil
	}
	now := f.Current()
	if h.Revision < now.Revision() || h.Revision == now.Revision() && h.Lineage != now.Lineage() {
		f.reportStaleStore(e.Revision(), h.Revision)
		return nil
	}
	if h.Revision == now.Revision() {
		return nil
	}
	l := loader.Loader{Store: f.Store}
	s, err := l.Complete(ctx, e, now)
	if errors.Is(err, kingcuphook.ErrInvalid) {
		f.reportRejected(sourceStore, err)
		return nil
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(sourceStore, f.applier.ApplySnapshot(s.Snapshot), s.Snapshot.Revision())
	return nil
}

// applyChanges applies the changes in heads that a newer head has already replaced, so
// that the newer one continues the current revision without further reads of the
// store. Changes that can't be applied are skipped: the newest head covers them.
func (f *Follower) applyChanges(entries []kingcuphook.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		h, err := encoder.DecodeHead(e.Value())
		if err != nil {
			continue
		}
		if v, err := f.applier.ApplyChanges(h.Changes); err == nil && v == applier.OutcomeApplied {
			f.publish(sourceStore, v, h.Revision)
		}
	}
}

// reportStaleStore reports a head that is older than the current revision, once for each
// revision of the store.
func (f *Follower) reportStaleStore(storeRevision, seen int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reportedRevision == storeRevision || seen >= f.applier.Current().Revision()+1 {
		return
	}
	f.reportedRevision = storeRevision
	f.publish(sourceStore, applier.OutcomeOlder, seen)
}
