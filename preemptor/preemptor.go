// Package preemptor chooses which running request gives its slot to a waiting
// one of a higher tier.
package preemptor

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	defaultMaxPerRequest = 1
	defaultLead          = 100 * time.Millisecond
	defaultMaxWaste      = 0.07
	// startBudget is what may be lost before anything was served, and maxBudget
	// bounds what may be lost at once after a quiet time.
	startBudget = 500
	maxBudget   = 5000
	// prefillCost is the work of a prompt token in that of a generated token.
	prefillCost = 0.1
	// remembered bounds the requests whose preemptions are counted.
	remembered = 4096
)

// Run is a running request as Preemptor weighs it.
type Run struct {
	// Request is what runs; never nil.
	Request *kingcuphook.Request
	// Upstream is where it runs; never nil.
	Upstream *kingcuphook.Upstream
	// Tokens is how much of its answer has come.
	Tokens int
	// Protected says that it must be let run to its end.
	Protected bool
}

// Preemptor chooses what is preempted. Its zero value is ready for use. It is
// used by one goroutine at a time.
type Preemptor struct {
	// MaxPerRequest bounds how often one request is preempted; 0 means once.
	MaxPerRequest int
	// Lead is the time that cancelling and starting take besides the first
	// token; 0 means 100 ms.
	Lead time.Duration

	// MaxWaste bounds the work lost to preemptions to a share of the tokens
	// served; 0 means 0.07.
	MaxWaste float64

	// spent is what was lost less what was earned since the start; it is at least
	// startBudget - maxBudget.
	spent float64
	// counts has the preemptions of the requests in order.
	counts map[string]int
	// order has the keys of counts, the oldest first.
	order  []string
	count  int
	wasted float64
}

// Due returns when the waiting request must preempt at the latest to meet its
// target, if its first token takes firstToken; zero if it has no target.
func (p *Preemptor) Due(r *kingcuphook.Request, firstToken time.Duration) time.Time {
	if r.Target() == 0 {
		return time.Time{}
	}
	return r.TargetTime().Add(-firstToken - p.lead())
}

// Hopeless reports whether the request would miss its target even if it were
// started at once.
func (p *Preemptor) Hopeless(now time.Time, r *kingcuphook.Request, firstToken time.Duration) bool {
	return r.Target() == 0 || now.Add(firstToken).After(r.TargetTime())
}

// Choose returns the index of the run that gives its slot to r: of those in the
// lowest tier the one that loses the least work; -1 if none may be preempted.
func (p *Preemptor) Choose(r *kingcuphook.Request, runs []Run) int {
	best := -1
	for i, run := range runs {
		if !p.mayPreempt(r, run) {
			continue
		}
		if best < 0 || before(run, runs[best]) {
			best = i
		}
	}
	return best
}

// Preempted counts that the run was preempted.
func (p *Preemptor) Preempted(run Run) {
	if p.counts == nil {
		p.counts = make(map[string]int)
	}
	id := run.Request.ID()
	if p.counts[id] == 0 {
		p.remember(id)
	}
	p.counts[id]++
	p.count++
	p.wasted += Lost(run)
	p.spent += Lost(run)
}

// Served earns the budget of tokens that were served.
func (p *Preemptor) Served(tokens int) {
	p.spent = max(p.spent-p.maxWaste()*float64(tokens), startBudget-maxBudget)
}

// Count returns the number of preemptions so far.
func (p *Preemptor) Count() int { return p.count }

// WastedTokens returns the work lost to preemptions so far, in generated tokens.
func (p *Preemptor) WastedTokens() float64 { return p.wasted }

// Lost returns the work that preempting the run loses, in generated tokens: the
// prompt, which must be prefilled again, and the answer where the upstream can't
// resume it.
func Lost(run Run) float64 {
	lost := prefillCost * float64(run.Request.PromptTokens())
	if !run.Upstream.Resumes() {
		lost += float64(run.Tokens)
	}
	return lost
}

func (p *Preemptor) mayPreempt(r *kingcuphook.Request, run Run) bool {
	return run.Request.Tier() > r.Tier() &&
		!run.Protected &&
		!run.Request.NonIdempotent() &&
		!run.Upstream.Priorities() &&
		run.Upstream.Kind() == kingcuphook.UpstreamKindEngine &&
		p.counts[run.Request.ID()] < p.maxPerRequest() &&
		p.spent+Lost(run) <= startBudget
}

// before reports whether a is preempted rather than b: the lower tier goes first,
// then the one that loses less, then by identifier.
func before(a, b Run) bool {
	if a.Request.Tier() != b.Request.Tier() {
		return a.Request.Tier() > b.Request.Tier()
	}
	if la, lb := Lost(a), Lost(b); la != lb {
		return la < lb
	}
	return a.Request.ID() < b.Request.ID()
}

func (p *Preemptor) remember(id string) {
	p.order = append(p.order, id)
	if len(p.order) <= remembered {
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

func (p *Preemptor) lead() time.Duration {
	if p.Lead > 0 {
		return p.Lead
	}
	return defaultLead
}
