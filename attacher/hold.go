package attacher

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// holdInterval is how often a router that doesn't follow the store reads the records of versions
// while a version is held back.
const holdInterval = time.Second

// holdAllocator lets streams that may be resumed begin only at the recorded version of a pool, while
// another one is held back.
type holdAllocator struct {
	next kingcuphook.Allocator
	pins *pins
}

var _ kingcuphook.Allocator = (*holdAllocator)(nil)

// Acquire implements kingcuphook.Allocator.
func (a *holdAllocator) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	if _, restricted := r.OnlyVersion(); restricted || !r.Stream() || r.NonIdempotent() {
		return a.next.Acquire(ctx, r, excluded)
	}
	if version, ok := a.pins.pinner.Held(time.Now(), r.Pool()); ok {
		slot, err := a.next.Acquire(ctx, r.Restrict(version), excluded)
		if !errors.Is(err, kingcuphook.ErrVersionGone) {
			return slot, err
		}
	}
	// Without an upstream of the recorded version, no version is held back.
	return a.next.Acquire(ctx, r, excluded)
}

// readHeld reads the records of the pools in which a version is held back, if this router doesn't
// learn of their changes by following the store.
func (c *control) readHeld(now time.Time) {
	if now.Before(c.versions.nextRead) || c.delegator.Follows(now) {
		return
	}
	c.versions.nextRead = now.Add(holdInterval)
	for _, pool := range c.a.pins.pinner.HeldPools(now) {
		c.a.pins.read(pool)
	}
}
