// Package loader reads the tables from the store.
package loader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/parser"
	"github.com/kingcuphook/kingcuphook/pauser"
)

const (
	// DefaultKeep is the number of newest changes that a snapshot holds.
	DefaultKeep = 256
	// parallelReads bounds the calls that one load has open at once.
	parallelReads = 4
	// loadAttempts bounds how often a load starts again because an edit removed
	// a value between the calls.
	loadAttempts = 3
	// maxCatchUpPages bounds the pages that are read in place of the segments.
	maxCatchUpPages = 2
	// getAttempts bounds the reads of one value, and rateDelay is the wait before
	// the second; it grows by as much each time.
	getAttempts = 5
	rateDelay   = 100 * time.Millisecond
)

// State is what the store held when it was read.
type State struct {
	// Head is the value of the head; nil before the first edit.
	Head *encoder.Head
	// StoreRevision is the store's revision of the head, RevisionAbsent before
	// the first edit.
	StoreRevision int64
	// Snapshot is the state of the tables; never nil.
	Snapshot *differ.Snapshot
}

// Loader reads the tables from the store. It is safe for concurrent use.
type Loader struct {
	// Store is the platform's key-value service.
	Store kingcuphook.Store
	// Keep is how many changes a snapshot holds; 0 means DefaultKeep.
	Keep int
}

// Load reads the head and what have lacks of the tables. Have is any earlier
// snapshot, or nil. An error is that of the store, or a *kingcuphook.InputError
// for a value that is refused; the state then has the store's revision and, if it can be read, the head.
func (l *Loader) Load(ctx context.Context, have *differ.Snapshot) (*State, error) {
	for n := 1; ; n++ {
		s, err := l.load(ctx, have)
		if err == nil || n == loadAttempts || !errors.Is(err, kingcuphook.ErrCompacted) {
			return s, err
		}
	}
}

func (l *Loader) load(ctx context.Context, have *differ.Snapshot) (*State, error) {
	e, err := l.Store.Get(ctx, encoder.HeadKey)
	if errors.Is(err, kingcuphook.ErrNotFound) {
		return &State{StoreRevision: kingcuphook.RevisionAbsent, Snapshot: differ.EmptySnapshot()}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	return l.Complete(ctx, e, have)
}

// Complete reads what have lacks of the tables under the given entry of the
// head. It makes no call if the entry's changes follow have.
func (l *Loader) Complete(ctx context.Context, e kingcuphook.Entry, have *differ.Snapshot) (*State, error) {
	s, err := l.complete(ctx, e, have)
	if errors.Is(err, kingcuphook.ErrInvalid) {
		// An undecodable head is nil here.
		h, _ := encoder.DecodeHead(e.Value())
		return &State{Head: h, StoreRevision: e.Revision(), Snapshot: differ.EmptySnapshot()}, err
	}
	return s, err
}

func (l *Loader) complete(ctx context.Context, e kingcuphook.Entry, have *differ.Snapshot) (*State, error) {
	h, err := encoder.DecodeHead(e.Value())
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	s := &State{Head: h, StoreRevision: e.Revision()}
	if s.Snapshot = l.advance(have, h); s.Snapshot != nil {
		return s, nil
	}
	base, err := l.Manifest(ctx, h.Manifest)
	if err != nil {
		return nil, err
	}
	if s.Snapshot = l.advance(l.catchUp(ctx, base, have), h); s.Snapshot != nil {
		return s, nil
	}
	whole, err := l.whole(ctx, base, have)
	if err != nil {
		return nil, err
	}
	for _, c := range h.Changes {
		whole = differ.RestoreRows(have, whole, c)
	}
	if s.Snapshot = l.advance(whole, h); s.Snapshot == nil {
		return nil, fmt.Errorf("loader: %w", &kingcuphook.InputError{
			File: encoder.HeadKey, Reason: "its changes do not follow its manifest", Err: kingcuphook.ErrInvalid,
		})
	}
	return s, nil
}

// advance returns the snapshot of the head made from an earlier one by the
// head's changes, or nil if they do not reach back far enough.
func (l *Loader) advance(s *differ.Snapshot, h *encoder.Head) *differ.Snapshot {
	if s == nil || s.Revision() > h.Revision {
		return nil
	}
	for _, c := range h.Changes {
		if c.Revision() <= s.Revision() {
			continue
		}
		next, err := differ.Advance(s, c, l.keep())
		if err != nil {
			return nil
		}
		s = next
	}
	if s.Revision() != h.Revision || s.Lineage() != h.Lineage {
		return nil
	}
	return s
}

func (l *Loader) keep() int {
	if l.Keep == 0 {
		return DefaultKeep
	}
	return l.Keep
}

// Manifest reads the manifest of the given key.
func (l *Loader) Manifest(ctx context.Context, key string) (*encoder.Manifest, error) {
	data, err := l.value(ctx, key)
	if err != nil {
		return nil, err
	}
	m, err := encoder.DecodeManifest(key, data)
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	return m, nil
}

// value reads a value that a head or manifest names. If it is gone the error
// wraps ErrCompacted: a newer head does not name it any more.
func (l *Loader) value(ctx context.Context, key string) ([]byte, error) {
	e, err := l.get(ctx, key)
	if errors.Is(err, kingcuphook.ErrNotFound) {
		return nil, fmt.Errorf("loader: %s is gone: %w", key, kingcuphook.ErrCompacted)
	}
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	return e.Value(), nil
}

// get reads a value, again a little later if the store is over its rate: a load
// that began is better ended than begun anew.
func (l *Loader) get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	for n := 1; ; n++ {
		e, err := l.Store.Get(ctx, key)
		if n == getAttempts || !errors.Is(err, kingcuphook.ErrRateLimited) {
			return e, err
		}
		if !pauser.Pause(ctx, time.Duration(n)*rateDelay) {
			return e, err
		}
	}
}

