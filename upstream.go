package kingcuphook

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// AttemptFields are the fields an Attempt is made from.
type AttemptFields struct {
	// ID identifies the attempt; unique in the fleet.
	ID string
	// Request is the attempted request; never nil.
	Request *Request
	// Method, Path and Body are as the caller sent them. The body must not be
	// changed.
	Method, Path string
	Body         []byte
	// ContentType is the type of the body.
	ContentType string
	// ResumeFrom is the position of the first frame to send; earlier attempts
	// delivered the frames before it.
	ResumeFrom int
	// Delivered is the text that earlier attempts delivered, which the engine is to
	// continue.
	Delivered string
	// Opaque is the part of the call that is forwarded unchanged; nil for calls that
	// the router interprets.
	Opaque *Opaque
	// ResumeAfter is the ID of the last event that the caller received; empty if
	// there is none.
	ResumeAfter string
	// CopyFrom is the address of an upstream from which the cached part of the
	// prompt can be copied; empty means none.
	CopyFrom string
	// Continues is the copy of the KV memory from which the attempt continues a stream; the zero value
	// means none.
	Continues StreamCopy
	// Resent is set if an attempt of the request was sent to the upstream before.
	Resent bool
}

// Attempt is one attempt to run a request on an upstream. It is immutable.
type Attempt struct {
	f AttemptFields
}

// NewAttempt returns an attempt with the given fields.
func NewAttempt(f AttemptFields) *Attempt { return &Attempt{f: f} }

// ID returns the identifier of the attempt.
func (a *Attempt) ID() string { return a.f.ID }

// Request returns the attempted request.
func (a *Attempt) Request() *Request { return a.f.Request }

// Method returns the HTTP method of the call.
func (a *Attempt) Method() string { return a.f.Method }

// Path returns the URL path of the call.
func (a *Attempt) Path() string { return a.f.Path }

// Body returns the body of the call; the caller must not change it.
func (a *Attempt) Body() []byte { return a.f.Body }

// ContentType returns the type of the body.
func (a *Attempt) ContentType() string { return a.f.ContentType }

// ResumeFrom returns the position of the first frame to send.
func (a *Attempt) ResumeFrom() int { return a.f.ResumeFrom }

// Delivered returns the text that earlier attempts delivered.
func (a *Attempt) Delivered() string { return a.f.Delivered }

// Opaque returns the part of the call that is forwarded unchanged; nil for calls
// that the router interprets.
func (a *Attempt) Opaque() *Opaque { return a.f.Opaque }

// ResumeAfter returns the ID of the last event that the caller received; empty if
// there is none.
func (a *Attempt) ResumeAfter() string { return a.f.ResumeAfter }

// CopyFrom returns the address of an upstream from which the cached part of the
// prompt can be copied; empty means none.
func (a *Attempt) CopyFrom() string { return a.f.CopyFrom }

// Continues returns the copy of the KV memory from which the attempt continues a stream; the zero value
// means none.
func (a *Attempt) Continues() StreamCopy { return a.f.Continues }

// Resent reports whether an attempt of the request was sent to the upstream before. An upstream may
// repeat its reply to that one on the same connection.
func (a *Attempt) Resent() bool { return a.f.Resent }

// FrameKind is the kind of a frame.
type FrameKind string

// Values of FrameKind.
const (
	// FrameKindData carries a piece of the answer.
	FrameKindData FrameKind = "data"
	// FrameKindFinish carries the finish reason.
	FrameKindFinish FrameKind = "finish"
	// FrameKindEnd is the end marker; nothing may follow it.
	FrameKindEnd FrameKind = "end"
)

// Frame is one frame of a streamed answer from an upstream.
type Frame struct {
	attempt  string
	position int
	kind     FrameKind
	text     string
	// event is the ID of the event in the stream; empty if it has none.
	event string
}

// NewFrame returns a frame. Position counts data frames from 0 over the whole
// answer; a finish or end frame carries the number of data frames before it.
// Text is the text of a data frame or the reason of a finish frame.
func NewFrame(attempt string, position int, kind FrameKind, text string) Frame {
	return Frame{attempt: attempt, position: position, kind: kind, text: text}
}

// NewEventFrame returns a data frame for an event with an ID.
func NewEventFrame(attempt string, position int, event, text string) Frame {
	return Frame{attempt: attempt, position: position, kind: FrameKindData, text: text, event: event}
}

