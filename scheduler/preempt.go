package scheduler

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/preemptor"
)

const (
	// maxPreempts bounds the requests that one search considers.
	maxPreempts = 4
	// preemptInterval is the least time between two searches.
	preemptInterval = 10 * time.Millisecond
)

// preempt gives slots of lower tiers to queued requests that would otherwise miss their
// target.
func (p *pass) preempt() {
	s := p.scheduler
	if s.Preemptor == nil || p.queue == nil || p.now.Sub(s.lastPreemptSearch) < preemptInterval {
		return
	}
	s.lastPreemptSearch = p.now
	for range maxPreempts {
		r := p.queue.Next(p.now, anyTier)
		if r == nil {
			return
		}
		run := s.victim(p.now, r)
		if run == nil {
			p.deferRequest(r)
			continue
		}
		p.preemptRun(r, run)
	}
}

func anyTier(kingcuphook.Tier) int { return 1 }

// victim returns the run to preempt for r, or nil. A request that can still wait, and
// one that would miss its target even so, preempts nothing.
func (s *Scheduler) victim(now time.Time, r *kingcuphook.Request) *run {
	firstToken := s.averageFirstTokenTime()
	due := s.Preemptor.PreemptBy(r, firstToken)
	if due.IsZero() || now.Before(due) || s.Preemptor.WouldMissTarget(now, r, firstToken) {
		return nil
	}
	runs := make([]preemptor.Candidate, len(s.runOrder))
	for i, run := range s.runOrder {
		runs[i] = preemptor.Candidate{
			Request:   run.request,
			Upstream:  run.upstream,
			Tokens:    run.tokens,
			Protected: run.guaranteed || run.preempted || !s.usableFor(now, run, r),
		}
	}
	i := s.Preemptor.Choose(r, runs)
	if i < 0 {
		return nil
	}
	s.Preemptor.Preempted(runs[i])
	return s.runOrder[i]
}

// usableFor reports whether r may run on the upstream of run. An upstream with a rate limit
// is left out: it would get a request more, without a permit.
func (s *Scheduler) usableFor(now time.Time, run *run, r *kingcuphook.Request) bool {
	row := s.slots.byAddress[run.upstream.Address()]
	return row != nil && !row.leaving && !row.ejected &&
		!s.isLimited(now, row.upstream.Address()) &&
		mayRun(run.upstream, r) && s.fits(now, row, r, tierOf(r)) &&
		!slices.Contains(s.excluded[r.ID()], run.upstream.Address())
}

func (p *pass) preemptRun(r *kingcuphook.Request, victim *run) {
	victim.preempted = true
	choice := p.scheduler.describeChoice(p.now, r, victim.upstream)
	p.assign(kingcuphook.Assignment{Request: r, Choice: choice, Preempts: victim.request.ID()}, false)
}
