package placer

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Plan returns the orders to be given now, the most wanted first. Allowed says
// whether an upstream may take an order now; nil allows all. The moves count as
// ordered: one that is lost on its way is repeated by a later Plan.
func (p *Placer) Plan(now time.Time, allowed func(u *kingcuphook.Upstream) bool) []Move {
	if p.pool == nil || !p.known() {
		return nil
	}
	t := p.tally(now)
	if p.Settled(now) {
		p.own(t)
	}
	moves := p.repeat(now, t, allowed)
	for _, s := range p.byNeed(t) {
		for t.assigned[s.place] < s.want && t.reloading < p.pool.MaxReloading() {
			r := p.donor(now, t, s, allowed)
			if r == nil || !p.admit(now, t, r) {
				break
			}
			t.move(r, s.model, now)
			r.target = s.model
			r.own = true
			r.generation++
			moves = append(moves, r.order(now))
		}
	}
	return moves
}

// known reports whether every runner was read back, or could not be.
func (p *Placer) known() bool {
	for _, r := range p.runners {
		if !r.tried {
			return false
		}
	}
	return true
}

// own takes what the runners follow for this holder's decision: what changes it
// from now on is corrected.
func (p *Placer) own(t *tally) {
	if p.fresh {
		p.fresh = false
		for _, s := range p.shares {
			s.want = min(max(t.assigned[s.place], s.least), s.most)
		}
	}
	for _, r := range p.runners {
		if r.observed {
			r.own = true
		}
	}
}

// repeat orders again the runners that do not follow their order.
func (p *Placer) repeat(now time.Time, t *tally, allowed func(u *kingcuphook.Upstream) bool) []Move {
	var moves []Move
	for _, a := range p.order {
		r := p.runners[a]
		if !r.observed || r.loaded == r.target || r.upstream.Leaving() || !permits(allowed, r) {
			continue
		}
		if !r.ordered.IsZero() && now.Sub(r.ordered) < retryAfter {
			continue
		}
		if !p.declared(r) {
			r.target = r.loaded
			r.began = time.Time{}
			continue
		}
		if r.ordered.IsZero() && !p.admit(now, t, r) {
			continue
		}
		moves = append(moves, r.order(now))
	}
	return moves
}

// order notes an order and returns it.
func (r *runner) order(now time.Time) Move {
	r.ordered = now
	r.previous = r.loaded
	if r.began.IsZero() {
		r.began = now
	}
	return Move{upstream: r.upstream, model: r.target, generation: r.generation}
}

// admit reports whether another runner may reload now, and takes its load of
// weights from the budget.
func (p *Placer) admit(now time.Time, t *tally, r *runner) bool {
	if r.reloading(now) {
		return p.Loads == nil || p.Loads.AllowN(now, 1)
	}
	if t.reloading >= p.pool.MaxReloading() || p.Loads != nil && !p.Loads.AllowN(now, 1) {
		return false
	}
	t.reloading++
	return true
}

// donor returns the runner that can best be given to a share, or nil.
func (p *Placer) donor(now time.Time, t *tally, s *share, allowed func(u *kingcuphook.Upstream) bool) *runner {
	var best *runner
	cost := 0
	for _, a := range p.order {
		r := p.runners[a]
		if !r.observed || r.upstream.Leaving() || r.upstream.Region() != s.region ||
			r.target == s.model || !r.may(s.model) || !permits(allowed, r) {
			continue
		}
		c, ok := p.cost(now, t, r, s)
		if ok && (best == nil || c < cost) {
			best, cost = r, c
		}
	}
	return best
}

// Costs of taking a runner away from what it serves.
const (
	costUndeclared = iota
	costReloading
	costAboveMost
	costAboveWant
	costAboveLeast
)

// cost returns what taking r for a share costs, and false if it may not be
// taken.
func (p *Placer) cost(now time.Time, t *tally, r *runner, to *share) (int, bool) {
	if !p.declared(r) {
		return costUndeclared, true
	}
	if t.last(r) || r.loaded == r.target && !p.Settled(now) {
		return 0, false
	}
	from := p.shares[place{region: r.upstream.Region(), model: r.target}]
	if from == nil {
		return costAboveMost, true
	}
	n := t.assigned[from.place]
	switch {
	case n > from.most:
		return costAboveMost, true
	case n > from.want && r.loaded != r.target:
		return costReloading, true
	case n > from.want:
		return costAboveWant, true
	case n > from.least && t.assigned[to.place] < to.least:
		// Declared minimums go before demand.
		return costAboveLeast, true
	}
	return 0, false
}

// declared reports whether the table places r's target anywhere.
func (p *Placer) declared(r *runner) bool {
	for _, s := range p.shares {
		if s.model == r.target {
			return true
		}
	}
	return false
}

func permits(allowed func(u *kingcuphook.Upstream) bool, r *runner) bool {
	return allowed == nil || allowed(r.upstream)
}
