package scheduler

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/preemptor"
)

const (
	// maxPreempts bounds the requests that one search weighs.
	maxPreempts = 4
	// preemptEvery is the least time between two searches.
	preemptEvery = 10 * time.Millisecond
)

// preempt gives slots of lower tiers to waiting requests that would miss their
// target otherwise.
func (p *pass) preempt() {
	s := p.scheduler
	if s.Preemptor == nil || p.queue == nil || p.now.Sub(s.lastSearch) < preemptEvery {
		return
	}
	s.lastSearch = p.now
	for range maxPreempts {
		r := p.queue.Next(p.now, oneSlot)
		if r == nil {
			return
		}
		run := s.victim(p.now, r)
		if run == nil {
			p.park(r)
			continue
		}
		p.take(r, run)
	}
}

func oneSlot(kingcuphook.Tier) int { return 1 }

// victim returns the run whose slot r takes, or nil. Requests that can wait, and
// those that would be late even so, preempt nothing.
func (s *Scheduler) victim(now time.Time, r *kingcuphook.Request) *run {
	firstToken := s.usualFirstToken()
	due := s.Preemptor.PreemptBy(r, firstToken)
	if due.IsZero() || now.Before(due) || s.Preemptor.WouldMissTarget(now, r, firstToken) {
		return nil
	}
	runs := make([]preemptor.Candidate, len(s.order))
	for i, run := range s.order {
		runs[i] = preemptor.Candidate{
			Request:   run.request,
			Upstream:  run.upstream,
			Tokens:    run.tokens,
			Protected: run.guaranteed || run.preempted || !s.usableFor(run, r),
		}
	}
	i := s.Preemptor.Choose(r, runs)
	if i < 0 {
		return nil
	}
	s.Preemptor.Preempted(runs[i])
	return s.order[i]
}

// usableFor reports whether r may run where run does.
func (s *Scheduler) usableFor(run *run, r *kingcuphook.Request) bool {
	row := s.slots.byAddress[run.upstream.Address()]
	return row != nil && !row.leaving && !row.ejected &&
		serves(run.upstream, r.Model()) &&
		!slices.Contains(s.excluded[r.ID()], run.upstream.Address())
}

func (p *pass) take(r *kingcuphook.Request, victim *run) {
	victim.preempted = true
	choice := kingcuphook.Choice{Upstream: victim.upstream, UncachedTokens: r.PromptTokens()}
	p.assign(kingcuphook.Assignment{Request: r, Choice: choice, Preempts: victim.request.ID()}, false)
}
