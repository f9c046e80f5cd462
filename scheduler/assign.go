package scheduler

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// maxDeferred bounds the requests that one call defers because they can't use the
	// free slots.
	maxDeferred = 32
	// maxHeld bounds the requests of a tier, or of a group with HoldPerModel, that one
	// call considers although those before them prefer waiting to the free slots.
	maxHeld = 4
	// maxMargin bounds how long before its target a request counts as late.
	maxMargin = 2 * time.Second
	// firstTokenStep is the weight of a new sample in the moving average of the time to
	// the first token.
	firstTokenStep = 0.1
)

// Assign implements kingcuphook.Scheduler.
func (s *Scheduler) Assign(now time.Time) ([]kingcuphook.Assignment, []kingcuphook.Shed) {
	sheds := s.forget(s.Admitter.Expire(now))
	sheds = append(sheds, s.shedVersionsGone()...)
	if m, ok := s.Admitter.(MarginSetter); ok {
		m.SetMargin(min(s.averageFirstTokenTime(), maxMargin))
	}
	s.slots.reset()
	s.countRequested(now, s.Admitter.Len())
	p := pass{scheduler: s, now: now}
	p.queue, _ = s.Admitter.(Queue)
	p.probe()
	for s.Admitter.Len() > 0 && len(p.deferred) < maxDeferred {
		r := p.next()
		if r == nil {
			break
		}
		p.assignOrDefer(r)
	}
	p.preempt()
	p.returnDeferred()
	return p.assignments, append(sheds, p.sheds...)
}

// pass is one call of Assign.
type pass struct {
	scheduler   *Scheduler
	now         time.Time
	queue       Queue
	assignments []kingcuphook.Assignment
	sheds       []kingcuphook.Shed
	// deferred holds the requests to be returned to the queue, in the order they were
	// taken.
	deferred []*kingcuphook.Request
	// blocked holds the groups of which no further request is considered.
	blocked []string
	// held counts by tier the requests that stay queued although an upstream with a free
	// slot may run them.
	held [kingcuphook.TierCount]int
	// heldGroups counts them by group instead, with HoldPerModel.
	heldGroups map[string]int
}

func (p *pass) next() *kingcuphook.Request {
	if p.queue == nil {
		return p.scheduler.Admitter.Next(p.now, p.freeSlots)
	}
	return p.queue.NextGroup(p.now, p.freeSlots, p.skip())
}

// freeSlots returns the free slots of the tier; none once maxHeld of its requests are
// held. While no upstream accepts requests of the tier it returns 1, so that each queued
// one is considered and shed if waiting is in vain.
func (p *pass) freeSlots(t kingcuphook.Tier) int {
	if p.held[t.Index()] >= maxHeld {
		return 0
	}
	if free := p.scheduler.freeSlots(p.now, t); free > 0 || p.scheduler.anyAccepting(p.now, t) {
		return free
	}
	return 1
}

func (p *pass) skip() func(string) bool {
	if len(p.blocked) == 0 {
		return nil
	}
	return func(group string) bool { return slices.Contains(p.blocked, group) }
}

// assignOrDefer assigns, sheds or defers r.
func (p *pass) assignOrDefer(r *kingcuphook.Request) {
	s := p.scheduler
	guaranteed := p.isGuaranteed(r)
	choice, ok := s.choose(p.now, r, tierOf(r))
	if !ok && guaranteed {
		choice, ok = s.choose(p.now, r, kingcuphook.HighestTier)
	}
	if ok {
		p.assign(kingcuphook.Assignment{Request: r, Choice: choice}, guaranteed)
		return
	}
	if s.isUnserved(p.now, r) {
		p.shed(unservedShed(r))
		return
	}
	if rejection, ok := s.rejectBlocked(p.now, r); ok {
		p.shed(rejection)
		return
	}
	s.holdForMemory(p.now, r, tierOf(r))
	p.deferRequest(r)
	switch {
	case s.isVersionFull(p.now, r):
		p.blocked = append(p.blocked, r.Group())
	case len(s.excluded[r.ID()]) > 0 || !s.slots.serves(r):
	case s.usable(r, tierOf(r)) && s.HoldPerModel:
		p.holdGroup(r.Group())
	case s.usable(r, tierOf(r)):
		p.held[tierOf(r).Index()]++
	default:
		p.blocked = append(p.blocked, r.Group())
	}
}

