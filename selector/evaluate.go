package selector

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// evaluateGroup evaluates upstreams of one group and returns the index of the
// best candidate, or -1. It starts with those that have a part of the prompt
// cached, and goes on with preferred and random upstreams while the best one is
// too slow or none is usable.
func (s *Selector) evaluateGroup(q *query, g *group) int {
	if g == nil {
		return -1
	}
	from := len(s.candidates)
	holders := s.evaluateHolders(q, g)
	best := s.best(from)
	if best >= 0 && s.candidates[best].cachedTokens > 0 && !s.shouldWiden(q.request, best) {
		return best
	}
	var ranked [maxRanked]*tracker
	n := g.rank(q.key, ranked[:])
	if holders == 0 {
		s.varyFirst(q.key, ranked[:min(n, spreadRanked)])
	}
	s.evaluateUpstreams(q, g, ranked[:min(n, initialRanked)])
	best = s.best(from)
	if best >= 0 && !s.shouldWiden(q.request, best) {
		return best
	}
	s.evaluateUpstreams(q, g, ranked[min(n, initialRanked):n])
	s.evaluateRandom(q, g, from, randomDraws)
	if best = s.best(from); best >= 0 {
		return best
	}
	s.evaluateRandom(q, g, from, maxScanned)
	return s.best(from)
}

// shouldWiden reports whether the cost of the candidate is high enough to widen
// the search.
func (s *Selector) shouldWiden(r *kingcuphook.Request, i int) bool {
	return r.Target() > 0 && float64(s.candidates[i].cost) > widenThreshold*float64(r.Target())
}

// rank fills dst with the preferred upstreams of the key, the highest rendezvous
// score first, and returns their number.
func (g *group) rank(key uint64, dst []*tracker) int {
	var scores [maxRanked]uint64
	n := 0
	least := uint64(0)
	for at, hash := range g.addressHashes {
		score := mix(key ^ hash)
		if score <= least {
			continue
		}
		if n < len(dst) {
			n++
		}
		i := n - 1
		for i > 0 && scores[i-1] < score {
			scores[i], dst[i] = scores[i-1], dst[i-1]
			i--
		}
		scores[i], dst[i] = score, g.trackers[at]
		if n == len(dst) {
			least = scores[n-1]
		}
	}
	return n
}

// mix is the finalization step of xxhash, which spreads the bits of x.
func mix(x uint64) uint64 {
	const prime2, prime3 = 14029467366897019727, 1609587929392839161
	x ^= x >> 33
	x *= prime2
	x ^= x >> 29
	x *= prime3
	return x ^ x>>32
}

func (s *Selector) evaluateUpstreams(q *query, g *group, ts []*tracker) {
	for _, t := range ts {
		s.evaluateUpstream(q, g, t)
	}
}

// evaluateHolders evaluates the upstreams of the group that are assumed to have a
// part of the prompt cached, and returns their number.
func (s *Selector) evaluateHolders(q *query, g *group) int {
	n := 0
	for _, h := range q.matches[:q.matchCount] {
		t := s.byID[h.upstream]
		if slices.Contains(t.groups, g) {
			s.evaluateUpstream(q, g, t)
			n++
		}
	}
	return n
}

// varyFirst moves one of the ranked upstreams to the front, chosen by the key and
// the router's seed. Routers that get a new prefix at the same time then don't
// all prefill it on the same upstream.
func (s *Selector) varyFirst(key uint64, ranked []*tracker) {
	i := mix(key^s.Seed) % uint64(max(len(ranked), 1))
	if i > 0 {
		ranked[0], ranked[i] = ranked[i], ranked[0]
	}
}

// evaluateRandom evaluates n upstreams drawn pseudo-randomly by the request's
// fingerprint and the time, or the whole group if it has no more than n.
func (s *Selector) evaluateRandom(q *query, g *group, from, n int) {
	size := len(g.trackers)
	draw := mix(q.request.Fingerprint() ^ uint64(q.now.UnixNano()))
	for i := 0; i < min(n, size); i++ {
		at := draw + uint64(i)
		if n < size {
			draw = mix(draw + uint64(i))
			at = draw
		}
		t := g.trackers[at%uint64(size)]
		if !s.evaluated(from, t) {
			s.evaluateUpstream(q, g, t)
		}
	}
}

func (s *Selector) evaluated(from int, t *tracker) bool {
	for i := from; i < len(s.candidates); i++ {
		if s.candidates[i].tracker == t {
			return true
		}
	}
	return false
}

