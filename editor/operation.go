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

// operation applies one edit, with retries.
type operation struct {
	editor *Editor
	edit   Edit
	// outcomeUnknown is true while a write of the head without a definite result
	// may still take effect.
	outcomeUnknown bool
	// sentRevision is the revision of the tables in that write, and expectedHead
	// the store's revision of the head on which the write was conditional.
	sentRevision, expectedHead int64
	// olderReads counts the reads of a head older than the state in force.
	olderReads int
}

func (o *operation) run(ctx context.Context) (Result, error) {
	var err error
	for n := range maxAttempts {
		if n > 0 {
			if waitErr := backOff(ctx, n, o.edit.ID); waitErr != nil {
				return Result{}, o.finalError(errors.Join(err, waitErr))
			}
		}
		var r Result
		var retry bool
		r, retry, err = o.try(ctx)
		if err == nil {
			return r, nil
		}
		if !retry {
			return Result{}, o.finalError(err)
		}
	}
	return Result{}, o.finalError(err)
}

// finalError returns the error to report for the edit after its last attempt.
func (o *operation) finalError(err error) error {
	if o.outcomeUnknown {
		return &UnknownError{EditID: o.edit.ID, Expect: o.expectedHead, Err: err}
	}
	var older *OlderStoreError
	if errors.As(err, &older) {
		return err
	}
	var rows *differ.ConflictError
	lostRace := errors.Is(err, kingcuphook.ErrConflict) && !errors.As(err, &rows)
	if lostRace || transient(err) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &NotMadeError{EditID: o.edit.ID, Err: err}
	}
	return fmt.Errorf("editor: %w", err)
}

// backOff sleeps before attempt n for an exponential delay with jitter. The
// jitter is a hash of name and n, so that editors whose writes conflicted retry
// at different times.
func backOff(ctx context.Context, n int, name string) error {
	d := min(retryDelay<<(n-1), maxRetryDelay)
	jitter := xxhash.Sum64String(fmt.Sprint(name, n)) % uint64(d)
	pauser.Pause(ctx, d/2+time.Duration(jitter))
	return ctx.Err()
}

// try reads the head and replaces it by at most one compare-and-swap. It reports
// whether an error is worth another attempt.
func (o *operation) try(ctx context.Context) (Result, bool, error) {
	inForce, complete := o.editor.inForce()
	s, err := o.editor.load(ctx, inForce)
	if err != nil {
		return Result{}, transient(err), err
	}
	if o.outcomeUnknown && s.StoreRevision < o.expectedHead {
		return Result{}, true, errStaleRead
	}
	if inForce.Revision() > s.Snapshot.Revision() && !complete {
		o.olderReads++
		return Result{}, o.olderReads < maxOlderReads, &OlderStoreError{Store: s.Snapshot.Revision(), InForce: inForce.Revision()}
	}
	if inForce.Revision() > s.Snapshot.Revision() {
		err := o.editor.repair(ctx, s, inForce)
		return Result{}, transient(err) || errors.Is(err, kingcuphook.ErrConflict), err
	}
	r, done, err := o.findAccepted(ctx, s)
	if err != nil || done {
		return r, transient(err), err
	}
	next, rebased, err := o.merge(ctx, s)
	if err != nil {
		return Result{}, false, err
	}
	rows := differ.Diff(s.Snapshot.Tables(), next)
	if len(rows) == 0 {
		return Result{EditID: o.edit.ID, Revision: s.Snapshot.Revision(), Rebased: rebased}, false, nil
	}
	return o.commit(ctx, s, rows, rebased)
}

// findAccepted reports whether the edit has already been accepted, and with which
// result. It searches the changes in the head and, if those don't reach back to
// the edit's base, or to a write whose outcome is unknown, the pages of older
// changes. An edit with BaseNewest that is sent again is only found in the head.
func (o *operation) findAccepted(ctx context.Context, s *loader.State) (Result, bool, error) {
	cs := s.Snapshot.Changes()
	if s.Head != nil {
		cs = s.Head.Changes
	}
	if c, ok := findChange(cs, o.edit.ID); ok {
		return o.acceptedResult(s, c), true, nil
	}
	after := o.edit.Base
	if o.outcomeUnknown {
		after = o.sentRevision - 1
	}
	if after < 0 || s.Head == nil || cs[0].Revision() <= after+1 || s.Snapshot.Revision() <= after {
		o.resolveUnknown(s)
		return Result{}, false, nil
	}
	l := loader.Loader{Store: o.editor.Store}
	older, err := l.Log(ctx, s, after)
	if errors.Is(err, kingcuphook.ErrCompacted) && !o.outcomeUnknown {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, err
	}
	if c, ok := findChange(older, o.edit.ID); ok {
		return o.acceptedResult(s, c), true, nil
	}
	o.resolveUnknown(s)
	return Result{}, false, nil
}

