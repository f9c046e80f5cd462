package kingcuphook

import "time"

// Shed is a request that was rejected or removed from a queue without having run.
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

// RetryAfter returns how long the caller should wait before a retry; 0 gives no
// advice.
func (s Shed) RetryAfter() time.Duration { return s.retryAfter }

// Admitter orders the requests that are queued for one pool. It must not be used
// concurrently. The times passed to it must not decrease.
type Admitter interface {
	// Offer queues a request and returns the requests that are shed as a result,
	// which may include r itself.
	Offer(now time.Time, r *Request) []Shed
	// Next removes the next request to dispatch from the queue and returns it, or
	// nil if none can be dispatched. The function free returns the number of slots
	// that a request of the given tier may use.
	Next(now time.Time, free func(Tier) int) *Request
	// Expire removes the requests whose deadline has passed and returns them.
	Expire(now time.Time) []Shed
	// Cancel removes a request whose caller has disconnected. It reports whether
	// the request was queued.
	Cancel(id string) bool
	// Served charges the tokens that a request has used to its organisation.
	Served(r *Request, tokens int)
	// Len returns the number of queued requests.
	Len() int
}

// Sample holds the measurements of one finished attempt at an upstream.
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
	// Failed is true if the attempt failed because of the upstream.
	Failed bool
	// Answered is true for a failed attempt if the upstream responded with an error,
	// so that it did not crash.
	Answered bool
	// Misdirected is true for a failed attempt if another instance serves the address.
	Misdirected bool
	// Cancelled is true if the router or the caller cancelled the attempt.
	Cancelled bool
	// Begun is true for an attempt at a plain service that began to run, or may have.
	Begun bool
}

// Limiter bounds the requests that one router has in flight at each upstream. It
// must not be used concurrently.
type Limiter interface {
	// Free returns how many more requests of the tier the router may send to
	// the upstream.
	Free(now time.Time, upstream string, t Tier) int
	// Started counts a request as in flight at the upstream.
	Started(now time.Time, upstream string, r *Request)
	// Finished counts a request as ended and adapts the limit to its sample.
	Finished(now time.Time, upstream string, r *Request, s Sample)
	// Report processes a load report of an upstream.
	Report(now time.Time, l LoadReport)
}

// Candidate explains how a Selector rated one upstream for a request.
type Candidate struct {
	// Upstream is the address of the upstream.
	Upstream string
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// CachedTokens is the estimated number of prompt tokens in its prefix cache.
	CachedTokens int
	// RejectReason is the reason why the upstream can't be chosen, in kebab case; empty
	// if it can.
	RejectReason string
	// Running is the number of requests of all routers in flight at the upstream, and
	// MaxRunning the number from which it takes no more like this one; 0 if unknown.
	Running, MaxRunning int
	// Cost is the cost by which a Selector that estimates costs compares the upstream.
	Cost Cost
	// ReportedAt is the time of the last report on the load of the other routers there; zero
	// if there was none.
	ReportedAt time.Time
	// Free is the number of slots there that this router may use for the tier of the request now. It is set
	// by previews only.
	Free int
	// Probability is the share of the draws of a preview in which the request went there; 0 if the selection
	// is not drawn.
	Probability float64
}

// Cost is the estimated cost of an upstream for a request, by part. The unit is that of the Selector: the value
// of one answer that meets its target, or seconds.
type Cost struct {
	// FirstToken is the cost of the predicted time to the first token, Transfer that of bytes between data
	// centres, Failures that of recent failures, Load that of the requests there, Recompute that of shared
	// tokens that are prefilled although another upstream has them cached, and Interference that of long
	// prefills beside streams with tight token targets. TokenTarget is that of the risk of missing the token
	// target, and of more speed than it needs.
	FirstToken, Transfer, Failures, Load, Recompute, Interference, TokenTarget float64
}

// Total returns the sum of the parts.
func (c Cost) Total() float64 {
	return c.FirstToken + c.Transfer + c.Failures + (c.Load + c.Recompute + c.Interference) + c.TokenTarget
}

