package locator

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// homes are the upstreams that keep the shared part of a prompt, by rank: the
// first is thought to have it, the next ones to have it when those before them are
// crowded, gone or slow. Nil ends the list.
type homes [homeRanks]*upstream

// rank returns the place of an upstream among the homes, or -1.
func (h *homes) rank(u *upstream) int { return slices.Index(h[:], u) }

// has returns how much of the shared part the upstream is thought to have.
func (h *homes) has(u *upstream) float64 {
	if i := h.rank(u); i >= 0 {
		return homeShares[i]
	}
	return 0
}

// homesOf returns the first homes of a shared part. Those of long prompts live apart
// from the quiet upstreams.
func (l *Locator) homesOf(part uint64, long bool) homes {
	var h homes
	var scores [homeRanks]uint64
	for _, u := range l.upstreams {
		if u.row.Leaving() || u.displaced || u.quiet == long {
			continue
		}
		score := hasher.Mix(part ^ u.seed)
		for i := range h {
			if h[i] == nil || score > scores[i] {
				copy(h[i+1:], h[i:])
				copy(scores[i+1:], scores[i:])
				h[i], scores[i] = u, score
				break
			}
		}
	}
	return h
}

// chooseQuiet decides which upstreams are kept free of long prompts: in each
// region those of the lowest seeds, so that all routers agree.
func (l *Locator) chooseQuiet() {
	regions := make(map[string][]*upstream)
	for _, u := range l.upstreams {
		u.quiet = false
		if !u.row.Leaving() && u.row.Kind() == kingcuphook.UpstreamKindEngine {
			regions[u.row.Region()] = append(regions[u.row.Region()], u)
		}
	}
	for _, list := range regions {
		slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.seed, b.seed) })
		n := max(int(float64(len(list))*quietShare), min(len(list)-1, 1))
		for _, u := range list[:n] {
			u.quiet = true
		}
	}
}

// loadFactor is by how much a home may be over the mean load of the upstreams before
// the next home by rank is used.
const loadFactor = 1.5

// boundedLoad returns the load up to which a home gets all of its work.
func (l *Locator) boundedLoad() float64 {
	sum, n := 0, 0
	for _, u := range l.upstreams {
		if !u.quiet && !u.row.Leaving() {
			sum += u.load()
			n++
		}
	}
	return loadFactor*float64(sum)/float64(max(n, 1)) + 1
}

// reach returns the rank of the first home that can be used, did not fail lately and has
// less than the bounded load, or of the first one that can be used if there is none.
func (h *homes) reach(now time.Time, bound float64, usable func(*upstream) bool) int {
	first := -1
	for i, u := range h {
		if u == nil {
			break
		}
		if !usable(u) {
			continue
		}
		if float64(u.load()) < bound && u.sound(now) {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}
