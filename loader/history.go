package loader

import (
	"context"
	"fmt"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/encoder"
)

// Page reads a page of older changes.
func (l *Loader) Page(ctx context.Context, n encoder.PageName) ([]differ.Change, error) {
	data, err := l.value(ctx, n.Key)
	if err != nil {
		return nil, err
	}
	cs, err := encoder.DecodePage(n.Key, data)
	if err != nil {
		return nil, fmt.Errorf("loader: %w", err)
	}
	return cs, nil
}

// catchUp applies the newest pages of the manifest to an earlier snapshot. It returns nil
// if they don't reach back to it within maxCatchUpPages or can't be read.
func (l *Loader) catchUp(ctx context.Context, m *encoder.Manifest, s *differ.Snapshot) *differ.Snapshot {
	if s == nil || s.Revision() == 0 || s.Revision() >= m.Revision {
		return nil
	}
	pages := m.Pages[max(0, len(m.Pages)-maxCatchUpPages):]
	if len(pages) == 0 || pages[0].First > s.Revision()+1 {
		return nil
	}
	for _, n := range pages {
		if n.Last <= s.Revision() {
			continue
		}
		cs, err := l.Page(ctx, n)
		if err != nil {
			return nil
		}
		for _, c := range cs {
			if c.Revision() <= s.Revision() {
				continue
			}
			if s, err = differ.Advance(s, c, l.keep()); err != nil {
				return nil
			}
		}
	}
	return s
}

// Changes returns the changes after the given revision up to s, oldest first. The error
// wraps ErrCompacted if some are not kept or not reversible.
func (l *Loader) Changes(ctx context.Context, s *State, after int64) ([]differ.Change, error) {
	cs, err := l.Log(ctx, s, after)
	if err != nil {
		return nil, err
	}
	if !reversible(cs) {
		return nil, compacted(after)
	}
	return cs, nil
}

// compacted returns the error for a revision whose changes are no longer kept.
func compacted(revision int64) error {
	return fmt.Errorf("loader: revision %d is no longer kept: %w", revision, kingcuphook.ErrCompacted)
}

// Log returns the changes after the given revision up to s, oldest first; some may not be
// reversible. The error wraps ErrCompacted if some are not kept.
func (l *Loader) Log(ctx context.Context, s *State, after int64) ([]differ.Change, error) {
	if after == s.Snapshot.Revision() {
		return nil, nil
	}
	if after < 0 || after > s.Snapshot.Revision() {
		return nil, fmt.Errorf("loader: there is no revision %d: %w", after, kingcuphook.ErrNotFound)
	}
	if cs, ok := s.Snapshot.Since(after); ok && reversible(cs) {
		return cs, nil
	}
	m, err := l.Manifest(ctx, s.Head.Manifest)
	if err != nil {
		return nil, err
	}
	cs, err := l.recent(ctx, s, m)
	if err != nil {
		return nil, err
	}
	for i := len(m.Pages) - 1; i >= 0 && m.Pages[i].Last > after; i-- {
		page, err := l.Page(ctx, m.Pages[i])
		if err != nil {
			return nil, err
		}
		cs = append(page, cs...)
	}
	for len(cs) > 0 && cs[0].Revision() <= after {
		cs = cs[1:]
	}
	if int64(len(cs)) != s.Snapshot.Revision()-after {
		return nil, compacted(after)
	}
	return cs, nil
}

// recent returns the changes after the revision of the manifest, with the former state of
// their rows.
func (l *Loader) recent(ctx context.Context, s *State, m *encoder.Manifest) ([]differ.Change, error) {
	if cs, ok := s.Snapshot.Since(m.Revision); ok && reversible(cs) {
		return cs, nil
	}
	base, err := l.fromSegments(ctx, m, s.Snapshot)
	if err != nil {
		return nil, err
	}
	next := l.advance(base, s.Head)
	if next == nil {
		return nil, fmt.Errorf("loader: %w", &kingcuphook.InputError{
			File: encoder.HeadKey, Reason: "its changes do not follow its manifest", Err: kingcuphook.ErrInvalid,
		})
	}
	cs, _ := next.Since(m.Revision)
	return cs, nil
}

func reversible(cs []differ.Change) bool {
	for _, c := range cs {
		if !c.Reversible() {
			return false
		}
	}
	return true
}

// At returns the tables at the given revision. The error wraps ErrCompacted if the changes
// since then are not all kept and reversible.
func (l *Loader) At(ctx context.Context, s *State, revision int64) (*kingcuphook.Tables, error) {
	cs, err := l.Changes(ctx, s, revision)
	if err != nil {
		return nil, err
	}
	t := s.Snapshot.Tables()
	for i := len(cs) - 1; i >= 0; i-- {
		t, err = differ.Revert(t, cs[i].Rows(), cs[i].Revision()-1)
		if err != nil {
			return nil, fmt.Errorf("loader: %w", err)
		}
	}
	return t, nil
}
