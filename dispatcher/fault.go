package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Stable codes of the errors that callers are told.
const (
	codeQuarantined       = "quarantined"
	codeSuspect           = "suspect"
	codeClaimsUnavailable = "claims-unavailable"
	codeClaimExpired      = "claim-expired"
)

// Times after which callers are told to come back.
const (
	claimsRetryAfter  = 5 * time.Second
	claimedRetryAfter = 2 * time.Second
	suspectRetryAfter = 10 * time.Second
)

// codes gives the code of each sentinel error; the first that matches holds.
var codes = []struct {
	err  error
	code string
}{
	{kingcuphook.ErrQuarantined, codeQuarantined},
	{kingcuphook.ErrRejected, "rejected"},
	{kingcuphook.ErrTooLarge, "answer-too-large"},
	{kingcuphook.ErrDeadline, kingcuphook.CodeDeadline},
	{context.DeadlineExceeded, kingcuphook.CodeDeadline},
	{context.Canceled, "caller-gone"},
	{kingcuphook.ErrBrokenStream, "broken-stream"},
	{kingcuphook.ErrOverloaded, kingcuphook.CodeOverloaded},
	{kingcuphook.ErrRateLimited, kingcuphook.CodeRateLimited},
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

// Causes for which an attempt is cut off by the router.
var (
	errSilent    = errors.New("connection silent")
	errPreempted = errors.New("slot preempted")
)

// finalError is an error after which no attempt is made.
type finalError struct{ err error }

// Error implements error.
func (e *finalError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *finalError) Unwrap() error { return e.err }

// guardError is the refusal of an attempt by the guard of its frames.
type guardError struct{ err error }

// Error implements error.
func (e *guardError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *guardError) Unwrap() error { return e.err }

func isFinal(err error) bool {
	var final *finalError
	return errors.As(err, &final)
}

// isCrash reports whether an attempt ended as it does when its upstream
// crashes.
func isCrash(err error) bool {
	var guard *guardError
	if errors.As(err, &guard) || isFinal(err) {
		return false
	}
	if errors.Is(err, kingcuphook.ErrUpstreamAnswered) || errors.Is(err, kingcuphook.ErrTooLarge) {
		return false
	}
	return errors.Is(err, kingcuphook.ErrBrokenStream) || errors.Is(err, kingcuphook.ErrOutcomeUnknown)
}
