package selector

import (
	"github.com/kingcuphook/kingcuphook/hasher"
)

// recall fills in the rendezvous key of the request and what is cached of its
// prompt. The key is the deepest block at which prompts branched, so that it
// stays the same for every question after the same text.
func (s *Selector) recall(q *query) {
	chain := q.request.Prefix()
	if len(chain) == 0 || s.NoAffinity {
		q.key = q.request.Fingerprint()
		return
	}
	q.key = chain[0]
	branched := false
	var last [maxHolders]holder
	for i := len(chain) - 1; i >= 0; i-- {
		b := s.index.find(chain[i])
		if b == nil {
			continue
		}
		if b.holders != last {
			q.hold(s, b, min((i+1)*hasher.BlockTokens, q.request.PromptTokens()))
			last = b.holders
		}
		if b.branched && !branched {
			q.key, branched = chain[i], true
		}
	}
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
