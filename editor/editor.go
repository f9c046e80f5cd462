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
	// maxOlderReads is how often a head is read that is older than what is in force,
	// before it is taken for more than a stale read.
	maxOlderReads = 4
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
	// Patch, if set, is applied to the tables of the base in place of Routes and
	// Pools.
	Patch *parser.Patch
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

// Editor applies edits. Its fields are set before first use. It is safe for
// concurrent use; edits made through one editor wait for each other.
type Editor struct {
	// Store is the platform's key-value service.
	Store kingcuphook.Store
	// InForce returns the highest state in force that is known, and whether every
	// region was asked. Nil means that nothing is known beside the store.
	InForce func() (s *differ.Snapshot, complete bool)
	// OnAccept is told the state that an accepted edit made, so that its router
	// has it in force at once; may be nil.
	OnAccept func(s *differ.Snapshot)
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

// accept takes the state in which an edit is accepted.
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
		Kind: auditor.RecordRejected, EditID: edit.ID, Author: edit.Author, Reason: edit.Reason,
		Time: time.Now(), Revision: edit.Base, Cause: err.Error(),
	}))
}

// Rollback makes a new edit that gives the tables the rows they had at an
// earlier revision; the routes, pools and patch of edit are ignored. On
// BaseNewest it undoes everything since. On the base that a single edit made, and
// to the revision before, it undoes that edit alone. Its errors are
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
	edit.Patch = nil
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

// load reads the head and what neither the last state nor high has of the tables.
func (e *Editor) load(ctx context.Context, high *differ.Snapshot) (*loader.State, error) {
	have := high
	if e.last != nil && e.last.Revision() >= high.Revision() {
		have = e.last
	}
	l := loader.Loader{Store: e.Store}
	s, err := l.Load(ctx, have)
	if errors.Is(err, kingcuphook.ErrInvalid) && high.Revision() > 0 && (s.Head == nil || s.Head.Revision <= high.Revision()) {
		// What is damaged is brought up to date like an older head, unless it may be
		// newer than what is in force.
		return &loader.State{StoreRevision: s.StoreRevision, Snapshot: s.Snapshot}, nil
	}
	if err != nil {
		return nil, err
	}
	e.last = s.Snapshot
	return s, nil
}
