// Package follower keeps the tables of a router up to date: it watches the store
// if the router is one of its data centre's watchers, reads it again now and then
// if not, takes what peers bring, and publishes what is in force.
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
	// checkInterval is how often a router looks whether it is a watcher.
	checkInterval = time.Second
	// rereadInterval is the mean time between the reads of a router that does not
	// watch.
	rereadInterval = 60 * time.Second
	// watchInterval is the least mean time between two watches, so that edits in
	// quick succession come together.
	watchInterval = 250 * time.Millisecond
	// firstWatcherRead and firstRead bound the random wait of a starting router,
	// in which peers may bring the tables, so that routers that start together
	// spread their reads.
	firstWatcherRead = 500 * time.Millisecond
	firstRead        = 10 * time.Second
	// watchBurst is how many watches may follow each other at once.
	watchBurst = 4
	// watchTimeout bounds a watch whose connection went silent.
	watchTimeout = 30 * time.Second
	// readTimeout bounds a load of the tables.
	readTimeout = 10 * time.Second
	// minBackOff and maxBackOff bound the wait of a watcher after a failed call.
	minBackOff = 100 * time.Millisecond
	maxBackOff = 2 * time.Second
	// maxIdleBackOff bounds the wait of a router that does not watch and has no
	// tables yet.
	maxIdleBackOff = 10 * time.Second
)

// EventKind says what happened to the tables of a router.
type EventKind string

// Values of EventKind.
const (
	// EventApplied says that a higher revision is in force.
	EventApplied EventKind = "tables-applied"
	// EventForked says that the revision now in force does not descend from the
	// one before.
	EventForked EventKind = "tables-forked"
	// EventStoreOlder says that the store holds a lower revision, or another state
	// of the same revision, and is not followed.
	EventStoreOlder EventKind = "tables-store-older"
	// EventRefused says that a value of the store or of a peer was refused.
	EventRefused EventKind = "tables-refused"
	// EventStoreFailed says that the store does not answer.
	EventStoreFailed EventKind = "tables-store-failed"
	// EventStoreBack says that the store answers again.
	EventStoreBack EventKind = "tables-store-back"
)

// Event is one thing that happened to the tables of a router.
type Event struct {
	// Kind is what happened.
	Kind EventKind
	// Source is "store", "edit" or what the peer was called in Offer.
	Source string
	// InForce is the revision in force afterwards.
	InForce int64
	// Seen is the revision that the event is about; 0 if there is none.
	Seen int64
	// Err is the cause of a refusal or failure; else nil.
	Err error
}

// Names of sources in events, beside those of peers.
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
	// Routers returns the routers that are thought to be alive; nil means that
	// there is no other.
	Routers func() []Router
	// Rand is the source of randomness; required. It is used by Run only.
	Rand *rand.Rand
	// Budget bounds the calls to the store; nil means no bound.
	Budget *rate.Limiter
	// OnEvent is told what happens, one event at a time; may be nil. It must not
	// call the follower.
	OnEvent func(Event)
	// IsWatcher reports whether this router watches the store; nil means that
	// Watches decides from Routers. It must not block.
	IsWatcher func() bool

	mu      sync.Mutex
	applier applier.Applier
	// warned is the store's revision of the last head that was reported as older.
	warned int64
	// current is what the applier has in force; nil means empty.
	current atomic.Pointer[differ.Snapshot]
	// storeFailing is set while the store does not answer.
	storeFailing atomic.Bool
}

// Current returns the state in force; never nil.
func (f *Follower) Current() *differ.Snapshot {
	if s := f.current.Load(); s != nil {
		return s
	}
	return differ.EmptySnapshot()
}

// Tables returns the tables in force; revision 0 means that there are none yet.
func (f *Follower) Tables() *kingcuphook.Tables { return f.Current().Tables() }

// Update returns what a peer at the given revision lacks, for its Offer; nil if
// nothing. Revision 0 asks for the whole.
func (f *Follower) Update(revision int64) ([]byte, error) {
	return encoder.EncodeUpdate(f.Current(), revision)
}

