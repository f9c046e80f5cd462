package scheduler

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Upstreams that announced a rate limit get a request only with a permit, of which the
// routers together get as many as the limit allows. A request whose preferred upstream has
// no permit goes to another one; the permit that was requested for it serves a later
// request.

// maxWithheld is the number of limited upstreams for which one request may ask for a permit.
// After that it is assigned only to upstreams that need none or for which there is one.
const maxWithheld = 2

// reasonRateLimited is why a candidate without a permit is refused.
const reasonRateLimited = "rate-limited"

// permitState returns the state of the upstream's permits.
func (s *Scheduler) permitState(now time.Time, row *slotRow, tier kingcuphook.Tier) kingcuphook.PermitState {
	if s.Permits == nil {
		return kingcuphook.PermitState{}
	}
	return s.Permits.State(now, row.upstream.Program(), tier)
}

// hasPermits reports whether the upstream may get requests now, or a permit may be requested.
func (s *Scheduler) hasPermits(now time.Time, row *slotRow, tier kingcuphook.Tier) bool {
	if s.Permits == nil {
		return true
	}
	state := s.permitState(now, row, tier)
	s.slots.limited = s.slots.limited || state.Limited
	if state.Bounded && state.Held == 0 && s.slots.requested >= s.slots.queued {
		// What was asked for suffices for the queue. More would lie idle here while
		// another router needs it.
		return false
	}
	return !row.withheld && state.Available(now)
}

// countRequested counts the brittle upstreams of which a place has been requested. The number of queued
// requests is given.
func (s *Scheduler) countRequested(now time.Time, queued int) {
	s.slots.queued, s.slots.requested = queued, 0
	if s.Permits == nil || s.slots.queued == 0 {
		return
	}
	for _, row := range s.slots.rows {
		if state := s.permitState(now, row, kingcuphook.HighestTier); state.Bounded && state.Requested {
			s.slots.requested++
		}
	}
}

// acquirePermit takes a permit for a request, and reports whether it may be sent to the
// upstream.
func (s *Scheduler) acquirePermit(now time.Time, u *kingcuphook.Upstream, tier kingcuphook.Tier) bool {
	if s.Permits != nil && s.dryRun {
		state := s.Permits.State(now, u.Program(), tier)
		return !state.Limited || state.Held > 0
	}
	return s.Permits == nil || s.Permits.Acquire(now, u.Program(), tier)
}

// isLimited reports whether the upstream has a rate limit.
func (s *Scheduler) isLimited(now time.Time, address string) bool {
	row := s.slots.byAddress[address]
	return row != nil && s.permitState(now, row, kingcuphook.HighestTier).Limited
}

// withhold keeps requests from an upstream until the next call of Assign.
func (s *Scheduler) withhold(now time.Time, row *slotRow) {
	row.withheld = true
	s.slots.withheld = append(s.slots.withheld, row)
	s.refreshRow(now, row)
}

// withholdWithoutPermit keeps requests from all limited upstreams for which there is no
// permit, until the next call of Assign.
func (s *Scheduler) withholdWithoutPermit(now time.Time, tier kingcuphook.Tier) {
	for _, row := range s.slots.rows {
		if state := s.permitState(now, row, tier); state.Limited && state.Held == 0 && !row.withheld {
			s.withhold(now, row)
		}
	}
}

// choosePermitted selects an upstream with a free slot of the tier and takes a permit for it
// if it needs one.
func (s *Scheduler) choosePermitted(now time.Time, r *kingcuphook.Request, tier kingcuphook.Tier) (kingcuphook.Choice, bool) {
	if choice, ok := s.chooseExpiring(now, r, tier); ok {
		return choice, true
	}
	withheldFrom := ""
	for n := 0; ; n++ {
		choice, err := s.selectVacant(now, r, tier)
		if err != nil || choice.Upstream == nil {
			return kingcuphook.Choice{}, false
		}
		if s.acquirePermit(now, choice.Upstream, tier) {
			choice.RateLimited = withheldFrom
			s.offerLimited(now, r, choice.Upstream)
			return choice, true
		}
		if withheldFrom == "" {
			withheldFrom = choice.Upstream.Address()
		}
		row := s.slots.byAddress[choice.Upstream.Address()]
		bounded := s.permitState(now, row, tier).Bounded
		if bounded {
			s.slots.requested++
		}
		s.withhold(now, row)
		if n == maxWithheld || bounded {
			s.withholdWithoutPermit(now, tier)
		}
	}
}

// chooseExpiring selects an upstream for which a permit expires soon, so that it is not
// left unused while the requests prefer other upstreams.
func (s *Scheduler) chooseExpiring(now time.Time, r *kingcuphook.Request, tier kingcuphook.Tier) (kingcuphook.Choice, bool) {
	expiring := func(row *slotRow) bool {
		return row.free[tier.Index()] > 0 && s.permitState(now, row, tier).Expiring && s.fits(now, row, r, tier)
	}
	if !s.slots.limited || !slices.ContainsFunc(s.slots.rows, expiring) {
		return kingcuphook.Choice{}, false
	}
	choice, err := s.selectUsable(now, r, expiring)
	if err != nil || choice.Upstream == nil || choice.Spilled || !s.acquirePermit(now, choice.Upstream, tier) {
		return kingcuphook.Choice{}, false
	}
	return choice, true
}

// offerLimited offers the request, which was assigned to an upstream, to one of the limited
// upstreams in the same region, so that their limits are used.
func (s *Scheduler) offerLimited(now time.Time, r *kingcuphook.Request, assigned *kingcuphook.Upstream) {
	if !s.slots.limited || s.dryRun {
		return
	}
	s.slots.offered++
	row := s.slots.rows[s.slots.offered%len(s.slots.rows)]
	if row.upstream.Region() == assigned.Region() && mayRun(row.upstream, r) && !row.leaving {
		s.Permits.Offer(now, row.upstream.Program())
	}
}

// rejectLimitedCandidates marks the candidates for which there is no permit.
func (s *Scheduler) rejectLimitedCandidates(now time.Time, r *kingcuphook.Request, candidates []kingcuphook.Candidate) {
	for i, c := range candidates {
		row := s.slots.byAddress[c.Upstream]
		if c.RejectReason != "" || row == nil {
			continue
		}
		if state := s.permitState(now, row, tierOf(r)); state.Limited && state.Held == 0 {
			candidates[i].RejectReason = reasonRateLimited
		}
	}
}
