package editor

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/loader"
)

const (
	// maxHeadChangesBytes bounds the changes in the head, which every watcher
	// receives with every edit.
	maxHeadChangesBytes = 512
	// maxHeadChangeBytes is the largest change that is in the head with its rows; one
	// over maxHeadChangesBytes is there alone, until the next edit.
	maxHeadChangeBytes = 64 << 10
	// maxChangeBytes is the largest change that is kept with its rows.
	maxChangeBytes = kingcuphook.MaxValueBytes / 4
	// pageBytes is the size up to which changes are added to the newest page.
	pageBytes = 64 << 10
	// maxPages bounds the pages of older changes.
	maxPages = 256
	// retiredRevisions is how many revisions a value outlives the last manifest
	// that names it, for readers that are slow.
	retiredRevisions = 64
	// maxDeletes bounds the deletes of one edit.
	maxDeletes = 32
	// putAttempts bounds the writes of one value.
	putAttempts = 3
)

// writer writes one revision of the tables: first the values that the head
// names, then the head.
type writer struct {
	store kingcuphook.Store
	// deletes are the keys to be removed once the head is swapped.
	deletes []string
}

// prepare returns the head of next after writing all that it names. S is what
// the store holds; the last change of next is the one that is written.
func (w *writer) prepare(ctx context.Context, s *loader.State, next *differ.Snapshot) (*encoder.Head, error) {
	c := newest(next).Compact()
	if s.Head == nil || !differ.Follows(s.Snapshot, c) || encoder.ChangeBytes(c) > maxHeadChangesBytes {
		return w.flush(ctx, s, next)
	}
	h := &encoder.Head{
		Revision: next.Revision(), Lineage: next.Lineage(), Manifest: s.Head.Manifest, Base: s.Head.Base,
		Changes: trim(slices.Concat(s.Head.Changes, []differ.Change{c})),
	}
	if h.Changes[0].Revision() > h.Base+1 {
		return w.flush(ctx, s, next)
	}
	return h, nil
}

func newest(s *differ.Snapshot) differ.Change {
	cs := s.Changes()
	return cs[len(cs)-1]
}

// trim returns the newest changes that fit into a head.
func trim(cs []differ.Change) []differ.Change {
	size := 0
	for i := len(cs) - 1; i >= 0; i-- {
		size += encoder.ChangeBytes(cs[i])
		if size > maxHeadChangesBytes {
			return cs[i+1:]
		}
	}
	return cs
}

// truncate returns c without its rows.
func truncate(c differ.Change) differ.Change {
	f := c.Fields()
	f.RowCount = len(f.Rows)
	f.Rows, f.Truncated = nil, true
	return differ.NewChange(f)
}

// flush writes the segments, the page and the manifest of next.
func (w *writer) flush(ctx context.Context, s *loader.State, next *differ.Snapshot) (*encoder.Head, error) {
	old := &encoder.Manifest{}
	if s.Head != nil {
		l := loader.Loader{Store: w.store}
		var err error
		if old, err = l.Manifest(ctx, s.Head.Manifest); err != nil {
			return nil, err
		}
	}
	m := &encoder.Manifest{Revision: next.Revision(), Lineage: next.Lineage(), Retired: slices.Clone(old.Retired)}
	if s.Head != nil {
		w.retire(m, s.Head.Manifest)
	}
	if err := w.segments(ctx, m, old, next); err != nil {
		return nil, err
	}
	if err := w.page(ctx, m, old, next); err != nil {
		return nil, err
	}
	w.release(m)
	data, err := encoder.EncodeManifest(m)
	if err != nil {
		return nil, err
	}
	key, err := w.put(ctx, encoder.ManifestPrefix, next, data)
	if err != nil {
		return nil, err
	}
	h := &encoder.Head{
		Revision: next.Revision(), Lineage: next.Lineage(), Manifest: key, Base: next.Revision(),
		Changes: headChanges(s, next),
	}
	return h, nil
}

// headChanges returns the changes of a head whose manifest is its own revision.
func headChanges(s *loader.State, next *differ.Snapshot) []differ.Change {
	c := newest(next).Compact()
	size := encoder.ChangeBytes(c)
	if size > maxHeadChangeBytes {
		return []differ.Change{truncate(c)}
	}
	if size > maxHeadChangesBytes || s.Head == nil || !differ.Follows(s.Snapshot, c) {
		return []differ.Change{c}
	}
	return trim(slices.Concat(s.Head.Changes, []differ.Change{c}))
}

func (w *writer) retire(m *encoder.Manifest, key string) {
	m.Retired = append(m.Retired, encoder.Retired{Key: key, Revision: m.Revision})
}

// release moves the keys that were retired long ago from m to the deletes.
func (w *writer) release(m *encoder.Manifest) {
	n := 0
	for n < len(m.Retired) && n < maxDeletes && m.Retired[n].Revision+retiredRevisions <= m.Revision {
		w.deletes = append(w.deletes, m.Retired[n].Key)
		n++
	}
	m.Retired = m.Retired[n:]
}

