package prover

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/kingcuphook/kingcuphook"
)

// allocator gives slots at once, each upstream in turn.
type allocator struct {
	router *Router

	mu   sync.Mutex
	next int
}

// Acquire implements kingcuphook.Allocator.
func (a *allocator) Acquire(ctx context.Context, _ *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
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
