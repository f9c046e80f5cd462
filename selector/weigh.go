package selector

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// weighGroup weighs the upstreams of one group and returns the best one, or -1.
func (s *Selector) weighGroup(q *query, g *group) int {
	if g == nil {
		return -1
	}
	from := len(s.scratch)
	holders := s.weighHolders(q, g)
	best := s.best(from)
	if best >= 0 && s.scratch[best].cached > 0 && !s.crowded(q.request, best) {
		return best
	}
	var ranked [wide]*tracker
	n := g.rank(q.key, ranked[:])
	if holders == 0 {
		s.turn(q.key, ranked[:min(n, spread)])
	}
	s.weighAll(q, g, ranked[:min(n, narrow)])
	best = s.best(from)
	if best >= 0 && !s.crowded(q.request, best) {
		return best
	}
	s.weighAll(q, g, ranked[min(n, narrow):n])
	s.weighDraws(q, g, from, draws)
	if best = s.best(from); best >= 0 {
		return best
	}
	s.weighDraws(q, g, from, scanned)
	return s.best(from)
}

// crowded reports whether the prediction is long enough to look further.
func (s *Selector) crowded(r *kingcuphook.Request, i int) bool {
	return r.Target() > 0 && float64(s.scratch[i].cost) > widenShare*float64(r.Target())
}

// rank fills dst with the upstreams of the highest rendezvous score, the
// highest first, and returns their number.
func (g *group) rank(key uint64, dst []*tracker) int {
	var scores [wide]uint64
	n := 0
	least := uint64(0)
	for at, seed := range g.seeds {
		score := mix(key ^ seed)
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

// mix spreads the bits of x; it is the last step of xxhash.
func mix(x uint64) uint64 {
	const prime2, prime3 = 14029467366897019727, 1609587929392839161
	x ^= x >> 33
	x *= prime2
	x ^= x >> 29
	x *= prime3
	return x ^ x>>32
}

func (s *Selector) weighAll(q *query, g *group, ts []*tracker) {
	for _, t := range ts {
		s.weighOne(q, g, t)
	}
}

// weighHolders weighs the upstreams that are thought to have a part of the
// prompt cached, and returns their number.
func (s *Selector) weighHolders(q *query, g *group) int {
	n := 0
	for _, h := range q.held[:q.nHeld] {
		t := s.byID[h.upstream]
		if slices.Contains(t.groups, g) {
			s.weighOne(q, g, t)
			n++
		}
	}
	return n
}

// turn moves one of the candidates to the front, another one in each router.
// Routers that meet a new prefix at once then don't all prefill it at the same
// upstream.
func (s *Selector) turn(key uint64, ranked []*tracker) {
	i := mix(key^s.Seed) % uint64(max(len(ranked), 1))
	if i > 0 {
		ranked[0], ranked[i] = ranked[i], ranked[0]
	}
}

// weighDraws weighs n upstreams drawn by the request's fingerprint and the
// time, or all of a group that has no more.
func (s *Selector) weighDraws(q *query, g *group, from, n int) {
	size := len(g.trackers)
	draw := mix(q.request.Fingerprint() ^ uint64(q.now.UnixNano()))
	for i := 0; i < min(n, size); i++ {
		at := draw + uint64(i)
		if n < size {
			draw = mix(draw + uint64(i))
			at = draw
		}
		t := g.trackers[at%uint64(size)]
		if !s.weighed(from, t) {
			s.weighOne(q, g, t)
		}
	}
}

func (s *Selector) weighed(from int, t *tracker) bool {
	for i := from; i < len(s.scratch); i++ {
		if s.scratch[i].tracker == t {
			return true
		}
	}
	return false
}

// weighOne adds one upstream to scratch unless it is there already.
func (s *Selector) weighOne(q *query, g *group, t *tracker) {
	if s.weighed(0, t) {
		return
	}
	r := q.request
	c := scored{tracker: t, cached: q.cached(t.id)}
	c.predicted = 2*g.delay + t.predict(q.now, r.PromptTokens()-c.cached)
	if h := q.holding(t.id); h.pending {
		c.coming = h.tokens
	}
	c.gap = t.gapShare(q.now, r)
	c.cost = c.predicted + s.overrun(r, c.gap) + t.imposed(r.PromptTokens()-c.cached)
	c.refused = s.refuse(q, &c)
	s.scratch = append(s.scratch, c)
}

// refuse returns why the upstream can't take the request now, or nothing.
func (s *Selector) refuse(q *query, c *scored) string {
	t := c.tracker
	address := t.upstream.Address()
	switch {
	case slices.Contains(q.excluded, address):
		return reasonExcluded
	case t.leaving || t.upstream.Leaving():
		return reasonLeaving
	case q.usable != nil && !q.usable(address):
		return reasonUnusable
	case !s.NoProtect && s.disturbs(q, c):
		return reasonDisturbs
	case !s.NoReserve && s.reserve.full(q.now, q.request, t):
		return reasonReserved
	default:
		return ""
	}
}

// disturbs reports whether prefilling the prompt would delay answers of the
// highest tier that this router has on the upstream. The request doesn't wait
// long for their end.
func (s *Selector) disturbs(q *query, c *scored) bool {
	r := q.request
	if r.Tier() == kingcuphook.HighestTier || c.tracker.top == 0 || r.Target() == 0 {
		return false
	}
	prefill := float64(r.PromptTokens()-c.cached) * c.tracker.first.slope
	return prefill > disturbing.Seconds() && float64(q.waited()) < disturbWait*float64(r.Target())
}

// best returns the usable candidate with the lowest prediction, or -1. Of equal
// ones the first is taken.
func (s *Selector) best(from int) int {
	best := -1
	for i := from; i < len(s.scratch); i++ {
		if s.scratch[i].refused != "" {
			continue
		}
		if best < 0 || s.less(&s.scratch[i], &s.scratch[best]) {
			best = i
		}
	}
	return best
}

func (s *Selector) less(a, b *scored) bool {
	if s.NoPrediction {
		return a.tracker.load()*b.tracker.slots < b.tracker.load()*a.tracker.slots
	}
	return a.cost < b.cost
}

// overrun returns what the risk of missing the token target counts for. A
// request with a lax token target pays for more speed than it needs, so that
// fast upstreams stay free for requests with a tight one.
func (s *Selector) overrun(r *kingcuphook.Request, gap float64) time.Duration {
	if gap == 0 {
		return 0
	}
	if gap > safeGap {
		return time.Duration((gap - safeGap) * overrunWeight * float64(r.Target()))
	}
	lax := 1 - float64(s.tightest)/float64(r.TokenTarget())
	return time.Duration((safeGap - gap) * lax * fitWeight * float64(r.Target()))
}

// gapShare returns the predicted time between the tokens of r as a share of its
// target; 0 without a target.
func (t *tracker) gapShare(now time.Time, r *kingcuphook.Request) float64 {
	if r.TokenTarget() == 0 {
		return 0
	}
	gap := t.predictGap() + t.blocking(now)/shortAnswer
	if r.Tier() == kingcuphook.HighestTier {
		gap += time.Duration(t.gap.deviation * gapCaution * float64(time.Second))
	}
	return float64(gap) / float64(r.TokenTarget())
}
