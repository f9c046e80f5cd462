package selector

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

const (
	// narrow is the number of rendezvous candidates weighed at first.
	narrow = 2
	// spread is the number of rendezvous candidates over which routers spread a
	// prefix that no upstream is known to have.
	spread = 4
	// wide is the number of rendezvous candidates weighed once the narrow ones
	// are too loaded.
	wide = 6
	// draws is the number of upstreams drawn by chance when widening.
	draws = 2
	// scanned bounds the size of a group that is searched whole for a free
	// slot, and the draws in a larger one.
	scanned = 16
	// maxHeld bounds the upstreams with a part of the prompt that are weighed.
	maxHeld = 8
	// scratchSize holds every candidate of one selection.
	scratchSize = 2 * (wide + draws + maxHeld + scanned)
	// widenShare is the share of the latency target from which on a prediction
	// widens the candidates.
	widenShare = 0.5
	// safeGap is the share of the token target that a predicted gap may take up.
	safeGap = 0.8
	// riskyGap is the share from which on a request rather waits.
	riskyGap = 0.9
	// gapCaution is how many mean deviations above the mean the predicted gap of
	// the highest tier lies.
	gapCaution = 1.0
	// overrunWeight is how many times the latency target an overrun of the whole
	// token target counts for.
	overrunWeight = 4
	// shortAnswer is the number of tokens over which the delay by the prefill in
	// front of a request is spread.
	shortAnswer = 32
	// fitWeight is the share of the latency target that a whole token target of
	// unneeded speed counts for.
	fitWeight = 0.2
	// holdForGap and holdForCache are the shares of the latency target that a
	// request waits for an upstream that keeps its token target, and for one that
	// has its prompt cached.
	holdForGap   = 0.4
	holdForCache = 0.15
	// holdGain is the prefill time that is worth such a wait.
	holdGain = 50 * time.Millisecond
	// disturbing is the prefill time that disturbs answers of the highest tier,
	// disturbWait the share of the latency target that a request avoids it for.
	disturbing  = 50 * time.Millisecond
	disturbWait = 0.2
	// spillStop is the share of the target below which the local prediction
	// must fall to stop spilling.
	spillStop = 0.7
	// spillMargin is the share of the target that the remote prediction must
	// stay below.
	spillMargin = 0.8
)

// scored is one candidate that was weighed.
type scored struct {
	tracker   *tracker
	predicted time.Duration
	// cost is what candidates are compared by: the prediction, and more if the
	// token target is in danger.
	cost   time.Duration
	cached int
	// coming is how much of the prompt is cached once a prefill under way ends.
	coming int
	// gap is the predicted time between tokens as a share of its target; 0
	// without a target.
	gap float64
	// refused is empty for a usable candidate.
	refused string
	// remote says that the candidate is in another region.
	remote bool
}

// Select chooses an upstream for a request. The choice has no upstream if none
// can take the request now; the error says that none can take it at all.
func (s *Selector) Select(now time.Time, r *kingcuphook.Request, excluded []string) (kingcuphook.Choice, error) {
	return s.choose(query{now: now, request: r, excluded: excluded})
}

// SelectUsable is Select among the upstreams that usable reports.
func (s *Selector) SelectUsable(now time.Time, r *kingcuphook.Request, excluded []string, usable func(address string) bool) (kingcuphook.Choice, error) {
	return s.choose(query{now: now, request: r, excluded: excluded, usable: usable})
}

// holds reports whether the request does better to wait for another upstream
// than to take the best one that is free: one that keeps the token target, or
// one that has the prompt cached.
func (s *Selector) holds(q *query, best int) bool {
	r, b := q.request, &s.scratch[best]
	if s.NoHold || r.Target() == 0 {
		return false
	}
	waited := float64(q.waited()) / float64(r.Target())
	if waited > holdForGap {
		return false
	}
	for i := range s.scratch {
		c := &s.scratch[i]
		if c.remote != b.remote {
			continue
		}
		if b.saves(c.coming) {
			return true
		}
		if c.refused != reasonUnusable {
			continue
		}
		if b.gap > riskyGap && c.gap < safeGap {
			return true
		}
		if waited < holdForCache && b.saves(c.cached) {
			return true
		}
	}
	return false
}

// saves reports whether having the given part of the prompt cached would save
// enough prefill to be worth a wait.
func (c *scored) saves(tokens int) bool {
	gained := float64(tokens-c.cached) * c.tracker.first.slope
	return gained > holdGain.Seconds()
}

// query is one selection.
type query struct {
	now      time.Time
	request  *kingcuphook.Request
	excluded []string
	// usable, if set, reports whether an upstream has a free slot.
	usable func(address string) bool
	// near, region and remote are the upstreams that serve the model; nil for
	// none.
	near, region, remote *group
	// key is the rendezvous key of the request.
	key uint64
	// held has what is thought to be cached where, the longest first.
	held  [maxHeld]held
	nHeld int
}

// held is how much of a prompt an upstream is thought to have cached.
type held struct {
	upstream uint32
	tokens   int
	// pending says that it is still being prefilled.
	pending bool
}

