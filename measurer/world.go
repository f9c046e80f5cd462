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

// event is a function to be called at a virtual time.
type event struct {
	at time.Duration
	// order is the order among events of the same time, so that runs with the same seed
	// are equal.
	order int
	run   func()
}

// events is a priority queue of events by time and order.
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

// simulation is one run of one policy in one case: the routers, the engines and the
// queue of events in virtual time.
type simulation struct {
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
	// open is the number of jobs that have not ended.
	open int
	// crossBytes counts the bytes sent between regions.
	crossBytes int
}

// newSimulation sets up a run. schedule returns the scheduler of a router.
func newSimulation(f *file, c *caseSpec, seed uint64, schedule func(p schedulerConfig) kingcuphook.Scheduler) *simulation {
	sim := &simulation{f: f, c: c, spec: f.runner(c), rand: rand.New(rand.NewPCG(seed, 2))}
	sim.byAddress = make(map[string]*engine)
	sim.jobs = make(map[string]*job)
	sim.addEngines()
	pool := sim.pool()
	for n := range f.Routers {
		r := &router{sim: sim, region: regionName(n % c.regions())}
		r.scheduler = schedule(schedulerConfig{region: r.region, number: n, rank: n / c.regions(), seed: seed, routers: f.Routers / c.regions(), slots: sim.spec.Batch})
		r.scheduler.Update(sim.time(), pool)
		sim.routers = append(sim.routers, r)
	}
	sim.addFaults()
	return sim
}

// schedulerConfig is the position of a scheduler's router in the simulation.
type schedulerConfig struct {
	region string
	// number is the number of the router among all routers; routers is how many of them
	// are in its region.
	number, routers int
	// rank is the number of the router among those of its region.
	rank int
	seed uint64
	// slots is the batch size of an engine.
	slots int
}

func (sim *simulation) addEngines() {
	for n, speed := range sim.spec.Speeds {
		region := regionName(n % sim.c.regions())
		e := &engine{sim: sim, spec: sim.spec, speed: speed, slowdown: 1, priorities: sim.c.Priorities}
		e.upstream = kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: fmt.Sprintf("10.0.0.%d:80", n+1), Region: region, DataCentre: region, Slots: sim.spec.Batch,
			Kind: kingcuphook.UpstreamKindEngine, Models: []string{"m"}, Resumes: true, Priorities: sim.c.Priorities,
		})
		e.cache = newBlockCache(sim.spec.CacheTokens / hasher.BlockTokens)
		sim.engines = append(sim.engines, e)
		sim.byAddress[e.upstream.Address()] = e
		// Spread the reports of the engines over the interval.
		sim.after(sim.spec.ReportEvery.std()*time.Duration(n)/time.Duration(len(sim.spec.Speeds)), func() { sim.deliverReport(e) })
	}
}

func (sim *simulation) pool() *kingcuphook.Pool {
	upstreams := make([]*kingcuphook.Upstream, 0, len(sim.engines))
	for _, e := range sim.engines {
		upstreams = append(upstreams, e.upstream)
	}
	return kingcuphook.NewPool(kingcuphook.PoolFields{Name: poolName, Upstreams: upstreams, SpillRegions: true})
}

func (sim *simulation) addFaults() {
	if s := sim.c.Straggler; s != nil {
		e := sim.engines[s.Runner]
		sim.after(s.From.std(), func() { e.slowdown = s.Factor })
		sim.after(s.To.std(), func() { e.slowdown = 1 })
	}
	if s := sim.c.Crash; s != nil {
		e := sim.engines[s.Runner]
		sim.after(s.From.std(), e.crash)
		sim.after(s.To.std(), e.recover)
	}
}

// time returns the current virtual time as a time.Time, which schedulers take.
func (sim *simulation) time() time.Time { return epoch.Add(sim.now) }

// after schedules a call of run when d has passed.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.queue, event{at: sim.now + d, order: sim.order, run: run})
}

// run simulates the workload until every request has ended or the time to drain is
// over.
func (sim *simulation) run(arrivals []arrival) {
	for i := range arrivals {
		a := &arrivals[i]
		j := &job{arrival: a, request: kingcuphook.NewRequest(a.fields), router: sim.routers[a.router]}
		sim.jobs[j.request.ID()] = j
		sim.all = append(sim.all, j)
		sim.after(a.at-sim.now, func() { j.router.arrive(j) })
	}
	sim.open = len(arrivals)
	sim.processEvents()
	for _, e := range sim.engines {
		for _, s := range slices.Concat(e.running, e.queue) {
			s.job.addWork(s)
		}
	}
}

// processEvents calls the events in order until no request is open or the time to drain
// is over.
func (sim *simulation) processEvents() {
	end := (sim.f.Horizon + sim.f.Drain).std()
	for sim.open > 0 && len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.at > end {
			return
		}
		sim.now = e.at
		e.run()
	}
}

// delay returns the one-way delay between a router and an engine.
func (sim *simulation) delay(r *router, e *engine) time.Duration {
	if r.region != e.upstream.Region() {
		return sim.f.RegionDelay.std()
	}
	return sim.f.CentreDelay.std()
}

// deliverReport sends the load of an engine to every router after the report lag, and
// schedules the next report.
func (sim *simulation) deliverReport(e *engine) {
	if !e.down {
		l := e.report()
		sim.after(sim.spec.ReportLag.std(), func() {
			for _, r := range sim.routers {
				r.scheduler.Report(sim.time(), l)
				r.schedule()
			}
		})
	}
	sim.after(sim.spec.ReportEvery.std(), func() { sim.deliverReport(e) })
}

// deliverCacheEvent sends a cache event to every router after the event lag, or loses
// it with the probability EventLoss.
func (sim *simulation) deliverCacheEvent(_ *engine, c kingcuphook.CacheEvent) {
	if sim.rand.Float64() < sim.spec.EventLoss {
		return
	}
	sim.after(sim.spec.EventLag.std(), func() {
		for _, r := range sim.routers {
			r.scheduler.Cached(sim.time(), c)
		}
	})
}

// deliverTokens sends the progress of an attempt to its router: n tokens so far, and
// whether the attempt is complete.
func (sim *simulation) deliverTokens(e *engine, s *sequence, n int, done bool) {
	r := s.job.router
	sim.after(sim.delay(r, e), func() { r.receive(s, n, done) })
}

// deliverFailure sends the failure of an attempt to its router.
func (sim *simulation) deliverFailure(e *engine, s *sequence) {
	r := s.job.router
	sim.after(sim.delay(r, e), func() { r.attemptFailed(s) })
}
