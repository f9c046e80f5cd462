package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/assembler"
	"github.com/kingcuphook/kingcuphook/tracker"
)

// run is one call on its way. It is used by one goroutine.
type run struct {
	d       *Dispatcher
	call    *kingcuphook.Call
	request *kingcuphook.Request
	w       kingcuphook.FrameWriter
	tracker tracker.Tracker
	answer  assembler.Assembler
	// attempts counts the dispatches.
	attempts int
	// excluded are the upstreams that failed this call.
	excluded []string
}

func newRun(d *Dispatcher, c *kingcuphook.Call, w kingcuphook.FrameWriter) *run {
	return &run{
		d:       d,
		call:    c,
		request: c.Request,
		w:       w,
		tracker: tracker.Tracker{Once: c.Request.NonIdempotent()},
		answer:  assembler.Assembler{MaxBytes: d.Limits.AnswerBytes},
	}
}

// do attempts the call until it is answered or may not be attempted again.
func (r *run) do(ctx context.Context) (kingcuphook.Outcome, error) {
	for {
		out, err := r.attempt(ctx)
		if err == nil {
			return out, nil
		}
		if !r.mayRetry(ctx, err) {
			return out, err
		}
	}
}

// mayRetry reports whether another attempt is allowed after err.
func (r *run) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || r.attempts >= r.d.Limits.Attempts {
		return false
	}
	var final *finalError
	return !errors.As(err, &final) && r.tracker.Allows(tracker.EventDispatch)
}

// attempt acquires a slot and runs the call on it once.
func (r *run) attempt(ctx context.Context) (kingcuphook.Outcome, error) {
	slot, err := r.d.Allocator.Acquire(ctx, r.request, r.excluded)
	if err != nil {
		return kingcuphook.Outcome{}, &finalError{err}
	}
	var sample kingcuphook.Sample
	defer func() { slot.Release(sample) }()
	upstream := slot.Choice().Upstream
	if r.answer.Position() > 0 && r.request.Stream() && !upstream.Resumes() {
		r.excluded = append(r.excluded, upstream.Address())
		return kingcuphook.Outcome{}, fmt.Errorf("dispatcher: %s cannot resume: %w", upstream.Address(), kingcuphook.ErrBrokenStream)
	}
	if err := r.tracker.Apply(tracker.EventDispatch); err != nil {
		return kingcuphook.Outcome{}, &finalError{err}
	}
	r.attempts++
	var out kingcuphook.Outcome
	if r.call.Kind == kingcuphook.UpstreamKindService {
		out, err = r.service(ctx, upstream)
	} else {
		out, sample, err = r.stream(ctx, slot)
	}
	if err != nil {
		sample.Failed = ctx.Err() == nil
		sample.Cancelled = ctx.Err() != nil
		r.excluded = append(r.excluded, upstream.Address())
		return kingcuphook.Outcome{}, r.broke(err)
	}
	out.Attempts = r.attempts
	return out, r.tracker.Apply(tracker.EventWhole)
}

// broke notes the end of an attempt that gave no whole answer.
func (r *run) broke(err error) error {
	event := tracker.EventBreak
	if errors.Is(err, kingcuphook.ErrUnavailable) && r.tracker.State() == tracker.StateDispatched {
		event = tracker.EventRefuse
	}
	if e := r.tracker.Apply(event); e != nil {
		return &finalError{errors.Join(err, e)}
	}
	return err
}

// service runs the call on a plain service.
func (r *run) service(ctx context.Context, u *kingcuphook.Upstream) (kingcuphook.Outcome, error) {
	answer, err := r.d.Engine.Call(ctx, u, r.newAttempt())
	if err != nil {
		return kingcuphook.Outcome{}, fmt.Errorf("dispatcher: %w", err)
	}
	return kingcuphook.Outcome{Answer: answer}, nil
}

func (r *run) newAttempt() *kingcuphook.Attempt {
	return kingcuphook.NewAttempt(kingcuphook.AttemptFields{
		ID:          r.d.attemptID(r.request),
		Request:     r.request,
		Method:      r.call.Method,
		Path:        r.call.Path,
		Body:        r.call.Body,
		ContentType: r.call.ContentType,
		ResumeFrom:  r.answer.Position(),
		Delivered:   r.answer.Text(),
	})
}

// stream runs the call on a model engine.
func (r *run) stream(ctx context.Context, slot kingcuphook.Slot) (kingcuphook.Outcome, kingcuphook.Sample, error) {
	u := slot.Choice().Upstream
	if !u.Resumes() {
		r.answer.Restart()
	}
	a := r.newAttempt()
	r.answer.Begin(a.ID())
	began := time.Now()
	s, err := r.d.Engine.Start(ctx, u, a)
	if err != nil {
		return kingcuphook.Outcome{}, kingcuphook.Sample{}, fmt.Errorf("dispatcher: %w", err)
	}
	defer func() { _ = s.Close() }()
	sample, err := r.forward(ctx, slot, s, began)
	if err != nil {
		return kingcuphook.Outcome{}, sample, err
	}
	out := kingcuphook.Outcome{Finish: r.answer.Finish(), Tokens: r.answer.Position()}
	if r.request.Stream() {
		return out, sample, nil
	}
	return out, sample, r.write(r.answer.Text())
}

// forward takes frames until the answer is whole.
func (r *run) forward(ctx context.Context, slot kingcuphook.Slot, s kingcuphook.Stream, began time.Time) (kingcuphook.Sample, error) {
	sample := kingcuphook.Sample{UncachedTokens: slot.Choice().UncachedTokens}
	var last time.Time
	for !r.answer.Whole() {
		f, err := s.Next(ctx)
		if err != nil {
			return sample, fmt.Errorf("dispatcher: %w", err)
		}
		ok, err := r.answer.Accept(f)
		if err != nil {
			return sample, err
		}
		if !ok || f.Kind() != kingcuphook.FrameKindData {
			continue
		}
		if err := r.accepted(f); err != nil {
			return sample, err
		}
		last = observe(&sample, began, last)
		slot.Progress(r.answer.Position())
	}
	return sample, nil
}

// accepted passes an accepted data frame on.
func (r *run) accepted(f kingcuphook.Frame) error {
	if err := r.tracker.Apply(tracker.EventFrame); err != nil {
		return &finalError{err}
	}
	if !r.request.Stream() {
		return nil
	}
	return r.write(f.Text())
}

func (r *run) write(text string) error {
	if err := r.w.WriteData(text); err != nil {
		return &finalError{fmt.Errorf("dispatcher: write to caller: %w: %w", context.Canceled, err)}
	}
	return nil
}

// observe adds a token to the sample and returns its time.
func observe(s *kingcuphook.Sample, began, last time.Time) time.Time {
	now := time.Now()
	s.Tokens++
	if s.Tokens == 1 {
		s.FirstToken = now.Sub(began)
		return now
	}
	s.TokenGap += (now.Sub(last) - s.TokenGap) / time.Duration(s.Tokens-1)
	return now
}

// fail ends the call with the error that its caller is told.
func (r *run) fail(err error) error {
	said := r.tracker.Says()
	_ = r.tracker.Apply(tracker.EventFail)
	told := &kingcuphook.RequestError{Code: code(err), Ran: said, Err: err}
	var inner *kingcuphook.RequestError
	if errors.As(err, &inner) {
		told.Code = inner.Code
		told.RetryAfter = inner.RetryAfter
	}
	return told
}

// finalError is an error after which no attempt is made.
type finalError struct{ err error }

// Error implements error.
func (e *finalError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *finalError) Unwrap() error { return e.err }