func (s *Selector) choose(q query) (kingcuphook.Choice, error) {
	s.init()
	r := q.request
	q.near, q.region, q.remote = s.near.group(r.Model()), s.region.group(r.Model()), s.remote.group(r.Model())
	if q.near == nil && q.region == nil && q.remote == nil {
		return kingcuphook.Choice{}, fmt.Errorf("selector: pool %q: %w", r.Pool(), kingcuphook.ErrNoUpstream)
	}
	best := s.weigh(&q)
	if best < 0 || s.holds(&q, best) {
		return kingcuphook.Choice{}, nil
	}
	c := s.scratch[best]
	return kingcuphook.Choice{
		Upstream:       c.tracker.upstream,
		Predicted:      c.predicted,
		UncachedTokens: r.PromptTokens() - c.cached,
		Spilled:        c.remote,
	}, nil
}

// Explain appends the candidates that Select would weigh to dst.
func (s *Selector) Explain(now time.Time, r *kingcuphook.Request, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	s.init()
	q := query{now: now, request: r}
	q.near, q.region, q.remote = s.near.group(r.Model()), s.region.group(r.Model()), s.remote.group(r.Model())
	s.weigh(&q)
	for _, c := range s.scratch {
		dst = append(dst, kingcuphook.Candidate{
			Upstream:     c.tracker.upstream.Address(),
			Predicted:    c.predicted,
			CachedTokens: c.cached,
			Refused:      c.refused,
		})
	}
	return dst
}

// weigh fills scratch with the candidates and returns the best one, or -1.
func (s *Selector) weigh(q *query) int {
	s.scratch = s.scratch[:0]
	r := q.request
	s.recall(q)
	best := s.weighGroup(q, q.near)
	if best < 0 {
		best = s.weighGroup(q, q.region)
	}
	if !s.spills || q.remote == nil {
		return best
	}
	if best < 0 && s.deserted(q) {
		return s.weighRemote(q)
	}
	if r.Target() == 0 {
		return best
	}
	local := s.localWait(q, best)
	if local <= s.spillFrom(q) {
		return best
	}
	return s.spill(q, best, local)
}

// localWait predicts the time from arrival to the first token when the request
// stays in its region.
func (s *Selector) localWait(q *query, best int) time.Duration {
	waited := q.waited()
	if best >= 0 {
		return waited + s.scratch[best].predicted
	}
	fastest := time.Duration(-1)
	for _, c := range s.scratch {
		if fastest < 0 || c.predicted < fastest {
			fastest = c.predicted
		}
	}
	if fastest < 0 {
		return q.request.Target() + 1
	}
	return waited + s.pace + fastest
}

// spillFrom returns the local prediction above which a request may go to
// another region. It is lower while spilling, so that a wait near the target
// doesn't turn spilling on and off.
func (s *Selector) spillFrom(q *query) time.Duration {
	target := q.request.Target()
	hold := orDuration(s.SpillHold, defaultSpillHold)
	if !s.lastSpill.IsZero() && q.now.Sub(s.lastSpill) < hold {
		return time.Duration(spillStop * float64(target))
	}
	return target
}

// spill weighs the upstreams of other regions and returns the best one if it
// meets the target and gains enough, else the local one.
func (s *Selector) spill(q *query, home int, local time.Duration) int {
	best := s.weighRemote(q)
	if best < 0 {
		return home
	}
	c := &s.scratch[best]
	r, waited := q.request, q.waited()
	price := orDuration(s.SpillPrice, defaultSpillPrice) * time.Duration(r.Bytes()) / 1024
	switch {
	case float64(waited+c.predicted) > spillMargin*float64(r.Target()):
		c.refused = reasonFar
	case local-waited-c.predicted < price:
		c.refused = reasonPrice
	default:
		return best
	}
	return home
}

// weighRemote weighs the upstreams of other regions and returns the best one, or
// -1.
func (s *Selector) weighRemote(q *query) int {
	from := len(s.scratch)
	best := s.weighGroup(q, q.remote)
	for i := from; i < len(s.scratch); i++ {
		s.scratch[i].remote = true
	}
	return best
}

// deserted reports whether every upstream of the region that serves the model
// leaves, gets no work at all or is excluded, so that waiting for one is in vain.
func (s *Selector) deserted(q *query) bool {
	for _, g := range []*group{q.near, q.region} {
		if g != nil && slices.ContainsFunc(g.trackers, func(t *tracker) bool { return s.live(q, t) }) {
			return false
		}
	}
	return true
}

func (s *Selector) live(q *query, t *tracker) bool {
	a := t.upstream.Address()
	return !t.leaving && !slices.Contains(q.excluded, a) && (s.Live == nil || s.Live(q.now, a))
}

// waited returns how long the request has waited.
func (q *query) waited() time.Duration { return q.now.Sub(q.request.Arrived()) }

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
	for at, seed := range g.seeds {
		score := mix(key ^ seed)
		if n == len(dst) && score <= scores[n-1] {
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
