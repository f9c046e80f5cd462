package pinner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// horizon is how long a version that has left is still taken for one that may have begun
	// streams. It is far longer than a stream lasts.
	horizon = 5 * time.Minute
	// clockMargin is how far the clocks of two VMs may be apart.
	clockMargin = 30 * time.Second
	// freshFor is how long knowledge of the versions in service holds.
	freshFor = 2 * time.Second
	// maxPools bounds the pools that records add.
	maxPools = 1024
	// maxVersions bounds the versions of a pool that are kept, unless more are in service, and
	// those in its record. Those that left first yield.
	maxVersions = 16
)

// pool has the versions of a pool.
type pool struct {
	// since is when the pool was first seen in the tables; zero before.
	since time.Time
	// left has when each version left the tables; zero if it is in them. came has when each of
	// these versions came, and ready how many of its upstreams take new work.
	left  map[string]time.Time
	came  map[string]time.Time
	ready map[string]int
	// record is the pool's record in the store; nil if there is none or it is not known.
	// It has the revision, and the store had it at readAt or later.
	record   *Record
	revision int64
	readAt   time.Time
	// hadRecord is true if a record was known that the store has lost.
	hadRecord bool
	// first is the version that the first record names as base: of those that came first, the one with
	// the most upstreams then. It changes only when none of them takes new work.
	first string
	// isImported is true if this router has never read the record, but has one of a peer.
	isImported bool
	// behindSince is when this router found that another version had overtaken the base of the record; zero if
	// none has.
	behindSince time.Time
	// related are the names of the pools in which streams of the routes to this one may have
	// begun, itself included.
	related map[string]bool
	// mixed is true if more than one version was in service in them within the horizon.
	mixed bool
}

func newPool() *pool {
	return &pool{left: make(map[string]time.Time), came: make(map[string]time.Time)}
}

// observe records the versions that are in the tables, with the numbers of their upstreams
// that take new work.
func (p *pool) observe(now time.Time, ready map[string]int) {
	if p.since.IsZero() {
		p.since = now
	}
	p.ready = ready
	for version, left := range p.left {
		if _, ok := ready[version]; !ok && left.IsZero() {
			p.left[version] = now
		}
		if !left.IsZero() && now.Sub(left) > horizon {
			p.forget(version)
		}
	}
	for version := range ready {
		if left, ok := p.left[version]; !ok || !left.IsZero() {
			p.came[version] = now
		}
		p.left[version] = time.Time{}
	}
	p.trim(len(ready))
	if ready[p.first] == 0 {
		p.first = p.earliest()
	}
}

// earliest returns the version in the tables that came before all others; of several, the one with the
// most upstreams that take new work, then the first by name; empty if there is none that has a name.
func (p *pool) earliest() string {
	versions := slices.DeleteFunc(slices.Sorted(maps.Keys(p.ready)), func(version string) bool { return version == "" })
	if len(versions) == 0 {
		return ""
	}
	return slices.MinFunc(versions, func(a, b string) int {
		return cmp.Or(p.came[a].Compare(p.came[b]), cmp.Compare(p.ready[b], p.ready[a]))
	})
}

// trim forgets versions that are not in the tables, those that left first. The tables have n.
func (p *pool) trim(n int) {
	for len(p.left) > max(maxVersions, n) {
		p.forget(slices.MinFunc(slices.Collect(maps.Keys(p.left)), p.compareLeft))
	}
}

func (p *pool) forget(version string) {
	delete(p.left, version)
	delete(p.came, version)
}

