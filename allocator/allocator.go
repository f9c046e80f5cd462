// Package allocator hands out the slots of the pools to traffic goroutines. It
// drives one Scheduler for each pool.
package allocator

import (
	"context"
	"errors"
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

// shutdownRetryAfter is told to callers while the router stops.
const shutdownRetryAfter = time.Second

// Allocator implements kingcuphook.Allocator. It is safe for concurrent use.
type Allocator struct {
	// NewScheduler makes the Scheduler of a pool; never nil. It is called once
	// for each pool, before the Scheduler's first Update.
	NewScheduler func(pool string) kingcuphook.Scheduler

	mu sync.RWMutex
	// pools has the pools in force.
	pools map[string]*pool
	// closed says that no request is taken any more.
	closed bool
}

var _ kingcuphook.Allocator = (*Allocator)(nil)

// Update takes the tables in force. Requests that wait for a pool that is gone
// get their answer at once; those that run are not touched.
func (a *Allocator) Update(t *kingcuphook.Tables) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	if a.pools == nil {
		a.pools = make(map[string]*pool)
	}
	for _, p := range t.Pools() {
		a.pool(p.Name()).update(p)
	}
	for name, p := range a.pools {
		if t.Pool(name) == nil {
			delete(a.pools, name)
			p.close(kingcuphook.CodeNoUpstream, kingcuphook.ErrNoUpstream, 0)
		}
	}
}

// Acquire implements kingcuphook.Allocator.
func (a *Allocator) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p, err := a.find(r.Pool())
	if err != nil {
		return nil, err
	}
	w, err := p.enter(r, excluded)
	if err != nil {
		return nil, err
	}
	select {
	case res := <-w.result:
		return res.unpack()
	case <-ctx.Done():
		p.leave(w)
		return nil, ctx.Err()
	}
}

// Report takes a load report.
func (a *Allocator) Report(l kingcuphook.LoadReport) {
	for _, p := range a.list() {
		p.event(func(now time.Time) { p.scheduler.Report(now, l) })
	}
}

// ReportAll takes load reports at once.
func (a *Allocator) ReportAll(reports []kingcuphook.LoadReport) {
	for _, p := range a.list() {
		p.event(func(now time.Time) {
			for _, l := range reports {
				p.scheduler.Report(now, l)
			}
		})
	}
}

// Rester is a Scheduler that keeps work from upstreams that ask for a rest.
type Rester interface {
	// Pause notes that a program wants nothing new until the given time.
	Pause(now time.Time, p kingcuphook.Program, until time.Time)
}

// restSpread is the part of a rest by which routers prolong it at most, so that they
// don't all return in the same moment.
const restSpread = 0.1

// Rest notes that a program wants nothing new of this router for the given time.
func (a *Allocator) Rest(program kingcuphook.Program, rest time.Duration) {
	rest += time.Duration(rand.Float64() * restSpread * float64(rest))
	for _, p := range a.list() {
		p.event(func(now time.Time) {
			if s, ok := p.scheduler.(Rester); ok {
				s.Pause(now, program, now.Add(rest))
			}
		})
	}
}

// Cached takes a cache event.
func (a *Allocator) Cached(e kingcuphook.CacheEvent) {
	for _, p := range a.list() {
		p.event(func(now time.Time) { p.scheduler.Cached(now, e) })
	}
}

// RouterCounter is a Scheduler that wants to know how many routers share its
// upstreams.
type RouterCounter interface {
	// SetRouters tells how many routers share the upstreams now, this one
	// included.
	SetRouters(n int)
}

// SetRouters tells how many routers share the upstreams now.
func (a *Allocator) SetRouters(n int) {
	for _, p := range a.list() {
		p.event(func(time.Time) {
			if c, ok := p.scheduler.(RouterCounter); ok {
				c.SetRouters(n)
			}
		})
	}
}

// Placer is a Scheduler that wants to know its router's place among those that
// share its upstreams.
type Placer interface {
	// SetPlace tells how many routers share the upstreams now and which of them
	// this one is, from 0 in an order that all agree on.
	SetPlace(place, n int)
}

// SetPlace tells how many routers share the upstreams now and which of them this
// one is, from 0 in an order that all agree on.
func (a *Allocator) SetPlace(place, n int) {
	for _, p := range a.list() {
		p.event(func(time.Time) {
			if c, ok := p.scheduler.(Placer); ok {
				c.SetPlace(place, n)
			}
		})
	}
}

// Explain returns the candidates that the request has now; nil without a pool.
func (a *Allocator) Explain(r *kingcuphook.Request) []kingcuphook.Candidate {
	p, err := a.find(r.Pool())
	if err != nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Explain(time.Now(), r, nil)
}

// Waiting returns the number of requests that wait for the pool.
func (a *Allocator) Waiting(pool string) int {
	p, err := a.find(pool)
	if err != nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Len()
}

// Close gives every waiting request its answer, which says not-run, and refuses
// those that come later. Running requests keep their slots.
func (a *Allocator) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, p := range a.pools {
		p.close(CodeShuttingDown, kingcuphook.ErrUnavailable, shutdownRetryAfter)
	}
}

func (a *Allocator) find(name string) (*pool, error) {
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

func (a *Allocator) list() []*pool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	pools := make([]*pool, 0, len(a.pools))
	for _, p := range a.pools {
		pools = append(pools, p)
	}
	return pools
}

// pool returns the pool of the name and makes it if there is none. The caller
// holds the lock.
func (a *Allocator) pool(name string) *pool {
	p := a.pools[name]
	if p == nil {
		p = newPool(a.NewScheduler(name))
		a.pools[name] = p
	}
	return p
}

func notRun(code string, err error, retryAfter time.Duration) error {
	return &kingcuphook.RequestError{
		Code:       code,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: retryAfter,
		Err:        err,
	}
}

// codeOf returns the code of the error of a shed request.
func codeOf(err error) string {
	switch {
	case errors.Is(err, kingcuphook.ErrDeadline):
		return kingcuphook.CodeDeadline
	case errors.Is(err, kingcuphook.ErrNoUpstream):
		return kingcuphook.CodeNoUpstream
	case errors.Is(err, kingcuphook.ErrConflict):
		return CodeDuplicate
	}
	return kingcuphook.CodeOverloaded
}
