// Package placer decides which runner of a pool serves which model. It maintains
// the declared number of runners of each model in each region and moves runners
// between models within the declared bounds as demand changes. It never takes away
// the last runner that serves a declared model.
package placer

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// growThreshold is the demand, as a share of a model's wanted runners, above
	// which it gets another one. shrinkThreshold is the share of one runner fewer
	// below which it loses one.
	growThreshold   = 0.8
	shrinkThreshold = 0.5

	defaultGrowAfter   = 30 * time.Second
	defaultShrinkAfter = 5 * time.Minute
	// orderRetryInterval is how long an order may show no effect before it is
	// repeated.
	orderRetryInterval = 30 * time.Second
	// defaultSettle is longer than a reload normally takes.
	defaultSettle = 2 * time.Minute
	// reloadTimeout is how long a runner counts as reloading. After that it
	// counts as broken, so that a stuck reload doesn't block the whole pool.
	reloadTimeout = 10 * time.Minute
)

// Move is an order to one upstream to serve a model.
type Move struct {
	upstream   *kingcuphook.Upstream
	model      string
	generation int64
}

// Upstream returns the upstream that the order is for.
func (m Move) Upstream() *kingcuphook.Upstream { return m.upstream }

// Model returns the model the upstream is to serve.
func (m Move) Model() string { return m.model }

// Generation returns the generation of the order.
func (m Move) Generation() int64 { return m.generation }

// Placer places the models of one pool. Its exported fields must be set before
// first use. It must be used by one goroutine at a time, and the times passed to it
// must not decrease.
type Placer struct {
	// LoadLimiter limits the rate of loads of model weights; nil means no limit.
	LoadLimiter *rate.Limiter
	// GrowAfter and ShrinkAfter are how long demand must stay above or below a
	// threshold; 0 means 30 s and 5 minutes.
	GrowAfter, ShrinkAfter time.Duration
	// Settle is how long after Reset an order of an earlier lease holder may
	// still take effect. Until then no runner that serves a declared model is
	// moved; 0 means 2 minutes.
	Settle time.Duration

	// settledAt is when the settle time after the latest Reset ends.
	// adoptPending means that the wanted numbers are still to be set to the
	// numbers of runners found then.
	settledAt    time.Time
	adoptPending bool
	pool         *kingcuphook.Pool
	// runners holds the state of each engine of the pool by address; order lists
	// the addresses in ascending order.
	runners map[string]*runner
	order   []string
	// allocations holds the declared models of each region.
	allocations map[modelRegion]*allocation
}

// modelRegion identifies a model in a region.
type modelRegion struct{ region, model string }

// allocation is the number of runners for one model in one region.
type allocation struct {
	modelRegion
	// minRunners and maxRunners are the declared bounds of want.
	minRunners, maxRunners, want int
	// demand is the number of runners that the current load would fill.
	demand float64
	// aboveSince and belowSince are when demand began to call for more or fewer
	// runners; zero if it doesn't.
	aboveSince, belowSince time.Time
}

// runner is the state of one upstream.
type runner struct {
	upstream *kingcuphook.Upstream
	// readAttempted means that the state of the upstream was read since Reset,
	// successfully or not.
	readAttempted bool
	// observed means that the last read since Reset succeeded.
	observed bool
	// loaded is the model that it reported.
	loaded string
	// target is the model that it should serve. Until decided is set, target is
	// set to the reported model.
	target  string
	decided bool
	// previous is the model that it reported when the last order was issued; it
	// may still be reported until the reload has finished.
	previous string
	// generation is the highest one reported or issued; it never decreases.
	generation int64
	// orderedAt is when the latest order was issued; zero once it has taken
	// effect or a new order is due.
	orderedAt time.Time
	// reloadStart is the start time of the current reload, counted from the
	// first order for it; zero without one.
	reloadStart time.Time
}

// Update applies the current revision of the pool.
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
	p.updateAllocations(pool)
}

func (p *Placer) updateAllocations(pool *kingcuphook.Pool) {
	old := p.allocations
	p.allocations = make(map[modelRegion]*allocation)
	for _, f := range pool.Placements() {
		k := modelRegion{region: f.Region, model: f.Model}
		s := old[k]
		if s == nil {
			s = &allocation{modelRegion: k, want: f.Min}
		}
		s.minRunners, s.maxRunners = f.Min, f.Max
		s.want = min(max(s.want, f.Min), f.Max)
		p.allocations[k] = s
	}
}