// holdGroup counts a held request. After maxHeld of them no further request of the group
// is considered.
func (p *pass) holdGroup(group string) {
	if p.heldGroups == nil {
		p.heldGroups = make(map[string]int)
	}
	p.heldGroups[group]++
	if p.heldGroups[group] >= maxHeld {
		p.blocked = append(p.blocked, group)
	}
}

// usable reports whether an upstream with a free slot of the tier may run r. If so, r may
// not go there, or waiting is better for it.
func (s *Scheduler) usable(r *kingcuphook.Request, tier kingcuphook.Tier) bool {
	for _, row := range s.slots.rows {
		if row.free[tier.Index()] > 0 && mayRun(row.upstream, r) {
			return true
		}
	}
	return false
}

// shed sheds a request that was taken from the queue.
func (p *pass) shed(rejection kingcuphook.Shed) {
	p.sheds = append(p.sheds, p.scheduler.forget([]kingcuphook.Shed{rejection})...)
}

func (p *pass) deferRequest(r *kingcuphook.Request) { p.deferred = append(p.deferred, r) }

// isGuaranteed reports whether r, which was taken last, may use the slots of the highest
// tier.
func (p *pass) isGuaranteed(r *kingcuphook.Request) bool {
	if p.queue != nil {
		return p.queue.Guaranteed()
	}
	return p.scheduler.freeSlots(p.now, tierOf(r)) == 0
}

// tierOf returns the tier of r; an invalid one counts as the lowest.
func tierOf(r *kingcuphook.Request) kingcuphook.Tier {
	if !r.Tier().Valid() {
		return kingcuphook.LowestTier
	}
	return r.Tier()
}

func (p *pass) assign(a kingcuphook.Assignment, guaranteed bool) {
	p.scheduler.start(p.now, a, guaranteed)
	p.assignments = append(p.assignments, a)
}

// returnDeferred returns the deferred requests to their places in the queue.
func (p *pass) returnDeferred() {
	for _, r := range slices.Backward(p.deferred) {
		if p.queue != nil {
			p.queue.Return(p.now, r)
			continue
		}
		p.sheds = append(p.sheds, p.scheduler.offer(p.now, r)...)
	}
	p.deferred = nil
}

// choose selects an upstream with a free slot of the tier.
func (s *Scheduler) choose(now time.Time, r *kingcuphook.Request, tier kingcuphook.Tier) (kingcuphook.Choice, bool) {
	if s.freeSlots(now, tier) == 0 {
		return kingcuphook.Choice{}, false
	}
	choice, ok := s.choosePermitted(now, r, tier)
	return s.dropLimitedSource(now, choice), ok
}

// dropLimitedSource returns the choice without a source that has a rate limit: a copy would
// be one more request to it.
func (s *Scheduler) dropLimitedSource(now time.Time, c kingcuphook.Choice) kingcuphook.Choice {
	if c.CopyFrom != "" && s.isLimited(now, c.CopyFrom) {
		c.CopyFrom = ""
	}
	return c
}

// describeChoice returns the choice of an upstream that was not selected by cost: that of a
// probe or of a preempted run.
func (s *Scheduler) describeChoice(now time.Time, r *kingcuphook.Request, u *kingcuphook.Upstream) kingcuphook.Choice {
	if d, ok := s.Selector.(ChoiceDescriber); ok {
		if c := d.DescribeChoice(now, r, u.Address()); c.Upstream != nil {
			return s.dropLimitedSource(now, c)
		}
	}
	return kingcuphook.Choice{Upstream: u, UncachedTokens: r.PromptTokens()}
}

