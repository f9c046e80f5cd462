package storer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// Writers rely on conditional writes: a write with a stale revision must fail.
func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s Store
	first, err := s.Put(ctx, "a", []byte("1"), kingcuphook.RevisionAbsent, 0)
	is.NoErr(err)
	_, err = s.Put(ctx, "a", []byte("2"), kingcuphook.RevisionAbsent, 0)
	is.True(errors.Is(err, kingcuphook.ErrConflict))
	second, err := s.Put(ctx, "a", []byte("2"), first, 0)
	is.NoErr(err)
	is.True(second > first)
	is.True(errors.Is(s.Delete(ctx, "a", first), kingcuphook.ErrConflict))
}

// LoseReply emulates a write that took effect although its caller got an error.
func TestLoseReplyTakesEffect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := Store{Hook: func(op, _ string) Fault { return Fault{LoseReply: op == OpPut} }}
	_, err := s.Put(ctx, "a", []byte("1"), kingcuphook.RevisionAbsent, 0)
	is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
	e, err := s.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(e.Value()), "1")
}

// The entries of an expired lease are deleted, and watches report the deletion.
func TestLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		var s Store
		id, err := s.Grant(ctx, time.Second)
		is.NoErr(err)
		revision, err := s.Put(ctx, "a", nil, kingcuphook.RevisionAbsent, id)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.True(errors.Is(s.KeepAlive(ctx, id), kingcuphook.ErrLeaseLost))
		entries, _, err := s.Watch(ctx, "a", revision)
		is.NoErr(err)
		is.Equal(len(entries), 1)
		is.True(entries[0].Deleted())
	})
}

// A watch from a revision before a compaction must fail rather than miss changes.
func TestWatchAfterCompaction(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s Store
	_, err := s.Put(ctx, "a", nil, kingcuphook.RevisionAny, 0)
	is.NoErr(err)
	s.Compact()
	_, _, err = s.Watch(ctx, "a", 0)
	is.True(errors.Is(err, kingcuphook.ErrCompacted))
}
