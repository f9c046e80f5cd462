// Package observer records traces and metrics: its wrappers of an allocator and an
// engine pass the steps of each request to a Recorder and a Meter. Package narrator has
// the wrappers that write the log.
package observer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/meter"
	"github.com/kingcuphook/kingcuphook/recorder"
)

// Observer records the start and end of each request. Its fields must be set
// before use.
type Observer struct {
	// Recorder keeps the trace of each request; never nil.
	Recorder *recorder.Recorder
	// Meter updates the metrics; never nil.
	Meter *meter.Meter
}

// RequestStarted records that a request was accepted for the route.
func (o *Observer) RequestStarted(r *kingcuphook.Request, route *kingcuphook.Route) {
	o.Recorder.Begin(r, route.Name())
}

// RequestEnded records how a request ended; firstToken is 0 if no token was written.
func (o *Observer) RequestEnded(r *kingcuphook.Request, out kingcuphook.Outcome, err error, firstToken, total time.Duration) {
	outcome := outcomeOf(r, out, err, firstToken, total)
	text := string(outcome)
	var failure *kingcuphook.RequestError
	if errors.As(err, &failure) {
		text = failure.Error()
	}
	o.Recorder.End(r, text)
	o.Meter.Class(r.Class(), r.Tier()).Ended(outcome, firstToken)
}

// outcomeOf returns the outcome of a request for the metrics.
func outcomeOf(r *kingcuphook.Request, out kingcuphook.Outcome, err error, firstToken, total time.Duration) meter.Outcome {
	var failure *kingcuphook.RequestError
	if errors.As(err, &failure) && failure.Ran == kingcuphook.RunStateNotRun {
		return meter.OutcomeNotRun
	}
	if err != nil {
		return meter.OutcomeFailed
	}
	if attained(r, out, firstToken, total) {
		return meter.OutcomeAttained
	}
	return meter.OutcomeLate
}

// attained reports whether a complete answer met the targets of its request for the
// time to the first token and the mean time between tokens. An answer without a
// first token is measured by its total time.
func attained(r *kingcuphook.Request, out kingcuphook.Outcome, firstToken, total time.Duration) bool {
	if firstToken == 0 {
		firstToken = total
	}
	if r.Target() > 0 && firstToken > r.Target() {
		return false
	}
	if r.TokenTarget() == 0 || out.Tokens < 2 {
		return true
	}
	gap := (total - firstToken) / time.Duration(out.Tokens-1)
	return gap <= r.TokenTarget()
}

// Allocator records the choices of an allocator.
type Allocator struct {
	// Next is the wrapped allocator; never nil.
	Next kingcuphook.Allocator
	// Observer records the choices; never nil.
	Observer *Observer
	// Explain returns the current candidates for a request; if it is nil, traces
	// contain no candidates.
	Explain func(r *kingcuphook.Request) []kingcuphook.Candidate
}

// maxCandidates is the largest number of candidates in the trace of a request.
const maxCandidates = 4

var _ kingcuphook.Allocator = (*Allocator)(nil)

// Acquire implements kingcuphook.Allocator.
func (a *Allocator) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	rec := a.Observer.Recorder
	rec.Add(r, recorder.Step{Kind: recorder.StepQueued, Candidates: a.candidates(r)})
	start := time.Now()
	s, err := a.Next.Acquire(ctx, r, excluded)
	if err != nil {
		rec.Add(r, recorder.Step{Kind: recorder.StepNotAssigned, Err: err})
		return nil, err
	}
	a.Observer.Meter.Class(r.Class(), r.Tier()).Queued(time.Since(start))
	c := s.Choice()
	rec.Add(r, recorder.Step{
		Kind:      recorder.StepAssigned,
		Upstream:  c.Upstream.Address(),
		Predicted: c.Predicted,
		Uncached:  c.UncachedTokens,
	})
	return &slot{Slot: s, request: r, observer: a.Observer}, nil
}

// candidates returns the candidates with the lowest predicted time to the first
// token.
func (a *Allocator) candidates(r *kingcuphook.Request) []kingcuphook.Candidate {
	if a.Explain == nil {
		return nil
	}
	found := a.Explain(r)
	slices.SortStableFunc(found, func(x, y kingcuphook.Candidate) int { return cmp.Compare(x.Predicted, y.Predicted) })
	return found[:min(len(found), maxCandidates)]
}

// slot records its release.
type slot struct {
	kingcuphook.Slot

	request  *kingcuphook.Request
	observer *Observer
}

// Release implements kingcuphook.Slot.
func (s *slot) Release(sample kingcuphook.Sample) {
	s.Slot.Release(sample)
	s.observer.Meter.Tokens(sample.Tokens, sample.Failed || sample.Cancelled)
	s.observer.Recorder.Add(s.request, recorder.Step{
		Kind:     recorder.StepReleased,
		Upstream: s.Choice().Upstream.Address(),
		Tokens:   sample.Tokens,
	})
}

// Engine records the attempts of an engine.
type Engine struct {
	// Next is the wrapped engine; never nil.
	Next kingcuphook.Engine
	// Observer records the attempts; never nil.
	Observer *Observer
}

var _ kingcuphook.Engine = (*Engine)(nil)

// Start implements kingcuphook.Engine.
func (e *Engine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	s, err := e.Next.Start(ctx, u, a)
	e.recordAttempt(u, a, err)
	return s, err
}

// Call implements kingcuphook.Engine.
func (e *Engine) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	answer, err := e.Next.Call(ctx, u, a)
	e.recordAttempt(u, a, err)
	return answer, err
}

// recordAttempt records an attempt on u; err is nil if the attempt was started, or
// if the whole call succeeded.
func (e *Engine) recordAttempt(u *kingcuphook.Upstream, a *kingcuphook.Attempt, err error) {
	r := a.Request()
	kind := recorder.StepStarted
	if err != nil {
		kind = recorder.StepFailed
	}
	e.Observer.Recorder.Add(r, recorder.Step{Kind: kind, Upstream: u.Address(), Tokens: a.ResumeFrom(), Err: err})
	e.Observer.Meter.Class(r.Class(), r.Tier()).Attempted()
}