// errStaleRead reports a read of a head older than one read before.
var errStaleRead = fmt.Errorf("the store returned an older head than before: %w", kingcuphook.ErrUnavailable)

// resolveUnknown clears outcomeUnknown if the head in s is newer than the one on
// which the write was conditional: the write can no longer take effect.
func (o *operation) resolveUnknown(s *loader.State) {
	if o.outcomeUnknown && s.StoreRevision > o.expectedHead {
		o.outcomeUnknown = false
	}
}

// findChange returns the change made by the given edit.
func findChange(cs []differ.Change, editID string) (differ.Change, bool) {
	for _, c := range cs {
		if c.EditID() == editID {
			return c, true
		}
	}
	return differ.Change{}, false
}

// acceptedResult returns the result of an edit whose change c is part of s.
func (o *operation) acceptedResult(s *loader.State, c differ.Change) Result {
	o.outcomeUnknown = false
	o.editor.accept(s.Snapshot)
	return Result{EditID: c.EditID(), Revision: c.Revision(), Rows: c.RowCount(), Repeated: true}
}

// merge returns the tables that result from the edit on top of s, and whether the
// edit had to be rebased from an older revision.
func (o *operation) merge(ctx context.Context, s *loader.State) (*kingcuphook.Tables, bool, error) {
	head := s.Snapshot.Tables()
	base := head
	rebased := o.edit.Base != BaseNewest && o.edit.Base != head.Revision()
	if rebased {
		var err error
		l := loader.Loader{Store: o.editor.Store}
		if base, err = l.At(ctx, s, o.edit.Base); err != nil {
			return nil, false, err
		}
	}
	routes, pools, err := o.edit.tables(base)
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

// tables returns the routes and pools that result from the edit of base.
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

// commit writes the rows as the revision after s.
func (o *operation) commit(ctx context.Context, s *loader.State, rows []differ.Row, rebased bool) (Result, bool, error) {
	revision := s.Snapshot.Revision() + 1
	c := differ.NewChange(differ.ChangeFields{
		Revision: revision, EditID: o.edit.ID, Author: o.edit.Author, Reason: o.edit.Reason, Time: time.Now(),
		Parent: s.Snapshot.Lineage(), Lineage: differ.NextLineage(s.Snapshot.Lineage(), revision, o.edit.ID),
		Rows: rows,
	})
	next, err := differ.Advance(s.Snapshot, c, loader.DefaultKeep)
	if err != nil {
		return Result{}, false, err
	}
	w := writer{store: o.editor.Store}
	h, err := w.prepare(ctx, s, next)
	if err != nil {
		return Result{}, transient(err), err
	}
	if !o.outcomeUnknown {
		o.sentRevision, o.expectedHead = revision, s.StoreRevision
	}
	err = w.putHead(ctx, h, s.StoreRevision)
	switch {
	case err == nil:
		o.outcomeUnknown = false
		o.editor.accept(next)
		w.deleteRetired(ctx)
		return Result{EditID: o.edit.ID, Revision: revision, Rows: len(rows), Rebased: rebased}, false, nil
	case knownNotApplied(err):
		return Result{}, transient(err) || errors.Is(err, kingcuphook.ErrConflict), err
	}
	o.outcomeUnknown = true
	return Result{}, true, err
}

// knownNotApplied reports whether an error of a write rules out that the write
// took effect.
func knownNotApplied(err error) bool {
	return errors.Is(err, kingcuphook.ErrConflict) || errors.Is(err, kingcuphook.ErrUnavailable) ||
		errors.Is(err, kingcuphook.ErrRateLimited) || errors.Is(err, kingcuphook.ErrTooLarge)
}

// transient reports whether the same call may succeed if it is retried.
func transient(err error) bool {
	return errors.Is(err, kingcuphook.ErrOutcomeUnknown) || errors.Is(err, kingcuphook.ErrUnavailable) ||
		errors.Is(err, kingcuphook.ErrRateLimited)
}