// selectVacant selects among the upstreams with a free slot of the tier.
func (s *Scheduler) selectVacant(now time.Time, r *kingcuphook.Request, tier kingcuphook.Tier) (kingcuphook.Choice, error) {
	selector, selects := s.Selector.(VacancySelector)
	if _, shares := s.Limiter.(VacancyLimiter); !selects || !shares {
		return s.selectUsable(now, r, func(row *slotRow) bool { return row.free[tier.Index()] > 0 && s.fits(now, row, r, tier) })
	}
	usable, vacant := s.vacancy(now, r, tier)
	return selector.SelectVacant(now, r, s.excluded[r.ID()], usable, vacant)
}

// vacancy returns the functions that report at which upstreams the request may use a free slot of the tier: by
// the share of this router, and whatever that share.
func (s *Scheduler) vacancy(now time.Time, r *kingcuphook.Request, tier kingcuphook.Tier) (usable, vacant func(address string) bool) {
	among := func(has func(*slotRow) bool) func(string) bool {
		return func(address string) bool {
			row := s.slots.byAddress[address]
			return row != nil && r.Allows(row.upstream) && has(row) && s.fits(now, row, r, tier)
		}
	}
	hasFree := func(row *slotRow) bool { return row.free[tier.Index()] > 0 }
	limits, ok := s.Limiter.(VacancyLimiter)
	if !ok {
		return among(hasFree), among(hasFree)
	}
	return among(hasFree), among(func(row *slotRow) bool {
		return hasFree(row) || s.isOpen(now, row, tier) && limits.Vacant(now, row.upstream.Address(), tierOf(r)) > 0
	})
}

// selectUsable selects among the upstreams for which usable returns true.
func (s *Scheduler) selectUsable(now time.Time, r *kingcuphook.Request, usable func(*slotRow) bool) (kingcuphook.Choice, error) {
	excluded := s.excluded[r.ID()]
	if u, ok := s.Selector.(UsableSelector); ok {
		return u.SelectUsable(now, r, excluded, func(address string) bool {
			row := s.slots.byAddress[address]
			return row != nil && r.Allows(row.upstream) && usable(row)
		})
	}
	s.unusable = append(s.unusable[:0], excluded...)
	for _, row := range s.slots.rows {
		if !r.Allows(row.upstream) || !usable(row) {
			s.unusable = append(s.unusable, row.upstream.Address())
		}
	}
	return s.Selector.Select(now, r, s.unusable)
}

// start records an assignment.
func (s *Scheduler) start(now time.Time, a kingcuphook.Assignment, guaranteed bool) {
	r, u := a.Request, a.Choice.Upstream
	s.forgetID(r.ID())
	if r.Tier() > kingcuphook.HighestTier {
		s.lastLowerTier = now
	}
	if s.running == nil {
		s.running = make(map[string][]*run)
	}
	run := &run{request: r, upstream: u, guaranteed: guaranteed}
	s.running[r.ID()] = append(s.running[r.ID()], run)
	s.runOrder = append(s.runOrder, run)
	s.Limiter.Started(now, u.Address(), r)
	s.Selector.Started(now, u.Address(), r)
	if s.Memory != nil {
		s.Memory.Started(u.Address(), r)
	}
	if row := s.slots.byAddress[u.Address()]; row != nil {
		row.running++
		s.refreshRow(now, row)
	}
}

// averageFirstTokenTime returns the average time to the first token; 0 if unknown.
func (s *Scheduler) averageFirstTokenTime() time.Duration {
	return time.Duration(s.firstToken * float64(time.Second))
}

// learn updates the average time to the first token and the predicted answer lengths.
func (s *Scheduler) learn(r *kingcuphook.Request, sample kingcuphook.Sample) {
	if s.firstToken == 0 {
		s.firstToken = sample.FirstToken.Seconds()
	}
	if sample.FirstToken > 0 {
		s.firstToken += firstTokenStep * (sample.FirstToken.Seconds() - s.firstToken)
	}
	if s.Predictor != nil && !sample.Failed && !sample.Cancelled && sample.Tokens > 0 {
		s.Predictor.Observe(r, sample.Tokens)
	}
}
