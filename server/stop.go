package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/forecaster"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/stopper"
)

// stopPoll is how often a stop checks whether a request may still come on a connection that was kept open.
const stopPoll = 10 * time.Millisecond

// Drain adds Connection: close to every later answer, so that callers open a new
// connection for their next request.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop serves on until the requests that began before Drain have ended and the next ones on their
// connections have come. It then closes the listener and the idle connections, and waits for the
// requests in progress, until ctx ends. Requests that are read meanwhile are served if they end in time;
// those that cross the close of their connection are rejected.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	s.awaitReuse(ctx)
	s.closing.Store(true)
	if err := s.connections.Close(ctx); err != nil {
		return fmt.Errorf("server: stop: %w", err)
	}
	s.closed.Store(true)
	if err := s.server().Shutdown(ctx); err != nil {
		return fmt.Errorf("server: stop: %w", err)
	}
	return nil
}

// beginEarly counts a request and reports true if it begins before Drain.
func (s *Server) beginEarly() bool {
	s.early.Add(1)
	if !s.draining.Load() {
		return true
	}
	s.early.Add(-1)
	return false
}

// endEarly records the end of a request that beginEarly counted.
func (s *Server) endEarly() {
	if s.draining.Load() {
		s.earlyEnd.Store(time.Now().UnixNano())
	}
	s.early.Add(-1)
}

// awaitReuse waits until the requests that began before Drain have ended, and stopper.ReuseTime longer, or until
// ctx ends.
func (s *Server) awaitReuse(ctx context.Context) {
	for s.early.Load() > 0 || time.Since(time.Unix(0, s.earlyEnd.Load())) < stopper.ReuseTime {
		if !pauser.Pause(ctx, stopPoll) {
			return
		}
	}
}

// EndCalls ends the requests in progress and all later ones with an error, which their callers
// get unless part of an answer was written. It returns at once.
func (s *Server) EndCalls() { s.stopCalls().End() }

// stopCalls returns the requests as they stand in a graceful shutdown.
func (s *Server) stopCalls() *stopper.Calls {
	s.server()
	return &s.calls
}

// LatestStart returns until when a request may be sent to its first upstream so that it ends
// before the graceful shutdown does; a zero time means that none was started.
func (s *Server) LatestStart(r *kingcuphook.Request) time.Time { return s.stopCalls().LatestStart(r) }

// checkStop returns an error for a request that might not end before the graceful shutdown
// does if it starts now.
func (s *Server) checkStop(r *kingcuphook.Request) *kingcuphook.RequestError {
	err := s.stopCalls().Check(forecaster.Of(r), r.Deadline())
	if err == nil {
		return nil
	}
	return &kingcuphook.RequestError{
		Code:       kingcuphook.CodeStopping,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: defaultRetryAfter,
		Err:        fmt.Errorf("server: %w: %w", kingcuphook.ErrUnavailable, err),
	}
}

// observe records how long a request took from its dispatch to its answer or deadline.
func (s *Server) observe(r *kingcuphook.Request, err error, dispatched time.Time) {
	if err != nil && !errors.Is(err, kingcuphook.ErrDeadline) && asRequestError(err).Code != kingcuphook.CodeDeadline {
		return
	}
	now := time.Now()
	s.stopCalls().Observe(now, forecaster.Of(r), now.Sub(dispatched))
}
