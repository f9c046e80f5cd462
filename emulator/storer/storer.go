// Package storer emulates the platform of package connector in memory, that is its
// key-value store and its list of VMs, and injects faults. It is used by tests, by
// package platform/standin and by the stand-in and try commands, never by a router.
package storer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
)

// Names of the operations, as passed to Store.Hook and as in kingcuphook.StoreError.
const (
	OpGet       = "get"
	OpList      = "list"
	OpPut       = "put"
	OpDelete    = "delete"
	OpWatch     = "watch"
	OpGrant     = "grant"
	OpKeepAlive = "keep-alive"
	OpRevoke    = "revoke"
	OpVMs       = "vms"
)

const (
	defaultWatchWait = 10 * time.Second
	defaultHistory   = 10_000
)

// Fault is the fault of a call. The zero value is no fault.
type Fault struct {
	// Delay is the time before the call takes effect.
	Delay time.Duration
	// Down fails the call with ErrUnavailable before it takes effect.
	Down bool
	// LoseRequest fails the call with ErrOutcomeUnknown before it takes effect.
	LoseRequest bool
	// LoseReply fails the call with ErrOutcomeUnknown after it took effect.
	LoseReply bool
}

// Counts holds the numbers of calls so far. Calls that a fault stopped before they
// took effect are not counted.
type Counts struct {
	// Reads counts get, list and vms calls, Watches watch calls and Writes all others.
	Reads, Writes, Watches int
	// RateLimited counts the calls rejected by ReadRate or WriteRate, which the other
	// fields include.
	RateLimited int
}

// Store is an in-memory key-value store with leases and watches. The zero value is ready
// for use. It is safe for concurrent use.
type Store struct {
	// Hook, if set, returns the fault of each call; a zero Fault selects that of
	// SetFault. It must be set before the first call and be safe for concurrent use.
	Hook func(op, key string) Fault
	// WatchWait is how long a watch waits for a change; 0 means 10 s.
	WatchWait time.Duration
	// History is the number of changes kept for watches; 0 means 10,000.
	History int
	// ReadRate and WriteRate limit the rate of calls; nil means no limit. A watch
	// counts as a read.
	ReadRate, WriteRate *rate.Limiter

	mu sync.Mutex
	// revision rises by one with every change. Only Restore can lower it.
	revision int64
	entries  map[string]record
	// log holds the latest changes in ascending order of revision.
	log []kingcuphook.Entry
	// compacted is the highest revision whose change log no longer holds.
	compacted int64
	leases    map[kingcuphook.LeaseID]*lease
	nextLease kingcuphook.LeaseID
	// changed is closed and replaced at every change, to wake watches.
	changed chan struct{}
	counts  Counts
	vms     []kingcuphook.VM
	fault   Fault
}

// record is an entry with the lease that it depends on; 0 means none.
type record struct {
	entry kingcuphook.Entry
	lease kingcuphook.LeaseID
}

type lease struct {
	ttl time.Duration
	// ends is when the lease expires.
	ends time.Time
}

// Snapshot is a copy of the entries and the revision of a store.
type Snapshot struct {
	revision int64
	entries  map[string]record
}

var (
	_ kingcuphook.Store    = (*Store)(nil)
	_ kingcuphook.VMLister = (*Store)(nil)
)

// SetFault sets the fault of all calls for which Hook returns none.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(vms []kingcuphook.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.Clone(vms)
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot returns a copy of the entries and the revision.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{revision: s.revision, entries: maps.Clone(s.entries)}
}

// Restore resets the store to an older snapshot, as a platform does after a loss of data.
// Watches from earlier revisions, and from later ones that the store has not reached
// again, fail with ErrCompacted.
func (s *Store) Restore(snap Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = snap.revision
	s.entries = maps.Clone(snap.entries)
	s.log = nil
	s.compacted = snap.revision
	s.wake()
}

// Compact discards the history of changes: watches from older revisions fail with
// ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = nil
	s.compacted = s.revision
}