// Reset discards all decisions when this process has acquired the lease. The
// models that the upstreams report are then adopted.
func (p *Placer) Reset(now time.Time) {
	p.settledAt = now.Add(cmp.Or(p.Settle, defaultSettle))
	p.adoptPending = true
	for _, r := range p.runners {
		r.decided = false
		r.readAttempted = false
		r.observed = false
		r.orderedAt = time.Time{}
		r.reloadStart = time.Time{}
	}
}

// Settled reports whether orders of earlier lease holders have had time to take
// effect.
func (p *Placer) Settled(now time.Time) bool { return !now.Before(p.settledAt) }

// Observe records the model and the generation that an upstream reported. If the
// runner follows an order of someone else or has lost its own by a restart, a new
// order with a higher generation becomes due.
func (p *Placer) Observe(address, model string, generation int64) {
	r := p.runners[address]
	if r == nil {
		return
	}
	if !r.decided {
		r.target = model
	}
	r.readAttempted = true
	r.observed = true
	r.loaded = model
	switch {
	case model == r.target:
		r.generation = max(r.generation, generation)
		r.orderedAt = time.Time{}
		r.reloadStart = time.Time{}
	case generation > r.generation || r.orderedAt.IsZero() || model != "" && model != r.previous:
		// It follows an order of another process, or lost this one's.
		r.generation = max(r.generation, generation) + 1
		r.orderedAt = time.Time{}
	}
}

// ReadFailed records that the state of an upstream could not be read. It counts as
// serving nothing.
func (p *Placer) ReadFailed(address string) {
	if r := p.runners[address]; r != nil {
		r.readAttempted = true
		r.observed = false
		r.loaded = ""
	}
}

// Urgent reports whether an upstream should be read before others, because it was
// not read since Reset or doesn't report its target model yet.
func (p *Placer) Urgent(address string) bool {
	r := p.runners[address]
	return r != nil && (!r.readAttempted || r.observed && r.loaded != r.target)
}

// SetDemand records the load of a model in a region, as the number of runners that it
// would fill, and adjusts the wanted number of runners.
func (p *Placer) SetDemand(now time.Time, region, model string, runners float64) {
	s := p.allocations[modelRegion{region: region, model: model}]
	if s == nil {
		return
	}
	s.demand = runners
	if s.heldFor(now, &s.aboveSince, runners > growThreshold*float64(s.want) && s.want < s.maxRunners, cmp.Or(p.GrowAfter, defaultGrowAfter)) {
		s.want++
	}
	if s.heldFor(now, &s.belowSince, runners < shrinkThreshold*float64(s.want-1) && s.want > s.minRunners, cmp.Or(p.ShrinkAfter, defaultShrinkAfter)) {
		s.want--
	}
}

// heldFor reports whether a condition has held for d since the time in since. If
// so, it restarts the period.
func (s *allocation) heldFor(now time.Time, since *time.Time, holds bool, d time.Duration) bool {
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

// Want returns the wanted number of runners of a model in a region.
func (p *Placer) Want(region, model string) int {
	if s := p.allocations[modelRegion{region: region, model: model}]; s != nil {
		return s.want
	}
	return 0
}

// Serving returns the number of runners of a region that report a model and are
// assigned to it.
func (p *Placer) Serving(region, model string) int {
	n := 0
	for _, r := range p.runners {
		if r.serves(model) && r.upstream.Region() == region {
			n++
		}
	}
	return n
}

// Reloading returns the number of runners that are changing their model.
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
	return !r.reloadStart.IsZero() && !r.reloading(now)
}

func (r *runner) reloading(now time.Time) bool {
	return !r.reloadStart.IsZero() && now.Sub(r.reloadStart) < reloadTimeout
}

// supports reports whether r can serve a model. A runner that lists no models can
// serve any.
func (r *runner) supports(model string) bool {
	models := r.upstream.Models()
	return len(models) == 0 || slices.Contains(models, model)
}

// byNeed returns the allocations that lack runners, the most urgent first: those
// with no serving runner, those furthest below their minimum, then those with the
// highest demand.
func (p *Placer) byNeed(t *tally) []*allocation {
	needs := make([]*allocation, 0, len(p.allocations))
	for _, s := range p.allocations {
		if t.assigned[s.modelRegion] < s.want {
			needs = append(needs, s)
		}
	}
	slices.SortFunc(needs, func(a, b *allocation) int {
		return cmp.Or(
			cmp.Compare(min(t.serving[a.modelRegion], 1), min(t.serving[b.modelRegion], 1)),
			cmp.Compare(t.belowMin(a), t.belowMin(b)),
			cmp.Compare(b.demand, a.demand),
			cmp.Compare(a.region, b.region),
			cmp.Compare(a.model, b.model),
		)
	})
	return needs
}
