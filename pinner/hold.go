package pinner

import "time"

const (
	// holdFor is how long a second version is not recorded after it came. Meanwhile callers
	// whose streams broke off with their routers take them up, and all routers see it.
	holdFor = 4 * time.Second
	// maxHold is how long streams don't begin at a version that isn't recorded.
	maxHold = 12 * time.Second
)

// purpose is what a version is held back for.
type purpose struct {
	// longest bounds the time since the other version came.
	longest time.Duration
	// share is the least share of the recorded version in the upstreams that take new work.
	share float64
}

// The bounds of a search are narrower, since other routers may see a change before this one.
var (
	beginning = purpose{longest: maxHold, share: 0.5}
	searching = purpose{longest: maxHold - 4*time.Second, share: 0.66}
)

// held returns the only version at which streams may begin: the one in the record, while
// another one in the tables is not recorded yet.
func (p *pool) held(now time.Time, f purpose) (string, bool) {
	if p == nil || len(p.record.recent(now)) != 1 {
		return "", false
	}
	var version string
	for v := range p.record.recent(now) {
		version = v
	}
	all := 0
	for _, n := range p.ready {
		all += n
	}
	if p.ready[version] == 0 || float64(p.ready[version]) < f.share*float64(all) {
		return "", false
	}
	for other, came := range p.came {
		if other != version && now.Sub(came) > f.longest {
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
	if !p.pools[pool].isMixed() {
		return "", false
	}
	return p.pools[pool].held(now, beginning)
}

// HeldPools returns the pools in which a version is held back.
func (p *Pinner) HeldPools(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, pool := range p.pools {
		if _, ok := pool.held(now, beginning); ok && pool.isMixed() {
			names = append(names, name)
		}
	}
	return names
}
