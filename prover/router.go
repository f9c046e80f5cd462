package prover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook/claimer"
	"github.com/kingcuphook/kingcuphook/dispatcher"
	"github.com/kingcuphook/kingcuphook/quarantiner"
	"github.com/kingcuphook/kingcuphook/sharer"
)

// Router is one router of an Environment.
type Router struct {
	// Dispatcher is the data path of the router.
	Dispatcher *dispatcher.Dispatcher

	env     *Environment
	process *process
	sharer  *sharer.Sharer
	mu      sync.Mutex
	// stopping reports that the router ends after its current call.
	stopping bool
	// cancel cancels the call that began last.
	cancel context.CancelFunc
	// triggers holds the functions to call once when a call reaches the step.
	triggers map[Step][]func()
}

func (env *Environment) newRouter(seed uint64, index int) *Router {
	r := &Router{
		env:      env,
		process:  &process{crashed: make(chan struct{})},
		triggers: make(map[Step][]func()),
	}
	source := rand.New(rand.NewPCG(seed, uint64(index)))
	r.Dispatcher = &dispatcher.Dispatcher{
		Allocator: &unboundedAllocator{router: r, next: index},
		Engine:    &processEngine{router: r, engine: env.Engine},
		Store:     &processStore{process: r.process, store: env.Store},
		Owner:     fmt.Sprintf("router-%d", index),
		Rand:      source,
		Claimer: &claimer.Claimer{
			Store: &processStore{process: r.process, store: env.Store},
			Rand:  rand.New(rand.NewPCG(seed, uint64(1000+index))),
			// With this limit every write seals the previous head, so that each cell
			// reads claims from sealed segments too.
			HeadBytes: 1,
			Retention: 4 * time.Minute,
		},
		Quarantiner: &quarantiner.Quarantiner{},
	}
	r.sharer = &sharer.Sharer{
		Store:       &processStore{process: r.process, store: env.Store, cut: env.peersAreCut},
		Quarantiner: r.Dispatcher.Quarantiner,
		Owner:       r.Dispatcher.Owner,
	}
	r.Dispatcher.ShareSuspects = r.sharer.Share
	// Run returns when the context of the environment is cancelled; the error is ignored.
	env.group.Go(func() { _ = r.sharer.Run(env.ctx) })
	return r
}

// OnStep arranges one call of f when the next call of the router reaches a step.
func (r *Router) OnStep(s Step, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.triggers[s] = append(r.triggers[s], f)
}

func (r *Router) reachStep(s Step) {
	r.mu.Lock()
	triggers := r.triggers[s]
	delete(r.triggers, s)
	r.mu.Unlock()
	for _, f := range triggers {
		f()
	}
}

// stopAfterCall starts a planned stop: the process ends after the current call.
func (r *Router) stopAfterCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// exitIfStopping ends the process of a router that is stopping, after all pending writes
// of its claims.
func (r *Router) exitIfStopping() {
	r.mu.Lock()
	stopping := r.stopping
	r.mu.Unlock()
	if !stopping {
		return
	}
	// The error is ignored: a background context is never cancelled.
	_ = r.Dispatcher.Claimer.Drain(context.Background())
	r.process.crash()
}

// cancelCall cancels the call that began last, as if its caller had disconnected.
func (r *Router) cancelCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel()
}