// whole returns the tables of a manifest. It reads only the segments that have
// does not share.
func (l *Loader) whole(ctx context.Context, m *encoder.Manifest, have *differ.Snapshot) (*differ.Snapshot, error) {
	known, err := segmentsOf(have)
	if err != nil {
		return nil, err
	}
	names := slices.Concat(m.Routes, m.Pools)
	keys := make([]string, len(names))
	values := make([][]byte, len(names))
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelReads)
	for i, n := range names {
		keys[i] = n.Key
		if data, ok := known[n.Hash]; ok {
			values[i] = data
			continue
		}
		g.Go(func() error {
			data, err := l.value(gctx, n.Key)
			if err != nil {
				return err
			}
			if encoder.SegmentHash(data) != n.Hash {
				return fmt.Errorf("loader: %w", &kingcuphook.InputError{
					File: n.Key, Reason: "its hash is not that of the manifest", Err: kingcuphook.ErrInvalid,
				})
			}
			values[i] = data
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	n := len(m.Routes)
	routes, err := encoder.JoinRoutes(keys[:n], values[:n])
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	pools, err := encoder.JoinPools(keys[n:], values[n:])
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	t := kingcuphook.NewTables(m.Revision, routes, pools)
	if err := Validate(t); err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	return differ.NewSnapshot(t, m.Lineage, nil), nil
}

// Validate checks tables that came from the store or another router.
func Validate(t *kingcuphook.Tables) error {
	return parser.Validate(parser.NewRouteTable("routes", t.Routes()), parser.NewPoolTable("pools", t.Pools()))
}

// segmentsOf returns the segments of a snapshot by their hashes.
func segmentsOf(s *differ.Snapshot) (map[uint64][]byte, error) {
	if s == nil || s.Revision() == 0 {
		return nil, nil
	}
	routes, err := encoder.SplitRoutes(s.Tables().Routes())
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	pools, err := encoder.SplitPools(s.Tables().Pools())
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	known := make(map[uint64][]byte, len(routes)+len(pools))
	for _, g := range slices.Concat(routes, pools) {
		known[g.Hash] = g.Data
	}
	return known, nil
}
