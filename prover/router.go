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

// Router is one router of a World.
type Router struct {
	// Dispatcher is its data path.
	Dispatcher *dispatcher.Dispatcher

	world   *World
	process *process
	sharer  *sharer.Sharer
	mu      sync.Mutex
	// stopping says that the router ends after its running call.
	stopping bool
	// cancel ends the call that began last.
	cancel context.CancelFunc
	// triggers are run once when a call reaches their step.
	triggers map[Step][]func()
}

func (w *World) newRouter(seed uint64, index int) *Router {
	r := &Router{
		world:    w,
		process:  &process{died: make(chan struct{})},
		triggers: make(map[Step][]func()),
	}
	source := rand.New(rand.NewPCG(seed, uint64(index)))
	r.Dispatcher = &dispatcher.Dispatcher{
		Allocator: &unbounded{router: r, next: index},
		Engine:    &gateEngine{router: r, engine: w.Engine},
		Store:     &gateStore{process: r.process, store: w.Store},
		Owner:     fmt.Sprintf("router-%d", index),
		Rand:      source,
		Claimer: &claimer.Claimer{
			Store: &gateStore{process: r.process, store: w.Store},
			Rand:  rand.New(rand.NewPCG(seed, uint64(1000+index))),
			// Every write seals the head before it, so that the sealed segments
			// take part in each cell.
			HeadBytes: 1,
			Retention: 4 * time.Minute,
		},
		Quarantiner: &quarantiner.Quarantiner{},
	}
	r.sharer = &sharer.Sharer{
		Store:       &gateStore{process: r.process, store: w.Store, cut: w.isCut},
		Quarantiner: r.Dispatcher.Quarantiner,
		Owner:       r.Dispatcher.Owner,
	}
	r.Dispatcher.ShareSuspects = r.sharer.Share
	// It ends with the context of the world.
	w.group.Go(func() { _ = r.sharer.Run(w.ctx) })
	return r
}

// At runs f once when a call of the router reaches a step.
func (r *Router) At(s Step, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.triggers[s] = append(r.triggers[s], f)
}

func (r *Router) reach(s Step) {
	r.mu.Lock()
	triggers := r.triggers[s]
	delete(r.triggers, s)
	r.mu.Unlock()
	for _, f := range triggers {
		f()
	}
}

// stop begins a planned stop: the running call ends, and then the process.
func (r *Router) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// exit ends the process of a router that is stopping, once nothing is left to
// be written.
func (r *Router) exit() {
	r.mu.Lock()
	stopping := r.stopping
	r.mu.Unlock()
	if !stopping {
		return
	}
	// A background context never ends.
	_ = r.Dispatcher.Claimer.Drain(context.Background())
	r.process.crash()
}

// leave lets the caller of the call that began last go away.
func (r *Router) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel()
}
