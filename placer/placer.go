// Package placer decides which runner of a pool serves which model. It keeps
// the declared number of runners of each model in each region, moves runners
// inside the declared bounds as demand shifts, and never takes the last runner
// that serves a declared model.
package placer

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// highUse is the share of its runners that a model may use before it gets
	// another; lowUse the share of one runner fewer under which it gives one up.
	highUse = 0.8
	lowUse  = 0.5

	defaultGrowAfter   = 30 * time.Second
	defaultShrinkAfter = 5 * time.Minute
	// retryAfter is how long an order may show no effect until it is repeated.
	retryAfter = 30 * time.Second
	// defaultSettle is longer than a reload should take.
	defaultSettle = 2 * time.Minute
	// reloadTimeout is how long a reloading runner counts as reloading; later it
	// counts as broken, so that one runner cannot stop the whole pool.
	reloadTimeout = 10 * time.Minute
)

// Move is an order to be given to one upstream.
type Move struct {
	upstream   *kingcuphook.Upstream
	model      string
	generation int64
}

// Upstream returns the upstream that takes the order.
func (m Move) Upstream() *kingcuphook.Upstream { return m.upstream }

// Model returns the model the upstream is to serve.
func (m Move) Model() string { return m.model }

// Generation returns the generation of the order.
func (m Move) Generation() int64 { return m.generation }

// Placer places the models of one pool. Its exported fields are set before
// first use. It is used by one goroutine at a time; time is passed in and never
// falls.
type Placer struct {
	// Loads bounds the loads of weights a second; nil means no bound.
	Loads *rate.Limiter
	// GrowAfter and ShrinkAfter are how long demand must stay above or below a
	// threshold; 0 means 30 s and 5 minutes.
	GrowAfter, ShrinkAfter time.Duration
	// Settle is how long after Reset an order of an earlier holder may still
	// show its effect. Until then no runner is taken from a declared model; 0
	// means 2 minutes.
	Settle time.Duration

	// settled is when the latest Settle ends; fresh says that what was found
	// then is still to be taken for what is wanted.
	settled time.Time
	fresh   bool
	pool    *kingcuphook.Pool
	// runners holds the state of each engine of the pool by address; order
	// lists the addresses.
	runners map[string]*runner
	order   []string
	// shares holds the declared models of each region.
	shares map[place]*share
}

// place is a model in a region.
type place struct{ region, model string }

// share is what one model gets in one region.
type share struct {
	place
	// least and most are the declared bounds; least <= want <= most.
	least, most, want int
	// demand is the number of runners that the load would fill.
	demand float64
	// above and below say since when demand has called for a change; zero if
	// it does not.
	above, below time.Time
}

// runner is the state of one upstream.
type runner struct {
	upstream *kingcuphook.Upstream
	// tried says that the upstream was read back, or could not be, since Reset.
	tried bool
	// observed says that the upstream was read back since it was last lost.
	observed bool
	// loaded is the model it was seen to follow.
	loaded string
	// target is the model it is to serve. Unless own is set, nothing was decided
	// yet and target follows loaded.
	target string
	own    bool
	// previous is the model it followed when it was last ordered; it may be seen
	// until the reload is done.
	previous string
	// generation is the highest seen or given; it never falls.
	generation int64
	// ordered is when the latest order was decided; zero once it was seen to
	// have taken effect.
	ordered time.Time
	// began is when the current reload began, over all repeated orders.
	began time.Time
}

// Update takes the pool in force.
func (p *Placer) Update(pool *kingcuphook.Pool) {
	p.pool = pool
	old := p.runners
	p.runners = make(map[string]*runner)
	p.order = nil
	for _, u := range pool.Upstreams() {
		if u.Kind() != kingcuphook.UpstreamKindEngine {
			continue
		}
		r := old[u.Address()]
		if r == nil {
			r = &runner{}
		}
		r.upstream = u
		p.runners[u.Address()] = r
		p.order = append(p.order, u.Address())
	}
	slices.Sort(p.order)
	p.updateShares(pool)
}

func (p *Placer) updateShares(pool *kingcuphook.Pool) {
	old := p.shares
	p.shares = make(map[place]*share)
	for _, f := range pool.Placements() {
		k := place{region: f.Region, model: f.Model}
		s := old[k]
		if s == nil {
			s = &share{place: k, want: f.Min}
		}
		s.least, s.most = f.Min, f.Max
		s.want = min(max(s.want, f.Min), f.Max)
		p.shares[k] = s
	}
}

