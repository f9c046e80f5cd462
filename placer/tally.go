package placer

import "time"

// tally counts the runners of a pool.
type tally struct {
	// assigned counts the runners whose target is a model, by region. Leaving,
	// unobserved and broken ones don't count.
	assigned map[modelRegion]int
	// serving counts the runners that serve a model, by region.
	serving map[modelRegion]int
	// servingByModel counts the serving runners of all regions that are not
	// leaving.
	servingByModel map[string]int
	// reloading counts the runners that are changing their model.
	reloading int
}

func (p *Placer) tally(now time.Time) *tally {
	t := &tally{
		assigned:       make(map[modelRegion]int, len(p.allocations)),
		serving:        make(map[modelRegion]int, len(p.allocations)),
		servingByModel: make(map[string]int),
	}
	for _, r := range p.runners {
		t.add(r, now)
	}
	return t
}

func (t *tally) add(r *runner, now time.Time) {
	region := r.upstream.Region()
	if r.reloading(now) {
		t.reloading++
	}
	if r.serves(r.loaded) {
		t.serving[modelRegion{region: region, model: r.loaded}]++
	}
	if r.upstream.Leaving() {
		return
	}
	if r.serves(r.loaded) {
		t.servingByModel[r.loaded]++
	}
	if r.observed && !r.broken(now) {
		t.assigned[modelRegion{region: region, model: r.target}]++
	}
}

// move updates the counts for moving r from its target to a model.
func (t *tally) move(r *runner, model string, now time.Time) {
	region := r.upstream.Region()
	if r.serves(r.loaded) {
		t.serving[modelRegion{region: region, model: r.loaded}]--
		t.servingByModel[r.loaded]--
	}
	if !r.broken(now) {
		t.assigned[modelRegion{region: region, model: r.target}]--
	}
	t.assigned[modelRegion{region: region, model: model}]++
}

// belowMin returns how far an allocation is below its declared minimum, as a
// negative number; 0 if it isn't below.
func (t *tally) belowMin(s *allocation) int { return min(t.assigned[s.modelRegion]-s.minRunners, 0) }

// isLast reports whether r serves a model that no other runner of the pool serves.
func (t *tally) isLast(r *runner) bool {
	return r.serves(r.loaded) && t.servingByModel[r.loaded] <= 1
}
