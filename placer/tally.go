package placer

import "time"

// tally counts the runners of a pool.
type tally struct {
	// assigned counts the runners that are to serve a model in a region.
	assigned map[place]int
	// serving counts those that were seen to serve it.
	serving map[place]int
	// models counts the serving runners of all regions that are not leaving.
	models map[string]int
	// reloading counts the runners that change their model.
	reloading int
}

func (p *Placer) tally(now time.Time) *tally {
	t := &tally{
		assigned: make(map[place]int, len(p.shares)),
		serving:  make(map[place]int, len(p.shares)),
		models:   make(map[string]int),
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
		t.serving[place{region: region, model: r.loaded}]++
	}
	if r.upstream.Leaving() {
		return
	}
	if r.serves(r.loaded) {
		t.models[r.loaded]++
	}
	if r.observed && !r.broken(now) {
		t.assigned[place{region: region, model: r.target}]++
	}
}

// move counts that r, assigned so far to its target, is to serve a model.
func (t *tally) move(r *runner, model string, now time.Time) {
	region := r.upstream.Region()
	if r.serves(r.loaded) {
		t.serving[place{region: region, model: r.loaded}]--
		t.models[r.loaded]--
	}
	if !r.broken(now) {
		t.assigned[place{region: region, model: r.target}]--
	}
	t.assigned[place{region: region, model: model}]++
}

// spare returns how far a share is above its least, at most 0.
func (t *tally) spare(s *share) int { return min(t.assigned[s.place]-s.least, 0) }

// last reports whether no other runner of the pool serves the model that r
// serves.
func (t *tally) last(r *runner) bool {
	return r.serves(r.loaded) && t.models[r.loaded] <= 1
}
