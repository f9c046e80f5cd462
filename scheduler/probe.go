package scheduler

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// probeWait is how long requests of the highest tier are not used as probes after a
	// request below it was assigned.
	probeWait = 5 * time.Second
	// probeInterval is the least time between two searches for a probe.
	probeInterval = 50 * time.Millisecond
	// maxProbes bounds the requests that one search considers.
	maxProbes = 4
)

// probe sends queued requests to ejected upstreams, whether or not others have free
// slots. Non-idempotent requests are never probes, and those of the highest tier only if
// there are no others.
func (p *pass) probe() {
	s := p.scheduler
	if s.Ejector == nil || s.Admitter.Len() == 0 || p.now.Sub(s.lastProbeSearch) < probeInterval {
		return
	}
	s.freeSlots(p.now, kingcuphook.HighestTier)
	if !slices.ContainsFunc(s.slots.rows, (*slotRow).probeOnly) {
		return
	}
	s.lastProbeSearch = p.now
	defer p.returnDeferred()
	free := lowerTiers
	if p.now.Sub(s.lastLowerTier) >= probeWait {
		free = anyTier
	}
	for range maxProbes {
		r := s.Admitter.Next(p.now, free)
		if r == nil {
			return
		}
		row := s.probeRow(p.now, r)
		if row == nil {
			p.deferRequest(r)
			continue
		}
		choice := s.describeChoice(p.now, r, row.upstream)
		p.assign(kingcuphook.Assignment{Request: r, Choice: choice, Probe: true}, false)
	}
}

// lowerTiers offers a slot to every tier below the highest.
func lowerTiers(t kingcuphook.Tier) int {
	if t == kingcuphook.HighestTier {
		return 0
	}
	return 1
}

// probeRow returns an ejected upstream that r may probe now, or nil.
func (s *Scheduler) probeRow(now time.Time, r *kingcuphook.Request) *slotRow {
	if r.NonIdempotent() {
		return nil
	}
	for _, row := range s.slots.rows {
		if !row.probeOnly() || !mayRun(row.upstream, r) || !s.fits(now, row, r, tierOf(r)) {
			continue
		}
		if slices.Contains(s.excluded[r.ID()], row.upstream.Address()) {
			continue
		}
		if s.Ejector.Probe(now, row.upstream.Address()) && s.acquirePermit(now, row.upstream, tierOf(r)) {
			return row
		}
	}
	return nil
}

// probeOnly reports whether the upstream gets probes and no other work.
func (r *slotRow) probeOnly() bool { return r.ejected && !r.leaving }
