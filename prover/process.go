package prover

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// process emulates the operating system process of one router. Every access of its
// dispatcher to the store, the upstreams and the callers checks it, so that a crashed
// router has no more effects and a paused one makes no progress.
type process struct {
	mu sync.Mutex
	// paused is the time until which the process is paused.
	paused time.Time
	down   bool
	// crashed is closed when the process crashes.
	crashed chan struct{}
}

func (p *process) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.down {
		p.down = true
		close(p.crashed)
	}
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = time.Now().Add(d)
}

// awaitRunning waits while the process is paused, and reports whether it has not crashed.
func (p *process) awaitRunning() bool {
	for {
		p.mu.Lock()
		wait, down := time.Until(p.paused), p.down
		p.mu.Unlock()
		if down || wait <= 0 {
			return !down
		}
		time.Sleep(wait)
	}
}

// bind returns a context that is also cancelled when the process crashes.
func (p *process) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-p.crashed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// processStore is the store as one router accesses it.
type processStore struct {
	process *process
	store   kingcuphook.Store
	// cut reports whether the connection to the store is cut; nil means never.
	cut func() bool
}

// do calls f. It returns an error without the call if the process has crashed or the
// connection is cut, and instead of f's result if the process crashed during the call.
func (p *processStore) do(op string, f func() error) error {
	if !p.process.awaitRunning() || p.cut != nil && p.cut() {
		return &kingcuphook.StoreError{Op: op, Err: kingcuphook.ErrUnavailable}
	}
	err := f()
	if !p.process.awaitRunning() {
		return &kingcuphook.StoreError{Op: op, Err: kingcuphook.ErrOutcomeUnknown}
	}
	return err
}

// Get implements kingcuphook.Store.
func (p *processStore) Get(ctx context.Context, key string) (e kingcuphook.Entry, err error) {
	err = p.do("get", func() error {
		e, err = p.store.Get(ctx, key)
		return err
	})
	return e, err
}

// List implements kingcuphook.Store.
func (p *processStore) List(ctx context.Context, prefix string) (e []kingcuphook.Entry, err error) {
	err = p.do("list", func() error {
		e, err = p.store.List(ctx, prefix)
		return err
	})
	return e, err
}

// Put implements kingcuphook.Store.
func (p *processStore) Put(ctx context.Context, key string, value []byte, expect int64, lease kingcuphook.LeaseID) (n int64, err error) {
	err = p.do("put", func() error {
		n, err = p.store.Put(ctx, key, value, expect, lease)
		return err
	})
	return n, err
}

// Delete implements kingcuphook.Store.
func (p *processStore) Delete(ctx context.Context, key string, expect int64) error {
	return p.do("delete", func() error { return p.store.Delete(ctx, key, expect) })
}

// Watch implements kingcuphook.Store.
func (p *processStore) Watch(ctx context.Context, prefix string, after int64) (e []kingcuphook.Entry, n int64, err error) {
	err = p.do("watch", func() error {
		e, n, err = p.store.Watch(ctx, prefix, after)
		return err
	})
	return e, n, err
}

// Grant implements kingcuphook.Store.
func (p *processStore) Grant(ctx context.Context, ttl time.Duration) (id kingcuphook.LeaseID, err error) {
	err = p.do("grant", func() error {
		id, err = p.store.Grant(ctx, ttl)
		return err
	})
	return id, err
}

// KeepAlive implements kingcuphook.Store.
func (p *processStore) KeepAlive(ctx context.Context, id kingcuphook.LeaseID) error {
	return p.do("keep-alive", func() error { return p.store.KeepAlive(ctx, id) })
}

// Revoke implements kingcuphook.Store.
func (p *processStore) Revoke(ctx context.Context, id kingcuphook.LeaseID) error {
	return p.do("revoke", func() error { return p.store.Revoke(ctx, id) })
}

// processEngine is the engine of the upstreams as one router accesses it.
type processEngine struct {
	router *Router
	engine kingcuphook.Engine
}

// Start implements kingcuphook.Engine.
func (p *processEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	p.router.reachStep(StepDispatched)
	if !p.router.process.awaitRunning() {
		return nil, fmt.Errorf("prover: router has crashed: %w", kingcuphook.ErrUnavailable)
	}
	s, err := p.engine.Start(ctx, u, a)
	if err != nil {
		return nil, err
	}
	return &processStream{router: p.router, stream: s}, nil
}

// Call implements kingcuphook.Engine.
func (p *processEngine) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	p.router.reachStep(StepDispatched)
	if !p.router.process.awaitRunning() {
		return kingcuphook.Answer{}, fmt.Errorf("prover: router has crashed: %w", kingcuphook.ErrUnavailable)
	}
	timer := time.AfterFunc(callMiddle, func() { p.router.reachStep(StepStreaming) })
	defer timer.Stop()
	ctx, cancel := p.router.process.bind(ctx)
	defer cancel()
	answer, err := p.engine.Call(ctx, u, a)
	if !p.router.process.awaitRunning() {
		return kingcuphook.Answer{}, fmt.Errorf("prover: router has crashed: %w", kingcuphook.ErrOutcomeUnknown)
	}
	return answer, err
}

// processStream is a streamed answer as its router receives it.
type processStream struct {
	router *Router
	stream kingcuphook.Stream
	frames int
}

// Next implements kingcuphook.Stream.
func (p *processStream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	if p.frames == streamMiddle {
		p.router.reachStep(StepStreaming)
	}
	p.frames++
	if !p.router.process.awaitRunning() {
		return kingcuphook.Frame{}, fmt.Errorf("prover: router has crashed: %w", kingcuphook.ErrBrokenStream)
	}
	ctx, cancel := p.router.process.bind(ctx)
	defer cancel()
	f, err := p.stream.Next(ctx)
	if !p.router.process.awaitRunning() {
		return kingcuphook.Frame{}, fmt.Errorf("prover: router has crashed: %w", kingcuphook.ErrBrokenStream)
	}
	return f, err
}

// Close implements kingcuphook.Stream.
func (p *processStream) Close() error { return p.stream.Close() }
