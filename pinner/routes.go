package pinner

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// routePools has by route the pools that it leads to, or led to within the horizon, with the
// time since which it doesn't; zero while it does.
type routePools map[string]map[string]time.Time

// observe records the pools that the resumable streams among the routes lead to.
func (p routePools) observe(now time.Time, routes []*kingcuphook.Route) {
	for _, pools := range p {
		for name, left := range pools {
			if left.IsZero() {
				pools[name] = now
			}
		}
	}
	for _, r := range routes {
		if !r.Stream() || !r.Resumable() {
			continue
		}
		if p[r.Name()] == nil {
			p[r.Name()] = make(map[string]time.Time)
		}
		for _, name := range r.Pools() {
			p[r.Name()][name] = time.Time{}
		}
	}
}

// lead reports whether any route leads to the pool.
func (p routePools) lead(pool string) bool {
	for _, pools := range p {
		if left, ok := pools[pool]; ok && left.IsZero() {
			return true
		}
	}
	return false
}

// expire removes what was left longer ago than the horizon.
func (p routePools) expire(now time.Time) {
	for route, pools := range p {
		for name, left := range pools {
			if !left.IsZero() && now.Sub(left) > horizon {
				delete(pools, name)
			}
		}
		if len(pools) == 0 {
			delete(p, route)
		}
	}
}

// relate adds to each pool those in which a stream may have begun that is resumed in it, itself
// included.
func (p routePools) relate(pools map[string]*pool) {
	for name, pool := range pools {
		pool.related = map[string]bool{name: true}
	}
	for _, names := range p {
		for name := range names {
			if pools[name] == nil {
				continue
			}
			for other := range names {
				pools[name].related[other] = true
			}
		}
	}
}
