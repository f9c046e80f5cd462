package receiver

import (
	"errors"
	"net"
	"net/http"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/listener"
)

// newListener returns a listener that draws the memory of connections and heads on the budget.
func (s *Receiver) newListener(l net.Listener) *listener.Listener {
	limits := func() kingcuphook.HeadLimits { return s.Directory().HeadLimits }
	return &listener.Listener{
		Listener: l, Memory: s.Memory, Limits: limits, Refusal: RefusalOfHead, Discards: &s.discards, Connections: &s.connections, Log: s.Log,
	}
}

// refusalOfCrossing is the answer to a request that crosses the close of its connection.
var refusalOfCrossing = listener.Refusal{
	Status: http.StatusRequestTimeout, RetryAfter: formatSeconds(retryStopping), ContentType: "text/plain", Body: kingcuphook.CodeClosing + "\n",
}

// observeState is the hook ConnState of the server.
func (s *Receiver) observeState(c net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		s.kept.Add(1)
	}
	listener.ObserveState(c, state)
}

// RefusalOfHead returns the answer to a request whose head is not read on.
func RefusalOfHead(err error) listener.Refusal {
	r := listener.Refusal{ContentType: "text/plain"}
	switch {
	case errors.Is(err, kingcuphook.ErrTooLarge):
		r.Status, r.Body = http.StatusRequestHeaderFieldsTooLarge, errTooLarge.Code+"\n"
	case errors.Is(err, kingcuphook.ErrDeadline):
		r.Status, r.Body = http.StatusRequestTimeout, "head-late\n"
	default:
		r.Status, r.Body = http.StatusServiceUnavailable, errNoMemory.Code+"\n"
		r.RetryAfter = formatSeconds(retryNoMemory)
	}
	return r
}
