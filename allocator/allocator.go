// Package allocator assigns slots on the upstreams of the pools to requests. It runs
// one Scheduler for each pool, and blocks the goroutine of a request until the
// Scheduler assigns it a slot.
package allocator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Codes of errors that only Acquire returns.
const (
	CodeShuttingDown = "shutting-down"
	CodeDuplicate    = "duplicate-request"
)

// shutdownRetryAfter is the retry delay for callers while the router shuts down.
const shutdownRetryAfter = time.Second

// Allocator implements kingcuphook.Allocator. It is safe for concurrent use.
type Allocator struct {
	// NewScheduler returns a new Scheduler for a pool; never nil. It is called when
	// Update adds the pool.
	NewScheduler func(pool string) kingcuphook.Scheduler

	mu sync.RWMutex
	// pools holds the pools of the current tables by name.
	pools map[string]*pool
	// removed holds pools that are in the tables no more and whose slots are in use.
	removed map[string]*pool
	// closed means that new requests are rejected.
	closed bool
}

var _ kingcuphook.Allocator = (*Allocator)(nil)

// Update sets the current tables. Requests that are queued for a removed pool are
// rejected immediately; requests that run in it are not affected.
func (a *Allocator) Update(t *kingcuphook.Tables) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	if a.pools == nil {
		a.pools = make(map[string]*pool)
		a.removed = make(map[string]*pool)
	}
	for _, p := range t.Pools() {
		a.findOrCreatePool(p.Name()).update(p)
	}
	for name, p := range a.pools {
		if t.Pool(name) == nil {
			delete(a.pools, name)
			p.close(kingcuphook.CodeNoUpstream, kingcuphook.ErrNoUpstream, 0)
			a.removed[name] = p
		}
	}
	for name, p := range a.removed {
		if !p.inUse() {
			delete(a.removed, name)
		}
	}
}

// Acquire implements kingcuphook.Allocator.
func (a *Allocator) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p, err := a.findPool(r.Pool())
	if err != nil {
		return nil, err
	}
	w, err := p.enqueue(r, excluded)
	if err != nil {
		return nil, err
	}
	select {
	case res := <-w.result:
		return res.unpack()
	case <-ctx.Done():
		p.cancel(w)
		return nil, ctx.Err()
	}
}

// Report passes a load report to all Schedulers.
func (a *Allocator) Report(l kingcuphook.LoadReport) {
	for _, p := range a.listPools() {
		p.apply(func(now time.Time) { p.scheduler.Report(now, l) })
	}
}

// ReportAll passes several load reports to all Schedulers, which assign slots only
// after the last one.
func (a *Allocator) ReportAll(reports []kingcuphook.LoadReport) {
	for _, p := range a.listPools() {
		p.apply(func(now time.Time) {
			for _, l := range reports {
				p.scheduler.Report(now, l)
			}
		})
	}
}

// Refresher is implemented by Schedulers that update more than loads with each report, such as distances and learned
// speeds.
type Refresher interface {
	// Refresh does what reports that equal the last ones would do.
	Refresh(now time.Time)
}

// Refresh does for all Schedulers what ReportAll with the reports of the last call would do, which
// costs less.
func (a *Allocator) Refresh() {
	for _, p := range a.listPools() {
		p.apply(func(now time.Time) {
			if s, ok := p.scheduler.(Refresher); ok {
				s.Refresh(now)
			}
		})
	}
}

// Pauser is implemented by Schedulers that can pause upstreams.
type Pauser interface {
	// Pause records that a program asks for no new work until the given time.
	Pause(now time.Time, p kingcuphook.Program, until time.Time)
}

// pauseJitter is the maximum share by which a router extends a pause at random, so that
// the routers don't all resume at the same time.
const pauseJitter = 0.1

// Pause records that a program asks for no new work from this router for the given
// time. It extends the time by a random jitter.
func (a *Allocator) Pause(program kingcuphook.Program, pause time.Duration) {
	pause += time.Duration(rand.Float64() * pauseJitter * float64(pause))
	for _, p := range a.listPools() {
		p.apply(func(now time.Time) {
			if s, ok := p.scheduler.(Pauser); ok {
				s.Pause(now, program, now.Add(pause))
			}
		})
	}
}

// Reassign makes all Schedulers assign slots again, after something else has changed that
// their assignments depend on.
func (a *Allocator) Reassign() {
	for _, p := range a.listPools() {
		p.apply(func(time.Time) {})
	}
}

// Cached passes a cache event to all Schedulers.
func (a *Allocator) Cached(e kingcuphook.CacheEvent) {
	for _, p := range a.listPools() {
		p.apply(func(now time.Time) { p.scheduler.Cached(now, e) })
	}
}

// WaitingSetter is implemented by Schedulers that depend on the queues of other routers.
type WaitingSetter interface {
	// SetWaiting sets how many requests of each tier are queued at the other routers for the
	// pool.
	SetWaiting(n [kingcuphook.TierCount]int)
}

