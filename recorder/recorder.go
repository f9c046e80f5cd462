// Package recorder keeps the paths of recent requests through this router, in
// bounded memory, so that an operator can ask what happened to one.
package recorder

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// MaxSteps bounds the steps kept of one request; later ones replace the
	// last.
	MaxSteps = 16
	// shardCount spreads the locks.
	shardCount = 16
	// defaultTraces is how many requests are kept.
	defaultTraces = 4096
)

// StepKind says what happened in a step.
type StepKind string

// Values of StepKind.
const (
	StepQueued      StepKind = "queued"
	StepAssigned    StepKind = "assigned"
	StepNotAssigned StepKind = "not-assigned"
	StepStarted     StepKind = "started"
	StepRefused     StepKind = "refused"
	StepReleased    StepKind = "released"
)

// Step is one step in the life of a request.
type Step struct {
	// At is the time since the request arrived.
	At time.Duration
	// Kind is what happened.
	Kind StepKind
	// Upstream is the address of the upstream of the step, if it has one.
	Upstream string
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// Uncached is the number of prompt tokens expected to be prefilled.
	Uncached int
	// Tokens is the number of tokens received.
	Tokens int
	// Err is why the step failed; nil if it did not.
	Err error
	// Candidates are the upstreams weighed when the request was queued, the one
	// with the lowest prediction first.
	Candidates []kingcuphook.Candidate
}

// Trace is the path of one request.
type Trace struct {
	request *kingcuphook.Request
	route   string
	outcome string
	steps   [MaxSteps]Step
	count   int
}

// Request returns the request.
func (t *Trace) Request() *kingcuphook.Request { return t.request }

// Route returns the name of the route that matched.
func (t *Trace) Route() string { return t.route }

// Outcome returns how the request ended; empty while it runs.
func (t *Trace) Outcome() string { return t.outcome }

// Steps returns the steps in order.
func (t *Trace) Steps() []Step { return t.steps[:t.count] }

// Recorder keeps traces. Its zero value is ready for use. It is safe for
// concurrent use.
type Recorder struct {
	// Traces is how many requests are kept; 0 means 4,096.
	Traces int

	once   sync.Once
	shards [shardCount]shard
}

type shard struct {
	mu sync.Mutex
	// ring holds the traces in order of their beginning; next is the place of
	// the oldest.
	ring []Trace
	next int
	byID map[string]*Trace
}

func (c *Recorder) init() {
	c.once.Do(func() {
		size := c.Traces
		if size == 0 {
			size = defaultTraces
		}
		for i := range c.shards {
			c.shards[i].ring = make([]Trace, max(size/shardCount, 1))
			c.shards[i].byID = make(map[string]*Trace)
		}
	})
}

func (c *Recorder) shard(id string) *shard {
	c.init()
	return &c.shards[xxhash.Sum64String(id)%shardCount]
}

// Begin starts the trace of a request, in place of the oldest one.
func (c *Recorder) Begin(r *kingcuphook.Request, route string) {
	s := c.shard(r.ID())
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.ring[s.next]
	if t.request != nil {
		delete(s.byID, t.request.ID())
	}
	*t = Trace{request: r, route: route}
	s.byID[r.ID()] = t
	s.next = (s.next + 1) % len(s.ring)
}

// Add adds a step to the trace of a request, if it is still kept.
func (c *Recorder) Add(r *kingcuphook.Request, step Step) {
	step.At = time.Since(r.Arrived())
	s := c.shard(r.ID())
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.byID[r.ID()]
	if !ok {
		return
	}
	t.count = min(t.count+1, MaxSteps)
	t.steps[t.count-1] = step
}

// End notes the outcome of a request.
func (c *Recorder) End(r *kingcuphook.Request, outcome string) {
	s := c.shard(r.ID())
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.byID[r.ID()]; ok {
		t.outcome = outcome
	}
}

// Trace returns a copy of the trace of a request.
func (c *Recorder) Trace(id string) (Trace, bool) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.byID[id]
	if !ok {
		return Trace{}, false
	}
	return *t, true
}
