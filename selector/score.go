package selector

import (
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
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
	safeGap = 0.65
	// riskyGap is the share from which on a request rather waits.
	riskyGap = 0.7
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
	holdForGap   = 0.6
	holdForCache = 0.15
	// holdGain is the prefill time that is worth such a wait.
	holdGain = 50 * time.Millisecond
	// disturbing is the prefill time that disturbs answers of the highest tier,
	// disturbWait the share of the latency target that a request avoids it for.
	disturbing  = 50 * time.Millisecond
	disturbWait = 0.2
	// spillStart is the share of the target from which the local prediction is
	// taken for a miss.
	spillStart = 0.8
	// spillStop is the share of the target below which the local prediction
	// must fall to stop spilling.
	spillStop = 0.5
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

// waited returns how long the request has waited.
func (q *query) waited() time.Duration { return q.now.Sub(q.request.Arrived()) }
