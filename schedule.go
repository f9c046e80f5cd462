package kingcuphook

import (
	"context"
	"net/http"
	"time"
)

// Assignment is the decision of a Scheduler to send a request to an upstream.
type Assignment struct {
	// Request is the request to send; never nil.
	Request *Request
	// Choice is the selected upstream with its prediction; its Upstream is never nil.
	Choice Choice
	// Probe is true if the request is a probe of an ejected upstream.
	Probe bool
	// Preempts is the ID of a running request of a lower tier that must be cancelled
	// at the upstream and queued again; empty for none.
	Preempts string
}

// Scheduler decides for one pool when each queued request is sent and to which
// upstream. It combines an Admitter, a Limiter, a Selector and an Ejector. It must
// not be used concurrently and takes no action by itself: after every event, its
// user must call Assign and carry out the assignments.
type Scheduler interface {
	// Update replaces the pool by its current revision.
	Update(now time.Time, p *Pool)
	// Offer queues a new request and returns the requests that are shed as a
	// result.
	Offer(now time.Time, r *Request) []Shed
	// Requeue returns a previously assigned request to the queue. It keeps its
	// position, is not rejected by a full queue and is not sent to the excluded
	// upstreams.
	Requeue(now time.Time, r *Request, excluded []string) []Shed
	// Cancel removes a queued request and reports whether it was queued.
	Cancel(now time.Time, id string) bool
	// Assign returns the requests to dispatch now, and the queued requests that are
	// shed, such as those whose deadline has passed.
	Assign(now time.Time) ([]Assignment, []Shed)
	// Progress records that a running request has received its n-th token, from the
	// upstream. A hedged request runs at two.
	Progress(now time.Time, upstream string, r *Request, n int)
	// Finished records the result of an attempt and releases its slot.
	Finished(now time.Time, upstream string, r *Request, s Sample)
	// Report processes a load report.
	Report(now time.Time, l LoadReport)
	// Cached processes a cache event.
	Cached(now time.Time, e CacheEvent)
	// Wake returns the latest time of the next call of Assign; zero if no request
	// is queued.
	Wake(now time.Time) time.Time
	// Explain appends the candidates for the request to dst.
	Explain(now time.Time, r *Request, dst []Candidate) []Candidate
	// Len returns the number of queued requests.
	Len() int
}

// Slot is the right to run one attempt on an upstream.
type Slot interface {
	// Choice returns the selected upstream and what the selection was based on.
	Choice() Choice
	// Preempted returns a channel that is closed when the slot is revoked in favour
	// of a higher tier.
	Preempted() <-chan struct{}
	// Progress records that the n-th token of the answer has arrived.
	Progress(n int)
	// Release releases the slot. It must be called exactly once.
	Release(s Sample)
}

// Allocator grants slots to the goroutines that handle calls. It is safe for
// concurrent use.
type Allocator interface {
	// Acquire waits until the request may run on an upstream that is not excluded.
	// For a request that had a slot before, excluded must not be nil, though it may
	// be empty: such a request keeps its position and is not rejected by a full
	// queue. The error is a *RequestError with RunStateNotRun, or ctx.Err().
	Acquire(ctx context.Context, r *Request, excluded []string) (Slot, error)
}

// Call is a call as it was received from a caller.
type Call struct {
	// Request holds the properties that scheduling decisions use; never nil.
	Request *Request
	// Method, Path, ContentType and Body are as the caller sent them. The body must
	// not be changed.
	Method, Path, ContentType string
	Body                      []byte
	// Kind is the kind of upstream that serves the call.
	Kind UpstreamKind
	// Opaque is the part of the call that is forwarded unchanged; nil for calls that
	// the router interprets.
	Opaque *Opaque
}

// Opaque is the part of a call that is forwarded unchanged, with the limits of its
// attempts.
type Opaque struct {
	// Host is the host that the caller addressed.
	Host string
	// Header holds the headers to forward; it must not be changed.
	Header http.Header
	// MaxAttempts bounds the number of upstreams that the call is sent to; at least
	// 1.
	MaxAttempts int
	// Resumable is true if another upstream may continue an interrupted stream.
	Resumable bool
	// FirstByte bounds the time until the first data of an answer, and Silence the
	// time without data after it; 0 means the limits of the Dispatcher.
	FirstByte, Silence time.Duration
	// Patience is how long after its last data an upstream may still be sound and run the
	// call: until then only evidence that it doesn't lets the call go on elsewhere. It is
	// of no effect if it is shorter than the bound before.
	Patience time.Duration
}

// FinishClosed is the finish reason of an answer whose end only the end of the connection
// marks.
const FinishClosed = "closed"

// Outcome is the result of a call that was answered completely.
type Outcome struct {
	// Answer is the answer of a plain service; the zero value for engines.
	Answer Answer
	// Finish is the finish reason of an engine.
	Finish string
	// Tokens is the number of data frames of an engine's answer.
	Tokens int
	// Attempts is the number of attempts made, at least 1 unless Replayed.
	Attempts int
	// Replayed is true if this is the stored outcome of an earlier call.
	Replayed bool
}

// FrameWriter receives the data of an answer, in order and each piece once.
type FrameWriter interface {
	// WriteData writes one piece of data. An error means that the caller has
	// disconnected.
	WriteData(text string) error
}

// HeadWriter is a FrameWriter that also receives the head of an answer, at most
// once and before any data.
type HeadWriter interface {
	FrameWriter
	// WriteHead writes the status and the headers of the answer.
	WriteHead(head Answer) error
}

// Dispatcher runs a call, with retries, until it is answered or has failed. It is
// safe for concurrent use.
type Dispatcher interface {
	// Dispatch returns when the answer is complete or the call has finally failed.
	// Its error is a *RequestError. Data written before an error is a partial
	// answer, and the caller must be informed that it is.
	Dispatch(ctx context.Context, c *Call, w FrameWriter) (Outcome, error)
}
