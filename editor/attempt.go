package editor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/loader"
	"github.com/kingcuphook/kingcuphook/parser"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// attempt is the work on one edit.
type attempt struct {
	editor *Editor
	edit   Edit
	// pending says that a write of the head was sent whose outcome is unknown.
	pending bool
	// revision is the revision that the pending write would have made, and expect
	// the store's revision of the head that it expected.
	revision, expect int64
	// olderReads counts the heads read that were older than what is in force.
	olderReads int
}

func (a *attempt) run(ctx context.Context) (Result, error) {
	var err error
	for n := range maxAttempts {
		if n > 0 {
			if waitErr := wait(ctx, n, a.edit.ID); waitErr != nil {
				return Result{}, a.fail(errors.Join(err, waitErr))
			}
		}
		var r Result
		var again bool
		r, again, err = a.try(ctx)
		if err == nil {
			return r, nil
		}
		if !again {
			return Result{}, a.fail(err)
		}
	}
	return Result{}, a.fail(err)
}

// fail returns the error of the edit when no more is tried.
func (a *attempt) fail(err error) error {
	if a.pending {
		return &UnknownError{EditID: a.edit.ID, Expect: a.expect, Err: err}
	}
	var older *OlderStoreError
	if errors.As(err, &older) {
		return err
	}
	var rows *differ.ConflictError
	lostRace := errors.Is(err, kingcuphook.ErrConflict) && !errors.As(err, &rows)
	if lostRace || transient(err) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &NotMadeError{EditID: a.edit.ID, Err: err}
	}
	return fmt.Errorf("editor: %w", err)
}

// wait sleeps before attempt n: an exponential delay with a jitter that follows
// from the name, so that editors that lost against each other spread.
func wait(ctx context.Context, n int, name string) error {
	d := min(retryDelay<<(n-1), maxRetryDelay)
	jitter := xxhash.Sum64String(fmt.Sprint(name, n)) % uint64(d)
	pauser.Pause(ctx, d/2+time.Duration(jitter))
	return ctx.Err()
}

// try reads the head and swaps it once. It reports whether to try again after
// an error.
func (a *attempt) try(ctx context.Context) (Result, bool, error) {
	high, complete := a.editor.inForce()
	s, err := a.editor.load(ctx, high)
	if err != nil {
		return Result{}, transient(err), err
	}
	if a.pending && s.StoreRevision < a.expect {
		return Result{}, true, errStaleRead
	}
	if high.Revision() > s.Snapshot.Revision() && !complete {
		a.olderReads++
		return Result{}, a.olderReads < maxOlderReads, &OlderStoreError{Store: s.Snapshot.Revision(), InForce: high.Revision()}
	}
	if high.Revision() > s.Snapshot.Revision() {
		err := a.editor.repair(ctx, s, high)
		return Result{}, transient(err) || errors.Is(err, kingcuphook.ErrConflict), err
	}
	r, done, err := a.settle(ctx, s)
	if err != nil || done {
		return r, transient(err), err
	}
	next, rebased, err := a.merge(ctx, s)
	if err != nil {
		return Result{}, false, err
	}
	rows := differ.Diff(s.Snapshot.Tables(), next)
	if len(rows) == 0 {
		return Result{EditID: a.edit.ID, Revision: s.Snapshot.Revision(), Rebased: rebased}, false, nil
	}
	return a.swap(ctx, s, rows, rebased)
}

// settle finds out whether the edit has already been accepted.
func (a *attempt) settle(ctx context.Context, s *loader.State) (Result, bool, error) {
	cs := s.Snapshot.Changes()
	if s.Head != nil {
		cs = s.Head.Changes
	}
	if c, ok := find(cs, a.edit.ID); ok {
		return a.accepted(s, c), true, nil
	}
	after := a.edit.Base
	if a.pending {
		after = a.revision - 1
	}
	if after < 0 || s.Head == nil || cs[0].Revision() <= after+1 || s.Snapshot.Revision() <= after {
		a.clear(s)
		return Result{}, false, nil
	}
	l := loader.Loader{Store: a.editor.Store}
	older, err := l.Log(ctx, s, after)
	if errors.Is(err, kingcuphook.ErrCompacted) && !a.pending {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, err
	}
	if c, ok := find(older, a.edit.ID); ok {
		return a.accepted(s, c), true, nil
	}
	a.clear(s)
	return Result{}, false, nil
}

// errStaleRead says that the store returned an older head than it did before.
var errStaleRead = fmt.Errorf("the store returned an older head than before: %w", kingcuphook.ErrUnavailable)

