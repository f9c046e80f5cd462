// Package loader reads the tables and their history from the store. The store holds them
// as a head, with the newest changes, that refers to a manifest; the manifest lists the
// segments that hold the tables at its own revision, which may be older, and the pages
// that hold the changes up to that revision.
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
	// DefaultKeep is the default number of newest changes that a snapshot holds.
	DefaultKeep = 256
	// parallelReads bounds the concurrent reads of one load.
	parallelReads = 4
	// loadAttempts bounds the attempts of a load. It starts again if an edit has
	// removed a value between two reads.
	loadAttempts = 3
	// maxCatchUpPages bounds the number of pages that are read to update an earlier
	// snapshot instead of reading the segments.
	maxCatchUpPages = 2
	// getAttempts bounds the attempts to read one value while the store limits the
	// rate. retryDelay is the wait before the second attempt; it grows by the same
	// amount with each further one.
	getAttempts = 5
	retryDelay  = 100 * time.Millisecond
)

// State is the content of the store at the time it was read.
type State struct {
	// Head is the decoded head; nil before the first edit.
	Head *encoder.Head
	// StoreRevision is the store's revision of the head's key, RevisionAbsent before
	// the first edit.
	StoreRevision int64
	// Snapshot holds the tables and their newest changes; never nil.
	Snapshot *differ.Snapshot
}

// Loader reads the tables from the store. It is safe for concurrent use.
type Loader struct {
	// Store is the platform's key-value service.
	Store kingcuphook.Store
	// Keep is the number of newest changes that a snapshot holds; 0 means
	// DefaultKeep.
	Keep int
}

// Load reads the head, and the parts of the tables that the earlier snapshot lacks, which
// may be nil. An error is that of the store, or a *kingcuphook.InputError for an invalid
// value. In the latter case the returned state holds the store's revision and, if it can
// be decoded, the head.
func (l *Loader) Load(ctx context.Context, earlier *differ.Snapshot) (*State, error) {
	for n := 1; ; n++ {
		s, err := l.load(ctx, earlier)
		if err == nil || n == loadAttempts || !errors.Is(err, kingcuphook.ErrCompacted) {
			return s, err
		}
	}
}

func (l *Loader) load(ctx context.Context, earlier *differ.Snapshot) (*State, error) {
	e, err := l.Store.Get(ctx, encoder.HeadKey)
	if errors.Is(err, kingcuphook.ErrNotFound) {
		return &State{StoreRevision: kingcuphook.RevisionAbsent, Snapshot: differ.EmptySnapshot()}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	return l.Complete(ctx, e, earlier)
}

// Complete reads the parts of the tables that the earlier snapshot lacks, given the entry
// of the head. It makes no call to the store if the changes in the head continue the
// earlier snapshot. On an error for an invalid value it returns a state like Load.
func (l *Loader) Complete(ctx context.Context, e kingcuphook.Entry, earlier *differ.Snapshot) (*State, error) {
	s, err := l.complete(ctx, e, earlier)
	if errors.Is(err, kingcuphook.ErrInvalid) {
		// DecodeHead returns nil for a head that can't be decoded.
		h, _ := encoder.DecodeHead(e.Value())
		return &State{Head: h, StoreRevision: e.Revision(), Snapshot: differ.EmptySnapshot()}, err
	}
	return s, err
}

func (l *Loader) complete(ctx context.Context, e kingcuphook.Entry, earlier *differ.Snapshot) (*State, error) {
	h, err := encoder.DecodeHead(e.Value())
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	s := &State{Head: h, StoreRevision: e.Revision()}
	if s.Snapshot = l.advance(earlier, h); s.Snapshot != nil {
		return s, nil
	}
	base, err := l.Manifest(ctx, h.Manifest)
	if err != nil {
		return nil, err
	}
	if s.Snapshot = l.advance(l.catchUp(ctx, base, earlier), h); s.Snapshot != nil {
		return s, nil
	}
	snapshot, err := l.fromSegments(ctx, base, earlier)
	if err != nil {
		return nil, err
	}
	for _, c := range h.Changes {
		snapshot = differ.RestoreRows(earlier, snapshot, c)
	}
	if s.Snapshot = l.advance(snapshot, h); s.Snapshot == nil {
		return nil, fmt.Errorf("loader: %w", &kingcuphook.InputError{
			File: encoder.HeadKey, Reason: "its changes do not follow its manifest", Err: kingcuphook.ErrInvalid,
		})
	}
	return s, nil
}

// advance applies the changes in the head to an earlier snapshot. It returns nil if they
// don't reach back to the snapshot or don't lead to the head's revision and lineage.
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

// Manifest reads the manifest with the given key.
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

// value reads a value that a head or manifest refers to. If it doesn't exist, the error
// wraps ErrCompacted: it was removed because newer heads don't refer to it.
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

// get reads a value. It retries while the store limits the rate, since a new load would
// need more reads than the rest of this one.
func (l *Loader) get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	for n := 1; ; n++ {
		e, err := l.Store.Get(ctx, key)
		if n == getAttempts || !errors.Is(err, kingcuphook.ErrRateLimited) {
			return e, err
		}
		if !pauser.Pause(ctx, time.Duration(n)*retryDelay) {
			return e, err
		}
	}
}

// fromSegments returns the snapshot of a manifest. It reads only the segments that the
// earlier snapshot lacks.
func (l *Loader) fromSegments(ctx context.Context, m *encoder.Manifest, earlier *differ.Snapshot) (*differ.Snapshot, error) {
	segments, err := segmentsOf(earlier)
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
		if data, ok := segments[n.Hash]; ok {
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

// Validate validates tables that were read from the store or received from a peer.
func Validate(t *kingcuphook.Tables) error {
	return parser.Validate(parser.NewRouteTable("routes", t.Routes()), parser.NewPoolTable("pools", t.Pools()))
}

// segmentsOf returns the encoded segments of a snapshot by their hashes.
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
	segments := make(map[uint64][]byte, len(routes)+len(pools))
	for _, g := range slices.Concat(routes, pools) {
		segments[g.Hash] = g.Data
	}
	return segments, nil
}