// SetWaiting passes to the Scheduler of each pool how many requests of each tier are queued
// for it at the other routers.
func (a *Allocator) SetWaiting(waiting func(pool string) [kingcuphook.TierCount]int) {
	a.mu.RLock()
	pools := maps.Clone(a.pools)
	a.mu.RUnlock()
	for name, p := range pools {
		p.apply(func(time.Time) {
			if s, ok := p.scheduler.(WaitingSetter); ok {
				s.SetWaiting(waiting(name))
			}
		})
	}
}

// DemandSharer is implemented by Schedulers that keep organisations fair over all routers.
type DemandSharer interface {
	// Demands returns what each organisation was served here since the last call, and whether
	// it has queued requests.
	Demands(now time.Time) []kingcuphook.Demand
	// SetDemands sets what organisations are served at the other routers.
	SetDemands(elsewhere []kingcuphook.Demand)
}

// Demands returns by pool what each organisation was served here since the last call.
func (a *Allocator) Demands() map[string][]kingcuphook.Demand {
	a.mu.RLock()
	pools := maps.Clone(a.pools)
	a.mu.RUnlock()
	demands := make(map[string][]kingcuphook.Demand, len(pools))
	for name, p := range pools {
		p.apply(func(now time.Time) {
			if s, ok := p.scheduler.(DemandSharer); ok {
				demands[name] = s.Demands(now)
			}
		})
	}
	return demands
}

// SetDemands passes to the Scheduler of each pool what organisations are served of it at the
// other routers.
func (a *Allocator) SetDemands(elsewhere func(pool string) []kingcuphook.Demand) {
	a.mu.RLock()
	pools := maps.Clone(a.pools)
	a.mu.RUnlock()
	for name, p := range pools {
		p.apply(func(time.Time) {
			if s, ok := p.scheduler.(DemandSharer); ok {
				s.SetDemands(elsewhere(name))
			}
		})
	}
}

// RouterCounter is implemented by Schedulers that depend on how many routers share
// their upstreams.
type RouterCounter interface {
	// SetRouters sets the number of routers that share the upstreams, this one
	// included.
	SetRouters(n int)
}

// SetRouters passes the number of routers that share the upstreams, this one included,
// to all Schedulers that depend on it.
func (a *Allocator) SetRouters(n int) {
	for _, p := range a.listPools() {
		p.apply(func(time.Time) {
			if c, ok := p.scheduler.(RouterCounter); ok {
				c.SetRouters(n)
			}
		})
	}
}

// RouterIndexer is implemented by Schedulers that depend on the index of their router
// among those that share its upstreams.
type RouterIndexer interface {
	// SetRouterIndex sets the number of routers n that share the upstreams, and the
	// index of this one among them, from 0 in an order that is the same on all routers.
	SetRouterIndex(index, n int)
}

// SetRouterIndex passes the number of routers n that share the upstreams, and the index
// of this one among them, to all Schedulers that depend on it. The index starts at 0 in
// an order that is the same on all routers.
func (a *Allocator) SetRouterIndex(index, n int) {
	for _, p := range a.listPools() {
		p.apply(func(time.Time) {
			if c, ok := p.scheduler.(RouterIndexer); ok {
				c.SetRouterIndex(index, n)
			}
		})
	}
}

// MemoryHolder is implemented by Schedulers that bound the KV memory of engines.
type MemoryHolder interface {
	// HeldMemory returns what the running requests are expected to hold at each engine.
	HeldMemory() []kingcuphook.HeldMemory
}

// HeldMemory returns the KV memory that the running requests are expected to hold at the engines of all pools.
func (a *Allocator) HeldMemory() []kingcuphook.HeldMemory {
	var held []kingcuphook.HeldMemory
	for _, p := range a.listPools() {
		p.mu.Lock()
		if s, ok := p.scheduler.(MemoryHolder); ok {
			held = append(held, s.HeldMemory()...)
		}
		p.mu.Unlock()
	}
	return held
}

// Explain returns the candidates that the request has now; nil if its pool doesn't
// exist or the Allocator is closed.
func (a *Allocator) Explain(r *kingcuphook.Request) []kingcuphook.Candidate {
	p, err := a.findPool(r.Pool())
	if err != nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Explain(time.Now(), r, nil)
}

// Previewer is implemented by Schedulers that can tell what would become of a request.
type Previewer interface {
	// Preview returns what would become of the request if it were offered now, which has no influence on
	// any request.
	Preview(now time.Time, r *kingcuphook.Request) (kingcuphook.Preview, error)
}

