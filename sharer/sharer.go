// Package sharer shares the quarantine entries of each process with the whole fleet.
// A process writes its entries to a key of its own in the store and watches the keys
// of the others, so that a request that has crashed an upstream is also recognised
// when its caller sends it again through another process.
package sharer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/quarantiner"
)

// Prefix is the common prefix of the keys of all processes.
const Prefix = "suspects/"

// partsPrefix is the prefix of the keys with the quarantined prompt parts of all processes.
const partsPrefix = "parts/"

const (
	// maxBytes bounds the encoded entries of one process.
	maxBytes = 16 << 10
	// leaseTTL is how long the entries stay in the store after their process has
	// stopped.
	leaseTTL = 5 * time.Minute
	// callTimeout bounds each call to the store except watches.
	callTimeout = 500 * time.Millisecond
	// propagationTime is the time within which watchers receive a write.
	propagationTime = 50 * time.Millisecond
	// retryWait is the longest wait after a failed call, before the keys are read and
	// watched again.
	retryWait = 2 * time.Second
)

// Sharer shares the quarantine entries of one process. Its fields are set before Run. It is
// safe for concurrent use.
type Sharer struct {
	// Store holds the keys; never nil.
	Store kingcuphook.Store
	// Quarantiner holds the entries of this process; never nil.
	Quarantiner *quarantiner.Quarantiner
	// Isolator holds the quarantined prompt parts of this process, which outlive it in the store;
	// nil means none. Between running processes they are exchanged by other means.
	Isolator *isolator.Isolator
	// Owner identifies this process in its key; unique in the fleet.
	Owner string
	// OnDecodeError, if set, is called with the key of entries that can't be decoded and the
	// error.
	OnDecodeError func(key string, err error)

	once sync.Once
	// writing has a capacity of 1 and is held while the key is written.
	writing chan struct{}
	// lease is the current lease, 0 for none; granted is when it was granted.
	lease   kingcuphook.LeaseID
	granted time.Time
}

// Share writes the entries and returns after propagationTime, when the other processes
// should have received them. If the write fails, Share returns at once, and the entries
// reach the others only through the exchange between peers.
func (s *Sharer) Share(ctx context.Context) {
	if _, err := s.put(ctx); err != nil {
		return
	}
	pauser.Pause(ctx, propagationTime)
}

// put writes the entries and returns the revision of the write. It renews the lease
// after half of its time.
func (s *Sharer) put(ctx context.Context) (int64, error) {
	s.once.Do(func() { s.writing = make(chan struct{}, 1) })
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case s.writing <- struct{}{}:
		defer func() { <-s.writing }()
	case <-ctx.Done():
		return 0, fmt.Errorf("sharer: %w", ctx.Err())
	}
	now := time.Now()
	if s.lease == 0 || now.Sub(s.granted) > leaseTTL/2 {
		id, err := s.Store.Grant(ctx, leaseTTL)
		if err != nil {
			return 0, fmt.Errorf("sharer: %w", err)
		}
		s.lease, s.granted = id, now
	}
	value := s.Quarantiner.Export(now, maxBytes)
	revision, err := s.Store.Put(ctx, Prefix+s.Owner, value, kingcuphook.RevisionAny, s.lease)
	if errors.Is(err, kingcuphook.ErrLeaseLost) {
		s.lease = 0
	}
	if err == nil {
		err = s.putParts(ctx, now)
	}
	if err != nil {
		return 0, fmt.Errorf("sharer: %w", err)
	}
	return revision, nil
}

// putParts writes the quarantined prompt parts, if there are any.
func (s *Sharer) putParts(ctx context.Context, now time.Time) error {
	if s.Isolator == nil {
		return nil
	}
	value := s.Isolator.ExportStates(now, maxBytes)
	if value == nil {
		return nil
	}
	_, err := s.Store.Put(ctx, partsPrefix+s.Owner, value, kingcuphook.RevisionAny, s.lease)
	return err
}

// importParts imports the quarantined prompt parts of all processes.
func (s *Sharer) importParts(ctx context.Context) error {
	if s.Isolator == nil {
		return nil
	}
	entries, err := s.list(ctx, partsPrefix)
	for _, e := range entries {
		if err := s.Isolator.Import(time.Now(), e.Value()); err != nil && s.OnDecodeError != nil {
			s.OnDecodeError(e.Key(), err)
		}
	}
	return err
}

// Run imports the entries of the other processes until ctx ends, and returns the error
// of ctx.
func (s *Sharer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.follow(ctx)
		// The wait is random so that the processes don't all read the store at once
		// after an outage.
		pauser.Pause(ctx, rand.N(retryWait))
	}
	return fmt.Errorf("sharer: %w", ctx.Err())
}

// follow imports all keys and then watches them for changes, until a call fails. It
// reads the keys twice: before its write, since that replaces the entries that the
// process wrote before a restart, and after it, since the watch starts at the revision
// of the write and reports no earlier changes.
func (s *Sharer) follow(ctx context.Context) {
	existing, err := s.list(ctx, Prefix)
	if err != nil || s.importParts(ctx) != nil {
		return
	}
	s.importEntries(existing)
	after, err := s.put(ctx)
	if err != nil {
		return
	}
	entries, err := s.list(ctx, Prefix)
	for err == nil {
		s.importEntries(entries)
		entries, after, err = s.Store.Watch(ctx, Prefix, after)
	}
}

func (s *Sharer) list(ctx context.Context, prefix string) ([]kingcuphook.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Store.List(ctx, prefix)
}

// importEntries imports the quarantine entries in the given values of the store. Values
// that can't be decoded are skipped and reported to OnDecodeError: they may come from a
// process of another version.
func (s *Sharer) importEntries(entries []kingcuphook.Entry) {
	now := time.Now()
	for _, e := range entries {
		if e.Deleted() {
			continue
		}
		if err := s.Quarantiner.Import(now, e.Value()); err != nil && s.OnDecodeError != nil {
			s.OnDecodeError(e.Key(), err)
		}
	}
}
