package kingcuphook

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// AttemptFields are the fields an Attempt is made from.
type AttemptFields struct {
	// ID identifies the attempt; unique over the fleet.
	ID string
	// Request is what is being attempted; never nil.
	Request *Request
	// Method, Path and Body are the caller's call. The body is not changed.
	Method, Path string
	Body         []byte
	// ContentType is the type of the body.
	ContentType string
	// ResumeFrom is the position of the first frame wanted; frames before it
	// were delivered by earlier attempts.
	ResumeFrom int
	// Delivered is the text delivered so far, for the engine to continue from.
	Delivered string
	// Opaque is the part of the call that is passed on as it came; nil for calls
	// that the router understands.
	Opaque *Opaque
	// ResumeAfter is the id of the last event that the caller has; empty if it
	// has none.
	ResumeAfter string
	// CopyFrom is the address of an upstream to copy what is read of the prompt
	// from; empty means none.
	CopyFrom string
}

// Attempt is one try of a request on one upstream. It is immutable.
type Attempt struct {
	f AttemptFields
}

// NewAttempt returns an attempt with the given fields.
func NewAttempt(f AttemptFields) *Attempt { return &Attempt{f: f} }

// ID returns the identifier of the attempt.
func (a *Attempt) ID() string { return a.f.ID }

// Request returns what is being attempted.
func (a *Attempt) Request() *Request { return a.f.Request }

// Method returns the method of the caller's call.
func (a *Attempt) Method() string { return a.f.Method }

// Path returns the path of the caller's call.
func (a *Attempt) Path() string { return a.f.Path }

// Body returns the caller's body; it must not be changed.
func (a *Attempt) Body() []byte { return a.f.Body }

// ContentType returns the type of the body.
func (a *Attempt) ContentType() string { return a.f.ContentType }

// ResumeFrom returns the position of the first frame wanted.
func (a *Attempt) ResumeFrom() int { return a.f.ResumeFrom }

// Delivered returns the text that earlier attempts delivered.
func (a *Attempt) Delivered() string { return a.f.Delivered }

// Opaque returns the part of the call that is passed on as it came, or nil.
func (a *Attempt) Opaque() *Opaque { return a.f.Opaque }

// ResumeAfter returns the id of the last event that the caller has.
func (a *Attempt) ResumeAfter() string { return a.f.ResumeAfter }

// CopyFrom returns the address of an upstream to copy what is read of the prompt
// from; empty means none.
func (a *Attempt) CopyFrom() string { return a.f.CopyFrom }

// FrameKind says what a frame carries.
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

// Frame is one piece of an answer as an upstream sent it.
type Frame struct {
	attempt  string
	position int
	kind     FrameKind
	text     string
	// event is the id of the event in the stream; empty if it has none.
	event string
}

// NewFrame returns a frame. Position counts data frames from 0 over the whole
// answer; a finish or end frame carries the number of data frames before it.
// Text is the piece of a data frame or the reason of a finish frame.
func NewFrame(attempt string, position int, kind FrameKind, text string) Frame {
	return Frame{attempt: attempt, position: position, kind: kind, text: text}
}

// NewEventFrame returns a data frame that is an event of a stream with ids.
func NewEventFrame(attempt string, position int, event, text string) Frame {
	return Frame{attempt: attempt, position: position, kind: FrameKindData, text: text, event: event}
}

// Event returns the id of the event in the stream; empty if it has none.
func (f Frame) Event() string { return f.event }

// Attempt returns the identifier of the attempt that the frame answers.
func (f Frame) Attempt() string { return f.attempt }

// Position returns the position of the frame in the whole answer.
func (f Frame) Position() int { return f.position }

// Kind returns what the frame carries.
func (f Frame) Kind() FrameKind { return f.kind }

// Text returns the piece of the answer, or the finish reason.
func (f Frame) Text() string { return f.text }

// Stream is the answer to one attempt. It is used by one goroutine.
type Stream interface {
	// Next returns the next frame. It returns ErrBrokenStream when the upstream
	// ends without an end frame.
	Next(ctx context.Context) (Frame, error)
	// Close cancels what is left of the attempt at the upstream.
	Close() error
}

// HeadedStream is a Stream whose answer has a head that callers are to see.
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
	// header has the headers that are passed on; nil for an answer that the
	// router understands.
	header http.Header
}

// NewOpaqueAnswer returns an answer that is passed on as it came. The header
// must not be changed afterwards.
func NewOpaqueAnswer(status int, header http.Header, body []byte) Answer {
	return Answer{status: status, contentType: header.Get("Content-Type"), body: body, header: header}
}

// Header returns the headers that are passed on; the caller must not change
// them. It is nil for an answer that the router understands.
func (a Answer) Header() http.Header { return a.header }

// AnswerError says that an upstream answered with a failure of its own, which
// is the answer to the caller unless another attempt is made.
type AnswerError struct {
	// Answer is what the upstream answered.
	Answer Answer
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("upstream answered with status %d", e.Answer.Status())
}

// Is implements the matching of errors.Is.
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
// ErrUnavailable only when the upstream has certainly not begun (no byte was
// sent, or the upstream itself says so), and ErrOutcomeUnknown in every other
// failure.
type Engine interface {
	// Start begins a streamed attempt on a model engine.
	Start(ctx context.Context, u *Upstream, a *Attempt) (Stream, error)
	// Call runs an attempt on a plain service.
	Call(ctx context.Context, u *Upstream, a *Attempt) (Answer, error)
}