// compareLeft orders versions by when they left, those in the tables last.
func (p *pool) compareLeft(a, b string) int {
	if p.left[a].IsZero() != p.left[b].IsZero() {
		return cmp.Compare(btoi(p.left[a].IsZero()), btoi(p.left[b].IsZero()))
	}
	return p.left[a].Compare(p.left[b])
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// recent returns the versions that were in service within the horizon, in order.
func (p *pool) recent(now time.Time) []string {
	versions := make(map[string]bool)
	if p == nil {
		return nil
	}
	for version, left := range p.left {
		if left.IsZero() || now.Sub(left) <= horizon {
			versions[version] = true
		}
	}
	for version := range p.record.recent(now) {
		versions[version] = true
	}
	return slices.Sorted(maps.Keys(versions))
}

// recentWithin is like recent for a shorter time than the horizon. What the record tells of a version yields to what
// this router has seen of it.
func (p *pool) recentWithin(now time.Time, d time.Duration) []string {
	return slices.DeleteFunc(p.recent(now), func(version string) bool {
		left, seen := p.left[version]
		if seen {
			return !left.IsZero() && now.Sub(left) > d
		}
		left, recorded := p.record.leftAt(version)
		return recorded && now.Sub(left) > d+clockMargin
	})
}

func (p *pool) count(now time.Time) int { return len(p.recent(now)) }

func (p *pool) isMixed() bool { return p != nil && p.mixed }

// isComplete reports whether no version that was in service within the horizon is missing.
func (p *pool) isComplete(now time.Time) bool {
	return p.record != nil && !p.isImported || !p.since.IsZero() && now.Sub(p.since) >= horizon
}

// versions returns the versions that were in service within the horizon in the pool and those
// related to it, in order.
func (p *Pinner) versions(now time.Time, name string) []string {
	if p.pools[name] == nil {
		return nil
	}
	var list []string
	for other := range p.pools[name].related {
		list = append(list, p.pools[other].recent(now)...)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Observe records the versions in the tables, those of leaving upstreams included.
func (p *Pinner) Observe(now time.Time, t *kingcuphook.Tables) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pool := range p.pools {
		if t.Pool(name) == nil {
			pool.observe(now, nil)
		}
	}
	for _, tp := range t.Pools() {
		p.pool(tp.Name()).observe(now, countReady(tp))
	}
	if p.routes == nil {
		p.routes = make(routePools)
	}
	p.routes.observe(now, t.Routes())
	p.setRetention(now, t)
	p.refresh(now)
}

// countReady returns the versions of the upstreams of a pool, with the numbers of those that
// take new work.
func countReady(p *kingcuphook.Pool) map[string]int {
	ready := make(map[string]int)
	for _, u := range p.Upstreams() {
		if u.Leaving() {
			ready[u.SoftwareVersion()] += 0
		} else {
			ready[u.SoftwareVersion()]++
		}
	}
	return ready
}

// setRetention sets how long streams are kept: as long as one may last, within bounds.
func (p *Pinner) setRetention(now time.Time, t *kingcuphook.Tables) {
	longest := time.Duration(0)
	for _, r := range t.Routes() {
		longest = max(longest, r.Timeout())
	}
	if longest >= p.longest || now.Sub(p.longestAt) > p.longest {
		p.longest = longest
	}
	if longest == p.longest {
		p.longestAt = now
	}
	p.lastsLong = longest > maxRetention
	longest = min(max(longest, minRetention), maxRetention)
	p.begun.retention, p.learned.retention = longest, longest
}

// Retention returns how long the origins of streams are kept.
func (p *Pinner) Retention() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.begun.retention, minRetention)
}

// Refresh forgets the versions that left too long ago.
func (p *Pinner) Refresh(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
}

// Confirm records that the tables were those in force at a time, which may be in the past.
func (p *Pinner) Confirm(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// ConfirmedAt returns a time at which the tables were those in force; zero if there is none.
func (p *Pinner) ConfirmedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedAt
}

// Distrust records that it is not known how old the tables and the records are.
func (p *Pinner) Distrust() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmedAt = time.Time{}
	for _, pool := range p.pools {
		pool.readAt = time.Time{}
	}
}

// pool returns the pool with the name, which is added if it is new.
func (p *Pinner) pool(name string) *pool {
	if p.pools == nil {
		p.pools = make(map[string]*pool)
	}
	if p.pools[name] == nil {
		p.pools[name] = newPool()
	}
	return p.pools[name]
}

// refresh derives what depends on the versions and the routes of the pools. Once several
// versions are in service, the streams that have begun are queued for the ledger.
func (p *Pinner) refresh(now time.Time) {
	if p.era != p.seenEra {
		p.seenEra, p.eraAt = p.era, now
	}
	p.origins = make(map[uint64]kingcuphook.Origin)
	for name, pool := range p.pools {
		versions := pool.recent(now)
		if len(versions) == 0 {
			delete(p.pools, name)
			continue
		}
		for _, version := range versions {
			p.origins[markOf(name, version)] = kingcuphook.Origin{Pool: name, Version: version}
		}
	}
	p.routes.expire(now)
	p.routes.relate(p.pools)
	for name, pool := range p.pools {
		wasMixed := pool.mixed
		pool.updateBehind(now, pool.base(p.era))
		pool.mixed = len(p.versions(now, name)) > 1
		if pool.mixed && !wasMixed {
			p.queueAll(now, name)
		}
	}
}

// queueAll queues the streams that have begun in the pool for the ledger.
func (p *Pinner) queueAll(now time.Time, name string) {
	marks := make(map[uint64]bool)
	for _, version := range p.pools[name].recent(now) {
		marks[markOf(name, version)] = true
	}
	for _, key := range p.begun.order {
		if e, ok := p.begun.get(now, key); ok && marks[e.mark] {
			p.ledger.queue(key)
		}
	}
}

// IsMixed reports whether more than one version was in service lately in the pools in which
// a stream may have begun that is resumed in the pool.
func (p *Pinner) IsMixed(pool string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[pool].isMixed()
}

// HasMixed reports whether IsMixed holds for any pool, so that the ledger is written.
func (p *Pinner) HasMixed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		if pool.mixed {
			return true
		}
	}
	return false
}

// Versions returns the versions of the pool that were in service lately.
func (p *Pinner) Versions(now time.Time, pool string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[pool].recent(now)
}

// MaxVersions returns the largest number of versions of a pool that were in service lately.
func (p *Pinner) MaxVersions(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pool := range p.pools {
		n = max(n, pool.count(now))
	}
	return n
}
