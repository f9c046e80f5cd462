// Package scheduler decides when each queued request goes to which upstream. It combines
// the queue of a pool, the limits of its upstreams, the selection among them, ejection
// and preemption.
package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/preemptor"
	"github.com/kingcuphook/kingcuphook/reserver"
)

const (
	// unservedWait is how long a request waits for an upstream to appear while only
	// leaving upstreams, or none, serve its model, as during an update of the tables.
	unservedWait = 5 * time.Second
	// unservedRetryAfter is when its caller should retry if none appears.
	unservedRetryAfter = 5 * time.Second
)

// pollInterval is how often Assign is called while requests are queued, since limits and
// ejections also change with time alone.
const pollInterval = 50 * time.Millisecond

// Queue is an Admitter that can skip groups of requests and take requests back. With an Admitter
// that is no Queue there is no preemption.
type Queue interface {
	kingcuphook.Admitter
	// NextGroup is Next without the groups, as Request.Group returns them, for which skip
	// returns true.
	NextGroup(now time.Time, free func(kingcuphook.Tier) int, skip func(group string) bool) *kingcuphook.Request
	// Guaranteed reports whether the request taken last was taken on the guaranteed
	// share of its class, so that it may use any free slot.
	Guaranteed() bool
	// Return puts a request that was just taken back into its place.
	Return(now time.Time, r *kingcuphook.Request)
	// NextDeadline returns the earliest deadline of a queued request.
	NextDeadline() time.Time
	// Resize changes the maximum number of queued requests.
	Resize(maxQueued int)
}

// MarginSetter is an Admitter with an adjustable margin for late requests.
type MarginSetter interface {
	// SetMargin sets how long before its target a queued request counts as late.
	SetMargin(d time.Duration)
}

// Updater is a Limiter that depends on the pool.
type Updater interface {
	// Update applies the current revision of the pool.
	Update(now time.Time, p *kingcuphook.Pool)
}

// Progresser is a Limiter or Selector that follows the tokens of running requests.
type Progresser interface {
	// Progress records that the n-th token of a running request has come.
	Progress(now time.Time, upstream string, r *kingcuphook.Request, n int)
}

// Refresher is a Selector with state that changes with time even if the reported loads stay equal.
type Refresher interface {
	// Refresh has the effect of a report for each upstream that equals its last one.
	Refresh(now time.Time)
}

// WaitingSetter is an Admitter or Limiter that depends on the queues of other routers.
type WaitingSetter interface {
	// SetWaiting sets how many requests of each tier are queued at the other routers.
	SetWaiting(n [kingcuphook.TierCount]int)
}

// DemandSharer is an Admitter that keeps organisations fair over all routers.
type DemandSharer interface {
	// Demands returns what each organisation was served since the last call, and whether it
	// has queued requests.
	Demands(now time.Time) []kingcuphook.Demand
	// SetDemands sets what organisations are served at the other routers.
	SetDemands(elsewhere []kingcuphook.Demand)
	// Portion returns the part of a tier's slots that is due to the requests queued here, 0 to
	// 1, and whether organisations compete for the tier.
	Portion(t kingcuphook.Tier) (float64, bool)
	// Queued returns the number of queued requests of the tier.
	Queued(t kingcuphook.Tier) int
}

// PortionSetter is a Limiter that shares free slots among routers by what is due to them.
type PortionSetter interface {
	// SetPortion sets the part of a tier's free slots that is due to this router; false means
	// an equal part.
	SetPortion(t kingcuphook.Tier, portion float64, ok bool)
}

// UsableSelector is a Selector that accepts a function that reports which upstreams are
// usable, which saves building a list of those that are not.
type UsableSelector interface {
	// SelectUsable is Select among the upstreams for which usable returns true. The
	// request must not go to the excluded addresses, usable or not.
	SelectUsable(now time.Time, r *kingcuphook.Request, excluded []string, usable func(address string) bool) (kingcuphook.Choice, error)
}

// VacancySelector is a UsableSelector that may select an upstream with a free slot of which
// this router has no share.
type VacancySelector interface {
	UsableSelector
	// SelectVacant is SelectUsable, but a request with a shared prefix that no upstream is
	// known to have may also go to one for which only vacant returns true.
	SelectVacant(now time.Time, r *kingcuphook.Request, excluded []string, usable, vacant func(address string) bool) (kingcuphook.Choice, error)
}

