package placer

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Plan returns the orders to issue now: first those to repeat, then new ones, the
// most urgent first. Allowed reports whether an upstream may be given an order now;
// nil allows all. The returned moves count as issued; one that gets lost is
// repeated by a later Plan.
func (p *Placer) Plan(now time.Time, allowed func(u *kingcuphook.Upstream) bool) []Move {
	if p.pool == nil || !p.allRead() {
		return nil
	}
	t := p.tally(now)
	if p.Settled(now) {
		p.adopt(t)
	}
	moves := p.repeatOrders(now, t, allowed)
	for _, s := range p.byNeed(t) {
		for t.assigned[s.modelRegion] < s.want && t.reloading < p.pool.MaxReloading() {
			r := p.donor(now, t, s, allowed)
			if r == nil || !p.allowReload(now, t, r) {
				break
			}
			t.move(r, s.model, now)
			r.target = s.model
			r.decided = true
			r.generation++
			moves = append(moves, r.issueOrder(now))
		}
	}
	return moves
}

// allRead reports whether the state of every runner was read since Reset,
// successfully or not.
func (p *Placer) allRead() bool {
	for _, r := range p.runners {
		if !r.readAttempted {
			return false
		}
	}
	return true
}

// adopt makes the models that the runners report the decisions of this process, so
// that any later change by others is corrected. The first time after Reset it also
// sets the wanted numbers to what was found, within the declared bounds.
func (p *Placer) adopt(t *tally) {
	if p.adoptPending {
		p.adoptPending = false
		for _, s := range p.allocations {
			s.want = min(max(t.assigned[s.modelRegion], s.minRunners), s.maxRunners)
		}
	}
	for _, r := range p.runners {
		if r.observed {
			r.decided = true
		}
	}
}

// repeatOrders issues orders again to runners that don't report their target. If
// the target is no longer declared, the runner keeps its model instead.
func (p *Placer) repeatOrders(now time.Time, t *tally, allowed func(u *kingcuphook.Upstream) bool) []Move {
	var moves []Move
	for _, a := range p.order {
		r := p.runners[a]
		if !r.observed || r.loaded == r.target || r.upstream.Leaving() || !permits(allowed, r) {
			continue
		}
		if !r.orderedAt.IsZero() && now.Sub(r.orderedAt) < orderRetryInterval {
			continue
		}
		if !p.declared(r) {
			r.target = r.loaded
			r.reloadStart = time.Time{}
			continue
		}
		if r.orderedAt.IsZero() && !p.allowReload(now, t, r) {
			continue
		}
		moves = append(moves, r.issueOrder(now))
	}
	return moves
}

// issueOrder records an order to serve the target and returns it.
func (r *runner) issueOrder(now time.Time) Move {
	r.orderedAt = now
	r.previous = r.loaded
	if r.reloadStart.IsZero() {
		r.reloadStart = now
	}
	return Move{upstream: r.upstream, model: r.target, generation: r.generation}
}

// allowReload reports whether r may reload now. If so, it counts the reload and
// takes it from the rate limit of weight loads.
func (p *Placer) allowReload(now time.Time, t *tally, r *runner) bool {
	if r.reloading(now) {
		return p.LoadLimiter == nil || p.LoadLimiter.AllowN(now, 1)
	}
	if t.reloading >= p.pool.MaxReloading() || p.LoadLimiter != nil && !p.LoadLimiter.AllowN(now, 1) {
		return false
	}
	t.reloading++
	return true
}

// donor returns the runner that can be moved to an allocation at the lowest cost,
// or nil.
func (p *Placer) donor(now time.Time, t *tally, s *allocation, allowed func(u *kingcuphook.Upstream) bool) *runner {
	var best *runner
	cost := 0
	for _, a := range p.order {
		r := p.runners[a]
		if !r.observed || r.upstream.Leaving() || r.upstream.Region() != s.region ||
			r.target == s.model || !r.supports(s.model) || !permits(allowed, r) {
			continue
		}
		c, ok := p.donorCost(now, t, r, s)
		if ok && (best == nil || c < cost) {
			best, cost = r, c
		}
	}
	return best
}

// Costs of moving a runner away from its target, the lowest first.
const (
	costUndeclared = iota
	costReloading
	costAboveMax
	costAboveWant
	costAboveMin
)

// donorCost returns the cost of moving r to an allocation, and false if r must not
// be moved.
func (p *Placer) donorCost(now time.Time, t *tally, r *runner, to *allocation) (int, bool) {
	if !p.declared(r) {
		return costUndeclared, true
	}
	if t.isLast(r) || r.loaded == r.target && !p.Settled(now) {
		return 0, false
	}
	from := p.allocations[modelRegion{region: r.upstream.Region(), model: r.target}]
	if from == nil {
		return costAboveMax, true
	}
	n := t.assigned[from.modelRegion]
	switch {
	case n > from.maxRunners:
		return costAboveMax, true
	case n > from.want && r.loaded != r.target:
		return costReloading, true
	case n > from.want:
		return costAboveWant, true
	case n > from.minRunners && t.assigned[to.modelRegion] < to.minRunners:
		// Declared minimums take precedence over demand.
		return costAboveMin, true
	}
	return 0, false
}

// declared reports whether the pool declares r's target for any region.
func (p *Placer) declared(r *runner) bool {
	for _, s := range p.allocations {
		if s.model == r.target {
			return true
		}
	}
	return false
}

func permits(allowed func(u *kingcuphook.Upstream) bool, r *runner) bool {
	return allowed == nil || allowed(r.upstream)
}
