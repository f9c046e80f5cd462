package scheduler

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// maxParked bounds the requests passed over in one call because they can't
	// use the slots that are free.
	maxParked = 32
	// maxHeld bounds the requests of a tier that are looked at in one call though
	// those before them do better to wait than to use the slots that are free.
	maxHeld = 4
	// maxMargin bounds how long before its target a request counts as late.
	maxMargin = 2 * time.Second
	// firstTokenStep weighs a new sample in the usual first-token delay.
	firstTokenStep = 0.1
)

// Assign implements kingcuphook.Scheduler.
func (s *Scheduler) Assign(now time.Time) ([]kingcuphook.Assignment, []kingcuphook.Shed) {
	sheds := s.shed(s.Admitter.Expire(now))
	if m, ok := s.Admitter.(MarginSetter); ok {
		m.SetMargin(min(s.usualFirstToken(), maxMargin))
	}
	s.slots.reset()
	p := pass{scheduler: s, now: now}
	p.queue, _ = s.Admitter.(Queue)
	if !s.slots.takesAny(now) {
		p.free = anySlot
	}
	p.probe()
	for s.Admitter.Len() > 0 && len(p.parked) < maxParked {
		r := p.next()
		if r == nil {
			break
		}
		p.place(r)
	}
	p.preempt()
	p.giveBack()
	return p.assignments, append(sheds, p.sheds...)
}

// pass is one call of Assign.
type pass struct {
	scheduler *Scheduler
	now       time.Time
	queue     Queue
	// free, if set, stands for the free slots.
	free        func(kingcuphook.Tier) int
	assignments []kingcuphook.Assignment
	sheds       []kingcuphook.Shed
	// parked has the requests to be given back, in the order they were taken.
	parked []*kingcuphook.Request
	// blocked has the models without a usable upstream.
	blocked []string
	// held counts by tier the requests for which an upstream with a free slot was
	// refused.
	held [kingcuphook.TierCount]int
	// heldModels counts them by model instead, if the scheduler wants it.
	heldModels map[string]int
}

func (p *pass) next() *kingcuphook.Request {
	if p.queue == nil {
		return p.scheduler.Admitter.Next(p.now, p.count)
	}
	return p.queue.NextModel(p.now, p.count, p.skip())
}

// count returns the free slots of the tier; none once enough of its requests did
// better to wait.
func (p *pass) count(t kingcuphook.Tier) int {
	if p.held[t.Index()] >= maxHeld {
		return 0
	}
	if p.free != nil {
		return p.free(t)
	}
	return p.scheduler.count(p.now, t)
}

// anySlot lets every waiting request be looked at.
func anySlot(kingcuphook.Tier) int { return 1 }

func (p *pass) skip() func(string) bool {
	if len(p.blocked) == 0 {
		return nil
	}
	return func(model string) bool { return slices.Contains(p.blocked, model) }
}

// place assigns r or parks it.
func (p *pass) place(r *kingcuphook.Request) {
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
		p.shed(unserved(r))
		return
	}
	if refusal, ok := s.refuseForRest(p.now, r); ok {
		p.shed(refusal)
		return
	}
	p.park(r)
	switch {
	case len(s.excluded[r.ID()]) > 0 || !s.slots.takes(r.Model()):
	case s.usable(r) && s.HoldModels:
		p.holdModel(r.Model())
	case s.usable(r):
		p.held[tierOf(r).Index()]++
	default:
		p.blocked = append(p.blocked, r.Model())
	}
}

// holdModel counts a request that does better to wait. After a few of them no
// further request of the model is looked at.
func (p *pass) holdModel(model string) {
	if p.heldModels == nil {
		p.heldModels = make(map[string]int)
	}
	p.heldModels[model]++
	if p.heldModels[model] >= maxHeld {
		p.blocked = append(p.blocked, model)
	}
}

// usable reports whether an upstream with a free slot serves the model of r. If
// so, it was r that could not go there or does better to wait.
func (s *Scheduler) usable(r *kingcuphook.Request) bool {
	tier := tierOf(r).Index()
	for _, row := range s.slots.rows {
		if row.free[tier] > 0 && serves(row.upstream, r.Model()) {
			return true
		}
	}
	return false
}

// shed refuses a request that was taken out of the queue.
func (p *pass) shed(refusal kingcuphook.Shed) {
	p.sheds = append(p.sheds, p.scheduler.shed([]kingcuphook.Shed{refusal})...)
}

func (p *pass) park(r *kingcuphook.Request) { p.parked = append(p.parked, r) }

// isGuaranteed reports whether r, which was just taken, may use the slots of
// the highest tier.
func (p *pass) isGuaranteed(r *kingcuphook.Request) bool {
	if p.queue != nil {
		return p.queue.Guaranteed()
	}
	return p.scheduler.count(p.now, tierOf(r)) == 0
}

// tierOf returns the tier of r; one out of bounds counts as the lowest.
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

// giveBack returns the parked requests to their places.
func (p *pass) giveBack() {
	for _, r := range slices.Backward(p.parked) {
		if p.queue != nil {
			p.queue.Return(p.now, r)
			continue
		}
		p.sheds = append(p.sheds, p.scheduler.Offer(p.now, r)...)
	}
	p.parked = nil
}

// choose asks the Selector for an upstream with a free slot of the tier.
func (s *Scheduler) choose(now time.Time, r *kingcuphook.Request, tier kingcuphook.Tier) (kingcuphook.Choice, bool) {
	if s.count(now, tier) == 0 {
		return kingcuphook.Choice{}, false
	}
	choice, err := s.selectUsable(now, r, tier.Index())
	return choice, err == nil && choice.Upstream != nil
}

func (s *Scheduler) selectUsable(now time.Time, r *kingcuphook.Request, tier int) (kingcuphook.Choice, error) {
	excluded := s.excluded[r.ID()]
	if u, ok := s.Selector.(UsableSelector); ok {
		return u.SelectUsable(now, r, excluded, func(address string) bool {
			row := s.slots.byAddress[address]
			return row != nil && row.free[tier] > 0
		})
	}
	s.barred = append(s.barred[:0], excluded...)
	for _, row := range s.slots.rows {
		if row.free[tier] <= 0 {
			s.barred = append(s.barred, row.upstream.Address())
		}
	}
	return s.Selector.Select(now, r, s.barred)
}

// start books an assignment.
func (s *Scheduler) start(now time.Time, a kingcuphook.Assignment, guaranteed bool) {
	r, u := a.Request, a.Choice.Upstream
	delete(s.excluded, r.ID())
	if r.Tier() > kingcuphook.HighestTier {
		s.lastLower = now
	}
	if s.running == nil {
		s.running = make(map[string][]*run)
	}
	run := &run{request: r, upstream: u, guaranteed: guaranteed}
	s.running[r.ID()] = append(s.running[r.ID()], run)
	s.order = append(s.order, run)
	s.Limiter.Started(now, u.Address(), r)
	s.Selector.Started(now, u.Address(), r)
	if row := s.slots.byAddress[u.Address()]; row != nil {
		row.running++
		s.refresh(now, row)
	}
}

// usualFirstToken returns the usual first-token delay; 0 if unknown.
func (s *Scheduler) usualFirstToken() time.Duration {
	return time.Duration(s.firstToken * float64(time.Second))
}

// learn takes what a sample tells of lengths and delays.
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