// VacancyLimiter is a Limiter that divides the free slots among the routers.
type VacancyLimiter interface {
	// Vacant returns how many requests of the tier the upstream has room for, whatever the
	// share of this router.
	Vacant(now time.Time, address string, t kingcuphook.Tier) int
}

// ChoiceDescriber is a Selector that describes the choice of an upstream that it did not
// select.
type ChoiceDescriber interface {
	// DescribeChoice returns the choice that Select would return if it selected the address
	// for the request; an empty one if the upstream is unknown.
	DescribeChoice(now time.Time, r *kingcuphook.Request, address string) kingcuphook.Choice
}

// Scheduler implements kingcuphook.Scheduler for one pool.
type Scheduler struct {
	// Admitter orders the queued requests; never nil.
	Admitter kingcuphook.Admitter
	// Limiter bounds the running requests; never nil.
	Limiter kingcuphook.Limiter
	// Selector selects among the upstreams; never nil.
	Selector kingcuphook.Selector
	// Ejector keeps work from slow and broken upstreams; nil ejects none.
	Ejector kingcuphook.Ejector
	// Predictor learns the length of answers; nil learns nothing.
	Predictor kingcuphook.LengthPredictor
	// Permits issues the permits for upstreams with a rate limit; nil means that no upstream
	// has one.
	Permits kingcuphook.PermitSource
	// Memory bounds the requests at an upstream by its KV memory; nil bounds nothing.
	Memory *reserver.Memory
	// Preemptor chooses the runs to preempt; nil preempts nothing.
	Preemptor *preemptor.Preemptor

	// HoldPerModel makes requests that prefer waiting to the free slots hold back only
	// other requests of their group, not all of their tier.
	HoldPerModel bool

	slots slotTable
	// excluded holds the addresses excluded for a queued request, by its identifier.
	excluded map[string][]string
	// restricted holds the queued requests that are restricted to a software version, by
	// version and identifier.
	restricted map[string]map[string]*kingcuphook.Request
	// running holds the attempts that were assigned and have not ended, by identifier of
	// the request; a hedged request has two.
	running map[string][]*run
	// runOrder holds the same runs in the order of their assignment.
	runOrder []*run
	// firstToken is the average time to the first token in seconds; 0 if unknown.
	firstToken float64
	// lastLowerTier is when a request below the highest tier was last assigned.
	lastLowerTier time.Time
	// lastPreemptSearch is when a run to preempt was last searched.
	lastPreemptSearch time.Time
	// lastProbeSearch is when a request to probe with was last searched.
	lastProbeSearch time.Time
	// dryRun means that a preview is made, which takes and requests no permits.
	dryRun bool
	// unusable is scratch space of Assign.
	unusable []string
}

// run is an attempt that was assigned.
type run struct {
	request  *kingcuphook.Request
	upstream *kingcuphook.Upstream
	// tokens is the number of tokens of the answer that have come and been charged.
	tokens int
	// guaranteed means that it runs on the guaranteed share of its class.
	guaranteed bool
	// preempted means that its slot was given to another request.
	preempted bool
}

var _ kingcuphook.Scheduler = (*Scheduler)(nil)

// Update implements kingcuphook.Scheduler.
func (s *Scheduler) Update(now time.Time, p *kingcuphook.Pool) {
	s.slots.update(p, s.runOrder)
	if q, ok := s.Admitter.(Queue); ok {
		q.Resize(p.MaxQueued())
	}
	if u, ok := s.Limiter.(Updater); ok {
		u.Update(now, p)
	}
	if s.Memory != nil {
		s.Memory.Update(p)
	}
	s.Selector.Update(now, p)
	if s.Ejector != nil {
		s.Ejector.Update(now, p)
	}
}

// Offer implements kingcuphook.Scheduler.
func (s *Scheduler) Offer(now time.Time, r *kingcuphook.Request) []kingcuphook.Shed {
	if shed, ok := s.rejectTooLarge(r); ok {
		s.Memory.Refused()
		return []kingcuphook.Shed{shed}
	}
	return s.offer(now, r)
}

// offer queues a request.
func (s *Scheduler) offer(now time.Time, r *kingcuphook.Request) []kingcuphook.Shed {
	s.trackVersion(r)
	return s.forget(s.Admitter.Offer(now, r))
}

