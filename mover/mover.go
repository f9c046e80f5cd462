// Package mover decides which of the streams that run at a leaving upstream are moved to another one with
// their KV memory, in which order and when. It has no clock and does no I/O.
package mover

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// noticeLag is how late the notice of an upstream may be seen, so that it leaves that much earlier than
	// it seems to.
	noticeLag = time.Second
	// paceMargin is the factor by which a stream may get slower and still counts as ending in time.
	paceMargin = 1.5
)

// Stream is a stream that runs at a leaving upstream.
type Stream struct {
	// Tier is the rank of its request.
	Tier kingcuphook.Tier
	// Repeatable is set if the stream can be resumed elsewhere without a copy.
	Repeatable bool
	// Tokens is the number of tokens in its KV memory.
	Tokens int
	// TokensLeft is the largest number of tokens to come; negative means unknown.
	TokensLeft int
	// Pace is the time for each token; 0 means unknown.
	Pace time.Duration
}

// endsIn reports whether the stream surely ends within that time by its pace.
func (s *Stream) endsIn(left time.Duration) bool {
	if s.TokensLeft < 0 || s.Pace <= 0 {
		return false
	}
	return float64(s.TokensLeft)*float64(s.Pace)*paceMargin <= float64(left)
}

// Move is the decision to move a stream.
type Move struct {
	// Index is the index of the stream.
	Index int
	// After is the time from now after which the move begins, when the link of the source has copied the
	// streams before it.
	After time.Duration
}

// Plan returns the moves of the streams of an upstream that leaves in the given time, in their order. Streams
// without an event aren't passed to it. The order is by
// rank, those that can't be repeated first within a rank, and then those with the shortest copy, so that as
// many as possible are moved in time. Streams that end in time are left alone, and so are those that can't
// be copied any more. The data centre of a target is not known yet, so that the copy counts as one between
// data centres.
func Plan(left time.Duration, m kingcuphook.StreamMoves, streams []Stream) []Move {
	if !m.Enabled() || left <= 0 {
		return nil
	}
	moves := make([]Move, 0, len(streams))
	for i := range streams {
		if s := &streams[i]; !s.endsIn(left - noticeLag) {
			moves = append(moves, Move{Index: i})
		}
	}
	slices.SortStableFunc(moves, func(a, b Move) int { return compare(&streams[a.Index], &streams[b.Index]) })
	var queued time.Duration
	inTime := moves[:0]
	for _, move := range moves {
		took := m.CopyTime(streams[move.Index].Tokens, false)
		if queued+took > left {
			continue
		}
		move.After = queued
		queued += took
		inTime = append(inTime, move)
	}
	return inTime
}

func compare(a, b *Stream) int {
	if c := cmp.Compare(a.Tier, b.Tier); c != 0 {
		return c
	}
	if a.Repeatable != b.Repeatable {
		if b.Repeatable {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Tokens, b.Tokens)
}
