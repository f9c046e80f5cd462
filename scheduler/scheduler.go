// Package scheduler decides which waiting request goes to which upstream and
// when. It joins the queue of a pool, the limits of its upstreams, the choice
// among them, ejection and preemption.
package scheduler

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/preemptor"
)

const (
	// unservedWait is how long a request waits for an upstream to appear when all
	// that serve its model leave, as in a change of the table.
	unservedWait = 5 * time.Second
	// unservedRetryAfter is told to its caller then.
	unservedRetryAfter = 5 * time.Second
)

// pollInterval is how often slots are looked for while requests wait, since
// limits and ejections also change with time alone.
const pollInterval = 50 * time.Millisecond

// Queue is an Admitter that can pass over models and take requests back. An
// Admitter that is no Queue is used too, without preemption.
type Queue interface {
	kingcuphook.Admitter
	// NextModel is Next without the models that skip reports.
	NextModel(now time.Time, free func(kingcuphook.Tier) int, skip func(model string) bool) *kingcuphook.Request
	// Guaranteed reports whether the request taken last was taken on the
	// guaranteed share of its class, so that it may use any free slot.
	Guaranteed() bool
	// Return puts a request that was just taken back to its place.
	Return(now time.Time, r *kingcuphook.Request)
	// NextDeadline returns the earliest deadline of a waiting request.
	NextDeadline() time.Time
	// Resize changes the bound of waiting requests.
	Resize(maxQueued int)
}

// MarginSetter is an Admitter that can be told when a request is as good as late.
type MarginSetter interface {
	// SetMargin sets how long before its target a waiting request counts as late.
	SetMargin(d time.Duration)
}

// Updater is a Limiter that wants to know the pool in force.
type Updater interface {
	// Update takes the pool in force.
	Update(now time.Time, p *kingcuphook.Pool)
}

// Progresser is a Limiter or Selector that follows the tokens of running requests.
type Progresser interface {
	// Progress takes that the n-th token of a running request has come.
	Progress(now time.Time, upstream string, r *kingcuphook.Request, n int)
}

// UsableSelector is a Selector that can ask which upstreams are usable, which
// saves building a list of those that are not.
type UsableSelector interface {
	// SelectUsable is Select among the upstreams that usable reports.
	// Excluded are addresses that the request must not go to, usable or not.
	SelectUsable(now time.Time, r *kingcuphook.Request, excluded []string, usable func(address string) bool) (kingcuphook.Choice, error)
}

// Scheduler implements kingcuphook.Scheduler for one pool.
type Scheduler struct {
	// Admitter orders the waiting requests; never nil.
	Admitter kingcuphook.Admitter
	// Limiter bounds the running requests; never nil.
	Limiter kingcuphook.Limiter
	// Selector chooses among the upstreams; never nil.
	Selector kingcuphook.Selector
	// Ejector keeps work from slow and broken upstreams; nil ejects none.
	Ejector kingcuphook.Ejector
	// Predictor learns the length of answers; nil learns nothing.
	Predictor kingcuphook.LengthPredictor
	// Preemptor chooses what is preempted; nil preempts nothing.
	Preemptor *preemptor.Preemptor

	// HoldModels makes a request that does better to wait hold up those of its model
	// only, and not all of its tier.
	HoldModels bool

	slots slotTable
	// excluded has the addresses barred for a waiting request, by identifier.
	excluded map[string][]string
	// running has the attempts that were assigned and have not ended, by
	// identifier; a hedged request has two.
	running map[string][]*run
	// order has the same runs in the order of their assignment.
	order []*run
	// firstToken is the usual first-token delay in seconds; 0 if unknown.
	firstToken float64
	// lastLower is when a request below the highest tier was last assigned.
	lastLower time.Time
	// lastSearch is when a run to be preempted was last looked for.
	lastSearch time.Time
	// lastProbe is when a request to probe with was last looked for.
	lastProbe time.Time
	// barred is scratch space of Assign.
	barred []string
}

// run is an attempt that was assigned.
type run struct {
	request  *kingcuphook.Request
	upstream *kingcuphook.Upstream
	// tokens is how much of the answer has come and been charged.
	tokens int
	// guaranteed says that it runs on the guaranteed share of its class.
	guaranteed bool
	// preempted says that its slot has been given away.
	preempted bool
}

var _ kingcuphook.Scheduler = (*Scheduler)(nil)

// Update implements kingcuphook.Scheduler.
func (s *Scheduler) Update(now time.Time, p *kingcuphook.Pool) {
	s.slots.update(p)
	if q, ok := s.Admitter.(Queue); ok {
		q.Resize(p.MaxQueued())
	}
	if u, ok := s.Limiter.(Updater); ok {
		u.Update(now, p)
	}
	s.Selector.Update(now, p)
	if s.Ejector != nil {
		s.Ejector.Update(now, p)
	}
}

// Offer implements kingcuphook.Scheduler.
func (s *Scheduler) Offer(now time.Time, r *kingcuphook.Request) []kingcuphook.Shed {
	return s.shed(s.Admitter.Offer(now, r))
}