// Event returns the ID of the event in the stream; empty if it has none.
func (f Frame) Event() string { return f.event }

// Attempt returns the identifier of the attempt that the frame belongs to.
func (f Frame) Attempt() string { return f.attempt }

// Position returns the position of the frame in the whole answer.
func (f Frame) Position() int { return f.position }

// Kind returns the kind of the frame.
func (f Frame) Kind() FrameKind { return f.kind }

// Text returns a piece of the answer or the finish reason.
func (f Frame) Text() string { return f.text }

// Stream is the streamed answer to an attempt. It must not be used concurrently.
type Stream interface {
	// Next returns the next frame. The error wraps ErrBrokenStream if the stream
	// ends without an end frame.
	Next(ctx context.Context) (Frame, error)
	// Close closes the stream and cancels the attempt at the upstream if it still
	// runs.
	Close() error
}

// HeadedStream is a Stream with a head that is forwarded to the caller.
type HeadedStream interface {
	Stream
	// Head returns the status and the headers of the answer.
	Head() Answer
}

// Answer is the whole answer of a plain service, or the head of a stream.
type Answer struct {
	status      int
	contentType string
	body        []byte
	// header holds the headers to forward; nil for an answer that the router
	// interprets.
	header http.Header
}

// NewOpaqueAnswer returns an answer that is forwarded unchanged. The header must
// not be changed afterwards.
func NewOpaqueAnswer(status int, header http.Header, body []byte) Answer {
	return Answer{status: status, contentType: header.Get("Content-Type"), body: body, header: header}
}

// Header returns the headers to forward; the caller must not change them. It is
// nil for an answer that the router interprets.
func (a Answer) Header() http.Header { return a.header }

// AnswerError reports that an upstream responded with an error status. Its answer is
// forwarded to the caller unless another attempt is made.
type AnswerError struct {
	// Answer is the answer of the upstream.
	Answer Answer
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("upstream answered with status %d", e.Answer.Status())
}

// Is makes errors.Is match ErrUpstreamAnswered and ErrOutcomeUnknown.
func (*AnswerError) Is(target error) bool {
	return target == ErrUpstreamAnswered || target == ErrOutcomeUnknown
}

