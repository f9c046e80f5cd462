// Package recorder keeps traces of recent requests through this router, in bounded
// memory, so that an operator can look up what happened to a request.
package recorder

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// MaxSteps is the largest number of steps in a trace; each further step replaces
	// the last one.
	MaxSteps = 16
	// shardCount is the number of shards, each with its own lock, to reduce lock
	// contention.
	shardCount = 16
	// defaultTraces is the default of Recorder.Traces.
	defaultTraces = 4096
)

// StepKind is the kind of a step.
type StepKind string

// Values of StepKind.
const (
	StepQueued      StepKind = "queued"
	StepAssigned    StepKind = "assigned"
	StepNotAssigned StepKind = "not-assigned"
	// StepStarted means that an attempt at a stream was started, or that an attempt at
	// another call succeeded.
	StepStarted StepKind = "started"
	// StepFailed means that an attempt failed instead.
	StepFailed   StepKind = "refused"
	StepReleased StepKind = "released"
)

// Step is one step in the processing of a request.
type Step struct {
	// At is the time from the arrival of the request to the step.
	At   time.Duration
	Kind StepKind
	// Upstream is the address of the upstream of the step; may be empty.
	Upstream string
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// Uncached is the number of prompt tokens that the upstream is expected to
	// prefill because its prefix cache lacks them.
	Uncached int
	// Tokens is the number of tokens received when a slot is released, or the number
	// after which an attempt resumes.
	Tokens int
	// Err is the error of a failed step.
	Err error
	// Candidates are the best upstreams at the time when the request was queued, the
	// one with the lowest predicted time to the first token first.
	Candidates []kingcuphook.Candidate
}

// Trace is the record of one request.
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

// Outcome returns how the request ended; empty while it is in progress.
func (t *Trace) Outcome() string { return t.outcome }

// Steps returns the steps in order.
func (t *Trace) Steps() []Step { return t.steps[:t.count] }

// Recorder keeps traces. Its zero value is ready for use. It is safe for
// concurrent use.
type Recorder struct {
	// Traces is the number of traces to keep; 0 means 4,096. It is divided evenly
	// among the shards, each of which keeps at least one.
	Traces int

	once   sync.Once
	shards [shardCount]shard
}

// shard keeps the traces of the requests whose id hashes to it.
type shard struct {
	mu sync.Mutex
	// ring is a ring buffer of the traces in the order in which they began; next is
	// the index of the oldest.
	ring []Trace
	next int
	// byID indexes ring by request id.
	byID map[string]*Trace
}

func (rec *Recorder) init() {
	rec.once.Do(func() {
		size := rec.Traces
		if size == 0 {
			size = defaultTraces
		}
		for i := range rec.shards {
			rec.shards[i].ring = make([]Trace, max(size/shardCount, 1))
			rec.shards[i].byID = make(map[string]*Trace)
		}
	})
}

func (rec *Recorder) shard(id string) *shard {
	rec.init()
	return &rec.shards[xxhash.Sum64String(id)%shardCount]
}

// Begin starts the trace of a request, which replaces the oldest one of its shard.
func (rec *Recorder) Begin(r *kingcuphook.Request, route string) {
	s := rec.shard(r.ID())
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

// Add adds a step to the trace of a request, unless the trace has been replaced. It
// sets the step's At.
func (rec *Recorder) Add(r *kingcuphook.Request, step Step) {
	step.At = time.Since(r.Arrived())
	s := rec.shard(r.ID())
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.byID[r.ID()]
	if !ok {
		return
	}
	t.count = min(t.count+1, MaxSteps)
	t.steps[t.count-1] = step
}

// End records the outcome of a request, unless its trace has been replaced.
func (rec *Recorder) End(r *kingcuphook.Request, outcome string) {
	s := rec.shard(r.ID())
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.byID[r.ID()]; ok {
		t.outcome = outcome
	}
}

// Trace returns a copy of the trace of the request with the given id.
func (rec *Recorder) Trace(id string) (Trace, bool) {
	s := rec.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.byID[id]
	if !ok {
		return Trace{}, false
	}
	return *t, true
}