// Reset forgets all decisions, for a new holder: what the upstreams follow is
// taken over as it is read back.
func (p *Placer) Reset(now time.Time) {
	p.settled = now.Add(cmp.Or(p.Settle, defaultSettle))
	p.fresh = true
	for _, r := range p.runners {
		r.own = false
		r.tried = false
		r.observed = false
		r.ordered = time.Time{}
		r.began = time.Time{}
	}
}

// Settled reports whether the orders of earlier holders have shown their effect.
func (p *Placer) Settled(now time.Time) bool { return !now.Before(p.settled) }

// Observe takes what an upstream was seen to follow. A runner that was ordered
// to serve another model is ordered again; so is one that started anew.
func (p *Placer) Observe(address, model string, generation int64) {
	r := p.runners[address]
	if r == nil {
		return
	}
	if !r.own {
		r.target = model
	}
	r.tried = true
	r.observed = true
	r.loaded = model
	switch {
	case model == r.target:
		r.generation = max(r.generation, generation)
		r.ordered = time.Time{}
		r.began = time.Time{}
	case generation > r.generation || r.ordered.IsZero() || model != "" && model != r.previous:
		// It follows someone else's order, or has forgotten this one's.
		r.generation = max(r.generation, generation) + 1
		r.ordered = time.Time{}
	}
}

// Lose takes that an upstream could not be read back: it serves nothing.
func (p *Placer) Lose(address string) {
	if r := p.runners[address]; r != nil {
		r.tried = true
		r.observed = false
		r.loaded = ""
	}
}

// Urgent reports whether an upstream is to be read back before others: nothing
// is known of it yet, or it has not followed its order yet.
func (p *Placer) Urgent(address string) bool {
	r := p.runners[address]
	return r != nil && (!r.tried || r.observed && r.loaded != r.target)
}

// Demand takes the load of a model in a region, as the number of runners that
// it would fill.
func (p *Placer) Demand(now time.Time, region, model string, runners float64) {
	s := p.shares[place{region: region, model: model}]
	if s == nil {
		return
	}
	s.demand = runners
	if s.passed(now, &s.above, runners > highUse*float64(s.want) && s.want < s.most, cmp.Or(p.GrowAfter, defaultGrowAfter)) {
		s.want++
	}
	if s.passed(now, &s.below, runners < lowUse*float64(s.want-1) && s.want > s.least, cmp.Or(p.ShrinkAfter, defaultShrinkAfter)) {
		s.want--
	}
}

// passed reports whether a condition has held for d, and begins anew if so.
func (s *share) passed(now time.Time, since *time.Time, holds bool, d time.Duration) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	if now.Sub(*since) < d {
		return false
	}
	*since = now
	return true
}

// Want returns how many runners a model is to have in a region.
func (p *Placer) Want(region, model string) int {
	if s := p.shares[place{region: region, model: model}]; s != nil {
		return s.want
	}
	return 0
}

// Serving returns how many runners of a region were seen to serve a model.
func (p *Placer) Serving(region, model string) int {
	n := 0
	for _, r := range p.runners {
		if r.serves(model) && r.upstream.Region() == region {
			n++
		}
	}
	return n
}

// Reloading returns how many runners are changing their model.
func (p *Placer) Reloading(now time.Time) int {
	n := 0
	for _, r := range p.runners {
		if r.reloading(now) {
			n++
		}
	}
	return n
}

func (r *runner) serves(model string) bool {
	return r.observed && r.loaded == model && r.target == model
}

// broken reports whether r has not finished its reload in time.
func (r *runner) broken(now time.Time) bool {
	return !r.began.IsZero() && !r.reloading(now)
}

func (r *runner) reloading(now time.Time) bool {
	return !r.began.IsZero() && now.Sub(r.began) < reloadTimeout
}

// may reports whether r can be used for a model.
func (r *runner) may(model string) bool {
	models := r.upstream.Models()
	return len(models) == 0 || slices.Contains(models, model)
}

// byNeed orders the shares that want runners most first.
func (p *Placer) byNeed(t *tally) []*share {
	needs := make([]*share, 0, len(p.shares))
	for _, s := range p.shares {
		if t.assigned[s.place] < s.want {
			needs = append(needs, s)
		}
	}
	slices.SortFunc(needs, func(a, b *share) int {
		return cmp.Or(
			cmp.Compare(min(t.serving[a.place], 1), min(t.serving[b.place], 1)),
			cmp.Compare(t.spare(a), t.spare(b)),
			cmp.Compare(b.demand, a.demand),
			cmp.Compare(a.region, b.region),
			cmp.Compare(a.model, b.model),
		)
	})
	return needs
}
