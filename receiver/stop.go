package receiver

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Stop closes the listener and the idle connections, and waits for the calls in flight
// until ctx ends. It returns an error if ctx ends first; it doesn't interrupt the calls
// itself. Calls that begin after it has been called are rejected: their connections may be
// closed.
func (s *Receiver) Stop(ctx context.Context) error {
	s.closing.Store(true)
	if err := s.server().Shutdown(ctx); err != nil {
		return fmt.Errorf("receiver: stop: %w", err)
	}
	return nil
}

// EndCalls ends the calls in flight and all later ones with an error, which their callers
// get unless part of an answer was written. It returns at once.
func (s *Receiver) EndCalls() {
	s.server()
	s.endCalls()
}

// callContext returns a context that ends with the caller's connection or, with the cause
// ErrStopping, when EndCalls is called.
func (s *Receiver) callContext(r *http.Request) (context.Context, context.CancelFunc) {
	s.server()
	ctx, cancel := context.WithCancelCause(r.Context())
	stop := context.AfterFunc(s.calls, func() { cancel(kingcuphook.ErrStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// InFlight returns the number of calls in flight.
func (s *Receiver) InFlight() int { return int(s.inFlight.Load()) }

// stopping reports whether a graceful shutdown was started.
func (s *Receiver) stopping() bool {
	if s.closing.Load() {
		return true
	}
	if s.StopTimes == nil {
		return false
	}
	_, end := s.StopTimes()
	return !end.IsZero()
}

// endsBeforeStop reports whether a call of the route that starts now is expected to
// end before the graceful shutdown does.
func (s *Receiver) endsBeforeStop(route *kingcuphook.Route) bool {
	if s.StopTimes == nil {
		return false
	}
	streams, end := s.StopTimes()
	if route.Stream() {
		return time.Now().Before(streams)
	}
	return time.Until(end) > max(route.Timeout(), minCallTime)
}

// minCallTime is the time that a call needs at least before the end of a graceful
// shutdown, also if its route has a shorter timeout or none.
const minCallTime = time.Second
