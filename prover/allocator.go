package prover

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/allocator"
	"github.com/kingcuphook/kingcuphook/composer"
)

// Names of the one pool and the one region of a World.
const (
	poolName   = "pool"
	regionName = "cairo"
)

// unbounded gives slots at once, each upstream in turn.
type unbounded struct {
	router *Router

	mu   sync.Mutex
	next int
}

// Acquire implements kingcuphook.Allocator.
func (a *unbounded) Acquire(ctx context.Context, _ *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	a.router.reach(StepClaimed)
	if !a.router.process.alive() {
		return nil, notRun("router is dead")
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	upstreams := a.router.world.Upstreams
	for range upstreams {
		u := upstreams[a.next%len(upstreams)]
		a.next++
		if !slices.Contains(excluded, u.Address()) {
			return &slot{upstream: u}, nil
		}
	}
	return nil, notRun("all excluded")
}

func notRun(reason string) error {
	return &kingcuphook.RequestError{
		Code: "no-upstream",
		Ran:  kingcuphook.RunStateNotRun,
		Err:  fmt.Errorf("prover: %s: %w", reason, kingcuphook.ErrNoUpstream),
	}
}

// scheduled hands out the slots of the router's own scheduler.
type scheduled struct {
	router *Router
	next   *allocator.Allocator
}

// Acquire implements kingcuphook.Allocator.
func (a *scheduled) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	a.router.reach(StepClaimed)
	if !a.router.process.alive() {
		return nil, notRun("router is dead")
	}
	return a.next.Acquire(ctx, r, excluded)
}

// Schedule lets every router use an allocator with the scheduler that routers
// have, in place of slots without bounds. It is called before the first call.
func (w *World) Schedule(seed uint64) {
	pool := kingcuphook.NewPool(kingcuphook.PoolFields{Name: poolName, Upstreams: w.Upstreams})
	tables := kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{pool})
	for _, r := range w.Routers {
		c := composer.Composer{Region: regionName, DataCentre: regionName, Seed: seed}
		a := &allocator.Allocator{NewScheduler: func(string) kingcuphook.Scheduler { return c.Compose() }}
		a.Update(tables)
		r.Dispatcher.Allocator = &scheduled{router: r, next: a}
		w.closers = append(w.closers, a.Close)
	}
}

// slot is a slot without bounds.
type slot struct{ upstream *kingcuphook.Upstream }

// Choice implements kingcuphook.Slot.
func (s *slot) Choice() kingcuphook.Choice { return kingcuphook.Choice{Upstream: s.upstream} }

// Preempted implements kingcuphook.Slot.
func (s *slot) Preempted() <-chan struct{} { return nil }

// Progress implements kingcuphook.Slot.
func (s *slot) Progress(int) {}

// Release implements kingcuphook.Slot.
func (s *slot) Release(kingcuphook.Sample) {}
