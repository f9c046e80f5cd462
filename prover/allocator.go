package prover

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/allocator"
	"github.com/kingcuphook/kingcuphook/composer"
)

// Names of the only pool and the only region of an Environment.
const (
	poolName   = "pool"
	regionName = "cairo"
)

// unboundedAllocator returns a slot for every request at once, at the upstreams in
// rotation.
type unboundedAllocator struct {
	router *Router

	mu   sync.Mutex
	next int
}

// Acquire implements kingcuphook.Allocator.
func (a *unboundedAllocator) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	a.router.reachStep(StepClaimed)
	if !a.router.process.awaitRunning() {
		return nil, notRun("router has crashed")
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if d := a.router.env.limitedFor(); d > 0 {
		return nil, rateLimited(d)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	upstreams := a.router.env.Upstreams
	for range upstreams {
		u := upstreams[a.next%len(upstreams)]
		a.next++
		if r.Allows(u) && !slices.Contains(excluded, u.Address()) {
			return &unboundedSlot{upstream: u}, nil
		}
	}
	return nil, notRun("all upstreams are excluded")
}

func notRun(reason string) error {
	return &kingcuphook.RequestError{
		Code: "no-upstream",
		Ran:  kingcuphook.RunStateNotRun,
		Err:  fmt.Errorf("prover: %s: %w", reason, kingcuphook.ErrNoUpstream),
	}
}

// rateLimited returns the error of a request for which no upstream has a permit for d.
func rateLimited(d time.Duration) error {
	return &kingcuphook.RequestError{
		Code:       kingcuphook.CodeOverloaded,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: d,
		Err:        fmt.Errorf("prover: %w: %w", kingcuphook.ErrOverloaded, kingcuphook.ErrUpstreamsLimited),
	}
}

// scheduledAllocator acquires slots from an allocator with the routers' scheduler.
type scheduledAllocator struct {
	router *Router
	next   *allocator.Allocator
}

// Acquire implements kingcuphook.Allocator.
func (a *scheduledAllocator) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	a.router.reachStep(StepClaimed)
	if !a.router.process.awaitRunning() {
		return nil, notRun("router has crashed")
	}
	return a.next.Acquire(ctx, r, excluded)
}

// limitedPermits has no permits while all upstreams are at their rate limit. It implements
// kingcuphook.PermitSource.
type limitedPermits struct{ env *Environment }

// State implements kingcuphook.PermitSource.
func (p limitedPermits) State(now time.Time, _ kingcuphook.Program, _ kingcuphook.Tier) kingcuphook.PermitState {
	d := p.env.limitedFor()
	if d <= 0 {
		return kingcuphook.PermitState{}
	}
	return kingcuphook.PermitState{Limited: true, NextRequest: now.Add(d), DeniedUntil: now.Add(d)}
}

// Acquire implements kingcuphook.PermitSource.
func (p limitedPermits) Acquire(time.Time, kingcuphook.Program, kingcuphook.Tier) bool {
	return p.env.limitedFor() <= 0
}

// Release implements kingcuphook.PermitSource.
func (limitedPermits) Release(time.Time, kingcuphook.Program, kingcuphook.Sample) {}

// Offer implements kingcuphook.PermitSource.
func (limitedPermits) Offer(time.Time, kingcuphook.Program) {}

// Schedule replaces the unbounded allocator of every router by one with the scheduler
// that routers use in production. It must be called before the first call.
func (env *Environment) Schedule(seed uint64) {
	pool := kingcuphook.NewPool(kingcuphook.PoolFields{Name: poolName, Upstreams: env.Upstreams})
	tables := kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{pool})
	for _, r := range env.Routers {
		c := composer.Composer{Region: regionName, DataCentre: regionName, Seed: seed}
		a := &allocator.Allocator{NewScheduler: func(string) kingcuphook.Scheduler {
			s := c.Compose()
			s.Permits = limitedPermits{env}
			return s
		}}
		a.Update(tables)
		r.Dispatcher.Allocator = &scheduledAllocator{router: r, next: a}
		env.closers = append(env.closers, a.Close)
	}
}

// unboundedSlot is a slot of an unboundedAllocator.
type unboundedSlot struct{ upstream *kingcuphook.Upstream }

// Choice implements kingcuphook.Slot.
func (s *unboundedSlot) Choice() kingcuphook.Choice { return kingcuphook.Choice{Upstream: s.upstream} }

// Preempted implements kingcuphook.Slot.
func (s *unboundedSlot) Preempted() <-chan struct{} { return nil }

// Progress implements kingcuphook.Slot.
func (s *unboundedSlot) Progress(int) {}

// Release implements kingcuphook.Slot.
func (s *unboundedSlot) Release(kingcuphook.Sample) {}