// Requeue implements kingcuphook.Scheduler. A request for which every upstream
// is excluded is shed at once with ErrNoUpstream.
func (s *Scheduler) Requeue(now time.Time, r *kingcuphook.Request, excluded []string) []kingcuphook.Shed {
	if s.slots.allBarred(r.Model(), excluded) {
		return []kingcuphook.Shed{kingcuphook.NewShed(r, kingcuphook.ErrNoUpstream, 0)}
	}
	if len(excluded) > 0 {
		if s.excluded == nil {
			s.excluded = make(map[string][]string)
		}
		s.excluded[r.ID()] = excluded
	}
	if q, ok := s.Admitter.(Queue); ok {
		q.Return(now, r)
		return nil
	}
	return s.Offer(now, r)
}

// isUnserved reports whether the request has waited for long while no upstream
// that stays serves its model. Its caller is then told so, and does not wait
// until the deadline.
func (s *Scheduler) isUnserved(now time.Time, r *kingcuphook.Request) bool {
	return now.Sub(r.Arrived()) >= unservedWait && !s.slots.takes(r.Model())
}

func unserved(r *kingcuphook.Request) kingcuphook.Shed {
	return kingcuphook.NewShed(r, kingcuphook.ErrNoUpstream, unservedRetryAfter)
}

// Cancel implements kingcuphook.Scheduler.
func (s *Scheduler) Cancel(_ time.Time, id string) bool {
	delete(s.excluded, id)
	return s.Admitter.Cancel(id)
}

// Progress implements kingcuphook.Scheduler.
func (s *Scheduler) Progress(now time.Time, r *kingcuphook.Request, n int) {
	limits, _ := s.Limiter.(Progresser)
	choices, _ := s.Selector.(Progresser)
	for _, run := range s.running[r.ID()] {
		s.serve(run, n)
		if limits != nil {
			limits.Progress(now, run.upstream.Address(), r, n)
		}
		if choices != nil {
			choices.Progress(now, run.upstream.Address(), r, n)
		}
	}
}

// Finished implements kingcuphook.Scheduler.
func (s *Scheduler) Finished(now time.Time, upstream string, r *kingcuphook.Request, sample kingcuphook.Sample) {
	run := s.find(r.ID(), upstream)
	if run == nil {
		return
	}
	s.drop(run)
	s.serve(run, sample.Tokens)
	s.Limiter.Finished(now, upstream, r, sample)
	s.Selector.Finished(now, upstream, r, sample)
	if s.Ejector != nil {
		s.Ejector.Finished(now, upstream, sample)
	}
	s.learn(r, sample)
}

// Report implements kingcuphook.Scheduler. Reports of upstreams outside the
// pool are ignored.
func (s *Scheduler) Report(now time.Time, l kingcuphook.LoadReport) {
	if !s.slots.setLeaving(l.Upstream(), l.Leaving()) {
		return
	}
	s.Limiter.Report(now, l)
	s.Selector.Report(now, l)
}

// Cached implements kingcuphook.Scheduler.
func (s *Scheduler) Cached(now time.Time, e kingcuphook.CacheEvent) {
	s.Selector.Cached(now, e)
}

// Wake implements kingcuphook.Scheduler.
func (s *Scheduler) Wake(now time.Time) time.Time {
	if s.Admitter.Len() == 0 {
		return time.Time{}
	}
	at := now.Add(pollInterval)
	q, ok := s.Admitter.(Queue)
	if !ok {
		return at
	}
	if d := q.NextDeadline(); !d.IsZero() && d.Before(at) {
		return d
	}
	return at
}

// SetRouters tells how many routers share the upstreams now.
func (s *Scheduler) SetRouters(n int) {
	if c, ok := s.Limiter.(interface{ SetRouters(n int) }); ok {
		c.SetRouters(n)
	}
}

// SetPlace tells how many routers share the upstreams now and which of them this
// one is, from 0.
func (s *Scheduler) SetPlace(place, n int) {
	if c, ok := s.Limiter.(interface{ SetPlace(place, n int) }); ok {
		c.SetPlace(place, n)
	}
}

// Explain implements kingcuphook.Scheduler.
func (s *Scheduler) Explain(now time.Time, r *kingcuphook.Request, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	return s.Selector.Explain(now, r, dst)
}

// Len implements kingcuphook.Scheduler.
func (s *Scheduler) Len() int { return s.Admitter.Len() }

// Running returns the number of attempts that run.
func (s *Scheduler) Running() int { return len(s.order) }

// shed forgets what is kept for requests that no longer wait.
func (s *Scheduler) shed(sheds []kingcuphook.Shed) []kingcuphook.Shed {
	for _, shed := range sheds {
		delete(s.excluded, shed.Request().ID())
	}
	return sheds
}

// serve charges the tokens that came since the last call.
func (s *Scheduler) serve(run *run, tokens int) {
	if tokens <= run.tokens {
		return
	}
	s.Admitter.Served(run.request, tokens-run.tokens)
	if s.Preemptor != nil {
		s.Preemptor.Served(tokens - run.tokens)
	}
	run.tokens = tokens
}

func (s *Scheduler) find(id, upstream string) *run {
	for _, run := range s.running[id] {
		if run.upstream.Address() == upstream {
			return run
		}
	}
	return nil
}

func (s *Scheduler) drop(dropped *run) {
	isDropped := func(run *run) bool { return run == dropped }
	id := dropped.request.ID()
	s.order = slices.DeleteFunc(s.order, isDropped)
	s.running[id] = slices.DeleteFunc(s.running[id], isDropped)
	if len(s.running[id]) == 0 {
		delete(s.running, id)
	}
	if row := s.slots.byAddress[dropped.upstream.Address()]; row != nil {
		row.running--
	}
}
