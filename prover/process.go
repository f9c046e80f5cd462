package prover

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// process is the life of one router. Everything that its dispatcher does to the
// world passes through it, so that nothing gets out of a router that crashed and
// nothing moves in one that is paused.
type process struct {
	mu     sync.Mutex
	paused time.Time
	dead   bool
	// died is closed when the process crashes.
	died chan struct{}
}

func (p *process) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.dead {
		p.dead = true
		close(p.died)
	}
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = time.Now().Add(d)
}

// alive waits while the process is paused and reports whether it lives.
func (p *process) alive() bool {
	for {
		p.mu.Lock()
		wait, dead := time.Until(p.paused), p.dead
		p.mu.Unlock()
		if dead || wait <= 0 {
			return !dead
		}
		time.Sleep(wait)
	}
}

// bind returns a context that also ends when the process crashes.
func (p *process) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-p.died:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// gateStore is the store as one router reaches it.
type gateStore struct {
	process *process
	store   kingcuphook.Store
	// cut reports whether the calls are cut off; nil means never.
	cut func() bool
}

// do runs a call that neither starts nor returns in a dead process.
func (g *gateStore) do(op string, f func() error) error {
	if !g.process.alive() || g.cut != nil && g.cut() {
		return &kingcuphook.StoreError{Op: op, Err: kingcuphook.ErrUnavailable}
	}
	err := f()
	if !g.process.alive() {
		return &kingcuphook.StoreError{Op: op, Err: kingcuphook.ErrOutcomeUnknown}
	}
	return err
}

// Get implements kingcuphook.Store.
func (g *gateStore) Get(ctx context.Context, key string) (e kingcuphook.Entry, err error) {
	err = g.do("get", func() error {
		e, err = g.store.Get(ctx, key)
		return err
	})
	return e, err
}

// List implements kingcuphook.Store.
func (g *gateStore) List(ctx context.Context, prefix string) (e []kingcuphook.Entry, err error) {
	err = g.do("list", func() error {
		e, err = g.store.List(ctx, prefix)
		return err
	})
	return e, err
}

// Put implements kingcuphook.Store.
func (g *gateStore) Put(ctx context.Context, key string, value []byte, expect int64, lease kingcuphook.LeaseID) (n int64, err error) {
	err = g.do("put", func() error {
		n, err = g.store.Put(ctx, key, value, expect, lease)
		return err
	})
	return n, err
}

// Delete implements kingcuphook.Store.
func (g *gateStore) Delete(ctx context.Context, key string, expect int64) error {
	return g.do("delete", func() error { return g.store.Delete(ctx, key, expect) })
}

// Watch implements kingcuphook.Store.
func (g *gateStore) Watch(ctx context.Context, prefix string, after int64) (e []kingcuphook.Entry, n int64, err error) {
	err = g.do("watch", func() error {
		e, n, err = g.store.Watch(ctx, prefix, after)
		return err
	})
	return e, n, err
}

// Grant implements kingcuphook.Store.
func (g *gateStore) Grant(ctx context.Context, ttl time.Duration) (id kingcuphook.LeaseID, err error) {
	err = g.do("grant", func() error {
		id, err = g.store.Grant(ctx, ttl)
		return err
	})
	return id, err
}

// KeepAlive implements kingcuphook.Store.
func (g *gateStore) KeepAlive(ctx context.Context, id kingcuphook.LeaseID) error {
	return g.do("keep-alive", func() error { return g.store.KeepAlive(ctx, id) })
}

// Revoke implements kingcuphook.Store.
func (g *gateStore) Revoke(ctx context.Context, id kingcuphook.LeaseID) error {
	return g.do("revoke", func() error { return g.store.Revoke(ctx, id) })
}

// gateEngine is the upstreams as one router reaches them.
type gateEngine struct {
	router *Router
	engine kingcuphook.Engine
}

// Start implements kingcuphook.Engine.
func (g *gateEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	g.router.reach(StepDispatched)
	if !g.router.process.alive() {
		return nil, fmt.Errorf("prover: router is dead: %w", kingcuphook.ErrUnavailable)
	}
	s, err := g.engine.Start(ctx, u, a)
	if err != nil {
		return nil, err
	}
	return &gateStream{router: g.router, stream: s}, nil
}

// Call implements kingcuphook.Engine.
func (g *gateEngine) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	g.router.reach(StepDispatched)
	if !g.router.process.alive() {
		return kingcuphook.Answer{}, fmt.Errorf("prover: router is dead: %w", kingcuphook.ErrUnavailable)
	}
	timer := time.AfterFunc(callMiddle, func() { g.router.reach(StepStreaming) })
	defer timer.Stop()
	ctx, cancel := g.router.process.bind(ctx)
	defer cancel()
	answer, err := g.engine.Call(ctx, u, a)
	if !g.router.process.alive() {
		return kingcuphook.Answer{}, fmt.Errorf("prover: router is dead: %w", kingcuphook.ErrOutcomeUnknown)
	}
	return answer, err
}

// gateStream is one answer on its way to a router.
type gateStream struct {
	router *Router
	stream kingcuphook.Stream
	frames int
}

// Next implements kingcuphook.Stream.
func (g *gateStream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	if g.frames == streamMiddle {
		g.router.reach(StepStreaming)
	}
	g.frames++
	if !g.router.process.alive() {
		return kingcuphook.Frame{}, fmt.Errorf("prover: router is dead: %w", kingcuphook.ErrBrokenStream)
	}
	ctx, cancel := g.router.process.bind(ctx)
	defer cancel()
	f, err := g.stream.Next(ctx)
	if !g.router.process.alive() {
		return kingcuphook.Frame{}, fmt.Errorf("prover: router is dead: %w", kingcuphook.ErrBrokenStream)
	}
	return f, err
}

// Close implements kingcuphook.Stream.
func (g *gateStream) Close() error { return g.stream.Close() }