// Get implements kingcuphook.Store.
func (s *Store) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	var e kingcuphook.Entry
	err := s.call(ctx, OpGet, key, func() error {
		r, ok := s.entries[key]
		if !ok {
			return kingcuphook.ErrNotFound
		}
		e = r.entry
		return nil
	})
	if err != nil {
		return kingcuphook.Entry{}, err
	}
	return e, nil
}

// List implements kingcuphook.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kingcuphook.Entry, error) {
	var entries []kingcuphook.Entry
	err := s.call(ctx, OpList, prefix, func() error {
		for key, r := range s.entries {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, r.entry)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(entries, func(a, b kingcuphook.Entry) int { return strings.Compare(a.Key(), b.Key()) })
	return entries, nil
}

// ListAt implements kingcuphook.RevisionLister.
func (s *Store) ListAt(ctx context.Context, prefix string) ([]kingcuphook.Entry, int64, error) {
	s.mu.Lock()
	revision := s.revision
	s.mu.Unlock()
	// Changes made between the two steps are in the list, and a watch from the revision
	// reports them again.
	entries, err := s.List(ctx, prefix)
	return entries, revision, err
}

// Put implements kingcuphook.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect int64, id kingcuphook.LeaseID) (int64, error) {
	var revision int64
	err := s.call(ctx, OpPut, key, func() error {
		if len(value) > kingcuphook.MaxValueBytes {
			return kingcuphook.ErrTooLarge
		}
		if err := s.expect(key, expect); err != nil {
			return err
		}
		if _, ok := s.leases[id]; id != 0 && !ok {
			return kingcuphook.ErrLeaseLost
		}
		s.revision++
		revision = s.revision
		e := kingcuphook.NewEntry(key, slices.Clone(value), revision, false)
		if s.entries == nil {
			s.entries = make(map[string]record)
		}
		s.entries[key] = record{entry: e, lease: id}
		s.append(e)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete implements kingcuphook.Store.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	return s.call(ctx, OpDelete, key, func() error {
		if _, ok := s.entries[key]; !ok {
			return kingcuphook.ErrNotFound
		}
		if err := s.expect(key, expect); err != nil {
			return err
		}
		s.remove(key)
		return nil
	})
}

// Watch implements kingcuphook.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) ([]kingcuphook.Entry, int64, error) {
	wait := s.WatchWait
	if wait == 0 {
		wait = defaultWatchWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	err := s.call(ctx, OpWatch, prefix, func() error { return nil })
	if err != nil {
		return nil, 0, err
	}
	for {
		entries, revision, changed, err := s.changes(prefix, after)
		if err != nil {
			return nil, 0, &kingcuphook.StoreError{Op: OpWatch, Key: prefix, Err: err}
		}
		if len(entries) > 0 {
			return entries, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, &kingcuphook.StoreError{Op: OpWatch, Key: prefix, Err: ctx.Err()}
		}
	}
}

// Grant implements kingcuphook.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kingcuphook.LeaseID, error) {
	var id kingcuphook.LeaseID
	err := s.call(ctx, OpGrant, "", func() error {
		s.nextLease++
		id = s.nextLease
		if s.leases == nil {
			s.leases = make(map[kingcuphook.LeaseID]*lease)
		}
		s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// KeepAlive implements kingcuphook.Store.
func (s *Store) KeepAlive(ctx context.Context, id kingcuphook.LeaseID) error {
	return s.call(ctx, OpKeepAlive, "", func() error {
		l, ok := s.leases[id]
		if !ok {
			return kingcuphook.ErrLeaseLost
		}
		l.ends = time.Now().Add(l.ttl)
		return nil
	})
}

// Revoke implements kingcuphook.Store.
func (s *Store) Revoke(ctx context.Context, id kingcuphook.LeaseID) error {
	return s.call(ctx, OpRevoke, "", func() error {
		s.end(id)
		return nil
	})
}

// VMs implements kingcuphook.VMLister.
func (s *Store) VMs(ctx context.Context) ([]kingcuphook.VM, error) {
	var vms []kingcuphook.VM
	err := s.call(ctx, OpVMs, "", func() error {
		vms = slices.Clone(s.vms)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return vms, nil
}

// call counts a call, applies its fault and calls f with mu held.
func (s *Store) call(ctx context.Context, op, key string, f func() error) error {
	fault := s.faultOf(op, key)
	if fault.Delay > 0 {
		if err := sleep(ctx, fault.Delay); err != nil {
			return &kingcuphook.StoreError{Op: op, Key: key, Err: kingcuphook.ErrOutcomeUnknown}
		}
	}
	err := s.run(op, fault, f)
	if err == nil && fault.LoseReply {
		err = kingcuphook.ErrOutcomeUnknown
	}
	if err != nil {
		return &kingcuphook.StoreError{Op: op, Key: key, Err: err}
	}
	return nil
}

// faultOf returns the fault of a call.
func (s *Store) faultOf(op, key string) Fault {
	if s.Hook != nil {
		if f := s.Hook(op, key); f != (Fault{}) {
			return f
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// run calls f with mu held, unless the fault or the rate limit rejects the call.
func (s *Store) run(op string, fault Fault, f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault.Down {
		return kingcuphook.ErrUnavailable
	}
	if fault.LoseRequest {
		return kingcuphook.ErrOutcomeUnknown
	}
	if !s.allow(op) {
		s.counts.RateLimited++
		return kingcuphook.ErrRateLimited
	}
	s.expire()
	return f()
}

// allow counts a call and reports whether its rate limit allows it; mu is held.
func (s *Store) allow(op string) bool {
	limit := s.WriteRate
	switch op {
	case OpGet, OpList, OpVMs:
		s.counts.Reads++
		limit = s.ReadRate
	case OpWatch:
		s.counts.Watches++
		limit = s.ReadRate
	default:
		s.counts.Writes++
	}
	return limit == nil || limit.Allow()
}

// expire ends the leases that have expired; mu is held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
}

// end removes a lease and its entries; mu is held.
func (s *Store) end(id kingcuphook.LeaseID) {
	delete(s.leases, id)
	for key, r := range s.entries {
		if r.lease == id {
			s.remove(key)
		}
	}
}

// expect returns ErrConflict unless key has the expected revision; mu is held.
func (s *Store) expect(key string, expect int64) error {
	if expect == kingcuphook.RevisionAny {
		return nil
	}
	if s.entries[key].entry.Revision() != expect {
		return kingcuphook.ErrConflict
	}
	return nil
}

// remove deletes an entry and records the change; mu is held.
func (s *Store) remove(key string) {
	s.revision++
	delete(s.entries, key)
	s.append(kingcuphook.NewEntry(key, nil, s.revision, true))
}

// append records a change, discards changes past History and wakes watches; mu is held.
func (s *Store) append(e kingcuphook.Entry) {
	s.log = append(s.log, e)
	keep := s.History
	if keep == 0 {
		keep = defaultHistory
	}
	if over := len(s.log) - keep; over > 0 {
		s.compacted = s.log[over-1].Revision()
		s.log = slices.Clone(s.log[over:])
	}
	s.wake()
}

// wake makes all waiting watches check for changes; mu is held.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// changes returns the changes after a revision, the current revision, and a channel that
// is closed by the next change.
func (s *Store) changes(prefix string, after int64) ([]kingcuphook.Entry, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.compacted || after > s.revision {
		return nil, 0, nil, kingcuphook.ErrCompacted
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	var entries []kingcuphook.Entry
	for _, e := range s.log {
		if e.Revision() > after && strings.HasPrefix(e.Key(), prefix) {
			entries = append(entries, e)
		}
	}
	return entries, s.revision, s.changed, nil
}

// sleep waits for d, or returns the error of ctx if it is cancelled first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
