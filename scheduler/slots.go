package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// slotTable holds the free slots of a pool during one call of Assign.
type slotTable struct {
	// pool is the last revision of the pool; nil before the first.
	pool *kingcuphook.Pool
	rows []*slotRow
	// byAddress indexes rows.
	byAddress map[string]*slotRow
	// next is the index of the row that find tries first.
	next int
	// current marks the tiers whose free slots have been read in this call.
	current [kingcuphook.TierCount]bool
	// total is the sum of the free slots of the rows.
	total [kingcuphook.TierCount]int
	// pauses holds until when programs asked for no new work, including those that are
	// not in the pool now.
	pauses map[kingcuphook.Program]time.Time
	// limited means that an upstream had a rate limit when the free slots were read.
	limited bool
	// offered counts the requests that were offered to limited upstreams in turn.
	offered int
	// queued is the number of queued requests, requested that of the brittle upstreams of which
	// a place has been requested.
	queued, requested int
	// withheld has the rows that are marked as withheld.
	withheld []*slotRow
}

// slotRow is one upstream of the pool.
type slotRow struct {
	upstream *kingcuphook.Upstream
	// leaving means that the pool marks the upstream as leaving or that it reported so
	// itself; reportedLeaving means the latter alone.
	leaving, reportedLeaving bool
	// pausedUntil is until when the upstream asked for no new work; zero if no pause is
	// known.
	pausedUntil time.Time
	// running counts the attempts of this router.
	running int
	// free is the number of free slots by tier.
	free [kingcuphook.TierCount]int
	// ejected means that the upstream gets only probes.
	ejected bool
	// withheld means that there was no permit for the upstream in this call of Assign.
	withheld bool
}

// update applies the current revision of the pool. The runs are counted again, since an upstream
// may return after it has left the pool.
func (t *slotTable) update(p *kingcuphook.Pool, runs []*run) {
	change, ok := p.ChangeSince(t.pool)
	if ok {
		t.apply(change, p)
	} else {
		t.rebuild(p)
	}
	t.pool, t.next = p, 0
	for _, run := range runs {
		if row := t.byAddress[run.upstream.Address()]; row != nil {
			row.running++
		}
	}
}

// rebuild creates the rows of all upstreams of the pool.
func (t *slotTable) rebuild(p *kingcuphook.Pool) {
	old := t.byAddress
	t.rows = make([]*slotRow, 0, len(p.Upstreams()))
	t.byAddress = make(map[string]*slotRow, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		row := t.newRow(u, old[u.Address()])
		t.rows = append(t.rows, row)
		t.byAddress[u.Address()] = row
	}
}

// newRow returns the row of an upstream; was is the earlier row of its address, nil if there was none.
func (t *slotTable) newRow(u *kingcuphook.Upstream, was *slotRow) *slotRow {
	row := &slotRow{upstream: u, leaving: u.Leaving(), pausedUntil: t.pauses[u.Program()]}
	if was != nil {
		row.reportedLeaving = was.reportedLeaving && was.upstream.Program() == u.Program()
		row.leaving = row.leaving || row.reportedLeaving
	}
	return row
}

// apply creates rows for added and changed upstreams, and resets the others. It is cheaper than rebuild for large pools
// of which few upstreams have changed.
func (t *slotTable) apply(c kingcuphook.PoolChange, p *kingcuphook.Pool) {
	added := make([]*slotRow, 0, len(c.Added))
	for _, u := range c.Added {
		row := t.byAddress[u.Address()]
		if row == nil || row.upstream != u {
			row = t.newRow(u, row)
		}
		added = append(added, row)
	}
	for _, u := range c.Removed {
		delete(t.byAddress, u.Address())
	}
	for _, row := range added {
		t.byAddress[row.upstream.Address()] = row
	}
	t.orderRows(p)
	for _, row := range t.rows {
		row.reset(t.pauses)
	}
}

// orderRows sets rows to those of byAddress in the order of the pool. Most rows are the next one of
// the old rows, which saves their look-up.
func (t *slotTable) orderRows(p *kingcuphook.Pool) {
	old, i := t.rows, 0
	t.rows = make([]*slotRow, 0, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		for i < len(old) && old[i].upstream != u && t.byAddress[old[i].upstream.Address()] != old[i] {
			i++ // it was removed
		}
		if i < len(old) && old[i].upstream == u {
			t.rows = append(t.rows, old[i])
			i++
		} else {
			t.rows = append(t.rows, t.byAddress[u.Address()])
		}
	}
}

// reset discards the number of runs and the state that is valid for one call of Assign, and reads the pause.
func (r *slotRow) reset(pauses map[kingcuphook.Program]time.Time) {
	r.pausedUntil = time.Time{}
	if len(pauses) > 0 {
		r.pausedUntil = pauses[r.upstream.Program()]
	}
	r.running, r.ejected, r.withheld = 0, false, false
	r.free = [kingcuphook.TierCount]int{}
}

// setLeaving records whether the upstream reports that it is leaving. It returns whether
// the upstream belongs to the pool.
func (t *slotTable) setLeaving(address string, leaving bool) bool {
	row := t.find(address)
	if row == nil {
		return false
	}
	row.reportedLeaving = leaving
	row.leaving = leaving || row.upstream.Leaving()
	return true
}

