package locator

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// preferredUpstreams are the upstreams that rendezvous hashing ranks first for a shared
// prefix, so that few upstreams cache it. Long prompts with the prefix may go to the
// first one, and to the next by rank while those before it are overloaded, gone or
// failing. The list ends at the first nil.
type preferredUpstreams [preferredCount]*upstream

// rank returns the rank of the upstream, from 0, or -1 if it is not preferred.
func (p *preferredUpstreams) rank(u *upstream) int { return slices.Index(p[:], u) }

// cachedShare returns the share of the shared prefix that the upstream is assumed to
// have cached.
func (p *preferredUpstreams) cachedShare(u *upstream) float64 {
	if i := p.rank(u); i >= 0 {
		return assumedCachedShares[i]
	}
	return 0
}

// preferredFor returns the preferred upstreams of a shared prefix among those that may run
// the request. Those of long prompts are never reserved ones, those of other prompts
// always are.
func (l *Locator) preferredFor(r *kingcuphook.Request, prefix uint64, long bool) preferredUpstreams {
	var p preferredUpstreams
	var scores [preferredCount]uint64
	for _, u := range l.upstreams {
		if u.row.Leaving() || u.displaced || u.reserved == long || !r.Allows(u.row) {
			continue
		}
		score := hasher.Mix(prefix ^ u.seed)
		for i := range p {
			if p[i] == nil || score > scores[i] {
				copy(p[i+1:], p[i:])
				copy(scores[i+1:], scores[i:])
				p[i], scores[i] = u, score
				break
			}
		}
	}
	return p
}

// chooseReserved chooses the engines that are reserved for short prompts: in each region
// those with the lowest seeds, so that all routers choose the same.
func (l *Locator) chooseReserved() {
	for _, r := range l.regions {
		r.engines, r.reserved = 0, 0
	}
	for _, u := range l.bySeed {
		u.reserved = false
		if u.takesWork() {
			u.place.region.engines++
		}
	}
	for _, u := range l.bySeed {
		if r := u.place.region; u.takesWork() && r.reserved < r.toReserve() {
			u.reserved = true
			r.reserved++
		}
	}
}

// region counts the engines of a region that take new work, and those of them that are reserved.
type region struct {
	name              string
	engines, reserved int
}

// toReserve returns how many engines of the region are to be reserved.
func (r *region) toReserve() int {
	return max(int(float64(r.engines)*reservedShare), min(r.engines-1, 1))
}

// takesWork reports whether the upstream is an engine that isn't leaving.
func (u *upstream) takesWork() bool { return !u.row.Leaving() && u.isEngine() }

func compareSeeds(a, b *upstream) int { return cmp.Compare(a.seed, b.seed) }

// removeSeed removes an upstream from bySeed.
func (l *Locator) removeSeed(u *upstream) {
	i, _ := slices.BinarySearchFunc(l.bySeed, u, compareSeeds)
	for ; i < len(l.bySeed); i++ {
		if l.bySeed[i] == u {
			l.bySeed = slices.Delete(l.bySeed, i, i+1)
			return
		}
	}
}

// loadFactor is the load, as a multiple of the mean, up to which a preferred upstream is
// used before the next one by rank (consistent hashing with bounded loads).
const loadFactor = 1.5

// meanLoad returns the mean load relative to speed, over the upstreams that are neither reserved nor
// leaving. A preferred upstream whose load exceeds it by loadFactor is passed over for the next one.
func (l *Locator) meanLoad() float64 {
	sum, speeds := 0, 0.0
	for _, u := range l.upstreams {
		if !u.reserved && !u.row.Leaving() {
			sum += u.load()
			speeds += u.speed()
		}
	}
	return float64(sum) / max(speeds, 1)
}

// firstAvailable returns the rank of the first preferred upstream that is usable,
// healthy and below the load bound. If there is none, it returns the rank of the first
// usable one, or -1.
func (p *preferredUpstreams) firstAvailable(now time.Time, bound float64, usable func(*upstream) bool) int {
	first := -1
	for i, u := range p {
		if u == nil {
			break
		}
		if !usable(u) {
			continue
		}
		if u.relativeLoad() < bound && u.healthy(now) {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}
