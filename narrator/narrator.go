// Package narrator stands around the allocator and the engine and writes a log
// line for each choice of an upstream and each attempt that failed.
package narrator

import (
	"context"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

// Allocator logs the choices of an allocator.
type Allocator struct {
	// Next makes the choices; never nil.
	Next kingcuphook.Allocator
	// Log takes the lines.
	Log *logger.Logger
}

var _ kingcuphook.Allocator = (*Allocator)(nil)

// Acquire implements kingcuphook.Allocator.
func (a *Allocator) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	begun := time.Now()
	s, err := a.Next.Acquire(ctx, r, excluded)
	if err != nil {
		return nil, err
	}
	c := s.Choice()
	a.Log.Log(logger.RequestAssigned, "request", r.ID(), "pool", r.Pool(), "upstream", c.Upstream.Address(),
		"instance", c.Upstream.Instance(), "waited-ms", time.Since(begun).Milliseconds(),
		"predicted-ms", c.Predicted.Milliseconds(), "uncached", c.UncachedTokens, "home", c.PreferredRank, "copy-from", c.CopyFrom, "spilled", c.Spilled, "excluded", len(excluded),
		"running", c.Running, "reading", c.PrefillTokens, "heard-ms-ago", heardAgo(begun, c.ReportedAt))
	return s, nil
}

// heardAgo returns the age of what was heard of other routers in milliseconds; -1
// if nothing was.
func heardAgo(now, heard time.Time) int64 {
	if heard.IsZero() {
		return -1
	}
	return now.Sub(heard).Milliseconds()
}

// Engine logs the failures of an engine.
type Engine struct {
	// Next runs the attempts; never nil.
	Next kingcuphook.Engine
	// Log takes the lines.
	Log *logger.Logger
}

var _ kingcuphook.Engine = (*Engine)(nil)

// Start implements kingcuphook.Engine.
func (e *Engine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	begun := time.Now()
	s, err := e.Next.Start(ctx, u, a)
	if err != nil {
		e.failed(ctx, u, a, begun, err)
		return nil, err
	}
	return &stream{Stream: s, ctx: ctx, engine: e, upstream: u, attempt: a, begun: begun}, nil
}

// Call implements kingcuphook.Engine.
func (e *Engine) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	begun := time.Now()
	answer, err := e.Next.Call(ctx, u, a)
	if err != nil {
		e.failed(ctx, u, a, begun, err)
	}
	return answer, err
}

func (e *Engine) failed(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt, begun time.Time, err error) {
	e.Log.Log(logger.AttemptFailed, "request", a.Request().ID(), "upstream", u.Address(), "instance", u.Instance(),
		"resume-after", a.ResumeAfter(), "took-ms", time.Since(begun).Milliseconds(), "cause", context.Cause(ctx), "error", err)
}

// stream logs the failure of a stream.
type stream struct {
	kingcuphook.Stream

	ctx      context.Context
	engine   *Engine
	upstream *kingcuphook.Upstream
	attempt  *kingcuphook.Attempt
	begun    time.Time
}

var _ kingcuphook.HeadedStream = (*stream)(nil)

// Head implements kingcuphook.HeadedStream.
func (s *stream) Head() kingcuphook.Answer {
	if h, ok := s.Stream.(kingcuphook.HeadedStream); ok {
		return h.Head()
	}
	return kingcuphook.Answer{}
}

// Next implements kingcuphook.Stream.
func (s *stream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	f, err := s.Stream.Next(ctx)
	if err != nil {
		s.engine.failed(ctx, s.upstream, s.attempt, s.begun, err)
	}
	return f, err
}
