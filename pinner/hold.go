package pinner

import (
	"maps"
	"slices"
	"time"
)

const (
	// holdFor is how long a second version is not recorded after it came. Meanwhile callers
	// resume the streams that broke off with their routers, and all routers see it.
	holdFor = 4 * time.Second
	// maxHold is how long streams don't begin at a version that isn't recorded.
	maxHold = 12 * time.Second
	// maxLate is how much later than another router this one may see a version: it may have been
	// paused or cut off.
	maxLate = 7 * time.Second
)

// holdLimits bound for how long a version is held back.
type holdLimits struct {
	// longest bounds the time since the other version came.
	longest time.Duration
	// share is the least share of the recorded version in the upstreams that take new work.
	share float64
}

// The bounds of a search are narrower, since other routers may see a change before this one.
var (
	beginning = holdLimits{longest: maxHold, share: 0.5}
	searching = holdLimits{longest: maxHold - maxLate, share: 0.66}
)

// held returns the only version at which streams may begin: the one in the record, while
// another one in the tables is not recorded yet.
func (p *pool) held(now time.Time, limits holdLimits) (string, bool) {
	if p == nil {
		return "", false
	}
	recorded := slices.Collect(maps.Keys(p.record.recent(now)))
	if len(recorded) != 1 {
		return "", false
	}
	version := recorded[0]
	all := 0
	for _, n := range p.ready {
		all += n
	}
	if p.ready[version] == 0 || float64(p.ready[version]) < limits.share*float64(all) {
		return "", false
	}
	for other, came := range p.came {
		if other != version && now.Sub(came) > limits.longest {
			return "", false
		}
	}
	return version, len(p.left) > 1
}

// isWaiting reports whether the version is not to be recorded yet.
func (p *pool) isWaiting(version string, now time.Time) bool {
	_, ok := p.held(now, beginning)
	return ok && now.Sub(p.came[version]) < holdFor
}

// Held returns the only version of the pool at which streams may begin, if another one is held
// back until it is recorded. Then a stream that no router knows began at that version.
func (p *Pinner) Held(now time.Time, pool string) (version string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[pool].heldBack(now)
}

// heldBack is held for a pool in which streams may have begun at several versions.
func (p *pool) heldBack(now time.Time) (string, bool) {
	if !p.isMixed() {
		return "", false
	}
	return p.held(now, beginning)
}

// HeldPools returns the pools in which a version is held back.
func (p *Pinner) HeldPools(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, pool := range p.pools {
		if _, ok := pool.heldBack(now); ok {
			names = append(names, name)
		}
	}
	return names
}
