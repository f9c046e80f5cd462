// Package narrator writes log lines: its wrappers of an allocator and an engine log each
// choice of an upstream and each failed attempt. Package observer has the wrappers that
// record traces and metrics.
package narrator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

// Allocator logs the choices of an allocator.
type Allocator struct {
	// Next is the wrapped allocator; never nil.
	Next kingcuphook.Allocator
	Log  *logger.Logger
	// Explain returns the candidates that a request has now; nil means that they are not
	// logged.
	Explain func(*kingcuphook.Request) []kingcuphook.Candidate
}

var _ kingcuphook.Allocator = (*Allocator)(nil)

// Acquire implements kingcuphook.Allocator.
func (a *Allocator) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	start := time.Now()
	s, err := a.Next.Acquire(ctx, r, excluded)
	if err != nil {
		a.logNotAssigned(ctx, r, start)
		return nil, err
	}
	c := s.Choice()
	_, restricted := r.OnlyVersion()
	a.Log.Log(logger.RequestAssigned, "request", r.ID(), "pool", r.Pool(), "upstream", c.Upstream.Address(),
		"instance", c.Upstream.Instance(), "version", c.Upstream.SoftwareVersion(), "restricted", restricted, "waited-ms", time.Since(start).Milliseconds(),
		"predicted-ms", c.Predicted.Milliseconds(), "uncached", c.UncachedTokens, "home", c.PreferredRank, "copy-from", c.CopyFrom, "spilled", c.Spilled, "excluded", len(excluded),
		"rate-limited", c.RateLimited, "running", c.Running, "reading", c.PrefillTokens, "heard-ms-ago", reportAge(start, c.ReportedAt))
	return s, nil
}

// maxCandidates bounds the candidates in a line of the log.
const maxCandidates = 16

// logNotAssigned logs the candidates of a request whose time to wait has ended.
func (a *Allocator) logNotAssigned(ctx context.Context, r *kingcuphook.Request, start time.Time) {
	if a.Explain == nil || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	candidates := a.Explain(r)
	a.Log.Log(logger.RequestNotAssigned, "request", r.ID(), "pool", r.Pool(), "route", r.Class(), "tier", int(r.Tier()),
		"waited-ms", time.Since(start).Milliseconds(), "upstreams", len(candidates), "candidates", formatCandidates(candidates))
}

// formatCandidates returns the first candidates as a comma-separated list, each with its requests
// in flight, the number from which it takes no more, and why it is refused.
func formatCandidates(candidates []kingcuphook.Candidate) string {
	candidates = candidates[:min(len(candidates), maxCandidates)]
	list := make([]string, 0, len(candidates))
	for _, c := range candidates {
		list = append(list, fmt.Sprintf("%s=%d/%d:%s", c.Upstream, c.Running, c.MaxRunning, c.RejectReason))
	}
	return strings.Join(list, ",")
}

// reportAge returns the age in milliseconds of the last load report from another
// router; -1 if there was none.
func reportAge(now, reported time.Time) int64 {
	if reported.IsZero() {
		return -1
	}
	return now.Sub(reported).Milliseconds()
}

// Engine logs the failures of an engine.
type Engine struct {
	// Next is the wrapped engine; never nil.
	Next kingcuphook.Engine
	Log  *logger.Logger
}

var _ kingcuphook.Engine = (*Engine)(nil)

// Start implements kingcuphook.Engine.
func (e *Engine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	start := time.Now()
	s, err := e.Next.Start(ctx, u, a)
	if err != nil {
		e.logFailure(ctx, u, a, start, err)
		return nil, err
	}
	return &stream{Stream: s, ctx: ctx, engine: e, upstream: u, attempt: a, start: start}, nil
}

// Call implements kingcuphook.Engine.
func (e *Engine) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	start := time.Now()
	answer, err := e.Next.Call(ctx, u, a)
	if err != nil {
		e.logFailure(ctx, u, a, start, err)
	}
	return answer, err
}

// logFailure logs an attempt that failed with err.
func (e *Engine) logFailure(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt, start time.Time, err error) {
	e.Log.Log(logger.AttemptFailed, "request", a.Request().ID(), "upstream", u.Address(), "instance", u.Instance(),
		"resume-after", a.ResumeAfter(), "took-ms", time.Since(start).Milliseconds(), "cause", context.Cause(ctx), "error", err)
}

// stream logs the failure of a stream, which may be in the middle of an answer.
type stream struct {
	kingcuphook.Stream

	ctx      context.Context
	engine   *Engine
	upstream *kingcuphook.Upstream
	attempt  *kingcuphook.Attempt
	start    time.Time
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
		s.engine.logFailure(ctx, s.upstream, s.attempt, s.start, err)
	}
	return f, err
}
