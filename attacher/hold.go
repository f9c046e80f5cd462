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

// maxAdmitTimeout bounds how long a stream waits before it runs until the ledger has it as queued.
const maxAdmitTimeout = 500 * time.Millisecond

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
	slot, err := a.next.Acquire(ctx, r, excluded)
	if err != nil {
		return nil, err
	}
	base, ok := a.pins.admit(ctx, r, slot.Choice().Upstream.SoftwareVersion())
	if ok {
		return slot, nil
	}
	slot.Release(kingcuphook.Sample{Cancelled: true})
	if excluded == nil {
		excluded = []string{} // the request had a slot
	}
	return a.next.Acquire(ctx, r.Restrict(base), excluded)
}

// admit reports whether the request may run at the version. If the stream must be in the ledger to begin there, it is
// queued before it runs: one that can't be runs at the base, and costs no upstream a run in vain.
func (s *pins) admit(ctx context.Context, r *kingcuphook.Request, version string) (base string, ok bool) {
	base, guarded := s.pinner.Guarded(time.Now(), r.Pool())
	if !guarded || version == base || !isAttempt(r.ID()) || !s.pinner.TakesNew(r.Pool(), base) {
		return base, true
	}
	began := time.Now()
	how := s.queue(ctx, pinner.Key(r.Organisation(), r.ID()), admitTimeout(ctx))
	if how != recordingDone {
		s.a.Log.Log(logger.StreamNotQueued, "request", r.ID(), "pool", r.Pool(), "version", version, "base", base, "queued-ms", time.Since(began).Milliseconds(), "recording", how)
	}
	return base, how == recordingDone
}

// admitTimeout returns how long a stream waits to be queued before it runs. It may still have to wait for a slot at the
// base in the time that the context leaves.
func admitTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxAdmitTimeout
	}
	return min(maxAdmitTimeout, time.Until(deadline)/2)
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
