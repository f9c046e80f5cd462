package locator

import (
	"cmp"
	"math"
	"slices"

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
func (l *Locator) homesOf(part uint64, long bool, ranks int) homes {
	var h homes
	var scores [homeRanks]uint64
	for _, u := range l.upstreams {
		if u.row.Leaving() || u.displaced || u.quiet == long {
			continue
		}
		score := hasher.Mix(part ^ u.seed)
		for i := range h[:ranks] {
			if h[i] == nil || score > scores[i] {
				copy(h[i+1:ranks], h[i:])
				copy(scores[i+1:ranks], scores[i:])
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

const (
	// openFrom is the load of the usual upstreams, in crowds, from which on some shared
	// parts may be read at quiet ones; at openAll all may.
	openFrom = 1.0
	openAll  = 2.0
)

// quietRoom returns the number of requests on a quiet upstream up to which a long
// prompt with the shared part may be sent there, where a crowd is the given number of
// streams. The more crowded the usual upstreams are, the more parts may go to quiet
// ones, by their hash, so that all routers choose the same parts.
func (l *Locator) quietRoom(part uint64, crowd float64) float64 {
	sum, n := 0, 0
	for _, u := range l.upstreams {
		if u.isEngine() && !u.quiet && !u.row.Leaving() {
			sum += u.load()
			n++
		}
	}
	mean := float64(sum) / float64(max(n, 1))
	open := (mean/crowd - openFrom) / (openAll - openFrom)
	if float64(hasher.Mix(part))/math.MaxUint64 >= open {
		return 0
	}
	return mean
}
