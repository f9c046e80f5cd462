package selector

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

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
	queued := max(waited+s.pace, s.waits.recent(q.now, q.request.Tier()))
	return queued + fastest
}

// spillFrom returns the local prediction above which a request may go to
// another region. It is lower while spilling, so that a wait near the target
// doesn't turn spilling on and off.
func (s *Selector) spillFrom(q *query) time.Duration {
	target := q.request.Target()
	hold := cmp.Or(s.SpillHold, defaultSpillHold)
	if !s.lastSpill.IsZero() && q.now.Sub(s.lastSpill) < hold {
		return time.Duration(spillStop * float64(target))
	}
	return time.Duration(spillStart * float64(target))
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
	price := cmp.Or(s.SpillPrice, defaultSpillPrice) * time.Duration(r.Bytes()) / 1024
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

const (
	// waitStep weighs a new sample in the recent waits.
	waitStep = 0.2
	// waitKept is how long a recent wait counts without a new sample.
	waitKept = 3 * time.Second
)

// waits has the smoothed time that requests of each tier waited in this router
// before they were sent to an upstream of its region.
type waits struct {
	mean [kingcuphook.TierCount]time.Duration
	last [kingcuphook.TierCount]time.Time
}

func (w *waits) add(now time.Time, t kingcuphook.Tier, d time.Duration) {
	if !t.Valid() {
		return
	}
	i := t.Index()
	if now.Sub(w.last[i]) > waitKept {
		w.mean[i] = d
	}
	w.mean[i] += time.Duration(waitStep * float64(d-w.mean[i]))
	w.last[i] = now
}

// recent returns the recent wait of the tier; 0 if there was none lately.
func (w *waits) recent(now time.Time, t kingcuphook.Tier) time.Duration {
	if !t.Valid() || now.Sub(w.last[t.Index()]) > waitKept {
		return 0
	}
	return w.mean[t.Index()]
}
