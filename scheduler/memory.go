package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// reasonNoMemory is the RejectReason of a candidate with too little free KV memory.
const reasonNoMemory = "no-kv-memory"

// fits reports whether the upstream has enough free KV memory for the request as one of the tier.
func (s *Scheduler) fits(now time.Time, row *slotRow, r *kingcuphook.Request, tier kingcuphook.Tier) bool {
	return s.Memory == nil || s.Memory.Fits(now, row.upstream.Address(), r, tier)
}

// rejectTooLarge returns the shed of a request that exceeds the whole KV memory of an upstream, and whether it does.
func (s *Scheduler) rejectTooLarge(r *kingcuphook.Request) (kingcuphook.Shed, bool) {
	if s.Memory == nil || !s.Memory.TooLarge(r) {
		return kingcuphook.Shed{}, false
	}
	err := fmt.Errorf("scheduler: prompt of %d tokens and its answer exceed the KV memory of the engines: %w", r.PromptTokens(), kingcuphook.ErrTooLarge)
	return kingcuphook.NewShed(r, err, 0), true
}

// holdForMemory records that a request waits for KV memory, if there are upstreams with a free slot for it and none of
// them has enough.
func (s *Scheduler) holdForMemory(now time.Time, r *kingcuphook.Request, tier kingcuphook.Tier) {
	if s.Memory == nil || !s.Memory.Bounds() || s.freeSlots(now, tier) == 0 {
		return
	}
	var addresses []string
	for _, row := range s.slots.rows {
		address := row.upstream.Address()
		if row.free[tier.Index()] == 0 || !mayRun(row.upstream, r) || slices.Contains(s.excluded[r.ID()], address) {
			continue
		}
		if s.fits(now, row, r, tier) {
			return
		}
		addresses = append(addresses, address)
	}
	if len(addresses) > 0 {
		s.Memory.Hold(now, r, tier, addresses)
	}
}

// rejectFullCandidates rejects the candidates with too little free KV memory for the request.
func (s *Scheduler) rejectFullCandidates(now time.Time, r *kingcuphook.Request, candidates []kingcuphook.Candidate) {
	if s.Memory == nil {
		return
	}
	for i, c := range candidates {
		row := s.slots.byAddress[c.Upstream]
		if c.RejectReason == "" && row != nil && !s.fits(now, row, r, tierOf(r)) {
			candidates[i].RejectReason = reasonNoMemory
		}
	}
}

// HeldMemory returns the KV memory that the running requests are expected to hold at each upstream.
func (s *Scheduler) HeldMemory() []kingcuphook.HeldMemory {
	if s.Memory == nil {
		return nil
	}
	return s.Memory.Held()
}