// NewAnswer returns an answer with the given HTTP status.
func NewAnswer(status int, contentType string, body []byte) Answer {
	return Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// ContentType returns the type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body; the caller must not change it.
func (a Answer) Body() []byte { return a.body }

// Engine runs attempts on upstreams. Start and Call return an error that wraps
// ErrUnavailable only if the upstream certainly did not start the request (no byte
// was sent, or the upstream itself replied so), and ErrOutcomeUnknown in case of any
// other failure.
type Engine interface {
	// Start starts a streamed attempt on a model engine.
	Start(ctx context.Context, u *Upstream, a *Attempt) (Stream, error)
	// Call runs an attempt on a plain service.
	Call(ctx context.Context, u *Upstream, a *Attempt) (Answer, error)
}

// LoadReportFields are the fields a LoadReport is made from.
type LoadReportFields struct {
	// Upstream is the address of the upstream.
	Upstream string
	// Made is the time at which the upstream made the report, by the clock of the
	// receiver.
	Made time.Time
	// Running and Queued are the numbers of requests that the upstream runs and
	// queues.
	Running, Queued int
	// QueuedTokens is the number of prompt tokens that await prefill.
	QueuedTokens int
	// CachedTokens is the number of tokens in the prefix cache.
	CachedTokens int
	// HeldTokens is the number of tokens of KV memory that HeldRequests of the running requests are
	// expected to hold.
	HeldTokens, HeldRequests int
	// Leaving is true if the upstream accepts no new work.
	Leaving bool
}

// LoadReport is a report of the load of an upstream, which may be out of date.
type LoadReport struct {
	f LoadReportFields
}

// NewLoadReport returns a report with the given fields.
func NewLoadReport(f LoadReportFields) LoadReport { return LoadReport{f: f} }

// Upstream returns the address of the upstream.
func (r LoadReport) Upstream() string { return r.f.Upstream }

// Made returns when the report was made.
func (r LoadReport) Made() time.Time { return r.f.Made }

// Running returns the number of requests that the upstream runs.
func (r LoadReport) Running() int { return r.f.Running }

// Queued returns the number of requests in the queue of the upstream.
func (r LoadReport) Queued() int { return r.f.Queued }

// QueuedTokens returns the number of prompt tokens that await prefill.
func (r LoadReport) QueuedTokens() int { return r.f.QueuedTokens }

// HeldTokens returns the number of tokens of KV memory that HeldRequests of the running requests are expected
// to hold.
func (r LoadReport) HeldTokens() int { return r.f.HeldTokens }

// HeldRequests returns the number of requests that HeldTokens includes.
func (r LoadReport) HeldRequests() int { return r.f.HeldRequests }

// CachedTokens returns the number of tokens in the prefix cache.
func (r LoadReport) CachedTokens() int { return r.f.CachedTokens }

// Leaving reports whether the upstream accepts no new work.
func (r LoadReport) Leaving() bool { return r.f.Leaving }

// CacheEvent reports that an upstream stored a prefix in its cache or evicted one.
// Events may be delayed, and lost ones leave gaps in Sequence.
type CacheEvent struct {
	upstream string
	sequence int64
	prefix   uint64
	stored   bool
}

// NewCacheEvent returns a cache event. Prefix is the last hash of the prefix's
// chain of block hashes.
func NewCacheEvent(upstream string, sequence int64, prefix uint64, stored bool) CacheEvent {
	return CacheEvent{upstream: upstream, sequence: sequence, prefix: prefix, stored: stored}
}

// Upstream returns the address of the upstream.
func (e CacheEvent) Upstream() string { return e.upstream }

// Sequence returns the sequence number, which increases by one with every event of
// the upstream.
func (e CacheEvent) Sequence() int64 { return e.sequence }

// Prefix returns the last hash of the prefix's chain of block hashes.
func (e CacheEvent) Prefix() uint64 { return e.prefix }

// Stored reports whether the prefix was stored; otherwise it was evicted.
func (e CacheEvent) Stored() bool { return e.stored }

// OrderFields are the fields an Order is made from.
type OrderFields struct {
	// Upstream is the address of the upstream.
	Upstream string
	// Model is the model that the upstream must serve, including its adapter and
	// version.
	Model string
	// Generation increases with every change of the desired state of the upstream.
	Generation int64
	// Fence is the fencing number of the lease holder that gives the order.
	Fence int64
}

// Order is the instruction to an upstream which model to serve. It is declarative:
// repeating it has no effect.
type Order struct {
	f OrderFields
}

// NewOrder returns an order with the given fields.
func NewOrder(f OrderFields) Order { return Order{f: f} }

// Upstream returns the address of the upstream.
func (o Order) Upstream() string { return o.f.Upstream }

// Model returns the model that the upstream must serve.
func (o Order) Model() string { return o.f.Model }

// Generation returns the generation of the desired state.
func (o Order) Generation() int64 { return o.f.Generation }

// Fence returns the fencing number of the lease holder that gives the order.
func (o Order) Fence() int64 { return o.f.Fence }

// Orderer gives orders to upstreams and reads which order they follow.
type Orderer interface {
	// Order gives the order. The error wraps ErrStaleFence if the upstream rejects
	// its fencing number.
	Order(ctx context.Context, o Order) error
	// Loaded returns the order that the upstream currently follows.
	Loaded(ctx context.Context, u *Upstream) (Order, error)
}

// ReplyKind is the meaning of the head of a reply to an opaque call.
type ReplyKind string

// Values of ReplyKind.
const (
	// ReplyKindAnswer is the upstream's answer to the call.
	ReplyKindAnswer ReplyKind = "answer"
	// ReplyKindNotRun means that the upstream has not run the call and never will.
	ReplyKindNotRun ReplyKind = "not-run"
	// ReplyKindMisdirected means that another instance serves the address and did not
	// run the call.
	ReplyKindMisdirected ReplyKind = "misdirected"
	// ReplyKindForeign means that the reply belongs to another call or does not come
	// from an upstream.
	ReplyKindForeign ReplyKind = "foreign"
)

// OpaqueCodec encodes the headers of opaque calls and decodes those of replies. It
// is safe for concurrent use.
type OpaqueCodec interface {
	// Encode adds to h, which holds the headers of the caller, the headers from the
	// router.
	Encode(h http.Header, u *Upstream, a *Attempt, now time.Time)
	// Decode returns the meaning of the head of a reply.
	Decode(a *Attempt, status int, h http.Header) ReplyKind
	// Notice returns the status that the upstream announces in a reply.
	Notice(status int, h http.Header) Notice
}
