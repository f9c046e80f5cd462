package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// Overloaded upstreams reject calls and ask for no new work until a time: they are
// paused. After that they ramp up: a growing share of their slots is used, so that the
// requests queued meanwhile don't overload them again. While all upstreams that serve a
// request are paused, or have no permits for it, it is shed with a time to retry after if it
// would miss its target by waiting.

const (
	// rampUpTime is how long after a pause all slots of an upstream are used again.
	rampUpTime = time.Second
	// minRampUpShare is the share of its slots that is used right after a pause.
	minRampUpShare = 0.02
)

// Pause notes that an upstream asked for no new work until the given time. A time that
// is not after the one noted before is ignored.
func (s *Scheduler) Pause(now time.Time, p kingcuphook.Program, until time.Time) {
	s.slots.pause(now, p, until)
}

func (t *slotTable) pause(now time.Time, p kingcuphook.Program, until time.Time) {
	if !until.After(t.pauses[p]) {
		return
	}
	for known, end := range t.pauses {
		if now.Sub(end) >= rampUpTime {
			delete(t.pauses, known)
		}
	}
	if t.pauses == nil {
		t.pauses = make(map[kingcuphook.Program]time.Time)
	}
	t.pauses[p] = until
	if row := t.byAddress[p.Address()]; row != nil && row.upstream.Program() == p {
		row.pausedUntil = until
	}
}

// paused reports whether the upstream is paused.
func (r *slotRow) paused(now time.Time) bool { return now.Before(r.pausedUntil) }

// rampUpShare returns the share of the slots that may be used, given the time since the
// last pause.
func (r *slotRow) rampUpShare(now time.Time) float64 {
	if r.pausedUntil.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(r.pausedUntil))/float64(rampUpTime), minRampUpShare), 1)
}

// anyAccepting reports whether an upstream that is not leaving is not blocked for requests
// of the tier.
func (s *Scheduler) anyAccepting(now time.Time, tier kingcuphook.Tier) bool {
	return slices.ContainsFunc(s.slots.rows, func(row *slotRow) bool {
		return !row.leaving && s.blockOf(now, row, tier).until.IsZero()
	})
}

// block is the time until which an upstream accepts no requests, and why; until is zero if
// it accepts some.
type block struct {
	until  time.Time
	reason error
}

// blockOf returns until when the upstream is paused, or has no permits for requests of the
// tier.
func (s *Scheduler) blockOf(now time.Time, row *slotRow, tier kingcuphook.Tier) block {
	b := block{}
	if row.paused(now) {
		b = block{row.pausedUntil, kingcuphook.ErrPaused}
	}
	if state := s.permitState(now, row, tier); state.Denied(now) && state.DeniedUntil.After(b.until) {
		b = block{state.DeniedUntil, kingcuphook.ErrUpstreamsLimited}
	}
	return b
}

// firstBlock returns the block that ends first among the upstreams that serve the request
// and are not leaving. It is zero unless all of them are blocked.
func (s *Scheduler) firstBlock(now time.Time, r *kingcuphook.Request) block {
	var first block
	for _, row := range s.slots.rows {
		if row.leaving || !mayRun(row.upstream, r) {
			continue
		}
		b := s.blockOf(now, row, tierOf(r))
		if b.until.IsZero() {
			return block{}
		}
		if first.until.IsZero() || b.until.Before(first.until) {
			first = b
		}
	}
	return first
}

// rejectBlocked returns the shed of a request whose upstreams are all blocked for longer
// than it can wait without missing its target.
func (s *Scheduler) rejectBlocked(now time.Time, r *kingcuphook.Request) (kingcuphook.Shed, bool) {
	b := s.firstBlock(now, r)
	if b.until.IsZero() || b.until.Before(r.Arrived().Add(r.Target())) {
		return kingcuphook.Shed{}, false
	}
	err := fmt.Errorf("scheduler: %w: %w", kingcuphook.ErrOverloaded, b.reason)
	return kingcuphook.NewShed(r, err, b.until.Sub(now)+retryJitter(r.ID())), true
}

// retryJitter returns a part of rampUpTime that depends on the request, so that callers
// don't all retry at the same moment.
func retryJitter(id string) time.Duration {
	return time.Duration(float64(xxhash.Sum64String(id)) / math.MaxUint64 * float64(rampUpTime))
}
