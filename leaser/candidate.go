package leaser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidates is how many routers try to take one lease.
const Candidates = 2

// Position returns the place of self among the candidates for a key, or
// NoCandidate. All routers that know the same members agree.
func Position(key, self string, members []string) int {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(score(key, b), score(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	position := slices.Index(ranked, self)
	if position >= Candidates {
		return NoCandidate
	}
	return position
}

// score is the rendezvous hash of a member for a key.
func score(key, member string) uint64 {
	return xxhash.Sum64String(key + "\x00" + member)
}
