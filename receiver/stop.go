package receiver

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/forecaster"
	"github.com/kingcuphook/kingcuphook/stopper"
)

// Stop closes the listener and the idle connections, and waits for the calls in flight
// until ctx ends. It returns an error if ctx ends first; it doesn't interrupt the calls
// itself. Calls that are read meanwhile are served if they end in time; those that cross the
// close of their connection are rejected.
func (s *Receiver) Stop(ctx context.Context) error {
	s.closing.Store(true)
	if err := s.connections.Close(ctx); err != nil {
		return fmt.Errorf("receiver: stop: %w", err)
	}
	s.closed.Store(true)
	if err := s.server().Shutdown(ctx); err != nil {
		return fmt.Errorf("receiver: stop: %w", err)
	}
	return nil
}

// EndCalls ends the calls in flight and all later ones with an error, which their callers
// get unless part of an answer was written. It returns at once.
func (s *Receiver) EndCalls() { s.stopCalls().End() }

// stopCalls returns the calls as they stand in a graceful shutdown.
func (s *Receiver) stopCalls() *stopper.Calls {
	s.server()
	return &s.calls
}

// InFlight returns the number of calls in flight.
func (s *Receiver) InFlight() int { return int(s.inFlight.Load()) }

// Kept returns how often a connection was kept open after a call.
func (s *Receiver) Kept() int64 { return s.kept.Load() }

// Late returns the number of calls that were rejected because they might not end before the
// graceful shutdown does.
func (s *Receiver) Late() int { return int(s.late.Load()) }

// stopping reports whether a graceful shutdown was started.
func (s *Receiver) stopping() bool { return s.closing.Load() || s.stopCalls().Started() }

// checkStop returns an error for a call that might not end before the graceful shutdown does
// if it starts now.
func (s *Receiver) checkStop(c forecaster.Call, deadline time.Time) error {
	err := s.stopCalls().Check(c, deadline)
	if err == nil {
		return nil
	}
	s.late.Add(1)
	return lateForStop(err)
}

// lateForStop returns the refusal of a call that might not end before the graceful shutdown does.
func lateForStop(err error) *kingcuphook.RequestError {
	return &kingcuphook.RequestError{
		Code:       kingcuphook.CodeStopping,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: retryStopping,
		Err:        fmt.Errorf("receiver: %w", err),
	}
}

// LatestStart returns until when a request may be sent to its first upstream so that it ends
// before the graceful shutdown does; a zero time means that none was started.
func (s *Receiver) LatestStart(r *kingcuphook.Request) time.Time { return s.stopCalls().LatestStart(r) }

// observe records how long a request took from its dispatch to its answer or deadline.
func (s *Receiver) observe(r *kingcuphook.Request, err error, dispatched, now time.Time) {
	if err != nil && requestError(err).Code != kingcuphook.CodeDeadline {
		return
	}
	s.stopCalls().Observe(now, forecaster.Of(r), now.Sub(dispatched))
}
