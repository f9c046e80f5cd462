package selector

import (
	"sort"

	"github.com/kingcuphook/kingcuphook/hasher"
)

// lookedUp is the number of blocks at the end of a chain that are looked up one
// by one.
const lookedUp = 8

// recall fills in the rendezvous key of the request and what is cached of its
// prompt. The key is the deepest block at which prompts branched, so that it
// stays the same for every question after the same text. Below it only some
// blocks are looked up, for upstreams that have a shorter part.
func (s *Selector) recall(q *query) {
	chain := q.request.Prefix()
	if len(chain) == 0 || s.NoAffinity {
		q.key = q.request.Fingerprint()
		return
	}
	q.key = chain[0]
	branched := false
	step := 1
	for i := s.deepest(chain); i >= 0; i -= step {
		b := s.index.find(chain[i])
		if b == nil {
			continue
		}
		q.hold(s, b, min((i+1)*hasher.BlockTokens, q.request.PromptTokens()))
		if b.branched && !branched {
			q.key, branched = chain[i], true
		}
		if branched {
			step *= 2
		}
	}
}

// deepest returns the position of the last known block of the chain, or -1. The
// last blocks are looked up one by one, since an event may tell of one alone;
// of the rest, those before a known block are known too.
func (s *Selector) deepest(chain []uint64) int {
	end := len(chain) - 1
	for ; end >= 0 && end >= len(chain)-lookedUp; end-- {
		if s.index.find(chain[end]) != nil {
			return end
		}
	}
	return sort.Search(end+1, func(i int) bool { return s.index.find(chain[i]) == nil }) - 1
}

// hold notes the holders of a block that end a longer part of the prompt than
// what was noted before. A doubtful entry counts for half.
func (q *query) hold(s *Selector, b *block, tokens int) {
	for _, h := range b.holders {
		if h.epoch == 0 || q.nHeld == maxHeld {
			return
		}
		t := s.byID[h.upstream]
		if t == nil || h.epoch < t.born || q.holding(h.upstream).tokens > 0 {
			continue
		}
		q.held[q.nHeld] = held{upstream: h.upstream, tokens: tokens, pending: h.pending}
		if h.epoch < t.epoch {
			q.held[q.nHeld].tokens = tokens / 2
		}
		q.nHeld++
	}
}

// holding returns what the upstream is thought to have cached of the prompt.
func (q *query) holding(upstream uint32) held {
	for _, h := range q.held[:q.nHeld] {
		if h.upstream == upstream {
			return h
		}
	}
	return held{}
}

// cached returns how many tokens of the prompt need no prefill there now.
func (q *query) cached(upstream uint32) int {
	h := q.holding(upstream)
	if h.pending {
		return 0
	}
	return h.tokens
}
