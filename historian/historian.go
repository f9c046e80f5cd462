// Package historian reads the history of the routing tables: the accepted edits with
// author, time and revision, the rejected edits with the cause, the differences
// between revisions, and the outcome of a single edit.
package historian

import (
	"context"
	"fmt"
	"slices"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/auditor"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/loader"
)

// maxFindPages is the largest number of pages of older changes that are read to list
// the history or to find an edit.
const maxFindPages = 256

// Historian reads the history of the tables. It is safe for concurrent use.
type Historian struct {
	// Store is the platform's key-value service.
	Store kingcuphook.Store
}

// History returns at most limit accepted edits up to the given revision, newest
// first; revision 0 means the newest. Edits that are no longer stored are missing.
func (h *Historian) History(ctx context.Context, revision int64, limit int) ([]differ.Change, error) {
	var found []differ.Change
	err := h.walk(ctx, func(c differ.Change) bool {
		if revision == 0 || c.Revision() <= revision {
			found = append(found, c)
		}
		return len(found) < limit
	})
	if err != nil {
		return nil, err
	}
	return found, nil
}

// Rejected returns the rejected edits in the audit trail, newest first.
func (h *Historian) Rejected(ctx context.Context) ([]auditor.Record, error) {
	records, err := auditor.Read(ctx, h.Store)
	if err != nil {
		return nil, fmt.Errorf("historian: %w", err)
	}
	slices.Reverse(records)
	return records, nil
}

// Diff returns the rows that differ between two revisions; to 0 means the
// newest. An error wraps ErrCompacted if a revision is no longer stored.
func (h *Historian) Diff(ctx context.Context, from, to int64) ([]differ.Row, error) {
	l := loader.Loader{Store: h.Store}
	s, err := l.Load(ctx, nil)
	if err != nil {
		return nil, fmt.Errorf("historian: %w", err)
	}
	if to == 0 {
		to = s.Snapshot.Revision()
	}
	older, err := l.At(ctx, s, from)
	if err != nil {
		return nil, fmt.Errorf("historian: %w", err)
	}
	newer, err := l.At(ctx, s, to)
	if err != nil {
		return nil, fmt.Errorf("historian: %w", err)
	}
	return differ.Diff(older, newer), nil
}

// Newest returns the newest tables in the store.
func (h *Historian) Newest(ctx context.Context) (*kingcuphook.Tables, error) {
	l := loader.Loader{Store: h.Store}
	s, err := l.Load(ctx, nil)
	if err != nil {
		return nil, fmt.Errorf("historian: %w", err)
	}
	return s.Snapshot.Tables(), nil
}

// At returns the tables at a revision. An error wraps ErrCompacted if that is no
// longer stored.
func (h *Historian) At(ctx context.Context, revision int64) (*kingcuphook.Tables, error) {
	l := loader.Loader{Store: h.Store}
	s, err := l.Load(ctx, nil)
	if err != nil {
		return nil, fmt.Errorf("historian: %w", err)
	}
	t, err := l.At(ctx, s, revision)
	if err != nil {
		return nil, fmt.Errorf("historian: %w", err)
	}
	return t, nil
}

// walk calls visit with each accepted edit, newest first, until it returns
// false.
func (h *Historian) walk(ctx context.Context, visit func(differ.Change) bool) error {
	l := loader.Loader{Store: h.Store}
	s, err := l.Load(ctx, nil)
	if err != nil {
		return fmt.Errorf("historian: %w", err)
	}
	if s.Head == nil {
		return nil
	}
	m, err := l.Manifest(ctx, s.Head.Manifest)
	if err != nil {
		return fmt.Errorf("historian: %w", err)
	}
	recent, _ := s.Snapshot.Since(m.Revision)
	for _, c := range slices.Backward(recent) {
		if !visit(c) {
			return nil
		}
	}
	pages := m.Pages[max(0, len(m.Pages)-maxFindPages):]
	for _, name := range slices.Backward(pages) {
		page, err := l.Page(ctx, name)
		if err != nil {
			return fmt.Errorf("historian: %w", err)
		}
		for _, c := range slices.Backward(page) {
			if !visit(c) {
				return nil
			}
		}
	}
	return nil
}

// Status is the kind of outcome of an edit.
type Status string

// Values of Status.
const (
	// StatusAccepted means that the edit was accepted and created a revision.
	StatusAccepted Status = "accepted"
	// StatusRejected means that the audit trail lists the edit as rejected.
	StatusRejected Status = "refused"
	// StatusNotAccepted means that the edit was not accepted and can't be any more.
	StatusNotAccepted Status = "not-accepted"
	// StatusUnknown means that the stored history doesn't contain the edit, and that
	// its write may still take effect.
	StatusUnknown Status = "unknown"
)

// Outcome is the outcome of an edit.
type Outcome struct {
	Status Status
	// Change is the accepted edit; set if Status is StatusAccepted.
	Change differ.Change
	// Record is the entry in the audit trail; set if Status is StatusRejected.
	Record auditor.Record
}

// Find returns the outcome of an edit. Expect is the store's revision of the head on
// which its write was conditional, from editor.UnknownError; 0 means that this is
// not known.
func (h *Historian) Find(ctx context.Context, editID string, expect int64) (Outcome, error) {
	replaced, err := h.headReplaced(ctx, expect)
	if err != nil {
		return Outcome{}, err
	}
	var o Outcome
	err = h.walk(ctx, func(c differ.Change) bool {
		if c.EditID() != editID {
			return true
		}
		o = Outcome{Status: StatusAccepted, Change: c}
		return false
	})
	if err != nil || o.Status != "" {
		return o, err
	}
	records, err := h.Rejected(ctx)
	if err != nil {
		return Outcome{}, err
	}
	for _, r := range records {
		if r.Fields().EditID == editID {
			return Outcome{Status: StatusRejected, Record: r}, nil
		}
	}
	if replaced {
		return Outcome{Status: StatusNotAccepted}, nil
	}
	return Outcome{Status: StatusUnknown}, nil
}

// headReplaced reports whether the store's revision of the head is higher than
// expect, so that a write conditional on expect can't take effect any more. Find
// calls it before it reads the changes, so that it finds a write that takes effect
// between the two reads.
func (h *Historian) headReplaced(ctx context.Context, expect int64) (bool, error) {
	if expect <= 0 {
		return false, nil
	}
	l := loader.Loader{Store: h.Store}
	s, err := l.Load(ctx, nil)
	if err != nil {
		return false, fmt.Errorf("historian: %w", err)
	}
	return s.StoreRevision > expect, nil
}
