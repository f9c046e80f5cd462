package kingcuphook

import "time"

// Shed is a request that was taken out of a queue without having run.
type Shed struct {
	request    *Request
	err        error
	retryAfter time.Duration
}

// NewShed returns a shed request. The error wraps ErrOverloaded, ErrDeadline or
// ErrRateLimited.
func NewShed(r *Request, err error, retryAfter time.Duration) Shed {
	return Shed{request: r, err: err, retryAfter: retryAfter}
}

// Request returns the request.
func (s Shed) Request() *Request { return s.request }

// Err returns why the request was shed.
func (s Shed) Err() error { return s.err }

// RetryAfter returns when the caller should come back; 0 says nothing.
func (s Shed) RetryAfter() time.Duration { return s.retryAfter }

// Admitter orders the requests that wait for one pool. It is used by one
// goroutine at a time; time is passed in and never falls.
type Admitter interface {
	// Offer queues a request. It returns the requests that are shed for it,
	// which may include r itself.
	Offer(now time.Time, r *Request) []Shed
	// Next takes the request to be dispatched next out of the queue, or nil.
	// Free is the number of slots that a request of the given tier may use.
	Next(now time.Time, free func(Tier) int) *Request
	// Expire takes out the requests whose deadline has passed.
	Expire(now time.Time) []Shed
	// Cancel takes out a request whose caller is gone. It reports whether the
	// request was waiting.
	Cancel(id string) bool
	// Served charges the tokens that a request has used to its organisation.
	Served(r *Request, tokens int)
	// Len returns the number of requests waiting.
	Len() int
}

// Sample is what one finished attempt tells of its upstream.
type Sample struct {
	// FirstToken is the time from dispatch to the first token; 0 if none came.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens; 0 if fewer than two came.
	TokenGap time.Duration
	// Tokens is the number of tokens received.
	Tokens int
	// UncachedTokens is the number of prompt tokens the router expected to be
	// prefilled.
	UncachedTokens int
	// Failed says that the upstream broke the attempt off.
	Failed bool
	// Answered says, of a failed attempt, that the upstream answered with an error
	// of its own.
	Answered bool
	// Displaced says, of a failed attempt, that another program has the address.
	Displaced bool
	// Cancelled says that the router or the caller broke the attempt off.
	Cancelled bool
}

// Limiter bounds the work that one router puts on each upstream. It is used by
// one goroutine at a time.
type Limiter interface {
	// Free returns how many more requests of the tier the router may send to
	// the upstream.
	Free(now time.Time, upstream string, t Tier) int
	// Started counts a dispatched request.
	Started(now time.Time, upstream string, r *Request)
	// Finished counts a request that ended and learns from its sample.
	Finished(now time.Time, upstream string, r *Request, s Sample)
	// Report takes a load report of the upstream.
	Report(now time.Time, l LoadReport)
}

// Candidate is one upstream that Selector weighed, with its reasons.
type Candidate struct {
	// Upstream is the address.
	Upstream string
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// CachedTokens is how much of the prompt is thought to be cached there.
	CachedTokens int
	// Refused is empty for a usable candidate, else the kebab-case reason.
	Refused string
}

// Choice is the outcome of a selection.
type Choice struct {
	// Upstream is the chosen upstream; nil if none can take the request now.
	Upstream *Upstream
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// UncachedTokens is the number of prompt tokens expected to be prefilled.
	UncachedTokens int
	// Spilled says that the upstream is in another region.
	Spilled bool
	// Running and Reading are the requests of all routers on the upstream and
	// their prompt tokens still to be read, as the choice took them to be; Heard is
	// when the router last heard of the others, zero if it never did.
	Running, Reading int
	Heard            time.Time
	// Home is the place of the upstream among those that keep the shared part of
	// the prompt, from 1; 0 means that it is none of them.
	Home int
	// CopyFrom is the address of another upstream that is thought to keep the shared
	// part of the prompt, so that the chosen one can copy it in place of reading it;
	// empty if none is known or none is needed.
	CopyFrom string
}

// Selector chooses an upstream for a request. It is used by one goroutine at a
// time.
type Selector interface {
	// Update takes the pool in force.
	Update(now time.Time, p *Pool)
	// Select chooses an upstream; excluded are addresses that were tried. It
	// changes nothing that a later choice depends on but the source of randomness.
	Select(now time.Time, r *Request, excluded []string) (Choice, error)
	// Explain appends the candidates that Select would weigh to dst.
	Explain(now time.Time, r *Request, dst []Candidate) []Candidate
	// Started tells that the request was dispatched to the upstream.
	Started(now time.Time, upstream string, r *Request)
	// Finished tells how an attempt ended.
	Finished(now time.Time, upstream string, r *Request, s Sample)
	// Report takes a load report.
	Report(now time.Time, l LoadReport)
	// Cached takes a cache event.
	Cached(now time.Time, e CacheEvent)
}

// LengthPredictor predicts how many tokens an answer will have.
type LengthPredictor interface {
	// Predict returns the expected and the cautious (high quantile) length.
	Predict(r *Request) (expected, cautious int)
	// Observe learns the length of a whole answer.
	Observe(r *Request, tokens int)
}

// Ejector decides which upstreams get no work because they are slow or broken.
// It is used by one goroutine at a time.
type Ejector interface {
	// Update takes the pool in force.
	Update(now time.Time, p *Pool)
	// Finished learns how an attempt ended.
	Finished(now time.Time, upstream string, s Sample)
	// Weight returns the share of its normal work that the upstream gets now,
	// from 0 (ejected) to 1.
	Weight(now time.Time, upstream string) float64
	// Probe reports whether the next request may be used to probe an ejected
	// upstream, and counts it as a probe.
	Probe(now time.Time, upstream string) bool
}

// RetryBudget bounds retries and hedges of one class to a share of its
// successes. It is used by one goroutine at a time.
type RetryBudget interface {
	// Succeeded adds to the budget.
	Succeeded(now time.Time)
	// Spend takes one retry out of the budget and reports whether there was one.
	Spend(now time.Time) bool
	// Delay returns how long to wait before retry number n, counted from 1.
	Delay(n int) time.Duration
}
