package selector

import (
	"sort"

	"github.com/kingcuphook/kingcuphook/hasher"
)

// linearLookups is the number of blocks at the end of a chain that are looked up
// one by one.
const linearLookups = 8

// matchPrefix fills in the rendezvous key of the request and the upstreams that
// have a part of its prompt cached. The key is the last block of the chain at which
// prompts branched, so that it is the same for all prompts with the same shared
// prefix. Before that block only some blocks are looked up, for upstreams that have
// a shorter part cached.
func (s *Selector) matchPrefix(q *query) {
	chain := q.request.Prefix()
	if len(chain) == 0 || s.NoAffinity {
		q.key = q.request.Fingerprint()
		return
	}
	q.key = chain[0]
	branched := false
	step := 1
	for i := s.lastKnownBlock(chain); i >= 0; i -= step {
		b := s.index.find(chain[i])
		if b == nil {
			continue
		}
		q.addMatches(s, b, min((i+1)*hasher.BlockTokens, q.request.PromptTokens()))
		if b.branched && !branched {
			q.key, branched = chain[i], true
		}
		if branched {
			step *= 2
		}
	}
}

// lastKnownBlock returns the position of the last block of the chain that is in the
// index, or -1. The last blocks are looked up one by one, since an event may have
// added one of them alone. For the rest it uses a binary search, which assumes that
// all blocks before a known one are known.
func (s *Selector) lastKnownBlock(chain []uint64) int {
	end := len(chain) - 1
	for ; end >= 0 && end >= len(chain)-linearLookups; end-- {
		if s.index.find(chain[end]) != nil {
			return end
		}
	}
	return sort.Search(end+1, func(i int) bool { return s.index.find(chain[i]) == nil }) - 1
}

// addMatches adds the holders of a block that have no match yet. Blocks must be
// passed from the last to the first, so that each holder gets its longest match. A
// stale entry counts for half of its tokens.
func (q *query) addMatches(s *Selector, b *block, tokens int) {
	for _, h := range b.holders {
		if h.epoch == 0 || q.matchCount == maxMatches {
			return
		}
		t := s.byID[h.upstream]
		if t == nil || h.epoch < t.firstEpoch || q.match(h.upstream).tokens > 0 {
			continue
		}
		q.matches[q.matchCount] = cacheMatch{upstream: h.upstream, tokens: tokens, pending: h.pending}
		if h.epoch < t.epoch {
			q.matches[q.matchCount].tokens = tokens / 2
		}
		q.matchCount++
	}
}

// match returns the part of the prompt that the upstream is assumed to have cached.
func (q *query) match(upstream uint32) cacheMatch {
	for _, h := range q.matches[:q.matchCount] {
		if h.upstream == upstream {
			return h
		}
	}
	return cacheMatch{}
}

// cachedTokens returns the number of cached tokens of the prompt on the upstream. A
// pending match counts for none.
func (q *query) cachedTokens(upstream uint32) int {
	h := q.match(upstream)
	if h.pending {
		return 0
	}
	return h.tokens
}
