package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// Upstreams in trouble turn calls away and say for how long they want none. They get
// nothing until then, and after it a share of their work that grows, so that they
// are not overrun by all that waited. Callers of a pool in which every upstream rests
// are told at once when to come back.

const (
	// returnTime is how long an upstream takes after a rest to get all of its work.
	returnTime = time.Second
	// leastReturn is the share of its work that it begins with.
	leastReturn = 0.02
)

// Rest notes that an upstream wants nothing new until the given time. A time before
// one that was noted earlier changes nothing.
func (s *Scheduler) Rest(now time.Time, p kingcuphook.Program, until time.Time) {
	s.slots.rest(now, p, until)
}

func (t *slotTable) rest(now time.Time, p kingcuphook.Program, until time.Time) {
	if !until.After(t.rests[p]) {
		return
	}
	for known, end := range t.rests {
		if now.Sub(end) >= returnTime {
			delete(t.rests, known)
		}
	}
	if t.rests == nil {
		t.rests = make(map[kingcuphook.Program]time.Time)
	}
	t.rests[p] = until
	if row := t.byAddress[p.Address()]; row != nil && row.upstream.Program() == p {
		row.rest = until
	}
}

// resting reports whether the upstream wants nothing now.
func (r *slotRow) resting(now time.Time) bool { return now.Before(r.rest) }

// returned returns the share of its work that the upstream gets since its last rest.
func (r *slotRow) returned(now time.Time) float64 {
	if r.rest.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(r.rest))/float64(returnTime), leastReturn), 1)
}

// restEnd returns when the first of the upstreams that serve the model ends its rest.
// It is zero unless all that don't leave rest.
func (t *slotTable) restEnd(now time.Time, model string) time.Time {
	var end time.Time
	for _, row := range t.rows {
		if row.leaving || !serves(row.upstream, model) {
			continue
		}
		if !row.resting(now) {
			return time.Time{}
		}
		if end.IsZero() || row.rest.Before(end) {
			end = row.rest
		}
	}
	return end
}

// refuseForRest returns the refusal of a request whose upstreams all rest for longer
// than it can wait to be in time.
func (s *Scheduler) refuseForRest(now time.Time, r *kingcuphook.Request) (kingcuphook.Shed, bool) {
	end := s.slots.restEnd(now, r.Model())
	if end.IsZero() || end.Before(r.Arrived().Add(r.Target())) {
		return kingcuphook.Shed{}, false
	}
	err := fmt.Errorf("scheduler: %w: %w", kingcuphook.ErrOverloaded, kingcuphook.ErrResting)
	return kingcuphook.NewShed(r, err, end.Sub(now)+spread(r.ID())), true
}

// spread returns a part of the time in which upstreams return to their work, so that
// callers don't all come back in the same moment.
func spread(id string) time.Duration {
	return time.Duration(float64(xxhash.Sum64String(id)) / math.MaxUint64 * float64(returnTime))
}
