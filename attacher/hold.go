package attacher

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/pinner"
)

// holdInterval is how often a router that doesn't follow the store reads the records of versions
// while a version is held back.
const holdInterval = time.Second

// holdAllocator lets streams that may be resumed begin only at the recorded version of a pool, while
// another one is held back, or only at the base of its record, while the ledger can't be written.
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
	a.pins.awaitRecord(ctx, r.Pool())
	if version, ok := a.pins.onlyBegin(r.Pool()); ok {
		slot, err := a.next.Acquire(ctx, r.Restrict(version), excluded)
		if !errors.Is(err, kingcuphook.ErrVersionGone) {
			return slot, err
		}
	}
	// Without an upstream of the recorded version, no version is held back.
	return a.next.Acquire(ctx, r, excluded)
}

// awaitRecord returns once the first record of the pool is known, or need not be awaited any more, or ctx has ended.
func (s *pins) awaitRecord(ctx context.Context, pool string) {
	for s.pinner.AwaitsRecord(time.Now(), pool) && ctx.Err() == nil {
		select {
		case <-s.read(pool):
		case <-ctx.Done():
		}
	}
}

// onlyBegin returns the only version of the pool at which streams may begin now, if there is one.
func (s *pins) onlyBegin(pool string) (version string, ok bool) {
	now := time.Now()
	if version, ok := s.pinner.Held(now, pool); ok {
		return version, true
	}
	version, ok = s.pinner.Guarded(now, pool)
	return version, ok && !s.recordings.canGuard()
}

// announceGuard tells the other routers that this one guards the bases of records, except in large fleets.
func (c *control) announceGuard(now time.Time, others []netip.Addr) {
	if now.Before(c.versions.nextAnnouncement) || pinner.IsLarge(len(others)+1) {
		return
	}
	c.versions.nextAnnouncement = now.Add(pinner.AnnounceInterval)
	c.sendToAll(pinner.EncodeAnnouncement(), others)
}

// judgeFleet tells the pinner whether the other routers guard the bases of records. A router that has
// just started doesn't know them all.
func (c *control) judgeFleet(now time.Time) {
	f := c.peers.guards.Judge(now, c.peers.lastSeen)
	f.All = f.All && now.Sub(c.startedAt) >= maxDiscovery
	if f != c.versions.fleet {
		c.a.Log.Log(logger.BasesGuarded, "all", f.All, "broken", f.Broken, "odd", f.Odd, "half", f.Half, "large", f.Large, "routers", len(c.peers.lastSeen)+1)
		c.versions.fleet = f
	}
	c.a.pins.pinner.SetFleet(f)
}

// readHeld reads the records of the pools in which a version is held back, if this router doesn't
// learn of their changes by following the store, and of those to which a version has come since they
// were read.
func (c *control) readHeld(now time.Time) {
	if now.Before(c.versions.nextRead) {
		return
	}
	pools := c.a.pins.pinner.UnreadPools()
	if !c.delegator.Follows(now) {
		pools = append(pools, c.a.pins.pinner.HeldPools(now)...)
	}
	c.versions.nextRead = now.Add(holdInterval)
	for _, pool := range pools {
		c.a.pins.read(pool)
	}
}
