package editor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/loader"
)

// maxSweepDeletes is the largest number of deletes in one sweep.
const maxSweepDeletes = 128

// Sweep deletes values that neither the head nor its manifest references, as left
// by edits that failed after some of their writes, and returns how many it
// deleted. It lists every value of the tables, so it must run rarely. It deletes a
// value only if the revision in its key is at least retiredRevisions below that of
// the head: a write of a head that references it can't succeed any more.
func (e *Editor) Sweep(ctx context.Context) (int, error) {
	l := loader.Loader{Store: e.Store}
	s, err := l.Load(ctx, nil)
	if err != nil || s.Head == nil {
		return 0, err
	}
	m, err := l.Manifest(ctx, s.Head.Manifest)
	if err != nil {
		return 0, fmt.Errorf("editor: %w", err)
	}
	referenced := referencedKeys(s.Head, m)
	n := 0
	for _, prefix := range []string{encoder.ManifestPrefix, encoder.SegmentPrefix, encoder.PagePrefix} {
		entries, err := e.Store.List(ctx, prefix)
		if err != nil {
			return n, fmt.Errorf("editor: %w", err)
		}
		for _, entry := range entries {
			revision, ok := keyRevision(prefix, entry.Key())
			if n == maxSweepDeletes || referenced[entry.Key()] || !ok || revision+retiredRevisions > s.Head.Revision {
				continue
			}
			err := e.Store.Delete(ctx, entry.Key(), entry.Revision())
			if err != nil && !errors.Is(err, kingcuphook.ErrNotFound) {
				return n, fmt.Errorf("editor: %w", err)
			}
			n++
		}
	}
	return n, nil
}

// referencedKeys returns the keys that the head and its manifest reference. Retired
// keys are included: later edits delete them.
func referencedKeys(h *encoder.Head, m *encoder.Manifest) map[string]bool {
	referenced := map[string]bool{h.Manifest: true}
	for _, n := range slices.Concat(m.Routes, m.Pools) {
		referenced[n.Key] = true
	}
	for _, p := range m.Pages {
		referenced[p.Key] = true
	}
	for _, r := range m.Retired {
		referenced[r.Key] = true
	}
	return referenced
}

// keyRevision returns the revision in a key that starts with prefix.
func keyRevision(prefix, key string) (int64, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, prefix), "-")
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 16, 64)
	return n, err == nil
}