// Offer takes what a peer's Update returned. An error wraps ErrInvalid, or
// ErrConflict if the changes do not follow what is in force: the whole is to be
// asked for.
func (f *Follower) Offer(source string, data []byte) error {
	u, err := encoder.DecodeUpdate(source, data)
	if err != nil {
		f.refuse(source, err)
		return fmt.Errorf("follower: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.Whole != nil {
		return f.offerWhole(source, u.Whole)
	}
	verdict, err := f.applier.Advance(u.Changes)
	if err != nil {
		f.emit(Event{Kind: EventRefused, Source: source, Err: err})
		return fmt.Errorf("follower: %w", err)
	}
	f.publish(source, verdict, 0)
	if verdict == applier.VerdictGap {
		return fmt.Errorf("follower: the changes of %s do not follow revision %d: %w",
			source, f.applier.InForce().Revision(), kingcuphook.ErrConflict)
	}
	return nil
}

// Accept takes the state that an edit made through this router.
func (f *Follower) Accept(s *differ.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(sourceEdit, f.applier.Offer(s), s.Revision())
}

// offerWhole takes the whole state of a peer; mu is held.
func (f *Follower) offerWhole(source string, s *differ.Snapshot) error {
	if s.Revision() <= f.applier.InForce().Revision() {
		return nil
	}
	if err := loader.Validate(s.Tables()); err != nil {
		f.emit(Event{Kind: EventRefused, Source: source, Seen: s.Revision(), Err: err})
		return fmt.Errorf("follower: %w", err)
	}
	f.publish(source, f.applier.Offer(s), s.Revision())
	return nil
}

// publish makes known what the applier has in force; mu is held.
func (f *Follower) publish(source string, v applier.Verdict, seen int64) {
	s := f.applier.InForce()
	switch v {
	case applier.VerdictApplied:
		f.current.Store(s)
		f.emit(Event{Kind: EventApplied, Source: source, Seen: s.Revision()})
	case applier.VerdictForked:
		f.current.Store(s)
		f.emit(Event{Kind: EventForked, Source: source, Seen: s.Revision()})
	case applier.VerdictOlder:
		if source == sourceStore {
			f.emit(Event{Kind: EventStoreOlder, Source: source, Seen: seen})
		}
	}
}

// emit reports an event; mu is held.
func (f *Follower) emit(e Event) {
	e.InForce = f.applier.InForce().Revision()
	if f.OnEvent != nil {
		f.OnEvent(e)
	}
}

func (f *Follower) refuse(source string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.emit(Event{Kind: EventRefused, Source: source, Err: err})
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	r := runner{f: f, pace: rate.NewLimiter(rate.Every(watchInterval), watchBurst)}
	r.start(ctx)
	for ctx.Err() == nil {
		pause := r.step(ctx)
		pauser.Pause(ctx, pause)
	}
}

// take takes the entry of the head that was read from the store.
func (f *Follower) take(ctx context.Context, e kingcuphook.Entry) error {
	h, err := encoder.DecodeHead(e.Value())
	if err != nil {
		f.refuse(sourceStore, err)
		return nil
	}
	now := f.Current()
	if h.Revision < now.Revision() || h.Revision == now.Revision() && h.Lineage != now.Lineage() {
		f.older(e.Revision(), h.Revision)
		return nil
	}
	if h.Revision == now.Revision() {
		return nil
	}
	l := loader.Loader{Store: f.Store}
	s, err := l.Complete(ctx, e, now)
	if errors.Is(err, kingcuphook.ErrInvalid) {
		f.refuse(sourceStore, err)
		return nil
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(sourceStore, f.applier.Offer(s.Snapshot), s.Snapshot.Revision())
	return nil
}

// advance takes the changes of heads that a newer one has replaced, so that
// nothing has to be read for a gap. What does not fit is left to the newest.
func (f *Follower) advance(entries []kingcuphook.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		h, err := encoder.DecodeHead(e.Value())
		if err != nil {
			continue
		}
		if v, err := f.applier.Advance(h.Changes); err == nil && v == applier.VerdictApplied {
			f.publish(sourceStore, v, h.Revision)
		}
	}
}

// older reports a head that is older than what is in force, once.
func (f *Follower) older(storeRevision, seen int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.warned == storeRevision || seen >= f.applier.InForce().Revision()+1 {
		return
	}
	f.warned = storeRevision
	f.publish(sourceStore, applier.VerdictOlder, seen)
}