// clear forgets a pending write that can no longer take effect: the head is
// newer than the one that it expected.
func (a *attempt) clear(s *loader.State) {
	if a.pending && s.StoreRevision > a.expect {
		a.pending = false
	}
}

func find(cs []differ.Change, editID string) (differ.Change, bool) {
	for _, c := range cs {
		if c.EditID() == editID {
			return c, true
		}
	}
	return differ.Change{}, false
}

// accepted returns the result of an edit that is found in s.
func (a *attempt) accepted(s *loader.State, c differ.Change) Result {
	a.pending = false
	a.editor.accept(s.Snapshot)
	return Result{EditID: c.EditID(), Revision: c.Revision(), Rows: c.RowCount(), Repeated: true}
}

// merge returns the tables that the edit makes of s.
func (a *attempt) merge(ctx context.Context, s *loader.State) (*kingcuphook.Tables, bool, error) {
	head := s.Snapshot.Tables()
	base := head
	rebased := a.edit.Base != BaseNewest && a.edit.Base != head.Revision()
	if rebased {
		var err error
		l := loader.Loader{Store: a.editor.Store}
		if base, err = l.At(ctx, s, a.edit.Base); err != nil {
			return nil, false, err
		}
	}
	routes, pools, err := a.edit.tables(base)
	if err != nil {
		return nil, false, err
	}
	if err := parser.ValidateChange(base, routes, pools); err != nil {
		return nil, false, err
	}
	mine := kingcuphook.NewTables(base.Revision(), routes.Routes(), pools.Pools())
	if !rebased {
		return mine, false, nil
	}
	next, err := differ.Rebase(base, mine, head)
	if err != nil {
		return nil, false, err
	}
	merged := parser.NewRouteTable("routes after rebase", next.Routes())
	err = parser.ValidateChange(head, merged, parser.NewPoolTable("pools after rebase", next.Pools()))
	return next, true, err
}

// tables returns the tables that the edit makes of base.
func (e Edit) tables(base *kingcuphook.Tables) (*parser.RouteTable, *parser.PoolTable, error) {
	if e.Patch != nil {
		return e.Patch.Apply(base)
	}
	routes, pools := e.Routes, e.Pools
	if routes == nil {
		routes = parser.NewRouteTable("routes", base.Routes())
	}
	if pools == nil {
		pools = parser.NewPoolTable("pools", base.Pools())
	}
	return routes, pools, nil
}

// swap writes the rows on top of s.
func (a *attempt) swap(ctx context.Context, s *loader.State, rows []differ.Row, rebased bool) (Result, bool, error) {
	revision := s.Snapshot.Revision() + 1
	c := differ.NewChange(differ.ChangeFields{
		Revision: revision, EditID: a.edit.ID, Author: a.edit.Author, Reason: a.edit.Reason, Time: time.Now(),
		Parent: s.Snapshot.Lineage(), Lineage: differ.NextLineage(s.Snapshot.Lineage(), revision, a.edit.ID),
		Rows: rows,
	})
	next, err := differ.Advance(s.Snapshot, c, loader.DefaultKeep)
	if err != nil {
		return Result{}, false, err
	}
	w := writer{store: a.editor.Store}
	h, err := w.prepare(ctx, s, next)
	if err != nil {
		return Result{}, transient(err), err
	}
	if !a.pending {
		a.revision, a.expect = revision, s.StoreRevision
	}
	err = w.swap(ctx, h, s.StoreRevision)
	switch {
	case err == nil:
		a.pending = false
		a.editor.accept(next)
		w.clean(ctx)
		return Result{EditID: a.edit.ID, Revision: revision, Rows: len(rows), Rebased: rebased}, false, nil
	case definite(err):
		return Result{}, transient(err) || errors.Is(err, kingcuphook.ErrConflict), err
	}
	a.pending = true
	return Result{}, true, err
}

// definite reports whether a failed write is known not to have taken effect.
func definite(err error) bool {
	return errors.Is(err, kingcuphook.ErrConflict) || errors.Is(err, kingcuphook.ErrUnavailable) ||
		errors.Is(err, kingcuphook.ErrRateLimited) || errors.Is(err, kingcuphook.ErrTooLarge)
}

// transient reports whether a call may go better a moment later.
func transient(err error) bool {
	return errors.Is(err, kingcuphook.ErrOutcomeUnknown) || errors.Is(err, kingcuphook.ErrUnavailable) ||
		errors.Is(err, kingcuphook.ErrRateLimited)
}