// Requeue implements kingcuphook.Scheduler. A request for which every upstream is
// excluded is shed at once with ErrNoUpstream.
func (s *Scheduler) Requeue(now time.Time, r *kingcuphook.Request, excluded []string) []kingcuphook.Shed {
	if s.slots.allExcluded(r, excluded) {
		return []kingcuphook.Shed{kingcuphook.NewShed(r, kingcuphook.ErrNoUpstream, 0)}
	}
	if len(excluded) > 0 {
		if s.excluded == nil {
			s.excluded = make(map[string][]string)
		}
		s.excluded[r.ID()] = excluded
	}
	if q, ok := s.Admitter.(Queue); ok {
		s.trackVersion(r)
		q.Return(now, r)
		return nil
	}
	return s.offer(now, r)
}

// Readmit replaces the upstreams that are excluded for a queued request. It does nothing if the request is not
// queued with any excluded.
func (s *Scheduler) Readmit(r *kingcuphook.Request, excluded []string) {
	if len(s.excluded[r.ID()]) == 0 {
		return
	}
	s.excluded[r.ID()] = excluded
}

// isUnserved reports whether the request has waited for at least unservedWait and only
// leaving upstreams, or none, serve its model. It is then shed, so that its caller
// doesn't wait until the deadline.
func (s *Scheduler) isUnserved(now time.Time, r *kingcuphook.Request) bool {
	return now.Sub(r.Arrived()) >= unservedWait && !s.slots.serves(r)
}

func unservedShed(r *kingcuphook.Request) kingcuphook.Shed {
	return kingcuphook.NewShed(r, kingcuphook.ErrNoUpstream, unservedRetryAfter)
}

// Cancel implements kingcuphook.Scheduler.
func (s *Scheduler) Cancel(_ time.Time, id string) bool {
	s.forgetID(id)
	return s.Admitter.Cancel(id)
}

// Progress implements kingcuphook.Scheduler.
func (s *Scheduler) Progress(now time.Time, upstream string, r *kingcuphook.Request, n int) {
	run := s.findRun(r.ID(), upstream)
	if run == nil {
		return
	}
	s.chargeTokens(run, n)
	if l, ok := s.Limiter.(Progresser); ok {
		l.Progress(now, upstream, r, n)
	}
	if c, ok := s.Selector.(Progresser); ok {
		c.Progress(now, upstream, r, n)
	}
	if s.Memory != nil {
		s.Memory.Progress(upstream, r, n)
	}
}

// Finished implements kingcuphook.Scheduler.
func (s *Scheduler) Finished(now time.Time, upstream string, r *kingcuphook.Request, sample kingcuphook.Sample) {
	run := s.findRun(r.ID(), upstream)
	if run == nil {
		return
	}
	s.removeRun(run)
	if s.Permits != nil {
		s.Permits.Release(now, run.upstream.Program(), sample)
	}
	s.chargeTokens(run, sample.Tokens)
	s.Limiter.Finished(now, upstream, r, sample)
	s.Selector.Finished(now, upstream, r, sample)
	if s.Memory != nil {
		s.Memory.Finished(upstream, r, sample)
	}
	if s.Ejector != nil {
		s.Ejector.Finished(now, upstream, sample)
	}
	s.learn(r, sample)
}

// Report implements kingcuphook.Scheduler. Reports of upstreams outside the pool are
// ignored.
func (s *Scheduler) Report(now time.Time, l kingcuphook.LoadReport) {
	if !s.slots.setLeaving(l.Upstream(), l.Leaving()) {
		return
	}
	s.Limiter.Report(now, l)
	s.Selector.Report(now, l)
	if s.Memory != nil {
		s.Memory.Report(l)
	}
}