// Choice is the result of a selection.
type Choice struct {
	// Upstream is the chosen upstream; nil if none can take the request now.
	Upstream *Upstream
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// UncachedTokens is the number of prompt tokens expected to be prefilled.
	UncachedTokens int
	// Spilled is true if the upstream is in another region.
	Spilled bool
	// Running is the number of requests of all routers in flight at the upstream,
	// and PrefillTokens the number of their prompt tokens that await prefill, both
	// as known at the time of the choice. ReportedAt is the time of the last report
	// on the load of the other routers; zero if there was none.
	Running, PrefillTokens int
	ReportedAt             time.Time
	// PreferredRank is the rank of the upstream among the preferred upstreams of the
	// shared prefix, counted from 1; 0 means that it is not one of them.
	PreferredRank int
	// CopyFrom is the address of another upstream that probably caches the shared
	// prefix, from which the chosen one can copy it instead of prefilling it; empty
	// if none is known or needed.
	CopyFrom string
	// RateLimited is the address of the upstream that would have been chosen but for its
	// rate limit; empty if there is none.
	RateLimited string
}

// Selector chooses an upstream for a request. It must not be used concurrently.
type Selector interface {
	// Update replaces the pool by its current revision.
	Update(now time.Time, p *Pool)
	// Select chooses an upstream whose address is not in excluded. Apart from
	// advancing the source of randomness, it has no influence on later choices.
	Select(now time.Time, r *Request, excluded []string) (Choice, error)
	// Explain appends the candidates that Select would consider to dst.
	Explain(now time.Time, r *Request, dst []Candidate) []Candidate
	// Started records that the request was dispatched to the upstream.
	Started(now time.Time, upstream string, r *Request)
	// Finished records the result of an attempt.
	Finished(now time.Time, upstream string, r *Request, s Sample)
	// Report processes a load report.
	Report(now time.Time, l LoadReport)
	// Cached processes a cache event.
	Cached(now time.Time, e CacheEvent)
}

// LengthPredictor predicts the number of tokens of an answer.
type LengthPredictor interface {
	// Predict returns the expected length and a cautious one (a high quantile).
	Predict(r *Request) (expected, cautious int)
	// Observe updates the prediction with the length of a complete answer.
	Observe(r *Request, tokens int)
}

// Ejector decides which upstreams receive less work or none because they are slow
// or fail. It must not be used concurrently.
type Ejector interface {
	// Update replaces the pool by its current revision.
	Update(now time.Time, p *Pool)
	// Finished records the result of an attempt.
	Finished(now time.Time, upstream string, s Sample)
	// Weight returns the share of its normal load that the upstream may receive
	// now, from 0 (ejected) to 1.
	Weight(now time.Time, upstream string) float64
	// Probe reports whether the next request may probe an ejected upstream. If so,
	// it counts the request as a probe.
	Probe(now time.Time, upstream string) bool
}

// RetryBudget limits the retries and hedged attempts of one class to a share of
// its successful requests. It must not be used concurrently.
type RetryBudget interface {
	// Succeeded adds the share of one successful request to the budget.
	Succeeded(now time.Time)
	// Spend takes one retry from the budget and reports whether one was left.
	Spend(now time.Time) bool
	// Refund puts a retry back that was spent but not made.
	Refund(now time.Time)
	// Delay returns how long to wait before retry number n, counted from 1.
	Delay(n int) time.Duration
}

// HedgePolicy decides when requests that may be repeated are hedged: sent to a second upstream while the
// first one has not begun to answer. It is safe for concurrent use.
type HedgePolicy interface {
	// Requested counts a request, by which the number of hedges is limited.
	Requested(r *Request)
	// Delay returns how long after its dispatch a request waits for the first token before it is
	// hedged, or false if it is not. UncachedTokens is the number of its prompt tokens to be prefilled.
	Delay(r *Request, uncachedTokens int) (time.Duration, bool)
	// Spend reports whether the limit allows a hedge that prefills that many tokens, and counts it.
	Spend(uncachedTokens int) bool
	// Observe records how long a first token took.
	Observe(r *Request, uncachedTokens int, took time.Duration)
}
