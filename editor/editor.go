// Package editor changes the routing tables in the store. It applies each edit by
// a compare-and-swap of the tables' head (the key encoder.HeadKey), reads the store
// again to determine the outcome of a write whose reply was lost, and rebases an edit
// row by row onto concurrent changes. A revision is in force on a router if it is the
// router's current one, which may be newer than a store that was restored from a copy.
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
	// maxAttempts is the largest number of attempts to apply one edit.
	maxAttempts = 16
	// maxOlderReads is how many reads may return a head older than the state in
	// force before the edit fails: a single one may be a stale read.
	maxOlderReads = 4
	// retryDelay is the delay before the second attempt; it doubles for each
	// further one.
	retryDelay = 20 * time.Millisecond
	// maxRetryDelay is the upper limit of the delay between attempts.
	maxRetryDelay = time.Second
	// maxTextBytes is the largest size of each of an edit's id, author and reason.
	maxTextBytes = 256
)

// BaseNewest as the base of an edit applies it to the newest revision without
// detecting conflicts. Rows missing from whole tables in such an edit are removed,
// also those that another operator has just added.
const BaseNewest int64 = -1

// Edit is a change of the tables requested by an operator.
type Edit struct {
	// ID identifies the edit; an edit sent again with the same ID and base takes
	// effect once. If empty, Apply generates one.
	ID string
	// Author is who makes the edit; required.
	Author string
	// Reason is the author's free-text reason for the edit; may be empty.
	Reason string
	// Base is the revision that the edit was prepared from, or BaseNewest.
	Base int64
	// Routes and Pools are the complete new tables; nil leaves a table unchanged.
	Routes *parser.RouteTable
	Pools  *parser.PoolTable
	// Patch, if set, is applied to the tables of the base; Routes and Pools are
	// then ignored.
	Patch *parser.Patch
}

// Result describes an accepted edit.
type Result struct {
	// EditID identifies the edit.
	EditID string
	// Revision is the revision created by the edit; if Rows is 0, the existing one.
	Revision int64
	// Rows is the number of rows that the edit changed.
	Rows int
	// Rebased reports whether the edit was applied to a newer revision than its
	// base.
	Rebased bool
	// Repeated reports whether the edit was found to have been accepted already:
	// it was sent twice, or the reply to its write was lost.
	Repeated bool
}

// Editor applies edits. Its fields must be set before first use. It is safe for
// concurrent use; edits made through one editor run one at a time.
type Editor struct {
	// Store is the platform's key-value service.
	Store kingcuphook.Store
	// InForce returns the state with the highest revision known to be in force on
	// any router of the fleet, and whether every region was queried for it. Nil means
	// that only the store is consulted.
	InForce func() (s *differ.Snapshot, complete bool)
	// OnAccept is called with the state in which an edit was accepted, so that the
	// editor's own router applies it at once; may be nil.
	OnAccept func(s *differ.Snapshot)
	// Audit stores the records made by AuditRejection; may be nil.
	Audit *auditor.Auditor

	once sync.Once
	// sem serialises edits; unlike a mutex it can be waited for with a context.
	sem *semaphore.Weighted
	// last is the state that was last read or written; may be nil. It is guarded by
	// sem.
	last *differ.Snapshot
}

// lock waits until no other edit of this editor is in progress.
func (e *Editor) lock(ctx context.Context) error {
	e.once.Do(func() { e.sem = semaphore.NewWeighted(1) })
	return e.sem.Acquire(ctx, 1)
}

// accept records the state in which an edit was accepted and calls OnAccept.
func (e *Editor) accept(s *differ.Snapshot) {
	e.last = s
	if e.OnAccept != nil {
		e.OnAccept(s)
	}
}

func (e *Editor) inForce() (*differ.Snapshot, bool) {
	if e.InForce == nil {
		return differ.EmptySnapshot(), true
	}
	return e.InForce()
}

// Apply applies an edit and returns once it is known to be accepted. An error
// wraps ErrInvalid (a *kingcuphook.InputError), ErrConflict (a
// *differ.ConflictError), ErrCompacted (the base is no longer stored),
// ErrOutcomeUnknown (an *UnknownError), or ErrUnavailable (a *NotMadeError or
// *OlderStoreError: nothing was changed).
func (e *Editor) Apply(ctx context.Context, edit Edit) (Result, error) {
	if err := validate(&edit); err != nil {
		return Result{}, err
	}
	r, err := e.apply(ctx, edit)
	e.AuditRejection(ctx, edit, err)
	return r, err
}

func (e *Editor) apply(ctx context.Context, edit Edit) (Result, error) {
	if err := e.lock(ctx); err != nil {
		return Result{}, fmt.Errorf("editor: %w", err)
	}
	defer e.sem.Release(1)
	o := operation{editor: e, edit: edit}
	return o.run(ctx)
}

// AuditRejection adds an edit to the audit trail if err means that it was rejected
// as invalid, conflicting or based on a compacted revision. Apply calls it, except
// for an edit whose own author, id, reason or base is invalid; other callers use it
// for edits that never reach Apply, such as text that can't be parsed. A record that
// can't be written is dropped, and the auditor counts it.
func (e *Editor) AuditRejection(ctx context.Context, edit Edit, err error) {
	rejected := errors.Is(err, kingcuphook.ErrInvalid) || errors.Is(err, kingcuphook.ErrConflict) ||
		errors.Is(err, kingcuphook.ErrCompacted)
	if e.Audit == nil || !rejected || errors.Is(err, kingcuphook.ErrOutcomeUnknown) {
		return
	}
	e.Audit.Add(ctx, auditor.NewRecord(auditor.RecordFields{
		Kind: auditor.RecordRejected, EditID: edit.ID, Author: edit.Author, Reason: edit.Reason,
		Time: time.Now(), Revision: edit.Base, Cause: err.Error(),
	}))
}

// Rollback applies a new edit that restores the rows of an earlier revision; the
// routes, pools and patch of edit are ignored. With BaseNewest it undoes
// everything since that revision. With revision n as its base and n-1 as the
// target, it undoes only the edit that created revision n, and later edits stay.
// Its errors are those of Apply; ErrCompacted means that the target revision is
// no longer stored.
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
	edit.Patch = nil
	return e.Apply(ctx, edit)
}

// validate checks the fields of an edit and sets its ID if that is empty.
func validate(edit *Edit) error {
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

// load reads the head and those parts of the tables that are not already in the
// newer of e.last and inForce.
func (e *Editor) load(ctx context.Context, inForce *differ.Snapshot) (*loader.State, error) {
	have := inForce
	if e.last != nil && e.last.Revision() >= inForce.Revision() {
		have = e.last
	}
	l := loader.Loader{Store: e.Store}
	s, err := l.Load(ctx, have)
	if errors.Is(err, kingcuphook.ErrInvalid) && inForce.Revision() > 0 && (s.Head == nil || s.Head.Revision <= inForce.Revision()) {
		// Damaged tables are repaired like an older store, unless their revision may
		// be higher than the one in force.
		return &loader.State{StoreRevision: s.StoreRevision, Snapshot: s.Snapshot}, nil
	}
	if err != nil {
		return nil, err
	}
	e.last = s.Snapshot
	return s, nil
}
