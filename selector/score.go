package selector

import (
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// initialRanked is the number of preferred upstreams evaluated at first.
	initialRanked = 2
	// spreadRanked is the number of preferred upstreams over which routers
	// spread a prefix that no upstream is known to have cached.
	spreadRanked = 4
	// maxRanked is the number of preferred upstreams evaluated if the initial
	// ones are too loaded.
	maxRanked = 6
	// randomDraws is the number of upstreams drawn at random when widening the
	// search.
	randomDraws = 2
	// maxScanned is the size up to which a whole group is searched for a free
	// slot, and the number of random draws in a larger one.
	maxScanned = 16
	// maxMatches bounds the upstreams evaluated because they have a part of the
	// prompt cached.
	maxMatches = 8
	// candidatesCapacity has room for all candidates of one selection.
	candidatesCapacity = 2 * (maxRanked + randomDraws + maxMatches + maxScanned)
	// widenThreshold is the share of the latency target above which the cost of
	// the best candidate widens the search.
	widenThreshold = 0.5
	// safeGapShare is the share of the token target up to which a predicted gap
	// counts as safe.
	safeGapShare = 0.65
	// riskyGapShare is the share of the token target above which a request waits
	// for an upstream with a safe gap.
	riskyGapShare = 0.7
	// gapDeviations is how many mean deviations are added to the predicted gap
	// for the highest tier.
	gapDeviations = 1.0
	// overrunWeight is the cost, in latency targets, of exceeding the safe gap by
	// one whole token target.
	overrunWeight = 4
	// prefillDelayTokens is the number of tokens over which the delay by queued
	// prefill is spread when predicting the gap.
	prefillDelayTokens = 32
	// excessSpeedWeight is the cost, in latency targets, of being faster than
	// needed by one whole token target.
	excessSpeedWeight = 0.2
	// maxWaitForGap is the share of the latency target up to which a request
	// waits for a better upstream at all, maxWaitForCache the share up to which
	// it waits for a slot where its prompt is cached.
	maxWaitForGap   = 0.6
	maxWaitForCache = 0.15
	// minPrefillSaving is the prefill time that must be saved to wait for a
	// cached prompt.
	minPrefillSaving = 50 * time.Millisecond
	// interferingPrefill is the prefill time above which a request interferes
	// with running requests of the highest tier. maxInterferenceWait is the share
	// of its latency target up to which it avoids that.
	interferingPrefill  = 50 * time.Millisecond
	maxInterferenceWait = 0.2
	// spillStart is the share of the target above which the local prediction
	// counts as a miss.
	spillStart = 0.8
	// spillStop is the share of the target to which the local prediction must
	// fall to stop spilling.
	spillStop = 0.5
	// spillMargin is the share of the target that the remote prediction must
	// stay below.
	spillMargin = 0.8
)

// candidate is one evaluated upstream.
type candidate struct {
	tracker *tracker
	// predicted is the predicted time to the first token, transfer the part of it that is spent between data
	// centres.
	predicted, transfer time.Duration
	// cost is what candidates are compared by: the prediction, a penalty for the
	// token target and the interference with other requests.
	cost                             time.Duration
	tokenTargetPenalty, interference time.Duration
	cachedTokens                     int
	// cachedAfterPrefill is the number of tokens that will be cached once a
	// running prefill of the same prefix ends.
	cachedAfterPrefill int
	// tokenGapShare is the predicted time between tokens as a share of its
	// target; 0 without a target.
	tokenGapShare float64
	// refused is empty for a usable candidate.
	refused string
	// remote means that the candidate is in another region.
	remote bool
}

// Select chooses an upstream for a request. The choice has no upstream if the
// request should wait. The error wraps kingcuphook.ErrNoUpstream if no upstream
// serves the model.
func (s *Selector) Select(now time.Time, r *kingcuphook.Request, excluded []string) (kingcuphook.Choice, error) {
	return s.SelectUsable(now, r, excluded, nil)
}

// SelectUsable is Select among the upstreams for which usable returns true.
func (s *Selector) SelectUsable(now time.Time, r *kingcuphook.Request, excluded []string, usable func(address string) bool) (kingcuphook.Choice, error) {
	q := s.newQuery(now, r, excluded, usable)
	c, _, err := s.choose(&q)
	return c, err
}

