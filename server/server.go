// Package server is the callers' API: chat completions, plain and streamed, and
// calls of plain services. It turns HTTP requests into calls of a Dispatcher.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

// PathChat is the path of chat completions.
const PathChat = "/v1/chat/completions"

// Limits bound what one caller can hold.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes bound a request.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout bounds reading the headers, ReadTimeout the whole request.
	HeaderTimeout, ReadTimeout time.Duration
	// WriteTimeout bounds writing one piece of an answer.
	WriteTimeout time.Duration
	// IdleTimeout bounds a connection without a request.
	IdleTimeout time.Duration
	// Deadline bounds a request whose caller and route give none.
	Deadline time.Duration
	// MaxRequests bounds the requests open at once.
	MaxRequests int
}

// Throttle decides whether a request is inside its rates.
type Throttle interface {
	// Allow takes one request of the route and organisation out of its rates.
	// If it is over one, it returns false and when to come back.
	Allow(route *kingcuphook.Route, organisation string) (bool, time.Duration)
}

// Observer sees the beginning and end of each request.
type Observer interface {
	// Begun tells that a request was accepted for the route.
	Begun(r *kingcuphook.Request, route *kingcuphook.Route)
	// Ended tells how it ended; firstToken is 0 if none was written.
	Ended(r *kingcuphook.Request, o kingcuphook.Outcome, err error, firstToken, total time.Duration)
}

// Server serves callers. Its fields are set before Run.
type Server struct {
	// Dispatcher runs the calls; never nil.
	Dispatcher kingcuphook.Dispatcher
	// Tables returns the tables in force, or nil before the first.
	Tables func() *kingcuphook.Tables
	// Throttle holds the rates; nil means none.
	Throttle Throttle
	// Observer sees every request; nil means nobody.
	Observer Observer
	// Log takes events; nil means none.
	Log *logger.Logger
	// Region and DataCentre are where the router stands.
	Region, DataCentre string
	// Limits bound each caller.
	Limits Limits

	once sync.Once
	http *http.Server
	// open counts the requests in progress.
	open atomic.Int64
	// draining tells callers to close their connections.
	draining atomic.Bool
}

// Handler returns the handler of the callers' API.
func (s *Server) Handler() http.Handler {
	return s.guard(http.HandlerFunc(s.serve))
}

// Run serves callers on l until Stop. It returns nil after a planned stop.
func (s *Server) Run(l net.Listener) error {
	if err := s.server().Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("server: %w", err)
	}
	return nil
}

// server returns the HTTP server. Run and Stop may be called in any order.
func (s *Server) server() *http.Server {
	s.once.Do(func() {
		s.http = &http.Server{
			Handler:           s.Handler(),
			MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
			ReadHeaderTimeout: s.Limits.HeaderTimeout,
			ReadTimeout:       s.Limits.ReadTimeout,
			IdleTimeout:       s.Limits.IdleTimeout,
		}
	})
	return s.http
}

// Drain makes every further answer ask its caller to open a new connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop accepts no new connection and waits for the requests in progress. It
// interrupts none of them unless ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	if err := s.server().Shutdown(ctx); err != nil {
		return fmt.Errorf("server: stop: %w", err)
	}
	return nil
}

// Open returns the number of requests in progress.
func (s *Server) Open() int { return int(s.open.Load()) }

// guard bounds the requests open at once and keeps a panic to its request.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer s.recoverPanic()
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		n := s.open.Add(1)
		defer s.open.Add(-1)
		if s.Limits.MaxRequests > 0 && n > int64(s.Limits.MaxRequests) {
			l := labels{key: r.Header.Get(HeaderKey)}
			writeError(w, "", l.refused(errTooManyRequests))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// recoverPanic logs a panic and breaks the connection, so that a partial answer
// never looks like a whole one.
func (s *Server) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	s.Log.Log(logger.RequestPanicked, "panic", fmt.Sprint(v))
	panic(http.ErrAbortHandler)
}
