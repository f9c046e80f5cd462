package leaser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook/hasher"
)

// Candidates is how many routers try to acquire one lease.
const Candidates = 2

// Position returns the position of self among the candidates for a key, from 0, or
// NotCandidate. It is the rank by rendezvous hash, so that all routers with the same list
// of members compute the same positions.
func Position(key, self string, members []string) int {
	return slices.Index(CandidatesFor(key, members), self)
}

// CandidatesFor returns the candidates for a key among the members, by position.
func CandidatesFor(key string, members []string) []string {
	return Rank(key, members, Candidates, func(string) bool { return false })
}

// Rank returns the first n members for a key by rendezvous hash. Those for which
// isPassedOver returns true come after all others.
func Rank(key string, members []string, n int, isPassedOver func(member string) bool) []string {
	k := xxhash.Sum64String(key)
	first := make([]ranked, 0, n+1)
	for _, m := range members {
		r := ranked{member: m, score: score(k, m), passedOver: isPassedOver(m)}
		i, _ := slices.BinarySearchFunc(first, r, compareRanked)
		first = slices.Insert(first, i, r)
		first = first[:min(len(first), n)]
	}
	names := make([]string, len(first))
	for i, r := range first {
		names[i] = r.member
	}
	return names
}

// ranked is a member with what it is ranked by.
type ranked struct {
	member     string
	score      uint64
	passedOver bool
}

func compareRanked(a, b ranked) int {
	if a.passedOver != b.passedOver {
		if b.passedOver {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member, b.member))
}

// score returns the rendezvous hash of a member for a key with hash k.
func score(k uint64, member string) uint64 {
	return hasher.Mix(k ^ xxhash.Sum64String(member))
}
