// Package stopper holds the state of a graceful shutdown, and that of the calls of a server during one.
package stopper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ReuseTime is how long after a call its caller may send the next one on the connection that was
	// kept open, because the answer began before the shutdown.
	ReuseTime = 500 * time.Millisecond
	// forecastTime is how long after the start of a shutdown a forecast decides which calls are taken.
	// Callers have had time to find another router then, so that a later call must surely end.
	forecastTime = 2800 * time.Millisecond
)

// Stopper is the graceful shutdown of a process. Its zero value has not started and is ready
// for use. It is safe for concurrent use.
type Stopper struct {
	once sync.Once
	// begun ends with begin.
	begun context.Context
	begin context.CancelFunc
	// times are those of the shutdown; nil before the start.
	times atomic.Pointer[times]
}

// times are the times of a shutdown. From late on only calls are taken that surely end, at end open
// calls are ended.
type times struct{ late, end time.Time }

// Begun returns a context that ends when the shutdown starts.
func (s *Stopper) Begun() context.Context {
	s.once.Do(func() { s.begun, s.begin = context.WithCancel(context.Background()) })
	return s.begun
}

// Start starts the shutdown. At the given time open calls are ended.
func (s *Stopper) Start(now, end time.Time) {
	s.Begun()
	s.times.Store(&times{late: now.Add(forecastTime), end: end})
	s.begin()
}

// Started reports whether the shutdown was started.
func (s *Stopper) Started() bool { return s.times.Load() != nil }

// Times returns from when on only calls are taken that surely end, and when open calls are ended;
// zero times mean that the shutdown was not started.
func (s *Stopper) Times() (late, end time.Time) {
	if t := s.times.Load(); t != nil {
		return t.late, t.end
	}
	return time.Time{}, time.Time{}
}
