package server

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// codeBadRequest is told for a request that can't be read.
const codeBadRequest = "bad-request"

// retryWhenNotReady is when a caller of a router without tables comes back.
const retryWhenNotReady = time.Second

var (
	errNoRoute = &kingcuphook.RequestError{
		Code: kingcuphook.CodeNoRoute,
		Ran:  kingcuphook.RunStateNotRun,
		Err:  kingcuphook.ErrNotFound,
	}
	errNotReady = &kingcuphook.RequestError{
		Code:       kingcuphook.CodeNotReady,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: retryWhenNotReady,
		Err:        kingcuphook.ErrUnavailable,
	}
	errTooManyRequests = &kingcuphook.RequestError{
		Code:       kingcuphook.CodeOverloaded,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: retryWhenNotReady,
		Err:        kingcuphook.ErrOverloaded,
	}
)

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

func overRate(after time.Duration) *kingcuphook.RequestError {
	return &kingcuphook.RequestError{
		Code:       kingcuphook.CodeRateLimited,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: after,
		Err:        kingcuphook.ErrRateLimited,
	}
}

// beforeClaim returns the refusal of a request with an idempotency key whose
// claim was not looked at. The request itself was not run, but it may be the
// resend of one that was, so that "not run" would mislead its caller.
func beforeClaim(err *kingcuphook.RequestError) *kingcuphook.RequestError {
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
	// RetryAfterMS is when to come back, in milliseconds.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
}

// asRequestError returns err as a *kingcuphook.RequestError. An error of
// another type says nothing of what ran.
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

// writeError writes err as the whole answer.
func writeError(w http.ResponseWriter, id string, err error) {
	e := asRequestError(err)
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(statusOf(e))
	_ = json.NewEncoder(w).Encode(newErrorBody(id, e))
}

func statusOf(e *kingcuphook.RequestError) int {
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
