// Package editor changes the tables in the store: it applies edits by
// compare-and-swap of the head, finds out what became of a write whose reply was
// lost, and rebases an edit row by row onto what others changed meanwhile.
package editor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/semaphore"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/auditor"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/loader"
	"github.com/kingcuphook/kingcuphook/parser"
)

const (
	// maxAttempts bounds the compare-and-swaps of one edit.
	maxAttempts = 16
	// retryDelay is the wait before a further attempt; it doubles each time.
	retryDelay = 20 * time.Millisecond
	// maxRetryDelay bounds the wait.
	maxRetryDelay = time.Second
	// maxTextBytes bounds the edit's id, author and reason.
	maxTextBytes = 256
)

// BaseNewest as the base of an edit makes it on whatever is newest. Rows that
// are missing from such an edit are removed whoever added them.
const BaseNewest int64 = -1

// Edit is what an operator asks for.
type Edit struct {
	// ID identifies the edit; an edit that is sent again with the same ID and
	// base takes effect once. Empty means a new one.
	ID string
	// Author is who makes the edit; required.
	Author string
	// Reason is why, in the author's words; may be empty.
	Reason string
	// Base is the revision that the author saw, or BaseNewest.
	Base int64
	// Routes and Pools are the whole new tables; nil leaves a table as it is.
	Routes *parser.RouteTable
	Pools  *parser.PoolTable
}

// Result is what became of an accepted edit.
type Result struct {
	// EditID identifies the edit.
	EditID string
	// Revision is the revision that the edit made; if Rows is 0, the one that was
	// there.
	Revision int64
	// Rows is the number of rows that the edit changed.
	Rows int
	// Rebased says that the edit was applied on top of others.
	Rebased bool
	// Repeated says that the edit had already been accepted.
	Repeated bool
}

// UnknownError says that an edit may or may not have been accepted. It wraps
// ErrOutcomeUnknown.
type UnknownError struct {
	// EditID identifies the edit: ask for it later, or send it again.
	EditID string
	// Expect is the store's revision of the head that the write expected: once
	// the head has another one, the edit is accepted or never will be.
	Expect int64
	// Err is why nothing more is known.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("editor: it is unknown whether edit %s was accepted; ask for it later by its id, or send it again with the same id: %v",
		e.EditID, e.Err)
}

// Unwrap returns ErrOutcomeUnknown and the cause.
func (e *UnknownError) Unwrap() []error { return []error{kingcuphook.ErrOutcomeUnknown, e.Err} }

// NotMadeError says that the store did not take an edit and that nothing was
// changed. It wraps ErrUnavailable.
type NotMadeError struct {
	// EditID identifies the edit: it can be sent again.
	EditID string
	// Err is what the store said last.
	Err error
}

// Error implements error.
func (e *NotMadeError) Error() string {
	return fmt.Sprintf("editor: edit %s was not made and nothing was changed: %v", e.EditID, e.Err)
}

// Unwrap returns ErrUnavailable.
func (e *NotMadeError) Unwrap() error { return kingcuphook.ErrUnavailable }

// OlderStoreError says that the store holds an older revision than a router has
// in force and that the edit was not made. It wraps ErrUnavailable.
type OlderStoreError struct {
	// Store and InForce are the two revisions.
	Store, InForce int64
}

// Error implements error.
func (e *OlderStoreError) Error() string {
	return fmt.Sprintf("editor: the store holds revision %d and revision %d is in force; not every region was asked for a higher one, so nothing was written",
		e.Store, e.InForce)
}

// Unwrap returns ErrUnavailable.
func (e *OlderStoreError) Unwrap() error { return kingcuphook.ErrUnavailable }

// Editor applies edits. Its fields are set before first use. It is safe for
// concurrent use; edits made through one editor wait for each other.
type Editor struct {
	// Store is the platform's key-value service.
	Store kingcuphook.Store
	// InForce returns the highest state in force that is known, and whether every
	// region was asked. Nil means that nothing is known beside the store.
	InForce func() (s *differ.Snapshot, complete bool)
	// Audit takes a record of each edit that is refused; may be nil.
	Audit *auditor.Auditor

	once sync.Once
	// turn is held by the edit that is being made.
	turn *semaphore.Weighted
	// last is the newest state that was read; may be nil. It belongs to the holder
	// of turn.
	last *differ.Snapshot
}

// lock waits for the turn of an edit.
func (e *Editor) lock(ctx context.Context) error {
	e.once.Do(func() { e.turn = semaphore.NewWeighted(1) })
	return e.turn.Acquire(ctx, 1)
}

func (e *Editor) inForce() (*differ.Snapshot, bool) {
	if e.InForce == nil {
		return differ.EmptySnapshot(), true
	}
	return e.InForce()
}

// Apply makes an edit and returns when it is known to be accepted. An error
// wraps ErrInvalid (a *kingcuphook.InputError), ErrConflict (a
// *differ.ConflictError), ErrCompacted (the base is no longer kept),
// ErrOutcomeUnknown (an *UnknownError), or ErrUnavailable (a *NotMadeError or
// *OlderStoreError: nothing was changed).
func (e *Editor) Apply(ctx context.Context, edit Edit) (Result, error) {
	if err := check(&edit); err != nil {
		return Result{}, err
	}
	r, err := e.apply(ctx, edit)
	e.Refused(ctx, edit, err)
	return r, err
}

