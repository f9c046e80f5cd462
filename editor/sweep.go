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

// maxSweep bounds the deletes of one sweep.
const maxSweep = 128

// Sweep deletes values that no head names any more, left by editors that failed
// half-way, and returns how many. It reads every value of the tables, so it is
// for rare use. A value is only deleted if its revision is well below the
// head's: the write of the head that would name it can't succeed any more.
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
	named := namedKeys(s.Head, m)
	n := 0
	for _, prefix := range []string{encoder.ManifestPrefix, encoder.SegmentPrefix, encoder.PagePrefix} {
		entries, err := e.Store.List(ctx, prefix)
		if err != nil {
			return n, fmt.Errorf("editor: %w", err)
		}
		for _, entry := range entries {
			born, ok := bornAt(prefix, entry.Key())
			if n == maxSweep || named[entry.Key()] || !ok || born+retiredRevisions > s.Head.Revision {
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

// namedKeys returns the keys that the head and its manifest name, retired ones
// included: those are deleted in their time.
func namedKeys(h *encoder.Head, m *encoder.Manifest) map[string]bool {
	named := map[string]bool{h.Manifest: true}
	for _, n := range slices.Concat(m.Routes, m.Pools) {
		named[n.Key] = true
	}
	for _, p := range m.Pages {
		named[p.Key] = true
	}
	for _, r := range m.Retired {
		named[r.Key] = true
	}
	return named
}

// bornAt returns the revision that a key was written for.
func bornAt(prefix, key string) (int64, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, prefix), "-")
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 16, 64)
	return n, err == nil
}
