package selector

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// predictLocalWait predicts the time from arrival to the first token if the
// request stays in its region.
func (s *Selector) predictLocalWait(q *query, best int) time.Duration {
	waited := q.waited()
	if best >= 0 {
		return waited + s.candidates[best].predicted
	}
	fastest := time.Duration(-1)
	for _, c := range s.candidates {
		if fastest < 0 || c.predicted < fastest {
			fastest = c.predicted
		}
	}
	if fastest < 0 {
		return q.request.Target() + 1
	}
	queued := max(waited+s.freeInterval, s.waitTimes.recent(q.now, q.request.Tier()))
	return queued + fastest
}

// spillThreshold returns the local prediction above which a request may go to
// another region. It is lower for a while after each spilled request, so that a
// wait near the target doesn't switch spilling on and off.
func (s *Selector) spillThreshold(q *query) time.Duration {
	target := q.request.Target()
	hold := cmp.Or(s.SpillHold, defaultSpillHold)
	if !s.lastSpill.IsZero() && q.now.Sub(s.lastSpill) < hold {
		return time.Duration(spillStop * float64(target))
	}
	return time.Duration(spillStart * float64(target))
}

// chooseSpill evaluates the upstreams of other regions. It returns the best one if
// it meets the target and gains enough, otherwise the best local one.
func (s *Selector) chooseSpill(q *query, localBest int, localWait time.Duration) int {
	best := s.evaluateRemote(q)
	if best < 0 {
		return localBest
	}
	c := &s.candidates[best]
	r, waited := q.request, q.waited()
	price := cmp.Or(s.SpillPrice, defaultSpillPrice) * time.Duration(r.Bytes()) / 1024
	switch {
	case float64(waited+c.predicted) > spillMargin*float64(r.Target()):
		c.refused = reasonRemoteMissesTarget
	case localWait-waited-c.predicted < price:
		c.refused = reasonGainBelowPrice
	default:
		return best
	}
	return localBest
}

// evaluateRemote evaluates the upstreams of other regions and returns the index of
// the best candidate, or -1.
func (s *Selector) evaluateRemote(q *query) int {
	from := len(s.candidates)
	best := s.evaluateGroup(q, q.remote)
	for i := from; i < len(s.candidates); i++ {
		s.candidates[i].remote = true
	}
	return best
}

// noneAvailableLocally reports whether every upstream of the region that serves
// the model is leaving, receives no requests or is excluded, so that waiting for
// one is pointless.
func (s *Selector) noneAvailableLocally(q *query) bool {
	for _, g := range []*group{q.sameCentre, q.sameRegion} {
		if g != nil && slices.ContainsFunc(g.trackers, func(t *tracker) bool { return s.available(q, t) }) {
			return false
		}
	}
	return true
}

func (s *Selector) available(q *query, t *tracker) bool {
	a := t.upstream.Address()
	return !t.leaving && !slices.Contains(q.excluded, a) && q.request.Allows(t.upstream) && (s.Live == nil || s.Live(q.now, a))
}

const (
	// waitSmoothing is the weight of a new sample in the moving average of waits.
	waitSmoothing = 0.2
	// waitTTL is how long the average counts without a new sample.
	waitTTL = 3 * time.Second
)

// waitTimes holds, for each tier, the moving average of the time that requests
// waited in this router before they were sent to an upstream of its region.
type waitTimes struct {
	mean [kingcuphook.TierCount]time.Duration
	last [kingcuphook.TierCount]time.Time
}

func (w *waitTimes) add(now time.Time, t kingcuphook.Tier, d time.Duration) {
	if !t.Valid() {
		return
	}
	i := t.Index()
	if now.Sub(w.last[i]) > waitTTL {
		w.mean[i] = d
	}
	w.mean[i] += time.Duration(waitSmoothing * float64(d-w.mean[i]))
	w.last[i] = now
}

// recent returns the average wait of the tier; 0 if it had no sample within
// waitTTL.
func (w *waitTimes) recent(now time.Time, t kingcuphook.Tier) time.Duration {
	if !t.Valid() || now.Sub(w.last[t.Index()]) > waitTTL {
		return 0
	}
	return w.mean[t.Index()]
}
