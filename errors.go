package kingcuphook

import (
	"errors"
	"fmt"
	"time"
)

// Sentinel errors. Callers test for them with errors.Is; the error structs
// below carry them with their details.
var (
	// ErrNotFound means that a key, row or request does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a compare-and-swap found another revision, or that
	// two edits touched the same row.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable means that the server did not accept the call, which therefore
	// had no effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrOutcomeUnknown means that the reply was lost: the call may or may not have
	// taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrTooLarge means that a value, request or header exceeds its size limit.
	ErrTooLarge = errors.New("too large")
	// ErrRateLimited means that a call or request exceeds its rate limit.
	ErrRateLimited = errors.New("rate limited")
	// ErrCompacted means that a requested revision is no longer stored. A caller that
	// watches keys must list them again.
	ErrCompacted = errors.New("compacted")
	// ErrInvalid means that an input is invalid and was rejected as a whole.
	ErrInvalid = errors.New("invalid")
	// ErrStaleFence means that an order carried a fencing number lower than one that
	// the upstream has already seen.
	ErrStaleFence = errors.New("stale fencing number")
	// ErrNoCapacity means that the platform has no upstream of the ordered kind at the moment.
	ErrNoCapacity = errors.New("no capacity available")
	// ErrLeaseLost means that a lease is no longer held.
	ErrLeaseLost = errors.New("lease lost")
	// ErrOverloaded means that a request was shed before it ran.
	ErrOverloaded = errors.New("overloaded")
	// ErrOutOfMemory means that the memory budget of the router has no room for a request or
	// an answer.
	ErrOutOfMemory = errors.New("memory budget exceeded")
	// ErrQuarantined means that a request was rejected because requests with its
	// fingerprint crashed upstreams.
	ErrQuarantined = errors.New("quarantined")
	// ErrBrokenStream means that an answer ended before its end marker.
	ErrBrokenStream = errors.New("broken stream")
	// ErrUpstreamAnswered means that an upstream responded with an error, so that it
	// did not crash. It is joined with ErrOutcomeUnknown.
	ErrUpstreamAnswered = errors.New("upstream answered with an error")
	// ErrRejected means that an upstream rejected the request itself: every upstream
	// would reject it, and the error doesn't count against this one.
	ErrRejected = errors.New("rejected by the upstream")
	// ErrNotSent means that nothing of an attempt reached its upstream. It is joined
	// with ErrUnavailable.
	ErrNotSent = errors.New("not sent")
	// ErrPathLost means that a connection broke because the path to the upstream is cut, while
	// peers still reach the upstream. It is joined with the error of the connection.
	ErrPathLost = errors.New("path to the upstream lost")
	// ErrMisdirected means that another instance serves the address of an upstream.
	// It is joined with ErrUnavailable.
	ErrMisdirected = errors.New("misdirected")
	// ErrForeignFrame means that a frame or reply belongs to another attempt or call,
	// or that a frame has an unexpected position.
	ErrForeignFrame = errors.New("foreign frame")
	// ErrStopping means that the router is stopping. As the cause of a context it ends calls
	// that are still open at the end of a graceful shutdown.
	ErrStopping = errors.New("router is stopping")
	// ErrNoUpstream means that no upstream of the pool can take the request.
	ErrNoUpstream = errors.New("no upstream")
	// ErrPaused means that all upstreams of the pool that serve the model and are
	// not leaving requested no new work until a later time. It is joined with
	// ErrOverloaded.
	ErrPaused = errors.New("all upstreams want a rest")
	// ErrUpstreamsLimited means that all upstreams of the pool that serve the model and
	// are not leaving are paused or accept no more requests now because of a rate limit.
	// It is joined with ErrOverloaded.
	ErrUpstreamsLimited = errors.New("all upstreams are at their rate limit")
	// ErrVersionUnknown means that it is not known which software version began a stream.
	ErrVersionUnknown = errors.New("software version of the stream unknown")
	// ErrVersionUnrecorded means that a stream can't begin at a software version, since that isn't
	// recorded. It may begin at another one.
	ErrVersionUnrecorded = errors.New("software version of the stream not recorded")
	// ErrVersionGone means that no upstream of the software version that began a stream is
	// in service.
	ErrVersionGone = errors.New("software version of the stream gone")
	// ErrDeadline means that the deadline of the request passed.
	ErrDeadline = errors.New("deadline passed")
)

// RunState is whether a request was run by an upstream, as far as it can be determined.
type RunState string

// Values of RunState.
const (
	// RunStateNotRun means that no upstream can have run the request.
	RunStateNotRun RunState = "not-run"
	// RunStateRan means that an upstream ran the request to completion.
	RunStateRan RunState = "ran"
	// RunStateUnknown means that the request may have run, in part or completely.
	RunStateUnknown RunState = "unknown"
)

// RequestError is the final error of a request, as reported to its caller.
type RequestError struct {
	// Code is a stable kebab-case code, such as "overloaded".
	Code string
	// Ran is whether an upstream ran the request.
	Ran RunState
	// RetryAfter is how long the caller should wait before a retry; 0 gives no
	// advice.
	RetryAfter time.Duration
	// Attempts is the number of times the request was sent to an upstream.
	Attempts int
	// Err is the cause; never nil.
	Err error
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request %s (%s): %v", e.Code, e.Ran, e.Err)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// StoreError is a failed call to the platform's key-value service.
type StoreError struct {
	// Op is the name of the call, such as "put".
	Op string
	// Key is the key of the call; empty for calls without one.
	Key string
	// Err is the cause; never nil.
	Err error
}

// Error implements error.
func (e *StoreError) Error() string {
	return fmt.Sprintf("store: %s %q: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// InputError is the reason why an input is invalid, with the place.
type InputError struct {
	// File is the file or table the input came from.
	File string
	// Line is the line number, counted from 1; 0 if unknown.
	Line int
	// Reason describes the problem so that an operator can fix it.
	Reason string
	// Err is ErrInvalid or an error that wraps it.
	Err error
}

// Error implements error.
func (e *InputError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Err }
