package attacher

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/estimator"
)

const (
	// minPrefills is the number of prefills from which the speed of a pool counts as learned.
	minPrefills = 20
	// maxPrefillPools bounds the pools whose speed is learned; one more clears all.
	maxPrefillPools = 256
)

// prefills is an allocator that learns the speed of prefill of the pools that are scaled. It is safe for concurrent
// use.
type prefills struct {
	next kingcuphook.Allocator
	// isScaled reports whether the number of upstreams of a pool is ordered.
	isScaled func(pool string) bool

	mu sync.Mutex
	// pools has the speeds by pool.
	pools map[string]*poolSpeed
}

// poolSpeed is the learned speed of a pool.
type poolSpeed struct {
	estimates estimator.Estimator
	samples   int
}

var _ kingcuphook.Allocator = (*prefills)(nil)

// Acquire implements kingcuphook.Allocator.
func (p *prefills) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	s, err := p.next.Acquire(ctx, r, excluded)
	if err != nil || !r.Stream() || !p.isScaled(r.Pool()) || s.Choice().UncachedTokens <= 0 {
		return s, err
	}
	return &timedSlot{Slot: s, prefills: p, pool: r.Pool(), began: time.Now()}, nil
}

// observe records how long a first event took.
func (p *prefills) observe(pool string, tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.pools[pool]
	if s == nil {
		if p.pools == nil || len(p.pools) >= maxPrefillPools {
			p.pools = make(map[string]*poolSpeed)
		}
		s = &poolSpeed{}
		p.pools[pool] = s
	}
	s.samples++
	s.estimates.ObserveFirstToken(tokens, took)
}

// tokenTime returns the time that an upstream of the pool takes to prefill a token; 0 if it isn't learned yet.
func (p *prefills) tokenTime(pool string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.pools[pool]
	if s == nil || s.samples < minPrefills {
		return 0
	}
	return s.estimates.PrefillTokenTime()
}

// timedSlot measures the time to the first event. It is used by one goroutine.
type timedSlot struct {
	kingcuphook.Slot

	prefills *prefills
	pool     string
	// began is when the slot was acquired; zero after the first event.
	began time.Time
}

// Progress implements kingcuphook.Slot.
func (s *timedSlot) Progress(n int) {
	if !s.began.IsZero() {
		s.prefills.observe(s.pool, s.Choice().UncachedTokens, time.Since(s.began))
		s.began = time.Time{}
	}
	s.Slot.Progress(n)
}
