package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Error codes of this package.
const (
	// codeBadRequest is the code of a malformed request.
	codeBadRequest = "bad-request"
	// codeAnswerTooLarge and codeOutcomeUnknown are the codes of a request whose answer exceeded its
	// limit, or the memory budget.
	codeAnswerTooLarge = "answer-too-large"
	codeOutcomeUnknown = "outcome-unknown"
)

// defaultRetryAfter is the delay after which a caller should retry when the router
// has no tables or too many open requests.
const defaultRetryAfter = time.Second

var (
	errNoRoute = &kingcuphook.RequestError{
		Code: kingcuphook.CodeNoRoute,
		Ran:  kingcuphook.RunStateNotRun,
		Err:  kingcuphook.ErrNotFound,
	}
	errNotReady = &kingcuphook.RequestError{
		Code:       kingcuphook.CodeNotReady,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: defaultRetryAfter,
		Err:        kingcuphook.ErrUnavailable,
	}
	errStopping = &kingcuphook.RequestError{
		Code:       kingcuphook.CodeStopping,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: defaultRetryAfter,
		Err:        fmt.Errorf("%w: %w", kingcuphook.ErrUnavailable, kingcuphook.ErrStopping),
	}
	errNoMemory = &kingcuphook.RequestError{
		Code:       kingcuphook.CodeOverloaded,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: defaultRetryAfter,
		Err:        fmt.Errorf("%w: %w", kingcuphook.ErrOverloaded, kingcuphook.ErrOutOfMemory),
	}
	errTooManyRequests = &kingcuphook.RequestError{
		Code:       kingcuphook.CodeOverloaded,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: defaultRetryAfter,
		Err:        kingcuphook.ErrOverloaded,
	}
)

var errPanicked = errors.New("request handler panicked")

func badRequest(err error) error {
	return &kingcuphook.RequestError{
		Code: codeBadRequest,
		Ran:  kingcuphook.RunStateNotRun,
		Err:  errors.Join(kingcuphook.ErrInvalid, err),
	}
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &kingcuphook.RequestError{
			Code: kingcuphook.CodeTooLarge,
			Ran:  kingcuphook.RunStateNotRun,
			Err:  kingcuphook.ErrTooLarge,
		}
	}
	return badRequest(err)
}

// answerError returns the error for a request whose answer could not be kept whole.
func answerError(err error) error {
	e := &kingcuphook.RequestError{Code: codeOutcomeUnknown, Ran: kingcuphook.RunStateUnknown, Err: err}
	if errors.Is(err, kingcuphook.ErrTooLarge) {
		e.Code = codeAnswerTooLarge
	}
	return e
}

func rateLimitError(after time.Duration) *kingcuphook.RequestError {
	return &kingcuphook.RequestError{
		Code:       kingcuphook.CodeRateLimited,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: after,
		Err:        kingcuphook.ErrRateLimited,
	}
}

// withUnknownRunState returns a copy of err whose run state is unknown. It is meant
// for requests with an idempotency key that are rejected before their claim is
// read: the request itself was not run, but it may repeat one that was, so that
// "not run" would mislead its caller.
func withUnknownRunState(err *kingcuphook.RequestError) *kingcuphook.RequestError {
	e := *err
	e.Ran = kingcuphook.RunStateUnknown
	return &e
}

// errorBody is the JSON form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      string               `json:"code"`
	Message   string               `json:"message"`
	Ran       kingcuphook.RunState `json:"ran"`
	RequestID string               `json:"request-id,omitempty"`
	// RetryAfterMS is the delay in milliseconds after which to retry.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
}

// asRequestError returns err as a *kingcuphook.RequestError. For an error of
// another type the run state is unknown.
func asRequestError(err error) *kingcuphook.RequestError {
	var e *kingcuphook.RequestError
	if errors.As(err, &e) {
		return e
	}
	return &kingcuphook.RequestError{Code: kingcuphook.CodeInternal, Ran: kingcuphook.RunStateUnknown, Err: err}
}

func newErrorBody(id string, e *kingcuphook.RequestError) errorBody {
	return errorBody{Error: errorDetail{
		Code:         e.Code,
		Message:      e.Err.Error(),
		Ran:          e.Ran,
		RequestID:    id,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// writeError writes an error response with the status and body for err.
func writeError(w http.ResponseWriter, id string, err error) {
	e := asRequestError(err)
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", formatSeconds(e.RetryAfter))
	}
	body := encodeError(id, e)
	// With a length it ends before the rest of a refused body is discarded.
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(httpStatus(e))
	_, _ = w.Write(body)
}

// encodeError returns the JSON form of an error.
func encodeError(id string, e *kingcuphook.RequestError) []byte {
	// The error is ignored: an error body has plain fields only.
	body, _ := json.Marshal(newErrorBody(id, e))
	return append(body, '\n')
}

// formatSeconds returns the form of a delay in the header Retry-After, which is never shorter.
func formatSeconds(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) }

func httpStatus(e *kingcuphook.RequestError) int {
	switch {
	case e.Code == kingcuphook.CodeNoRoute:
		return http.StatusNotFound
	case e.Code == kingcuphook.CodeAlreadyClaimed, e.Code == kingcuphook.CodeKeyReused:
		return http.StatusConflict
	case errors.Is(e.Err, kingcuphook.ErrTooLarge) && e.Ran == kingcuphook.RunStateNotRun:
		return http.StatusRequestEntityTooLarge
	case errors.Is(e.Err, kingcuphook.ErrInvalid), errors.Is(e.Err, kingcuphook.ErrRejected):
		return http.StatusBadRequest
	case errors.Is(e.Err, kingcuphook.ErrRateLimited):
		return http.StatusTooManyRequests
	case errors.Is(e.Err, kingcuphook.ErrConflict):
		return http.StatusConflict
	case errors.Is(e.Err, kingcuphook.ErrQuarantined):
		return http.StatusUnprocessableEntity
	case errors.Is(e.Err, kingcuphook.ErrDeadline):
		return http.StatusGatewayTimeout
	case e.Ran == kingcuphook.RunStateNotRun, errors.Is(e.Err, kingcuphook.ErrOverloaded), errors.Is(e.Err, kingcuphook.ErrUnavailable) && e.RetryAfter > 0:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}
