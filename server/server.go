// Package server implements the callers' HTTP API: chat completions, streamed or
// not, and calls to plain services. It runs the requests through a Dispatcher.
package server

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/discarder"
	"github.com/kingcuphook/kingcuphook/listener"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/rationer"
	"github.com/kingcuphook/kingcuphook/stopper"
)

// PathChat is the path of chat completions.
const PathChat = "/v1/chat/completions"

// Limits bound the resources that callers use.
type Limits struct {
	// MaxBodyBytes bounds the body of a request and the text of an answer that is
	// not streamed, MaxHeaderBytes the headers of a request.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout bounds reading the headers, ReadTimeout the whole request.
	HeaderTimeout, ReadTimeout time.Duration
	// WriteTimeout bounds writing one piece of an answer.
	WriteTimeout time.Duration
	// IdleTimeout bounds how long a connection stays open without a request.
	IdleTimeout time.Duration
	// Deadline is the longest time for a request whose route sets none. Callers can
	// only shorten it.
	Deadline time.Duration
	// MaxRequests bounds the requests open at once.
	MaxRequests int
}

// Throttle enforces the rate limits of requests.
type Throttle interface {
	// Allow counts one request of the route and organisation against their rate
	// limits. If it exceeds one, Allow returns false and the delay after which to
	// retry.
	Allow(route *kingcuphook.Route, organisation string) (bool, time.Duration)
}

// Observer is notified of the start and end of each accepted request.
type Observer interface {
	// RequestStarted is called when a request was accepted for the route.
	RequestStarted(r *kingcuphook.Request, route *kingcuphook.Route)
	// RequestEnded is called when the request has ended. firstToken and total are the
	// times from its arrival to the first write and to its end; firstToken is 0 if
	// nothing was written.
	RequestEnded(r *kingcuphook.Request, o kingcuphook.Outcome, err error, firstToken, total time.Duration)
}

// Server serves the callers' API. Its exported fields must be set before Run.
type Server struct {
	// Dispatcher runs the calls; required.
	Dispatcher kingcuphook.Dispatcher
	// Tables returns the current tables, or nil while there are none.
	Tables func() *kingcuphook.Tables
	// Throttle enforces rate limits; nil means that there are none.
	Throttle Throttle
	// Observer is notified of every accepted request; may be nil.
	Observer Observer
	// TLS is the configuration of TLS; nil means plain text.
	TLS *tls.Config
	// Memory is the budget for connections and for the heads and bodies of requests; nil means no limit.
	Memory *rationer.Rationer
	// Log receives the log events; nil disables logging.
	Log *logger.Logger
	// Region and DataCentre are the location of the router.
	Region, DataCentre string
	// Limits bound the resources that callers use.
	Limits Limits
	// StopTimes returns from when on a graceful shutdown takes only requests that surely end before
	// it does, and when it ends; zero times mean that none was started. Nil means never.
	StopTimes func() (late, end time.Time)

	once sync.Once
	http *http.Server
	// calls are those in flight, as they stand in a graceful shutdown.
	calls stopper.Calls
	// discards drops the bodies of refused requests.
	discards discarder.Discarder
	// open counts the requests in progress and those whose bodies are discarded, early those of them that
	// began before Drain.
	open, early atomic.Int64
	// earlyEnd is when the last one of these ended after Drain, in Unix nanoseconds.
	earlyEnd atomic.Int64
	// draining adds Connection: close to every answer.
	draining atomic.Bool
	// connections are the open ones.
	connections listener.Connections
	// closing is set before the listener is closed, closed once all connections are.
	closing, closed atomic.Bool
}

// Handler returns the handler of the callers' API.
func (s *Server) Handler() http.Handler {
	return s.guard(http.HandlerFunc(s.serve))
}

// Run serves callers on l until Stop is called, after which it returns nil.
func (s *Server) Run(l net.Listener) error {
	if err := s.server().Serve(s.newListener(l)); !errors.Is(err, http.ErrServerClosed) && !s.closing.Load() {
		return fmt.Errorf("server: %w", err)
	}
	return nil
}

// server returns the HTTP server, created on first use because Run and Stop may be
// called in any order.
func (s *Server) server() *http.Server {
	s.once.Do(func() {
		s.calls.Times = s.StopTimes
		s.connections.Refusal = refusalOfCrossing()
		s.http = &http.Server{
			Handler:           s.Handler(),
			MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
			ReadHeaderTimeout: s.Limits.HeaderTimeout,
			ReadTimeout:       s.Limits.ReadTimeout,
			IdleTimeout:       s.Limits.IdleTimeout,
			ConnState:         listener.ObserveState,
			// Only an upstream answers OPTIONS *.
			DisableGeneralOptionsHandler: true,
		}
	})
	return s.http
}

// Open returns the number of requests in progress, without refused ones whose bodies are discarded.
func (s *Server) Open() int { return int(s.open.Load()) - s.discards.Running() }

// guard enforces MaxRequests, closes connections while draining and confines a
// panic to its request.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w := &response{ResponseWriter: rw, closing: s.closing.Load}
		defer s.recoverPanic(w)
		if s.beginEarly() {
			defer s.endEarly()
		} else {
			w.Header().Set("Connection", "close")
		}
		s.open.Add(1)
		defer s.open.Add(-1)
		if err := s.refuse(s.Open()); err != nil {
			h := callerHeaders{key: r.Header.Get(HeaderIdempotencyKey)}
			s.writeUnread(w, r, "", h.rejectBeforeClaim(err))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refuse returns the error for a request that is not served with n requests in progress;
// nil if it is.
func (s *Server) refuse(n int) *kingcuphook.RequestError {
	switch {
	case s.closed.Load():
		return errStopping
	case s.Limits.MaxRequests > 0 && n > s.Limits.MaxRequests:
		return errTooManyRequests
	}
	return nil
}

// recoverPanic logs a panic of the handler and answers the request with an error. If a
// response was begun, it aborts the connection, so that a partial answer can't be mistaken
// for a complete one.
func (s *Server) recoverPanic(w *response) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler { //nolint:errorlint // a panic value, not an error
		panic(v)
	}
	id := w.Header().Get(HeaderRequestID)
	s.Log.Log(logger.RequestPanicked, "request", id, "response-begun", w.began, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	if w.began {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	writeError(w, id, errPanicked)
}
