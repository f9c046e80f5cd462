package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// slotTable has the free slots of a pool during one call of Assign.
type slotTable struct {
	rows []*slotRow
	// byAddress indexes rows.
	byAddress map[string]*slotRow
	// filled says for which tiers the rows are up to date.
	filled [kingcuphook.TierCount]bool
	// total is the sum of the free slots of the rows.
	total [kingcuphook.TierCount]int
	// rests has until when programs want nothing new, also of those that are not in
	// the pool now.
	rests map[kingcuphook.Program]time.Time
}

// slotRow is one upstream of the pool.
type slotRow struct {
	upstream *kingcuphook.Upstream
	// leaving says that the table or the upstream itself wants no new work, said that
	// the upstream does.
	leaving, said bool
	// rest is until when the upstream wants nothing new; zero if it asked for no rest.
	rest time.Time
	// running counts the attempts of this router.
	running int
	// free has the free slots by tier.
	free [kingcuphook.TierCount]int
	// ejected says that only probes may go there.
	ejected bool
}

func (t *slotTable) update(p *kingcuphook.Pool) {
	old := t.byAddress
	t.rows = make([]*slotRow, 0, len(p.Upstreams()))
	t.byAddress = make(map[string]*slotRow, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		row := &slotRow{upstream: u, leaving: u.Leaving(), rest: t.rests[u.Program()]}
		if was := old[u.Address()]; was != nil {
			row.running = was.running
			row.said = was.said && was.upstream.Program() == u.Program()
			row.leaving = row.leaving || row.said
		}
		t.rows = append(t.rows, row)
		t.byAddress[u.Address()] = row
	}
}

// setLeaving takes what an upstream says of itself. It reports whether the
// upstream belongs to the pool.
func (t *slotTable) setLeaving(address string, leaving bool) bool {
	row := t.byAddress[address]
	if row == nil {
		return false
	}
	row.said = leaving
	row.leaving = leaving || row.upstream.Leaving()
	return true
}

// allBarred reports whether some upstream serves the model and all that do are
// excluded.
func (t *slotTable) allBarred(model string, excluded []string) bool {
	if len(excluded) == 0 {
		return false
	}
	barred := false
	for _, row := range t.rows {
		if row.leaving || !serves(row.upstream, model) {
			continue
		}
		if !slices.Contains(excluded, row.upstream.Address()) {
			return false
		}
		barred = true
	}
	return barred
}

// takes reports whether some upstream that doesn't leave serves the model.
func (t *slotTable) takes(model string) bool {
	return slices.ContainsFunc(t.rows, func(row *slotRow) bool {
		return !row.leaving && serves(row.upstream, model)
	})
}

// takesAny reports whether some upstream neither leaves nor rests.
func (t *slotTable) takesAny(now time.Time) bool {
	return slices.ContainsFunc(t.rows, func(row *slotRow) bool { return !row.leaving && !row.resting(now) })
}

// reset forgets the free slots, which change with every event.
func (t *slotTable) reset() { t.filled = [kingcuphook.TierCount]bool{} }

// count returns the free slots of the tier.
func (s *Scheduler) count(now time.Time, tier kingcuphook.Tier) int {
	t := &s.slots
	i := tier.Index()
	if t.filled[i] {
		return t.total[i]
	}
	t.filled[i] = true
	t.total[i] = 0
	for _, row := range t.rows {
		row.free[i] = s.free(now, row, tier)
		t.total[i] += row.free[i]
	}
	return t.total[i]
}

// refresh reads the free slots of one row again.
func (s *Scheduler) refresh(now time.Time, row *slotRow) {
	t := &s.slots
	for i, filled := range t.filled {
		if !filled {
			continue
		}
		free := s.free(now, row, kingcuphook.HighestTier+kingcuphook.Tier(i))
		t.total[i] += free - row.free[i]
		row.free[i] = free
	}
}

// free returns the slots of row that requests of the tier may use.
func (s *Scheduler) free(now time.Time, row *slotRow, tier kingcuphook.Tier) int {
	row.ejected = false
	if row.leaving || row.resting(now) {
		return 0
	}
	weight := min(s.weight(now, row), row.returned(now))
	if weight <= 0 {
		row.ejected = true
		return 0
	}
	free := s.Limiter.Free(now, row.upstream.Address(), tier)
	if weight >= 1 {
		return free
	}
	allowed := int(math.Ceil(weight * float64(row.running+free)))
	return max(0, allowed-row.running)
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