// Preview returns what would become of the request if it came now, with no influence on any request. The
// code is that of the error that Acquire would return if the request would be shed. The error is that of Acquire
// if it would fail at once, or wraps ErrUnavailable if the Scheduler can't be asked.
func (a *Allocator) Preview(r *kingcuphook.Request) (p kingcuphook.Preview, code string, err error) {
	pool, err := a.findPool(r.Pool())
	if err != nil {
		return kingcuphook.Preview{}, "", err
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	s, ok := pool.scheduler.(Previewer)
	if !ok {
		return kingcuphook.Preview{}, "", fmt.Errorf("allocator: scheduler gives no previews: %w", kingcuphook.ErrUnavailable)
	}
	p, err = s.Preview(time.Now(), r)
	if err == nil && p.Shed.Err() != nil {
		code = codeOfShed(p.Shed.Err())
	}
	return p, code, err
}

// VacancyFinder is implemented by Schedulers that can be asked for a free slot.
type VacancyFinder interface {
	// HasVacancy reports whether the upstreams that are not excluded have n slots for
	// requests like r now; if resumes is set, those that can resume a partial answer.
	HasVacancy(now time.Time, r *kingcuphook.Request, excluded []string, resumes bool, n int) bool
}

// HasVacancy reports whether the upstreams of the request's pool that are not excluded have
// n slots for requests like it now; if resumes is set, those that can resume a partial
// answer. It returns true if the Scheduler can't be asked.
func (a *Allocator) HasVacancy(r *kingcuphook.Request, excluded []string, resumes bool, n int) bool {
	p, err := a.findPool(r.Pool())
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.scheduler.(VacancyFinder)
	return !ok || s.HasVacancy(time.Now(), r, excluded, resumes, n)
}

// SpareSlotFinder is implemented by Schedulers that can be asked for a slot that no first attempt needs.
type SpareSlotFinder interface {
	// HasSpareSlot reports whether a request like r could take a slot now that no first attempt needs.
	HasSpareSlot(now time.Time, r *kingcuphook.Request, excluded []string) bool
}

// HasSpareSlot reports whether a hedge of the request could take a slot now, on an upstream that is not
// excluded, that no first attempt needs. It returns false if the Scheduler can't be asked.
func (a *Allocator) HasSpareSlot(r *kingcuphook.Request, excluded []string) bool {
	p, err := a.findPool(r.Pool())
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.scheduler.(SpareSlotFinder)
	return ok && s.HasSpareSlot(time.Now(), r, excluded)
}

// Readmitter is implemented by Schedulers that can lift the exclusion of upstreams for a queued request.
type Readmitter interface {
	// Readmit replaces the upstreams that are excluded for a queued request. It does nothing if the request is
	// not queued with any excluded.
	Readmit(r *kingcuphook.Request, excluded []string)
}

// Readmit replaces the upstreams that Acquire excludes for a request, if it waits with any excluded.
func (a *Allocator) Readmit(r *kingcuphook.Request, excluded []string) {
	p, err := a.findPool(r.Pool())
	if err != nil {
		return
	}
	p.apply(func(time.Time) {
		if s, ok := p.scheduler.(Readmitter); ok {
			s.Readmit(r, excluded)
		}
	})
}

// Queued returns the number of requests that are queued for the pool.
func (a *Allocator) Queued(pool string) int {
	p, err := a.findPool(pool)
	if err != nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Len()
}

// Close rejects all queued and all later requests as not run. Running requests keep
// their slots.
func (a *Allocator) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, p := range a.pools {
		p.close(CodeShuttingDown, kingcuphook.ErrUnavailable, shutdownRetryAfter)
	}
}

func (a *Allocator) findPool(name string) (*pool, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		return nil, notRun(CodeShuttingDown, kingcuphook.ErrUnavailable, shutdownRetryAfter)
	}
	if p := a.pools[name]; p != nil {
		return p, nil
	}
	return nil, notRun(kingcuphook.CodeNoUpstream, kingcuphook.ErrNoUpstream, 0)
}

func (a *Allocator) listPools() []*pool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	pools := make([]*pool, 0, len(a.pools))
	for _, p := range a.pools {
		pools = append(pools, p)
	}
	return pools
}

// findOrCreatePool returns the pool with the name. A removed one returns with its slots in use;
// without one, it creates the pool. The caller holds mu.
func (a *Allocator) findOrCreatePool(name string) *pool {
	p := a.pools[name]
	if p != nil {
		return p
	}
	if p = a.removed[name]; p != nil {
		delete(a.removed, name)
		p.reopen()
	} else {
		p = newPool(a.NewScheduler(name))
	}
	a.pools[name] = p
	return p
}

// notRun returns the error of a request that was rejected before it ran.
func notRun(code string, err error, retryAfter time.Duration) error {
	return &kingcuphook.RequestError{
		Code:       code,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: retryAfter,
		Err:        err,
	}
}

// codeOfShed returns the error code for the error of a shed request.
func codeOfShed(err error) string {
	switch {
	case errors.Is(err, kingcuphook.ErrDeadline):
		return kingcuphook.CodeDeadline
	case errors.Is(err, kingcuphook.ErrNoUpstream):
		return kingcuphook.CodeNoUpstream
	case errors.Is(err, kingcuphook.ErrVersionGone):
		return kingcuphook.CodeVersionGone
	case errors.Is(err, kingcuphook.ErrTooLarge):
		return kingcuphook.CodeTooLarge
	case errors.Is(err, kingcuphook.ErrConflict):
		return CodeDuplicate
	}
	return kingcuphook.CodeOverloaded
}
