// Package preemptor selects the request in flight to cancel in favour of a queued
// request of a higher tier.
package preemptor

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	defaultMaxPerRequest = 1
	defaultOverhead      = 100 * time.Millisecond
	defaultMaxWaste      = 0.07
	// initialBudget is the work that may be lost before any tokens were served, and
	// maxBudget bounds the work that may be lost at once after a period without
	// preemptions. Both are in generated tokens.
	initialBudget = 500
	maxBudget     = 5000
	// prefillCost is the work of a prompt token relative to a generated token.
	prefillCost = 0.1
	// maxTracked bounds the number of requests whose preemptions are counted.
	maxTracked = 4096
)

// Candidate is a request in flight that may be preempted.
type Candidate struct {
	// Request is the request; never nil.
	Request *kingcuphook.Request
	// Upstream is the upstream that runs it; never nil.
	Upstream *kingcuphook.Upstream
	// Tokens is the number of tokens of its answer received so far.
	Tokens int
	// Protected reports whether it must not be preempted.
	Protected bool
}

// Preemptor selects the requests to preempt. The zero value is ready for use. It
// is not safe for concurrent use.
type Preemptor struct {
	// MaxPerRequest bounds how often one request is preempted; 0 means once.
	MaxPerRequest int
	// Overhead is the time to cancel one request and start another, in addition
	// to the time to the first token; 0 means 100 ms.
	Overhead time.Duration

	// MaxWaste bounds the work lost to preemptions as a share of the tokens served;
	// 0 means 0.07.
	MaxWaste float64

	// debt is the work lost less the budget earned so far; it is at least
	// initialBudget - maxBudget.
	debt float64
	// counts holds the number of preemptions by request identifier.
	counts map[string]int
	// order holds the keys of counts, the oldest first.
	order       []string
	preemptions int
	wasted      float64
}

// PreemptBy returns the latest time at which the queued request must preempt
// another one to meet its target, if the time to its first token is firstToken.
// It returns the zero time for a request without a target.
func (p *Preemptor) PreemptBy(r *kingcuphook.Request, firstToken time.Duration) time.Time {
	if r.Target() == 0 {
		return time.Time{}
	}
	return r.TargetTime().Add(-firstToken - p.overhead())
}

// WouldMissTarget reports whether the request would miss its target even if it
// started now. It returns true for a request without a target.
func (p *Preemptor) WouldMissTarget(now time.Time, r *kingcuphook.Request, firstToken time.Duration) bool {
	return r.Target() == 0 || now.Add(firstToken).After(r.TargetTime())
}

// Choose returns the index of the request to preempt in favour of r, or -1 if none
// may be preempted. Of the requests in the lowest tier it selects the one that
// loses the least work.
func (p *Preemptor) Choose(r *kingcuphook.Request, candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if !p.mayPreempt(r, c) {
			continue
		}
		if best < 0 || preferred(c, candidates[best]) {
			best = i
		}
	}
	return best
}

// Preempted counts a preemption and charges the lost work to the budget.
func (p *Preemptor) Preempted(c Candidate) {
	if p.counts == nil {
		p.counts = make(map[string]int)
	}
	id := c.Request.ID()
	if p.counts[id] == 0 {
		p.track(id)
	}
	p.counts[id]++
	p.preemptions++
	p.wasted += LostWork(c)
	p.debt += LostWork(c)
}

// Served adds the budget that the served tokens earn.
func (p *Preemptor) Served(tokens int) {
	p.debt = max(p.debt-p.maxWaste()*float64(tokens), initialBudget-maxBudget)
}

// Preemptions returns the number of preemptions so far.
func (p *Preemptor) Preemptions() int { return p.preemptions }

// WastedTokens returns the work lost to preemptions so far, in generated tokens.
func (p *Preemptor) WastedTokens() float64 { return p.wasted }

// LostWork returns the work lost by preempting a request, in generated tokens: the
// prompt, which must be prefilled again, and the tokens of the answer unless the
// upstream can resume it.
func LostWork(c Candidate) float64 {
	lost := prefillCost * float64(c.Request.PromptTokens())
	if !c.Upstream.Resumes() {
		lost += float64(c.Tokens)
	}
	return lost
}

func (p *Preemptor) mayPreempt(r *kingcuphook.Request, c Candidate) bool {
	return c.Request.Tier() > r.Tier() &&
		!c.Protected &&
		!c.Request.NonIdempotent() &&
		!c.Upstream.Priorities() &&
		c.Upstream.Kind() == kingcuphook.UpstreamKindEngine &&
		p.counts[c.Request.ID()] < p.maxPerRequest() &&
		p.debt+LostWork(c) <= initialBudget
}

// preferred reports whether a is preempted in preference to b: by lower tier,
// then by less lost work, then by identifier.
func preferred(a, b Candidate) bool {
	if a.Request.Tier() != b.Request.Tier() {
		return a.Request.Tier() > b.Request.Tier()
	}
	if la, lb := LostWork(a), LostWork(b); la != lb {
		return la < lb
	}
	return a.Request.ID() < b.Request.ID()
}

func (p *Preemptor) track(id string) {
	p.order = append(p.order, id)
	if len(p.order) <= maxTracked {
		return
	}
	delete(p.counts, p.order[0])
	p.order = p.order[1:]
}

func (p *Preemptor) maxPerRequest() int {
	if p.MaxPerRequest > 0 {
		return p.MaxPerRequest
	}
	return defaultMaxPerRequest
}

func (p *Preemptor) maxWaste() float64 {
	if p.MaxWaste > 0 {
		return p.MaxWaste
	}
	return defaultMaxWaste
}

func (p *Preemptor) overhead() time.Duration {
	if p.Overhead > 0 {
		return p.Overhead
	}
	return defaultOverhead
}