// evaluateUpstream adds one upstream to the candidates unless it is among them.
func (s *Selector) evaluateUpstream(q *query, g *group, t *tracker) {
	if !s.evaluated(0, t) {
		s.candidates = append(s.candidates, s.rate(q, g, t))
	}
}

// rate returns the upstream as a candidate.
func (s *Selector) rate(q *query, g *group, t *tracker) candidate {
	r := q.request
	c := candidate{tracker: t, cachedTokens: q.cachedTokens(t.id)}
	c.transfer = 2 * g.delay
	c.predicted = c.transfer + t.predict(q.now, r.PromptTokens()-c.cachedTokens)
	if h := q.match(t.id); h.pending {
		c.cachedAfterPrefill = h.tokens
	}
	c.tokenGapShare = t.gapShare(q.now, r)
	c.tokenTargetPenalty = s.tokenTargetPenalty(r, c.tokenGapShare)
	c.interference = t.interference(r.PromptTokens() - c.cachedTokens)
	c.cost = c.predicted + c.tokenTargetPenalty + c.interference
	c.refused = s.refusalReason(q, &c)
	return c
}

// refusalReason returns why the upstream can't take the request now, or an empty
// string.
func (s *Selector) refusalReason(q *query, c *candidate) string {
	t := c.tracker
	address := t.upstream.Address()
	switch {
	case slices.Contains(q.excluded, address) || !q.request.Allows(t.upstream):
		return reasonExcluded
	case t.leaving || t.upstream.Leaving():
		return reasonLeaving
	case q.usable != nil && !q.usable(address):
		return reasonNoFreeSlot
	case !s.NoProtect && s.interferes(q, c):
		return reasonInterference
	case !s.NoReserve && s.reserve.rejects(q.now, q.request, t):
		return reasonReserved
	default:
		return ""
	}
}

// interferes reports whether prefilling the prompt would delay requests of the
// highest tier that this router runs on the upstream. Once the request has waited
// for maxInterferenceWait of its target, this no longer counts.
func (s *Selector) interferes(q *query, c *candidate) bool {
	r := q.request
	if r.Tier() == kingcuphook.HighestTier || c.tracker.ownHighestTier == 0 || r.Target() == 0 {
		return false
	}
	prefill := float64(r.PromptTokens()-c.cachedTokens) * c.tracker.firstTokenFit.slope
	return prefill > interferingPrefill.Seconds() && float64(q.waited()) < maxInterferenceWait*float64(r.Target())
}

// best returns the index of the usable candidate with the lowest cost, or -1. Of
// equal ones it takes the first.
func (s *Selector) best(from int) int {
	best := -1
	for i := from; i < len(s.candidates); i++ {
		if s.candidates[i].refused != "" {
			continue
		}
		if best < 0 || s.less(&s.candidates[i], &s.candidates[best]) {
			best = i
		}
	}
	return best
}

func (s *Selector) less(a, b *candidate) bool {
	if s.NoPrediction {
		return a.tracker.load()*b.tracker.slots < b.tracker.load()*a.tracker.slots
	}
	return a.cost < b.cost
}

// tokenTargetPenalty returns the cost of the risk of missing the token target. A
// request with a loose token target is also charged for more speed than it needs,
// so that fast upstreams stay free for requests with a tight one.
func (s *Selector) tokenTargetPenalty(r *kingcuphook.Request, gap float64) time.Duration {
	if gap == 0 {
		return 0
	}
	if gap > safeGapShare {
		return time.Duration((gap - safeGapShare) * overrunWeight * float64(r.Target()))
	}
	looseness := 1 - float64(s.minTokenTarget)/float64(r.TokenTarget())
	return time.Duration((safeGapShare - gap) * looseness * excessSpeedWeight * float64(r.Target()))
}

// gapShare returns the predicted time between the tokens of r as a share of its
// target; 0 without a target.
func (t *tracker) gapShare(now time.Time, r *kingcuphook.Request) float64 {
	if r.TokenTarget() == 0 {
		return 0
	}
	gap := t.predictGap() + t.prefillDelay(now)/prefillDelayTokens
	if r.Tier() == kingcuphook.HighestTier {
		gap += time.Duration(t.gapFit.deviation * gapDeviations * float64(time.Second))
	}
	return float64(gap) / float64(r.TokenTarget())
}
