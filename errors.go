package kingcuphook

import (
	"errors"
	"fmt"
	"time"
)

// Sentinel errors. Callers test for them with errors.Is; the error structs
// below carry them with their details.
var (
	// ErrNotFound says that a key, row or request does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict says that a compare-and-swap found another revision, or that
	// two edits touched the same row.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable says that the other side did not take the call: nothing
	// has been changed by it.
	ErrUnavailable = errors.New("unavailable")
	// ErrOutcomeUnknown says that the reply was lost: the call may or may not
	// have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrTooLarge says that a value, request or header is over its bound.
	ErrTooLarge = errors.New("too large")
	// ErrRateLimited says that a call or request is over its rate.
	ErrRateLimited = errors.New("rate limited")
	// ErrCompacted says that a watch asked for a revision that is gone; the
	// watcher must read again.
	ErrCompacted = errors.New("compacted")
	// ErrInvalid says that an input was refused whole.
	ErrInvalid = errors.New("invalid")
	// ErrStaleFence says that an order carried a fencing number older than one
	// already seen.
	ErrStaleFence = errors.New("stale fencing number")
	// ErrLeaseLost says that a lease is no longer held.
	ErrLeaseLost = errors.New("lease lost")
	// ErrOverloaded says that a request was shed before it ran.
	ErrOverloaded = errors.New("overloaded")
	// ErrQuarantined says that a request is refused because it crashed upstreams.
	ErrQuarantined = errors.New("quarantined")
	// ErrBrokenStream says that an answer ended before its end marker.
	ErrBrokenStream = errors.New("broken stream")
	// ErrUpstreamAnswered says that an upstream answered with an error of its
	// own, so that it did not crash. It comes beside ErrOutcomeUnknown.
	ErrUpstreamAnswered = errors.New("upstream answered with an error")
	// ErrRejected says that an upstream refuses a request as it is: it would be
	// refused anywhere, and the upstream is well.
	ErrRejected = errors.New("rejected by the upstream")
	// ErrNotSent says that no upstream of the pool got anything of the request. It
	// comes beside ErrUnavailable.
	ErrNotSent = errors.New("not sent")
	// ErrMisdirected says that another instance has the address of an upstream. It
	// comes beside ErrUnavailable.
	ErrMisdirected = errors.New("misdirected")
	// ErrForeignFrame says that a frame belongs to another attempt or position.
	ErrForeignFrame = errors.New("foreign frame")
	// ErrNoUpstream says that no upstream of the pool can take the request.
	ErrNoUpstream = errors.New("no upstream")
	// ErrResting says that all upstreams of the pool want no work for a time. It
	// comes beside ErrOverloaded.
	ErrResting = errors.New("all upstreams want a rest")
	// ErrDeadline says that the deadline of the request passed.
	ErrDeadline = errors.New("deadline passed")
)

// RunState says whether a request was run by an upstream.
type RunState string

// Values of RunState.
const (
	// RunStateNotRun is said only when no upstream can have run the request.
	RunStateNotRun RunState = "not-run"
	// RunStateRan is said when an upstream ran the request to its end.
	RunStateRan RunState = "ran"
	// RunStateUnknown is said in every other case.
	RunStateUnknown RunState = "unknown"
)

// RequestError is the final error of a request, as told to its caller.
type RequestError struct {
	// Code is a stable kebab-case code, such as "overloaded".
	Code string
	// Ran says whether an upstream ran the request.
	Ran RunState
	// RetryAfter tells the caller when to come back; zero says nothing.
	RetryAfter time.Duration
	// Attempts is how often the request was sent to an upstream.
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

// StoreError is the error of one call to the platform's key-value service.
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

// InputError refuses an input and names where it is wrong.
type InputError struct {
	// File is the file or table the input came from.
	File string
	// Line counts from 1; 0 says that no line is known.
	Line int
	// Reason is what is wrong, in a form an operator can act on.
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