// Refresh has the effect of a report for each upstream that equals its last one. Limiters ignore such reports.
func (s *Scheduler) Refresh(now time.Time) {
	if r, ok := s.Selector.(Refresher); ok {
		r.Refresh(now)
	}
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

// SetWaiting sets how many requests of each tier are queued at the other routers for the pool.
func (s *Scheduler) SetWaiting(n [kingcuphook.TierCount]int) {
	if l, ok := s.Limiter.(WaitingSetter); ok {
		l.SetWaiting(n)
	}
	if a, ok := s.Admitter.(WaitingSetter); ok {
		a.SetWaiting(n)
	}
}

// Demands returns what each organisation was served here since the last call, and whether it has
// queued requests.
func (s *Scheduler) Demands(now time.Time) []kingcuphook.Demand {
	if a, ok := s.Admitter.(DemandSharer); ok {
		return a.Demands(now)
	}
	return nil
}

// SetDemands sets what organisations are served of the pool at the other routers.
func (s *Scheduler) SetDemands(elsewhere []kingcuphook.Demand) {
	a, ok := s.Admitter.(DemandSharer)
	if !ok {
		return
	}
	a.SetDemands(elsewhere)
	if l, ok := s.Limiter.(PortionSetter); ok {
		for i, p := range orderedPortions(a) {
			l.SetPortion(kingcuphook.HighestTier+kingcuphook.Tier(i), p, !math.IsInf(p, 1))
		}
	}
}

// orderedPortions returns the portions of the tiers, +Inf where none is set. A tier gets at least
// the portion of each lower tier that is queued, and one that isn't queued at most that of the tier
// above it, so that portions don't change the order of the tiers.
func orderedPortions(a DemandSharer) [kingcuphook.TierCount]float64 {
	var portions [kingcuphook.TierCount]float64
	least := 0.0
	for t := kingcuphook.LowestTier; t >= kingcuphook.HighestTier; t-- {
		portion, ok := a.Portion(t)
		if !ok {
			portion = math.Inf(1)
		}
		portions[t.Index()] = max(portion, least)
		if a.Queued(t) > 0 {
			least = portions[t.Index()]
		}
	}
	for i := 1; i < len(portions); i++ {
		portions[i] = min(portions[i], portions[i-1])
	}
	return portions
}

// SetRouters sets how many routers share the upstreams.
func (s *Scheduler) SetRouters(n int) {
	if c, ok := s.Limiter.(interface{ SetRouters(n int) }); ok {
		c.SetRouters(n)
	}
}

// SetRouterIndex sets how many routers share the upstreams and the index of this one
// among them, from 0.
func (s *Scheduler) SetRouterIndex(index, n int) {
	if c, ok := s.Limiter.(interface{ SetRouterIndex(index, n int) }); ok {
		c.SetRouterIndex(index, n)
	} else {
		s.SetRouters(n)
	}
	if s.Memory != nil {
		s.Memory.SetRouterIndex(index, n)
	}
}

// Explain implements kingcuphook.Scheduler.
func (s *Scheduler) Explain(now time.Time, r *kingcuphook.Request, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	known := len(dst)
	dst = s.Selector.Explain(now, r, dst)
	s.rejectLimitedCandidates(now, r, dst[known:])
	s.rejectFullCandidates(now, r, dst[known:])
	return dst
}

// Len implements kingcuphook.Scheduler.
func (s *Scheduler) Len() int { return s.Admitter.Len() }

// Running returns the number of running attempts.
func (s *Scheduler) Running() int { return len(s.runOrder) }

// forget deletes what is kept about requests that are no longer queued.
func (s *Scheduler) forget(sheds []kingcuphook.Shed) []kingcuphook.Shed {
	for _, shed := range sheds {
		s.forgetID(shed.Request().ID())
	}
	return sheds
}

func (s *Scheduler) forgetID(id string) {
	delete(s.excluded, id)
	s.untrackVersion(id)
	if s.Memory != nil {
		s.Memory.Forget(id)
	}
}

// chargeTokens charges the tokens that came since the last call.
func (s *Scheduler) chargeTokens(run *run, tokens int) {
	if tokens <= run.tokens {
		return
	}
	s.Admitter.Served(run.request, tokens-run.tokens)
	if s.Preemptor != nil {
		s.Preemptor.Served(tokens - run.tokens)
	}
	run.tokens = tokens
}

func (s *Scheduler) findRun(id, upstream string) *run {
	for _, run := range s.running[id] {
		if run.upstream.Address() == upstream {
			return run
		}
	}
	return nil
}

func (s *Scheduler) removeRun(removed *run) {
	isRemoved := func(run *run) bool { return run == removed }
	id := removed.request.ID()
	s.runOrder = slices.DeleteFunc(s.runOrder, isRemoved)
	s.running[id] = slices.DeleteFunc(s.running[id], isRemoved)
	if len(s.running[id]) == 0 {
		delete(s.running, id)
	}
	if row := s.slots.byAddress[removed.upstream.Address()]; row != nil {
		row.running--
	}
}
