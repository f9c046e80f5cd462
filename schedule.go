package kingcuphook

import (
	"context"
	"net/http"
	"time"
)

// Assignment is a decision of a Scheduler: send the request to the upstream.
type Assignment struct {
	// Request is what is to be sent; never nil.
	Request *Request
	// Choice is where it goes; its upstream is never nil.
	Choice Choice
	// Probe says that the request probes an ejected upstream.
	Probe bool
	// Preempts is the identifier of a running request of a lower tier that must
	// be cancelled at the upstream and queued again; empty for none.
	Preempts string
}

// Scheduler decides for one pool which waiting request goes to which upstream
// and when. It joins an Admitter, a Limiter, a Selector and an Ejector. It is
// used by one goroutine at a time and does nothing on its own: after every
// event its user calls Assign and carries out what it returns.
type Scheduler interface {
	// Update takes the pool in force.
	Update(now time.Time, p *Pool)
	// Offer queues a new request and returns the requests that are shed for it.
	Offer(now time.Time, r *Request) []Shed
	// Requeue queues a request again that was assigned before; it keeps its
	// place, is not refused by a full queue and is not sent to the excluded
	// upstreams.
	Requeue(now time.Time, r *Request, excluded []string) []Shed
	// Cancel takes out a waiting request and reports whether it was waiting.
	Cancel(now time.Time, id string) bool
	// Assign returns what can be dispatched now, and the waiting requests whose
	// deadline has passed.
	Assign(now time.Time) ([]Assignment, []Shed)
	// Progress tells that a running request has received its n-th token.
	Progress(now time.Time, r *Request, n int)
	// Finished tells how an attempt ended and frees its slot.
	Finished(now time.Time, upstream string, r *Request, s Sample)
	// Report takes a load report.
	Report(now time.Time, l LoadReport)
	// Cached takes a cache event.
	Cached(now time.Time, e CacheEvent)
	// Wake returns when Assign must be called next at the latest; zero if no
	// request waits.
	Wake(now time.Time) time.Time
	// Explain appends the candidates for the request to dst.
	Explain(now time.Time, r *Request, dst []Candidate) []Candidate
	// Len returns the number of waiting requests.
	Len() int
}

// Slot is the right to run one attempt on an upstream.
type Slot interface {
	// Choice returns where the attempt runs and why.
	Choice() Choice
	// Preempted is closed when the slot is taken back for a higher tier.
	Preempted() <-chan struct{}
	// Progress tells that the n-th token of the answer has come.
	Progress(n int)
	// Release gives the slot back. It must be called exactly once.
	Release(s Sample)
}

// Allocator hands out slots to traffic goroutines. It is safe for concurrent
// use.
type Allocator interface {
	// Acquire waits until the request may run on an upstream that is not
	// excluded. A request that had a slot before passes a list that is not nil;
	// it keeps its place and is not refused by a full queue. Its error is a
	// *RequestError that says not-run, or ctx.Err().
	Acquire(ctx context.Context, r *Request, excluded []string) (Slot, error)
}

// Call is one call of a caller as it was received.
type Call struct {
	// Request is what the decisions see of the call; never nil.
	Request *Request
	// Method, Path, ContentType and Body are the caller's. The body must not be
	// changed.
	Method, Path, ContentType string
	Body                      []byte
	// Kind says what serves the call.
	Kind UpstreamKind
	// Opaque is what a call carries that is passed on as it came; nil for calls
	// that the router understands.
	Opaque *Opaque
}

// Opaque is the part of a call that is passed on unchanged, and how it may be
// attempted.
type Opaque struct {
	// Host is the host that the caller addressed.
	Host string
	// Header has the headers that are passed on; it must not be changed.
	Header http.Header
	// MaxAttempts bounds the upstreams that the call is sent to; at least 1.
	MaxAttempts int
	// Resumable says that a stream may go on at another upstream.
	Resumable bool
	// Silence bounds the time between two pieces of a stream, and FirstByte that
	// before the first; 0 means the limits of the Dispatcher.
	FirstByte, Silence time.Duration
}

// Outcome is the end of a call that was answered whole.
type Outcome struct {
	// Answer is the answer of a plain service; empty for engines.
	Answer Answer
	// Finish is the finish reason of an engine.
	Finish string
	// Tokens is the number of data frames of an engine's answer.
	Tokens int
	// Attempts is the number of attempts made, at least 1 unless Replayed.
	Attempts int
	// Replayed says that the stored outcome of an earlier call was returned.
	Replayed bool
}

// FrameWriter takes the pieces of a streamed answer, in order and each once.
type FrameWriter interface {
	// WriteData writes one piece. An error says that the caller is gone.
	WriteData(text string) error
}

// HeadWriter is a FrameWriter that is told of the head of an answer before its
// first piece. It is told at most once.
type HeadWriter interface {
	FrameWriter
	// WriteHead takes the status and the headers of the answer.
	WriteHead(head Answer) error
}

// Dispatcher runs a call to its final answer. It is safe for concurrent use.
type Dispatcher interface {
	// Dispatch returns when the answer is whole or the call has failed for good.
	// Its error is a *RequestError. Frames written before an error are a partial
	// answer, which the caller must be told.
	Dispatch(ctx context.Context, c *Call, w FrameWriter) (Outcome, error)
}