// segments writes the segments of next that the old manifest lacks.
func (w *writer) segments(ctx context.Context, m, old *encoder.Manifest, next *differ.Snapshot) error {
	known := make(map[uint64]string)
	for _, n := range slices.Concat(old.Routes, old.Pools) {
		known[n.Hash] = n.Key
	}
	routes, err := encoder.SplitRoutes(next.Tables().Routes())
	if err != nil {
		return err
	}
	if m.Routes, err = w.names(ctx, routes, known, next); err != nil {
		return err
	}
	pools, err := encoder.SplitPools(next.Tables().Pools())
	if err != nil {
		return err
	}
	if m.Pools, err = w.names(ctx, pools, known, next); err != nil {
		return err
	}
	used := make(map[string]bool)
	for _, n := range slices.Concat(m.Routes, m.Pools) {
		used[n.Key] = true
	}
	for _, n := range slices.Concat(old.Routes, old.Pools) {
		if !used[n.Key] {
			w.retire(m, n.Key)
		}
	}
	return nil
}

func (w *writer) names(ctx context.Context, segments []encoder.Segment, known map[uint64]string, next *differ.Snapshot) ([]encoder.SegmentName, error) {
	names := make([]encoder.SegmentName, len(segments))
	for i, g := range segments {
		key, ok := known[g.Hash]
		if !ok {
			var err error
			if key, err = w.put(ctx, encoder.SegmentPrefix, next, g.Data); err != nil {
				return nil, err
			}
			known[g.Hash] = key
		}
		names[i] = encoder.SegmentName{Hash: g.Hash, Key: key}
	}
	return names, nil
}

// page writes the changes that no page of the old manifest has.
func (w *writer) page(ctx context.Context, m, old *encoder.Manifest, next *differ.Snapshot) error {
	m.Pages = slices.Clone(old.Pages)
	var last encoder.PageName
	if n := len(m.Pages); n > 0 {
		last = m.Pages[n-1]
	}
	var fresh []differ.Change
	size := 0
	for _, c := range next.Changes() {
		if c.Revision() <= last.Last {
			continue
		}
		if encoder.ChangeBytes(c) > maxChangeBytes {
			c = truncate(c)
		}
		size += encoder.ChangeBytes(c)
		fresh = append(fresh, c)
	}
	if last.Key != "" && last.Bytes+size <= pageBytes {
		l := loader.Loader{Store: w.store}
		before, err := l.Page(ctx, last)
		if err != nil {
			return err
		}
		if before[len(before)-1].Lineage() == fresh[0].Parent() {
			fresh = slices.Concat(before, fresh)
			m.Pages = m.Pages[:len(m.Pages)-1]
			w.retire(m, last.Key)
		}
	}
	for len(fresh) > 0 {
		n, err := w.onePage(ctx, m, fresh, next)
		if err != nil {
			return err
		}
		fresh = fresh[n:]
	}
	for len(m.Pages) > maxPages {
		w.retire(m, m.Pages[0].Key)
		m.Pages = m.Pages[1:]
	}
	return nil
}

// onePage writes the first changes that fit a value and returns how many.
func (w *writer) onePage(ctx context.Context, m *encoder.Manifest, cs []differ.Change, next *differ.Snapshot) (int, error) {
	n, size := 1, encoder.ChangeBytes(cs[0])
	for n < len(cs) && size+encoder.ChangeBytes(cs[n]) <= maxChangeBytes {
		size += encoder.ChangeBytes(cs[n])
		n++
	}
	data, err := encoder.EncodePage(cs[:n])
	if err != nil {
		return 0, err
	}
	key, err := w.put(ctx, encoder.PagePrefix, next, data)
	if err != nil {
		return 0, err
	}
	m.Pages = append(m.Pages, encoder.PageName{
		Key: key, First: cs[0].Revision(), Last: cs[n-1].Revision(), Bytes: len(data),
	})
	return n, nil
}

// put writes a value that never changes and returns its key, which belongs to
// this revision and edit alone: a key that is there already holds this value.
func (w *writer) put(ctx context.Context, prefix string, next *differ.Snapshot, data []byte) (string, error) {
	key := fmt.Sprintf("%s%016x-%016x-%016x", prefix, next.Revision(), xxhash.Sum64(data), next.Lineage())
	for n := 1; ; n++ {
		_, err := w.store.Put(ctx, key, data, kingcuphook.RevisionAbsent, 0)
		if err == nil || errors.Is(err, kingcuphook.ErrConflict) {
			return key, nil
		}
		if n == putAttempts || !transient(err) {
			return "", err
		}
		if err := wait(ctx, n, key); err != nil {
			return "", err
		}
	}
}

// swap writes the head if the store's revision of it is still expect.
func (w *writer) swap(ctx context.Context, h *encoder.Head, expect int64) error {
	data, err := encoder.EncodeHead(h)
	if err != nil {
		return err
	}
	_, err = w.store.Put(ctx, encoder.HeadKey, data, expect, 0)
	return err
}

// clean deletes what is no longer named. A failed delete leaves a value that
// Sweep removes.
func (w *writer) clean(ctx context.Context) {
	for _, key := range w.deletes {
		if err := w.store.Delete(ctx, key, kingcuphook.RevisionAny); err != nil && !errors.Is(err, kingcuphook.ErrNotFound) {
			return
		}
	}
}
