package soaker

import (
	"fmt"
	"slices"
	"time"
)

const (
	// crossingTime is how long after its last byte was written a request may find its
	// connection closed, if it was not passed on: the close and the request crossed.
	crossingTime = 200 * time.Millisecond
	// stopMargin is how long after SIGTERM a router ends no answers.
	stopMargin = stopGrace * 5 / 6
	// deadlineShare is the share of a call's time after which the router may end it.
	deadlineShare = 0.7
)

// period is a span of time; a zero end means that it is not over.
type period struct{ begin, end time.Time }

// meets reports whether the period has a moment of the span from begin to end.
func (p period) meets(begin, end time.Time) bool {
	return !p.begin.After(end) && (p.end.IsZero() || !p.end.Before(begin))
}

// fail records that the router's process did not run, or was allowed to end, in the span.
func (r *router) fail(begin, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages = append(r.outages, period{begin, end})
}

// failed reports whether the router's process did not run at a moment of the span.
func (r *router) failed(begin, end time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.outages, func(p period) bool { return p.meets(begin, end) })
}

// trouble records that the upstream or the connections to it are in trouble from now on.
func (u *upstream) trouble() {
	u.troubleMu.Lock()
	defer u.troubleMu.Unlock()
	u.troubles = append(u.troubles, period{begin: time.Now()})
}

// calm records that all troubles of the upstream are over. Connections on which data was lost
// may stay silent for disturbedAfter.
func (u *upstream) calm() {
	end := time.Now().Add(disturbedAfter)
	u.troubleMu.Lock()
	defer u.troubleMu.Unlock()
	for i := range u.troubles {
		if u.troubles[i].end.IsZero() {
			u.troubles[i].end = end
		}
	}
}

// troubled reports whether the upstream was in trouble at a moment of the span.
func (u *upstream) troubled(begin, end time.Time) bool {
	u.troubleMu.Lock()
	defer u.troubleMu.Unlock()
	return slices.ContainsFunc(u.troubles, func(p period) bool { return p.meets(begin, end) })
}

// reach is what upstreams received of a call.
type reach struct {
	// ran are the upstreams that ran it, rejected is how many rejected it.
	ran      []*upstream
	rejected int
}

// reached returns what upstreams received of each call, by the ID of the call.
func (env *environment) reached() map[string]reach {
	reached := make(map[string]reach)
	for _, u := range env.allUpstreams() {
		for _, run := range u.Runs() {
			r := reached[run.ID]
			r.ran = append(r.ran, u)
			reached[run.ID] = r
		}
		for _, run := range u.Rejected() {
			r := reached[run.ID]
			r.rejected++
			reached[run.ID] = r
		}
	}
	return reached
}

// lostCalls describes the calls that a running router ended without an answer, or whose answer
// or run it ended though their upstreams were sound.
func (env *environment) lostCalls() []string {
	reached := env.reached()
	var lost []string
	for _, c := range env.soak.calls.all() {
		if c.written.IsZero() || c.router.failed(c.sent, c.ended) {
			continue
		}
		if why := env.lost(c, reached[c.id]); why != "" {
			lost = append(lost, fmt.Sprintf("%s %s at %s, sent %s, %s %v later", c.kind, c.id, c.router.name, c.sent.Format("05.000"), why, c.ended.Sub(c.sent).Round(time.Millisecond)))
		}
	}
	return lost
}

// lost describes how the router lost the call; empty if it didn't. A call that no upstream ran
// may have failed at one that is gone.
func (env *environment) lost(c *call, r reach) string {
	if c.outcome == OutcomeUnanswered {
		crossed := len(r.ran)+r.rejected == 0 && c.ended.Sub(c.written) <= crossingTime
		if crossed {
			return ""
		}
		return fmt.Sprintf("ran at %d upstreams, was rejected by %d and got no answer", len(r.ran), r.rejected)
	}
	broken := c.outcome == OutcomeCut || c.outcome == OutcomeFailed && c.status >= 500 && len(r.ran) > 0
	late := c.ended.Sub(c.sent) >= time.Duration(deadlineShare*float64(c.timeout))
	troubled := slices.ContainsFunc(r.ran, func(u *upstream) bool { return u.troubled(c.sent, c.ended) }) || env.isCut(c.router, c.sent, c.ended)
	quarantined := c.outcome == OutcomeFailed && env.crashed(c.parts, c.ended)
	if !broken || late || troubled || quarantined {
		return ""
	}
	return fmt.Sprintf("ran at %d sound upstreams and was %s with status %d", len(r.ran), c.outcome, c.status)
}

// String returns the figures of the run.
func (r Result) String() string {
	text := fmt.Sprintf("%d calls, %d served, %d runs, %d faults", r.Calls, r.Served, r.Runs, len(r.Faults))
	for _, o := range Outcomes() {
		text += fmt.Sprintf(", %d %s", r.Outcomes[o], o)
	}
	if r.Cuts.Cut.All > 0 {
		text += fmt.Sprintf("; %v", r.Cuts)
	}
	if r.Resumptions.New.All > 0 {
		text += fmt.Sprintf("; %v", r.Resumptions)
	}
	return text + r.Duties
}