// shouldWait reports whether the request should wait for another upstream instead
// of taking the best free one: for one that meets the token target, or for one
// that has more of the prompt cached.
func (s *Selector) shouldWait(q *query, best int) bool {
	r, b := q.request, &s.candidates[best]
	if s.NoHold || r.Target() == 0 {
		return false
	}
	waited := float64(q.waited()) / float64(r.Target())
	if waited > maxWaitForGap {
		return false
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.remote != b.remote {
			continue
		}
		if b.savesPrefill(c.cachedAfterPrefill) {
			return true
		}
		if c.refused != reasonNoFreeSlot {
			continue
		}
		if b.tokenGapShare > riskyGapShare && c.tokenGapShare < safeGapShare {
			return true
		}
		if waited < maxWaitForCache && b.savesPrefill(c.cachedTokens) {
			return true
		}
	}
	return false
}

// savesPrefill reports whether the given number of cached tokens would save
// enough prefill over the candidate to be worth a wait.
func (c *candidate) savesPrefill(tokens int) bool {
	gained := float64(tokens-c.cachedTokens) * c.tracker.firstTokenFit.slope
	return gained > minPrefillSaving.Seconds()
}

// query is the input and the working state of one selection.
type query struct {
	now      time.Time
	request  *kingcuphook.Request
	excluded []string
	// usable, if set, reports whether an upstream has a free slot.
	usable func(address string) bool
	// sameCentre, sameRegion and remote are the upstreams that serve the model;
	// nil for none.
	sameCentre, sameRegion, remote *group
	// key is the rendezvous key of the request.
	key uint64
	// matches holds the upstreams that are assumed to have a part of the prompt
	// cached, the longest part first.
	matches    [maxMatches]cacheMatch
	matchCount int
}

// cacheMatch is how much of a prompt an upstream is assumed to have cached.
type cacheMatch struct {
	upstream uint32
	tokens   int
	// pending means that the prefill has not ended yet.
	pending bool
}

// newQuery returns the query of a selection.
func (s *Selector) newQuery(now time.Time, r *kingcuphook.Request, excluded []string, usable func(address string) bool) query {
	s.init()
	return query{
		now: now, request: r, excluded: excluded, usable: usable,
		sameCentre: s.sameCentre.group(r.Model()), sameRegion: s.sameRegion.group(r.Model()), remote: s.remote.group(r.Model()),
	}
}

// choose returns the choice, and whether a free upstream was found that is worse than waiting.
func (s *Selector) choose(q *query) (c kingcuphook.Choice, waits bool, err error) {
	r := q.request
	s.candidates = s.candidates[:0]
	if q.sameCentre == nil && q.sameRegion == nil && q.remote == nil {
		return kingcuphook.Choice{}, false, fmt.Errorf("selector: pool %q: %w", r.Pool(), kingcuphook.ErrNoUpstream)
	}
	best := s.evaluate(q)
	if best < 0 {
		return kingcuphook.Choice{}, false, nil
	}
	if s.shouldWait(q, best) {
		return kingcuphook.Choice{}, true, nil
	}
	chosen := &s.candidates[best]
	return kingcuphook.Choice{
		Upstream:       chosen.tracker.upstream,
		Predicted:      chosen.predicted,
		UncachedTokens: r.PromptTokens() - chosen.cachedTokens,
		Spilled:        chosen.remote,
	}, false, nil
}

// Explain appends the candidates that Select would evaluate to dst.
func (s *Selector) Explain(now time.Time, r *kingcuphook.Request, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	q := s.newQuery(now, r, nil, nil)
	s.evaluate(&q)
	for _, c := range s.candidates {
		dst = append(dst, kingcuphook.Candidate{
			Upstream:     c.tracker.upstream.Address(),
			Predicted:    c.predicted,
			CachedTokens: c.cachedTokens,
			RejectReason: c.refused,
		})
	}
	return dst
}

// evaluate fills s.candidates and returns the index of the best one, or -1.
func (s *Selector) evaluate(q *query) int {
	s.candidates = s.candidates[:0]
	r := q.request
	s.matchPrefix(q)
	best := s.evaluateGroup(q, q.sameCentre)
	if best < 0 {
		best = s.evaluateGroup(q, q.sameRegion)
	}
	if !s.spillAllowed || q.remote == nil {
		return best
	}
	if best < 0 && s.noneAvailableLocally(q) {
		return s.evaluateRemote(q)
	}
	if r.Target() == 0 {
		return best
	}
	localWait := s.predictLocalWait(q, best)
	if localWait <= s.spillThreshold(q) {
		return best
	}
	return s.chooseSpill(q, best, localWait)
}

// waited returns how long the request has waited.
func (q *query) waited() time.Duration { return q.now.Sub(q.request.Arrived()) }
