// Package storer is a stand-in for the platform's key-value service and list
// of VMs. It keeps everything in memory and fails on demand. It is used by
// tests and by the stand-in command, never by a router.
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

// Names of the calls, as passed to a Hook and found in a StoreError.
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

// Fault is what happens to one call.
type Fault struct {
	// Delay passes before the call takes effect.
	Delay time.Duration
	// Down refuses the call before it takes effect.
	Down bool
	// LoseRequest drops the call before it takes effect; its caller sees an
	// unknown outcome.
	LoseRequest bool
	// LoseReply lets the call take effect; its caller sees an unknown outcome.
	LoseReply bool
}

// Counts are the calls received so far.
type Counts struct {
	// Reads counts get, list and vms; Writes counts all that change something;
	// Watches counts watches.
	Reads, Writes, Watches int
	// Refused counts the calls over the rate.
	Refused int
}

// Store is the stand-in. Its zero value is ready for use. It is safe for
// concurrent use.
type Store struct {
	// Hook, if set, decides the fault of each call. It must be set before the
	// first call and be safe for concurrent use.
	Hook func(op, key string) Fault
	// WatchWait is how long a watch waits without a change; 0 means 10 s.
	WatchWait time.Duration
	// History is how many changes a watch can look back; 0 means 10,000.
	History int
	// ReadRate and WriteRate bound the calls a second; nil means no bound. A
	// watch counts as a read.
	ReadRate, WriteRate *rate.Limiter

	mu sync.Mutex
	// revision rises by one with every change and never falls, except by
	// Restore.
	revision int64
	entries  map[string]record
	// log holds the latest changes in order of revision.
	log []kingcuphook.Entry
	// compacted is the revision of the newest change that left log.
	compacted int64
	leases    map[kingcuphook.LeaseID]*lease
	nextLease kingcuphook.LeaseID
	// changed is closed and replaced at every change.
	changed chan struct{}
	counts  Counts
	vms     []kingcuphook.VM
	fault   Fault
}

type record struct {
	entry kingcuphook.Entry
	lease kingcuphook.LeaseID
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Snapshot is a copy of everything that a store holds.
type Snapshot struct {
	revision int64
	entries  map[string]record
}

var (
	_ kingcuphook.Store    = (*Store)(nil)
	_ kingcuphook.VMLister = (*Store)(nil)
)

// SetFault sets the fault of every call that Hook leaves alone.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetVMs sets the list of VMs.
func (s *Store) SetVMs(vms []kingcuphook.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.Clone(vms)
}

// Counts returns the calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot returns a copy of the store.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{revision: s.revision, entries: maps.Clone(s.entries)}
}

// Restore puts the store back to an older copy, as a platform does after a loss
// of its own. Watches from later revisions are told to read again.
func (s *Store) Restore(snap Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = snap.revision
	s.entries = maps.Clone(snap.entries)
	s.log = nil
	s.compacted = snap.revision
	s.wake()
}

// Compact forgets the history of changes.
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
	// Changes made meanwhile are in the list and told again by a watch.
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

// call counts a call, applies its fault and runs f with mu held.
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
		s.counts.Refused++
		return kingcuphook.ErrRateLimited
	}
	s.expire()
	return f()
}

// allow counts a call against its rate.
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

// expire ends the leases whose time has passed.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
}

func (s *Store) end(id kingcuphook.LeaseID) {
	delete(s.leases, id)
	for key, r := range s.entries {
		if r.lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) expect(key string, expect int64) error {
	if expect == kingcuphook.RevisionAny {
		return nil
	}
	if s.entries[key].entry.Revision() != expect {
		return kingcuphook.ErrConflict
	}
	return nil
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.entries, key)
	s.append(kingcuphook.NewEntry(key, nil, s.revision, true))
}

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

// wake lets every waiting watch look again.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

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
