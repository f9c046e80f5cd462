package scheduler

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// probeWait is how long only requests below the highest tier are used as
	// probes after one of them was assigned.
	probeWait = 5 * time.Second
	// probeEvery is the least time between two searches for a probe.
	probeEvery = 50 * time.Millisecond
	// maxProbes bounds the requests that one search weighs.
	maxProbes = 4
)

// probe sends waiting requests to ejected upstreams, whether or not others have
// free slots. Non-idempotent requests never probe, those of the highest tier only
// if no others come.
func (p *pass) probe() {
	s := p.scheduler
	if s.Ejector == nil || s.Admitter.Len() == 0 || p.now.Sub(s.lastProbe) < probeEvery {
		return
	}
	s.count(p.now, kingcuphook.HighestTier)
	if !slices.ContainsFunc(s.slots.rows, (*slotRow).probed) {
		return
	}
	s.lastProbe = p.now
	defer p.giveBack()
	free := lowerTiers
	if p.now.Sub(s.lastLower) >= probeWait {
		free = oneSlot
	}
	for range maxProbes {
		r := s.Admitter.Next(p.now, free)
		if r == nil {
			return
		}
		row := s.probeRow(p.now, r)
		if row == nil {
			p.park(r)
			continue
		}
		choice := kingcuphook.Choice{Upstream: row.upstream, UncachedTokens: r.PromptTokens()}
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
		if !row.probed() || !serves(row.upstream, r.Model()) {
			continue
		}
		if slices.Contains(s.excluded[r.ID()], row.upstream.Address()) {
			continue
		}
		if s.Ejector.Probe(now, row.upstream.Address()) {
			return row
		}
	}
	return nil
}

// probed reports whether the upstream may get probes and nothing else.
func (r *slotRow) probed() bool { return r.ejected && !r.leaving }
