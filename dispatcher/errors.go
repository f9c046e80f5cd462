package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Error codes returned to callers. They are part of the API.
const (
	codeQuarantined       = "quarantined"
	codeSuspect           = "suspect"
	codeClaimsUnavailable = "claims-unavailable"
	codeClaimExpired      = "claim-expired"
)

// Retry-after values returned to callers.
const (
	claimsRetryAfter  = 5 * time.Second
	claimedRetryAfter = 2 * time.Second
	suspectRetryAfter = 10 * time.Second
	partRetryAfter    = 15 * time.Second
	// unrecordedRetryAfter is that of a stream that can't be recorded.
	unrecordedRetryAfter = 500 * time.Millisecond
)

// codes maps sentinel errors to error codes. The first match applies.
var codes = []struct {
	err  error
	code string
}{
	{kingcuphook.ErrQuarantined, codeQuarantined},
	{kingcuphook.ErrStopping, kingcuphook.CodeStopping},
	{kingcuphook.ErrRejected, "rejected"},
	{kingcuphook.ErrTooLarge, "answer-too-large"},
	{kingcuphook.ErrDeadline, kingcuphook.CodeDeadline},
	{context.DeadlineExceeded, kingcuphook.CodeDeadline},
	{context.Canceled, "caller-gone"},
	{kingcuphook.ErrBrokenStream, "broken-stream"},
	{kingcuphook.ErrOverloaded, kingcuphook.CodeOverloaded},
	{kingcuphook.ErrRateLimited, kingcuphook.CodeRateLimited},
	{kingcuphook.ErrVersionGone, kingcuphook.CodeVersionGone},
	{kingcuphook.ErrNoUpstream, kingcuphook.CodeNoUpstream},
	{kingcuphook.ErrUnavailable, "upstream-unavailable"},
	{kingcuphook.ErrUpstreamAnswered, "upstream-answered"},
	{kingcuphook.ErrOutcomeUnknown, "outcome-unknown"},
}

func code(err error) string {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return kingcuphook.CodeUpstreamFailed
}

// Causes for which the router cancels an attempt.
var (
	errUnresponsive = errors.New("connection silent")
	errPreempted    = errors.New("slot preempted")
	errStopped      = errors.New("stream stopped to be moved")
)

// errNotContinued means that a stream stopped to be moved and could not be continued. Its upstreams are not at fault.
var errNotContinued = errors.New("stream not continued after a move")

// silenceError is the cause of an attempt that is cancelled because its upstream is unresponsive.
type silenceError struct {
	// evidence shows that the upstream may be given up after the silence.
	evidence kingcuphook.SilenceEvidence
	silence  time.Duration
	program  kingcuphook.Program
	// cancelledAt is when the attempt was cancelled, patientUntil the time until which a sound upstream
	// may be silent.
	cancelledAt, patientUntil time.Time
}

// Error implements error.
func (e *silenceError) Error() string {
	return fmt.Sprintf("%v for %d ms, evidence %s", errUnresponsive, e.silence.Milliseconds(), e.evidence)
}

// Unwrap returns errUnresponsive.
func (e *silenceError) Unwrap() error { return errUnresponsive }

// finalError is an error that must not be retried.
type finalError struct{ err error }

// Error implements error.
func (e *finalError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *finalError) Unwrap() error { return e.err }

// frameError wraps an error of the assembler: the frames of the attempt break the
// stream protocol.
type frameError struct{ err error }

// Error implements error.
func (e *frameError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *frameError) Unwrap() error { return e.err }

func isFinal(err error) bool {
	var final *finalError
	return errors.As(err, &final)
}

// isCrash reports whether the error of an attempt looks like a crash of the
// upstream, rather than an error answer or a protocol violation.
func isCrash(err error) bool {
	var frameErr *frameError
	if errors.As(err, &frameErr) || isFinal(err) {
		return false
	}
	for _, other := range []error{errNotContinued, kingcuphook.ErrPathLost, kingcuphook.ErrUpstreamAnswered, kingcuphook.ErrTooLarge, kingcuphook.ErrOutOfMemory, kingcuphook.ErrForeignFrame} {
		if errors.Is(err, other) {
			return false
		}
	}
	if isPathError(err) {
		return false
	}
	return errors.Is(err, kingcuphook.ErrBrokenStream) || errors.Is(err, kingcuphook.ErrOutcomeUnknown)
}

// isPathError reports whether an error shows that packets to or from the upstream are lost,
// which says nothing of its program: a crashed one resets its connections.
func isPathError(err error) bool {
	for _, path := range []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.ENETDOWN} {
		if errors.Is(err, path) {
			return true
		}
	}
	return false
}
