package server

import (
	"errors"
	"net"
	"net/http"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/listener"
)

// codeHeadLate is the code of a request whose head did not come in time.
const codeHeadLate = "head-late"

// newListener returns a listener that draws the memory of connections and heads on the budget.
func (s *Server) newListener(l net.Listener) *listener.Listener {
	limits := func() kingcuphook.HeadLimits {
		return kingcuphook.HeadLimits{Bytes: int64(s.Limits.MaxHeaderBytes), Timeout: s.Limits.HeaderTimeout}
	}
	return &listener.Listener{
		Listener: l, TLS: s.TLS, Memory: s.Memory, Limits: limits, Refusal: refusalOfHead, Discards: &s.discards,
		Connections: &s.connections, Log: s.Log,
	}
}

// refusalOfHead returns the answer to a request whose head is not read on. The request may repeat one that
// ran, so that its run state is unknown.
func refusalOfHead(err error) listener.Refusal {
	var e *kingcuphook.RequestError
	r := listener.Refusal{ContentType: "application/json"}
	switch {
	case errors.Is(err, kingcuphook.ErrTooLarge):
		e = &kingcuphook.RequestError{Code: kingcuphook.CodeTooLarge, Ran: kingcuphook.RunStateUnknown, Err: kingcuphook.ErrTooLarge}
		r.Status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, kingcuphook.ErrDeadline):
		e = &kingcuphook.RequestError{Code: codeHeadLate, Ran: kingcuphook.RunStateUnknown, Err: kingcuphook.ErrDeadline}
		r.Status = http.StatusRequestTimeout
	default:
		e = withUnknownRunState(errNoMemory)
		r.Status, r.RetryAfter = http.StatusServiceUnavailable, formatSeconds(e.RetryAfter)
	}
	r.Body = string(encodeError("", e))
	return r
}

// refusalOfCrossing returns the answer to a request that crosses the close of its connection. It may repeat
// one that ran, so that its run state is unknown.
func refusalOfCrossing() listener.Refusal {
	e := &kingcuphook.RequestError{
		Code: kingcuphook.CodeClosing, Ran: kingcuphook.RunStateUnknown, RetryAfter: defaultRetryAfter, Err: kingcuphook.ErrUnavailable,
	}
	return listener.Refusal{
		Status: http.StatusRequestTimeout, RetryAfter: formatSeconds(e.RetryAfter), ContentType: "application/json", Body: string(encodeError("", e)),
	}
}