// LoadReportFields are the fields a LoadReport is made from.
type LoadReportFields struct {
	// Upstream is the address of the upstream.
	Upstream string
	// Made is when the upstream made the report, in the receiver's time.
	Made time.Time
	// Running and Queued are the requests on the upstream.
	Running, Queued int
	// QueuedTokens are the prompt tokens waiting for prefill.
	QueuedTokens int
	// CachedTokens is how much of the prefix cache is in use.
	CachedTokens int
	// Leaving says that the upstream wants no new work.
	Leaving bool
}

// LoadReport is what an upstream says of its load. It lags.
type LoadReport struct {
	f LoadReportFields
}

// NewLoadReport returns a report with the given fields.
func NewLoadReport(f LoadReportFields) LoadReport { return LoadReport{f: f} }

// Upstream returns the address of the upstream.
func (r LoadReport) Upstream() string { return r.f.Upstream }

// Made returns when the report was made.
func (r LoadReport) Made() time.Time { return r.f.Made }

// Running returns the requests being run.
func (r LoadReport) Running() int { return r.f.Running }

// Queued returns the requests waiting at the upstream.
func (r LoadReport) Queued() int { return r.f.Queued }

// QueuedTokens returns the prompt tokens waiting for prefill.
func (r LoadReport) QueuedTokens() int { return r.f.QueuedTokens }

// CachedTokens returns how much of the prefix cache is in use.
func (r LoadReport) CachedTokens() int { return r.f.CachedTokens }

// Leaving reports whether the upstream wants no new work.
func (r LoadReport) Leaving() bool { return r.f.Leaving }

// CacheEvent says that an upstream holds or dropped a prefix. Events come late
// and with gaps in Sequence.
type CacheEvent struct {
	upstream string
	sequence int64
	prefix   uint64
	stored   bool
}

// NewCacheEvent returns a cache event. Prefix is the last hash of the chain.
func NewCacheEvent(upstream string, sequence int64, prefix uint64, stored bool) CacheEvent {
	return CacheEvent{upstream: upstream, sequence: sequence, prefix: prefix, stored: stored}
}

// Upstream returns the address of the upstream.
func (e CacheEvent) Upstream() string { return e.upstream }

// Sequence rises by one with every event of the upstream.
func (e CacheEvent) Sequence() int64 { return e.sequence }

// Prefix returns the last hash of the chain that the event is about.
func (e CacheEvent) Prefix() uint64 { return e.prefix }

// Stored reports whether the prefix was stored; otherwise it was dropped.
func (e CacheEvent) Stored() bool { return e.stored }

// OrderFields are the fields an Order is made from.
type OrderFields struct {
	// Upstream is the address of the upstream.
	Upstream string
	// Model is the model, adapter and version the upstream must serve.
	Model string
	// Generation rises with every change of what is wanted of the upstream.
	Generation int64
	// Fence is the fencing number of the holder that gives the order.
	Fence int64
}

// Order tells an upstream what it must be. It is declarative: giving it twice
// changes nothing.
type Order struct {
	f OrderFields
}

// NewOrder returns an order with the given fields.
func NewOrder(f OrderFields) Order { return Order{f: f} }

// Upstream returns the address of the upstream.
func (o Order) Upstream() string { return o.f.Upstream }

// Model returns the model the upstream must serve.
func (o Order) Model() string { return o.f.Model }

// Generation returns the generation of what is wanted.
func (o Order) Generation() int64 { return o.f.Generation }

// Fence returns the fencing number of the holder.
func (o Order) Fence() int64 { return o.f.Fence }

// Orderer gives orders to upstreams and reads their result back.
type Orderer interface {
	// Order gives the order; ErrStaleFence says that it was refused.
	Order(ctx context.Context, o Order) error
	// Loaded returns the order that the upstream follows now.
	Loaded(ctx context.Context, u *Upstream) (Order, error)
}

// ReplyKind says what the head of a reply to an opaque call means.
type ReplyKind string

// Values of ReplyKind.
const (
	// ReplyKindAnswer is the answer of the upstream to the call.
	ReplyKindAnswer ReplyKind = "answer"
	// ReplyKindNotRun says that the upstream did not run the call and never will.
	ReplyKindNotRun ReplyKind = "not-run"
	// ReplyKindMisdirected says that another instance has the address, which did
	// not run the call.
	ReplyKindMisdirected ReplyKind = "misdirected"
	// ReplyKindForeign belongs to another call, or is no reply of an upstream.
	ReplyKindForeign ReplyKind = "foreign"
)

// OpaqueCodec writes opaque calls for upstreams and reads what they reply. It is
// safe for concurrent use.
type OpaqueCodec interface {
	// Encode adds to h what the upstream must be told beside the headers of the
	// caller.
	Encode(h http.Header, u *Upstream, a *Attempt, now time.Time)
	// Decode says what the head of a reply means.
	Decode(a *Attempt, status int, h http.Header) ReplyKind
	// Notice returns what the upstream says of itself with a reply.
	Notice(status int, h http.Header) Notice
}
