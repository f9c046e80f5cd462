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
	// maxHeadChangesBytes is the largest total size of several changes in the head.
	// It is small because every watcher receives the head with every edit.
	maxHeadChangesBytes = 512
	// maxHeadChangeBytes is the largest change that the head holds with its rows. A
	// change larger than maxHeadChangesBytes is the only one in the head, until the
	// next edit.
	maxHeadChangeBytes = 64 << 10
	// maxChangeBytes is the largest change that a page holds with its rows, and the
	// largest total size of the changes in one page.
	maxChangeBytes = kingcuphook.MaxValueBytes / 4
	// pageBytes is the size up to which the newest page is rewritten with further
	// changes; beyond it a new page is started.
	pageBytes = 64 << 10
	// maxPages is the largest number of pages of older changes in a manifest.
	maxPages = 256
	// retiredRevisions is the number of revisions for which a value is kept after
	// the last manifest that references it, for slow readers.
	retiredRevisions = 64
	// maxDeletes is the largest number of deletes in one edit.
	maxDeletes = 32
	// putAttempts is the largest number of attempts to write one value.
	putAttempts = 3
)

// writer writes one revision of the tables: first the values that the head
// references, then the head.
type writer struct {
	store kingcuphook.Store
	// deletes are the keys to delete once the new head is written.
	deletes []string
}

// prepare returns the head for next and writes the values that it references,
// where the store lacks them. A change that is small enough is only added to the
// head, which keeps the manifest of an earlier revision. S is the state read from
// the store; the last change of next is the one being written.
func (w *writer) prepare(ctx context.Context, s *loader.State, next *differ.Snapshot) (*encoder.Head, error) {
	c := newestChange(next).Compact()
	if s.Head == nil || !differ.Follows(s.Snapshot, c) || encoder.ChangeBytes(c) > maxHeadChangesBytes {
		return w.flush(ctx, s, next)
	}
	h := &encoder.Head{
		Revision: next.Revision(), Lineage: next.Lineage(), Manifest: s.Head.Manifest, Base: s.Head.Base,
		Changes: newestFitting(slices.Concat(s.Head.Changes, []differ.Change{c})),
	}
	if h.Changes[0].Revision() > h.Base+1 {
		return w.flush(ctx, s, next)
	}
	return h, nil
}

// newestChange returns the last change of s.
func newestChange(s *differ.Snapshot) differ.Change {
	cs := s.Changes()
	return cs[len(cs)-1]
}

