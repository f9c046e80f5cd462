// Package sharer tells all routers of the suspects of each. A router writes its
// entries to a key of its own in the store and watches the keys of the others,
// so that a resend through any of them meets what the first call has learned.
package sharer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/quarantiner"
)

// Prefix starts the keys of all routers.
const Prefix = "suspects/"

const (
	// maxBytes bounds the entries of one router.
	maxBytes = 16 << 10
	// lease is how long the entries outlive their router.
	lease = 5 * time.Minute
	// callTimeout bounds one call to the store but a watch.
	callTimeout = 500 * time.Millisecond
	// spread is the time in which the watchers have what was written.
	spread = 50 * time.Millisecond
	// retryWait is the longest wait after a watch that failed.
	retryWait = 2 * time.Second
)

// Sharer shares the entries of one router. Its fields are set before Run. It is
// safe for concurrent use.
type Sharer struct {
	// Store holds the keys; never nil.
	Store kingcuphook.Store
	// Quarantiner is the router's own; never nil.
	Quarantiner *quarantiner.Quarantiner
	// Owner names the key of the router; unique over the fleet.
	Owner string
	// OnBad takes the key of entries that can't be read, and why; nil means that
	// nobody wants to know.
	OnBad func(key string, err error)

	once sync.Once
	// writing has one place, held while the key is written.
	writing chan struct{}
	// lease and granted are of the last lease taken.
	lease   kingcuphook.LeaseID
	granted time.Time
}

// Share writes the entries and returns when the other routers have had the time
// to read them. A store that does not take them leaves them to the exchange
// between peers.
func (s *Sharer) Share(ctx context.Context) {
	if _, err := s.put(ctx); err != nil {
		return
	}
	pauser.Pause(ctx, spread)
}

// put writes the entries and returns the revision.
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
	if s.lease == 0 || now.Sub(s.granted) > lease/2 {
		id, err := s.Store.Grant(ctx, lease)
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
	if err != nil {
		return 0, fmt.Errorf("sharer: %w", err)
	}
	return revision, nil
}

// Run takes the entries of the other routers until ctx ends, whose error it
// returns.
func (s *Sharer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.follow(ctx)
		// Routers don't come back all at once.
		pauser.Pause(ctx, rand.N(retryWait))
	}
	return fmt.Errorf("sharer: %w", ctx.Err())
}

// follow reads all keys and then their changes, until a call fails. It reads
// before its first write, which replaces what the router knew before a restart,
// and after it, since the write gives the revision from which to watch.
func (s *Sharer) follow(ctx context.Context) {
	known, err := s.list(ctx)
	if err != nil {
		return
	}
	s.adopt(known)
	after, err := s.put(ctx)
	if err != nil {
		return
	}
	entries, err := s.list(ctx)
	for err == nil {
		s.adopt(entries)
		entries, after, err = s.Store.Watch(ctx, Prefix, after)
	}
}

func (s *Sharer) list(ctx context.Context) ([]kingcuphook.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Store.List(ctx, Prefix)
}

// adopt takes what others know. What is not understood is left out: it is of a
// router of another version.
func (s *Sharer) adopt(entries []kingcuphook.Entry) {
	now := time.Now()
	for _, e := range entries {
		if e.Deleted() {
			continue
		}
		if err := s.Quarantiner.Import(now, e.Value()); err != nil && s.OnBad != nil {
			s.OnBad(e.Key(), err)
		}
	}
}
