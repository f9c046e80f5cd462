package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at time.Duration
	// order breaks ties, so that a run is the same every time.
	order int
	run   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// world is one run of one policy in one case: routers, engines and the virtual
// time between them.
type world struct {
	f     *file
	c     *caseSpec
	spec  runnerSpec
	now   time.Duration
	queue events
	order int
	// rand decides which cache events are lost.
	rand    *rand.Rand
	engines []*engine
	// byAddress indexes engines.
	byAddress map[string]*engine
	routers   []*router
	jobs      map[string]*job
	all       []*job
	// open is the number of jobs without an outcome.
	open int
	// crossBytes counts bytes moved between regions.
	crossBytes int
}

// newWorld sets up a run. Schedule returns the scheduler of a router in a region.
func newWorld(f *file, c *caseSpec, seed uint64, schedule func(p place) kingcuphook.Scheduler) *world {
	w := &world{f: f, c: c, spec: f.runner(c), rand: rand.New(rand.NewPCG(seed, 2))}
	w.byAddress = make(map[string]*engine)
	w.jobs = make(map[string]*job)
	w.addEngines()
	pool := w.pool()
	for n := range f.Routers {
		r := &router{w: w, region: regionName(n % c.regions())}
		r.scheduler = schedule(place{region: r.region, number: n, rank: n / c.regions(), seed: seed, routers: f.Routers / c.regions(), slots: w.spec.Batch})
		r.scheduler.Update(w.time(), pool)
		w.routers = append(w.routers, r)
	}
	w.addFaults()
	return w
}

// place says where a scheduler stands.
type place struct {
	region string
	// number is its number among all routers, routers how many share the engines
	// of its region.
	number, routers int
	// rank is its number among those.
	rank int
	seed uint64
	// slots is the batch of an engine.
	slots int
}

func (w *world) addEngines() {
	for n, speed := range w.spec.Speeds {
		region := regionName(n % w.c.regions())
		e := &engine{w: w, spec: w.spec, speed: speed, slow: 1, priorities: w.c.Priorities}
		e.upstream = kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: fmt.Sprintf("10.0.0.%d:80", n+1), Region: region, DataCentre: region, Slots: w.spec.Batch,
			Kind: kingcuphook.UpstreamKindEngine, Models: []string{"m"}, Resumes: true, Priorities: w.c.Priorities,
		})
		e.cache = newBlockCache(w.spec.CacheTokens / hasher.BlockTokens)
		w.engines = append(w.engines, e)
		w.byAddress[e.upstream.Address()] = e
		// The reports of different engines don't fall together.
		w.after(w.spec.ReportEvery.std()*time.Duration(n)/time.Duration(len(w.spec.Speeds)), func() { w.report(e) })
	}
}

func (w *world) pool() *kingcuphook.Pool {
	upstreams := make([]*kingcuphook.Upstream, 0, len(w.engines))
	for _, e := range w.engines {
		upstreams = append(upstreams, e.upstream)
	}
	return kingcuphook.NewPool(kingcuphook.PoolFields{Name: poolName, Upstreams: upstreams, SpillRegions: true})
}

func (w *world) addFaults() {
	if s := w.c.Straggler; s != nil {
		e := w.engines[s.Runner]
		w.after(s.From.std(), func() { e.slow = s.Factor })
		w.after(s.To.std(), func() { e.slow = 1 })
	}
	if s := w.c.Crash; s != nil {
		e := w.engines[s.Runner]
		w.after(s.From.std(), e.crash)
		w.after(s.To.std(), e.recover)
	}
}

// time returns the virtual time as the decisions see it.
func (w *world) time() time.Time { return epoch.Add(w.now) }

// after schedules an event.
func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + d, order: w.order, run: run})
}

// run plays the workload until every request has an outcome or the time to
// drain is over.
func (w *world) run(arrivals []arrival) {
	for i := range arrivals {
		a := &arrivals[i]
		j := &job{arrival: a, request: kingcuphook.NewRequest(a.fields), router: w.routers[a.router]}
		w.jobs[j.request.ID()] = j
		w.all = append(w.all, j)
		w.after(a.at-w.now, func() { j.router.arrive(j) })
	}
	w.open = len(arrivals)
	w.play()
	for _, e := range w.engines {
		for _, s := range slices.Concat(e.running, e.queue) {
			s.job.settle(s)
		}
	}
}

// play runs the events until no request is open.
func (w *world) play() {
	end := (w.f.Horizon + w.f.Drain).std()
	for w.open > 0 && len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > end {
			return
		}
		w.now = e.at
		e.run()
	}
}

// delay returns the one-way delay between a router and an engine.
func (w *world) delay(r *router, e *engine) time.Duration {
	if r.region != e.upstream.Region() {
		return w.f.RegionDelay.std()
	}
	return w.f.CentreDelay.std()
}

// report sends the load of an engine to every router, late.
func (w *world) report(e *engine) {
	if !e.down {
		l := e.report()
		w.after(w.spec.ReportLag.std(), func() {
			for _, r := range w.routers {
				r.scheduler.Report(w.time(), l)
				r.pump()
			}
		})
	}
	w.after(w.spec.ReportEvery.std(), func() { w.report(e) })
}

// cached sends a cache event to every router, late or never.
func (w *world) cached(_ *engine, c kingcuphook.CacheEvent) {
	if w.rand.Float64() < w.spec.EventLoss {
		return
	}
	w.after(w.spec.EventLag.std(), func() {
		for _, r := range w.routers {
			r.scheduler.Cached(w.time(), c)
		}
	})
}

// produced sends news of an attempt to its router.
func (w *world) produced(e *engine, s *sequence, n int, done bool) {
	r := s.job.router
	w.after(w.delay(r, e), func() { r.receive(s, n, done) })
}

// broken tells the router that an attempt was lost.
func (w *world) broken(e *engine, s *sequence) {
	r := s.job.router
	w.after(w.delay(r, e), func() { r.lost(s) })
}