func (e *Editor) apply(ctx context.Context, edit Edit) (Result, error) {
	if err := e.lock(ctx); err != nil {
		return Result{}, fmt.Errorf("editor: %w", err)
	}
	defer e.turn.Release(1)
	a := attempt{editor: e, edit: edit}
	return a.run(ctx)
}

// Refused records an edit in the audit trail if the error refuses it. The caller
// uses it for edits that it refuses itself, such as text that can't be parsed.
// A record that can't be written is counted by the auditor and not retried.
func (e *Editor) Refused(ctx context.Context, edit Edit, err error) {
	refused := errors.Is(err, kingcuphook.ErrInvalid) || errors.Is(err, kingcuphook.ErrConflict) ||
		errors.Is(err, kingcuphook.ErrCompacted)
	if e.Audit == nil || !refused || errors.Is(err, kingcuphook.ErrOutcomeUnknown) {
		return
	}
	e.Audit.Add(ctx, auditor.NewRecord(auditor.RecordFields{
		Kind: auditor.RecordRefused, EditID: edit.ID, Author: edit.Author, Reason: edit.Reason,
		Time: time.Now(), Revision: edit.Base, Cause: err.Error(),
	}))
}

// Rollback makes a new edit that gives the tables the rows they had at an
// earlier revision; the routes and pools of edit are ignored. Its errors are
// those of Apply; ErrCompacted says that the revision is no longer kept.
func (e *Editor) Rollback(ctx context.Context, edit Edit, revision int64) (Result, error) {
	l := loader.Loader{Store: e.Store}
	s, err := l.Load(ctx, nil)
	if err != nil {
		return Result{}, fmt.Errorf("editor: %w", err)
	}
	t, err := l.At(ctx, s, revision)
	if err != nil {
		return Result{}, fmt.Errorf("editor: %w", err)
	}
	name := fmt.Sprintf("revision %d", revision)
	edit.Routes = parser.NewRouteTable(name, t.Routes())
	edit.Pools = parser.NewPoolTable(name, t.Pools())
	return e.Apply(ctx, edit)
}

func check(edit *Edit) error {
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	switch {
	case edit.Author == "":
		return invalid("the edit has no author")
	case len(edit.ID) > maxTextBytes, len(edit.Author) > maxTextBytes, len(edit.Reason) > maxTextBytes:
		return invalid(fmt.Sprintf("id, author and reason must not be longer than %d bytes", maxTextBytes))
	case edit.Base < BaseNewest:
		return invalid("the base revision must not be negative")
	}
	return nil
}

func invalid(reason string) error {
	return &kingcuphook.InputError{File: "edit", Reason: reason, Err: kingcuphook.ErrInvalid}
}

func (e *Editor) load(ctx context.Context) (*loader.State, error) {
	l := loader.Loader{Store: e.Store}
	s, err := l.Load(ctx, e.last)
	if err != nil {
		return nil, err
	}
	e.last = s.Snapshot
	return s, nil
}

// attempt is the work on one edit.
type attempt struct {
	editor *Editor
	edit   Edit
	// pending says that a write of the head was sent whose outcome is unknown.
	pending bool
	// revision is the revision that the pending write would have made, and expect
	// the store's revision of the head that it expected.
	revision, expect int64
}

func (a *attempt) run(ctx context.Context) (Result, error) {
	var err error
	for n := range maxAttempts {
		if n > 0 {
			if waitErr := wait(ctx, n); waitErr != nil {
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
	if transient(err) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &NotMadeError{EditID: a.edit.ID, Err: err}
	}
	return fmt.Errorf("editor: %w", err)
}

// wait sleeps before attempt n.
func wait(ctx context.Context, n int) error {
	d := min(retryDelay<<(n-1), maxRetryDelay)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// try reads the head and swaps it once. It reports whether to try again after
// an error.
func (a *attempt) try(ctx context.Context) (Result, bool, error) {
	high, complete := a.editor.inForce()
	s, err := a.editor.load(ctx)
	if err != nil {
		return Result{}, transient(err), err
	}
	if high.Revision() > s.Snapshot.Revision() && !complete {
		return Result{}, false, &OlderStoreError{Store: s.Snapshot.Revision(), InForce: high.Revision()}
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
		return a.accepted(c), true, nil
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
		return a.accepted(c), true, nil
	}
	a.clear(s)
	return Result{}, false, nil
}

// clear forgets a pending write that can no longer take effect: the head is not
// the one that it expected.
func (a *attempt) clear(s *loader.State) {
	if a.pending && s.StoreRevision != a.expect {
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

func (a *attempt) accepted(c differ.Change) Result {
	a.pending = false
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
	routes, pools := a.edit.Routes, a.edit.Pools
	if routes == nil {
		routes = parser.NewRouteTable("routes", base.Routes())
	}
	if pools == nil {
		pools = parser.NewPoolTable("pools", base.Pools())
	}
	if err := parser.Validate(routes, pools); err != nil {
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
	err = parser.Validate(merged, parser.NewPoolTable("pools after rebase", next.Pools()))
	return next, true, err
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
		a.editor.last = next
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