// newestFitting returns the newest changes that fit into a head together.
func newestFitting(cs []differ.Change) []differ.Change {
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

// flush writes the segments, pages and manifest of next, and returns a head that
// references that manifest.
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
	if err := w.putSegments(ctx, m, old, next); err != nil {
		return nil, err
	}
	if err := w.putPages(ctx, m, old, next); err != nil {
		return nil, err
	}
	w.scheduleDeletes(m)
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

// headChanges returns the changes for a head whose manifest has the same revision.
func headChanges(s *loader.State, next *differ.Snapshot) []differ.Change {
	c := newestChange(next).Compact()
	size := encoder.ChangeBytes(c)
	if size > maxHeadChangeBytes {
		return []differ.Change{truncate(c)}
	}
	if size > maxHeadChangesBytes || s.Head == nil || !differ.Follows(s.Snapshot, c) {
		return []differ.Change{c}
	}
	return newestFitting(slices.Concat(s.Head.Changes, []differ.Change{c}))
}

// retire adds a key that m no longer references to the keys to delete later.
func (w *writer) retire(m *encoder.Manifest, key string) {
	m.Retired = append(m.Retired, encoder.Retired{Key: key, Revision: m.Revision})
}

// scheduleDeletes moves keys that were retired at least retiredRevisions ago, at
// most maxDeletes of them, from m.Retired to w.deletes.
func (w *writer) scheduleDeletes(m *encoder.Manifest) {
	n := 0
	for n < len(m.Retired) && n < maxDeletes && m.Retired[n].Revision+retiredRevisions <= m.Revision {
		w.deletes = append(w.deletes, m.Retired[n].Key)
		n++
	}
	m.Retired = m.Retired[n:]
}

// putSegments writes those segments of next that the old manifest lacks, lists all
// segments in m and retires the keys of those no longer used.
func (w *writer) putSegments(ctx context.Context, m, old *encoder.Manifest, next *differ.Snapshot) error {
	keys := make(map[uint64]string)
	for _, n := range slices.Concat(old.Routes, old.Pools) {
		keys[n.Hash] = n.Key
	}
	routes, err := encoder.SplitRoutes(next.Tables().Routes())
	if err != nil {
		return err
	}
	if m.Routes, err = w.putMissing(ctx, routes, keys, next); err != nil {
		return err
	}
	pools, err := encoder.SplitPools(next.Tables().Pools())
	if err != nil {
		return err
	}
	if m.Pools, err = w.putMissing(ctx, pools, keys, next); err != nil {
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

// putMissing writes the segments whose hash is not in keys, adds their keys there,
// and returns the names of all segments.
func (w *writer) putMissing(ctx context.Context, segments []encoder.Segment, keys map[uint64]string, next *differ.Snapshot) ([]encoder.SegmentName, error) {
	names := make([]encoder.SegmentName, len(segments))
	for i, g := range segments {
		key, ok := keys[g.Hash]
		if !ok {
			var err error
			if key, err = w.put(ctx, encoder.SegmentPrefix, next, g.Data); err != nil {
				return nil, err
			}
			keys[g.Hash] = key
		}
		names[i] = encoder.SegmentName{Hash: g.Hash, Key: key}
	}
	return names, nil
}

// putPages writes the changes that are in no page of the old manifest. They are
// merged into the newest page if that is small enough and directly precedes them.
func (w *writer) putPages(ctx context.Context, m, old *encoder.Manifest, next *differ.Snapshot) error {
	m.Pages = slices.Clone(old.Pages)
	var last encoder.PageName
	if n := len(m.Pages); n > 0 {
		last = m.Pages[n-1]
	}
	var added []differ.Change
	size := 0
	for _, c := range next.Changes() {
		if c.Revision() <= last.Last {
			continue
		}
		if encoder.ChangeBytes(c) > maxChangeBytes {
			c = truncate(c)
		}
		size += encoder.ChangeBytes(c)
		added = append(added, c)
	}
	if last.Key != "" && last.Bytes+size <= pageBytes {
		l := loader.Loader{Store: w.store}
		before, err := l.Page(ctx, last)
		if err != nil {
			return err
		}
		if before[len(before)-1].Lineage() == added[0].Parent() {
			added = slices.Concat(before, added)
			m.Pages = m.Pages[:len(m.Pages)-1]
			w.retire(m, last.Key)
		}
	}
	for len(added) > 0 {
		n, err := w.putPage(ctx, m, added, next)
		if err != nil {
			return err
		}
		added = added[n:]
	}
	for len(m.Pages) > maxPages {
		w.retire(m, m.Pages[0].Key)
		m.Pages = m.Pages[1:]
	}
	return nil
}

// putPage writes as many of the first changes as fit into one page and returns
// how many.
func (w *writer) putPage(ctx context.Context, m *encoder.Manifest, cs []differ.Change, next *differ.Snapshot) (int, error) {
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

// put writes an immutable value and returns its key. The key contains the revision,
// the hash of the value and the lineage, so a key that already exists holds the
// same value.
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
		if err := backOff(ctx, n, key); err != nil {
			return "", err
		}
	}
}

// putHead writes the head if the store's revision of it is still expect.
func (w *writer) putHead(ctx context.Context, h *encoder.Head, expect int64) error {
	data, err := encoder.EncodeHead(h)
	if err != nil {
		return err
	}
	_, err = w.store.Put(ctx, encoder.HeadKey, data, expect, 0)
	return err
}

// deleteRetired deletes the keys in w.deletes and stops at the first delete that
// fails; Sweep deletes the values that remain.
func (w *writer) deleteRetired(ctx context.Context) {
	for _, key := range w.deletes {
		if err := w.store.Delete(ctx, key, kingcuphook.RevisionAny); err != nil && !errors.Is(err, kingcuphook.ErrNotFound) {
			return
		}
	}
}