// find returns the row of an address; nil if there is none. Reports come in the order of the pool, so
// that the next row is usually found without a look-up.
func (t *slotTable) find(address string) *slotRow {
	if t.next >= len(t.rows) {
		t.next = 0
	}
	if len(t.byAddress) == len(t.rows) && t.next < len(t.rows) && t.rows[t.next].upstream.Address() == address {
		t.next++
		return t.rows[t.next-1]
	}
	return t.byAddress[address]
}

// allExcluded reports whether upstreams that are not leaving may run r and all of them are
// excluded.
func (t *slotTable) allExcluded(r *kingcuphook.Request, excluded []string) bool {
	if len(excluded) == 0 {
		return false
	}
	served := false
	for _, row := range t.rows {
		if row.leaving || !mayRun(row.upstream, r) {
			continue
		}
		if !slices.Contains(excluded, row.upstream.Address()) {
			return false
		}
		served = true
	}
	return served
}

// serves reports whether an upstream that is not leaving may run r.
func (t *slotTable) serves(r *kingcuphook.Request) bool {
	return slices.ContainsFunc(t.rows, func(row *slotRow) bool {
		return !row.leaving && mayRun(row.upstream, r)
	})
}

// reset discards the free slots, which change with every event.
func (t *slotTable) reset() {
	t.current = [kingcuphook.TierCount]bool{}
	t.limited = false
	for _, row := range t.withheld {
		row.withheld = false
	}
	t.withheld = t.withheld[:0]
}

// freeSlots returns the free slots of the tier over all upstreams.
func (s *Scheduler) freeSlots(now time.Time, tier kingcuphook.Tier) int {
	t := &s.slots
	i := tier.Index()
	if t.current[i] {
		return t.total[i]
	}
	t.current[i] = true
	t.total[i] = 0
	for _, row := range t.rows {
		row.free[i] = s.rowFreeSlots(now, row, tier)
		t.total[i] += row.free[i]
	}
	return t.total[i]
}

// HasVacancy reports whether the upstreams that are not excluded have n slots for requests
// like r now; if resumes is set, those that can resume a partial answer.
func (s *Scheduler) HasVacancy(now time.Time, r *kingcuphook.Request, excluded []string, resumes bool, n int) bool {
	return slices.ContainsFunc(s.slots.rows, func(row *slotRow) bool {
		u := row.upstream
		if slices.Contains(excluded, u.Address()) || resumes && !u.Resumes() || !mayRun(u, r) || !s.fits(now, row, r, tierOf(r)) {
			return false
		}
		n -= s.rowFreeSlots(now, row, tierOf(r))
		return n <= 0
	})
}

// HasSpareSlot reports whether a request like r could take a slot now that no first attempt needs: none
// is queued here, and an upstream that is not excluded has a slot that even the lowest tier may use.
func (s *Scheduler) HasSpareSlot(now time.Time, r *kingcuphook.Request, excluded []string) bool {
	if s.Len() > 0 {
		return false
	}
	return slices.ContainsFunc(s.slots.rows, func(row *slotRow) bool {
		u := row.upstream
		return !slices.Contains(excluded, u.Address()) && mayRun(u, r) &&
			s.rowFreeSlots(now, row, kingcuphook.LowestTier) > 0 && s.fits(now, row, r, kingcuphook.LowestTier)
	})
}

// refreshRow reads the free slots of one row again.
func (s *Scheduler) refreshRow(now time.Time, row *slotRow) {
	t := &s.slots
	for i, current := range t.current {
		if !current {
			continue
		}
		free := s.rowFreeSlots(now, row, kingcuphook.HighestTier+kingcuphook.Tier(i))
		t.total[i] += free - row.free[i]
		row.free[i] = free
	}
}

// rowFreeSlots returns the slots of row that requests of the tier may use.
func (s *Scheduler) rowFreeSlots(now time.Time, row *slotRow, tier kingcuphook.Tier) int {
	row.ejected = false
	if row.leaving || row.paused(now) || !s.hasPermits(now, row, tier) {
		return 0
	}
	weight := min(s.weight(now, row), row.rampUpShare(now))
	if weight <= 0 {
		row.ejected = true
		return 0
	}
	free := s.Limiter.Free(now, row.upstream.Address(), tier)
	if state := s.permitState(now, row, tier); state.Bounded {
		// With none held, one slot lets a request ask for a place.
		free = max(state.Held, 1)
	}
	if weight >= 1 {
		return free
	}
	allowed := int(math.Ceil(weight * float64(row.running+free)))
	return max(0, allowed-row.running)
}

// isOpen reports whether only the limits of the upstream keep requests of the tier from it.
func (s *Scheduler) isOpen(now time.Time, row *slotRow, tier kingcuphook.Tier) bool {
	return !row.leaving && !row.withheld && !row.paused(now) && s.weight(now, row) >= 1 && row.rampUpShare(now) >= 1 &&
		!s.permitState(now, row, tier).Limited && !s.permitState(now, row, tier).Bounded
}

func (s *Scheduler) weight(now time.Time, row *slotRow) float64 {
	if s.Ejector == nil {
		return 1
	}
	return s.Ejector.Weight(now, row.upstream.Address())
}

func serves(u *kingcuphook.Upstream, model string) bool {
	return model == "" || len(u.Models()) == 0 || slices.Contains(u.Models(), model)
}
