package selector

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Draws reports that a selection depends on the fingerprint of the body: it ranks the upstreams by it, and draws by it
// and the time. There is no random generator that a selection advances.
func (*Selector) Draws() bool { return true }

// PreviewVacant appends all upstreams to dst as they are rated for the selection by SelectUsable, without any
// effect. A selection evaluates only a part of them.
func (s *Selector) PreviewVacant(now time.Time, r *kingcuphook.Request, excluded []string, usable, _ func(address string) bool, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	q := s.newQuery(now, r, excluded, usable)
	choice, waits, _ := s.choose(&q)
	rated := make(map[*tracker]*candidate, len(s.candidates))
	for i := range s.candidates {
		rated[s.candidates[i].tracker] = &s.candidates[i]
	}
	for _, t := range s.byID {
		if t == nil {
			continue
		}
		c := rated[t]
		if c == nil {
			c = s.rateOther(&q, t)
		}
		if c.refused == "" {
			c.refused = s.passedOver(t, choice, waits)
		}
		dst = append(dst, c.preview())
	}
	return dst
}

// passedOver returns why a usable upstream is not compared with the choice, or an empty string.
func (s *Selector) passedOver(t *tracker, choice kingcuphook.Choice, waits bool) string {
	switch {
	case waits:
		return reasonWorseThanWaiting
	case choice.Upstream == nil || choice.Spilled:
		return ""
	case t.remote:
		return reasonOtherRegion
	case s.localityOf(t).delay > s.localityOf(s.trackers[choice.Upstream.Address()]).delay:
		return reasonOtherCentre
	}
	return ""
}

// rateOther returns an upstream that the selection didn't evaluate as a candidate.
func (s *Selector) rateOther(q *query, t *tracker) *candidate {
	c := s.rate(q, &group{delay: s.localityOf(t).delay}, t)
	groups := []*group{q.sameCentre, q.sameRegion, q.remote}
	served := slices.ContainsFunc(t.groups, func(g *group) bool { return slices.Contains(groups, g) })
	switch {
	case c.refused != "":
	case !served:
		c.refused = reasonOtherModel
	case t.remote:
		c.refused = reasonOtherRegion
	}
	return &c
}

// preview returns the candidate for a preview, with its cost in seconds.
func (c *candidate) preview() kingcuphook.Candidate {
	return kingcuphook.Candidate{
		Upstream:     c.tracker.upstream.Address(),
		Predicted:    c.predicted,
		CachedTokens: c.cachedTokens,
		RejectReason: c.refused,
		Running:      c.tracker.load(),
		ReportedAt:   c.tracker.reportMade,
		Cost: kingcuphook.Cost{
			FirstToken:   (c.predicted - c.transfer).Seconds(),
			Transfer:     c.transfer.Seconds(),
			Interference: c.interference.Seconds(),
			TokenTarget:  c.tokenTargetPenalty.Seconds(),
		},
	}
}
