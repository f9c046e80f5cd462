package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/detector"
	"github.com/kingcuphook/kingcuphook/tracker"
)

// watch is the supervision of one attempt: it cuts the attempt off when its
// connection is silent or its slot is taken back.
type watch struct {
	cancel context.CancelCauseFunc
	// mayRepeat reports whether another attempt could follow; it is not used up
	// by asking. Nil means that it always could.
	mayRepeat func() bool

	// mu guards what follows.
	mu       sync.Mutex
	detector detector.Detector
	timer    *time.Timer
}

// watch starts the supervision of an attempt and returns its context. Stop must
// be called at the end.
func (r *run) watch(ctx context.Context, slot kingcuphook.Slot) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{
		detector: detector.Detector{First: r.d.Limits.FirstByte, Between: r.d.Limits.BetweenTokens},
		cancel:   cancel,
	}
	if r.call.Kind == kingcuphook.UpstreamKindService {
		w.detector.First = r.d.Limits.Reply
	}
	if o := r.call.Opaque; o != nil {
		w.detector.First = cmp.Or(o.FirstByte, w.detector.First)
		w.detector.Between = cmp.Or(o.Silence, w.detector.Between)
		w.mayRepeat = r.mayRepeat
	}
	now := time.Now()
	w.detector.Sent(now)
	w.mu.Lock()
	w.timer = time.AfterFunc(w.detector.Due().Sub(now), w.look)
	w.mu.Unlock()
	if r.preemptible(slot.Choice().Upstream) {
		go awaitPreemption(ctx, slot, cancel)
	}
	return ctx, w
}

// preemptible reports whether the call can be resumed after it was cut off.
func (r *run) preemptible(u *kingcuphook.Upstream) bool {
	return !r.request.NonIdempotent() && (u.Resumes() || !r.request.Stream())
}

func awaitPreemption(ctx context.Context, slot kingcuphook.Slot, cancel context.CancelCauseFunc) {
	select {
	case <-slot.Preempted():
		cancel(errPreempted)
	case <-ctx.Done():
	}
}

// look cuts the attempt off if its connection is silent, and looks again later
// if it is not.
func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.detector.Silent(now) {
		if w.mayRepeat == nil || w.mayRepeat() {
			w.cancel(errSilent)
			return
		}
		w.detector.Resume(now)
	}
	if !now.Before(w.detector.Due()) {
		w.detector.Resume(now)
	}
	w.timer.Reset(w.detector.Due().Sub(now))
}

// heard notes a sign of life.
func (w *watch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.detector.Heard(now)
	w.timer.Reset(w.detector.Due().Sub(now))
}

// suspend stops the wait while the router itself is busy, as it is with a caller
// that takes its time.
func (w *watch) suspend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// resume goes on with the wait as it stood.
func (w *watch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(time.Until(w.detector.Due()))
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// cut returns the error of an attempt, with the cause if the router cut it off.
func cut(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errSilent) || errors.Is(cause, errPreempted) {
		return fmt.Errorf("dispatcher: %w: %w", cause, kingcuphook.ErrBrokenStream)
	}
	if cause != nil {
		return fmt.Errorf("dispatcher: %w: %w", cause, err)
	}
	return fmt.Errorf("dispatcher: %w", err)
}

// service runs the call on a plain service.
func (r *run) service(ctx context.Context, slot kingcuphook.Slot) (kingcuphook.Outcome, kingcuphook.Sample, error) {
	ctx, w := r.watch(ctx, slot)
	defer w.stop()
	began := time.Now()
	answer, err := r.d.Engine.Call(ctx, slot.Choice().Upstream, r.newAttempt(slot.Choice()))
	if err != nil {
		return kingcuphook.Outcome{}, failedSample(ctx, err, kingcuphook.Sample{}), cut(ctx, err)
	}
	sample := kingcuphook.Sample{FirstToken: time.Since(began), Tokens: 1}
	if r.call.Opaque != nil && answer.Status() >= http.StatusInternalServerError {
		sample.Failed, sample.Answered = true, true
		return kingcuphook.Outcome{}, sample, &kingcuphook.AnswerError{Answer: answer}
	}
	return kingcuphook.Outcome{Answer: answer}, sample, nil
}

// stream runs the call on a model engine.
func (r *run) stream(ctx context.Context, slot kingcuphook.Slot) (kingcuphook.Outcome, kingcuphook.Sample, error) {
	if !slot.Choice().Upstream.Resumes() {
		r.answer.Restart()
	}
	l := r.race(ctx, r.newLeg(ctx, slot))
	defer l.watch.stop()
	sample := kingcuphook.Sample{UncachedTokens: l.slot.Choice().UncachedTokens}
	if l.err != nil {
		return kingcuphook.Outcome{}, failedSample(l.ctx, l.err, sample), l.err
	}
	defer func() { _ = l.stream.Close() }()
	r.answer.Begin(l.attempt.ID())
	if err := r.forward(l, &sample); err != nil {
		return kingcuphook.Outcome{}, failedSample(l.ctx, err, sample), err
	}
	out := kingcuphook.Outcome{Finish: r.answer.Finish(), Tokens: r.answer.Position()}
	if r.request.Stream() {
		return out, sample, r.writeHead(l)
	}
	return out, sample, r.write(r.answer.Text())
}

// failedSample says who broke an attempt off: the upstream or the router. A
// request that the upstream rejects says nothing against the upstream.
func failedSample(ctx context.Context, err error, s kingcuphook.Sample) kingcuphook.Sample {
	cause := context.Cause(ctx)
	s.Failed = (cause == nil || errors.Is(cause, errSilent)) && !errors.Is(err, kingcuphook.ErrRejected)
	s.Cancelled = !s.Failed
	s.Displaced = errors.Is(err, kingcuphook.ErrMisdirected)
	s.Answered = s.Failed && errors.Is(err, kingcuphook.ErrUpstreamAnswered)
	return s
}

// forward takes frames until the answer is whole.
func (r *run) forward(l *leg, sample *kingcuphook.Sample) error {
	w := l.watch
	var last time.Time
	for !r.answer.Complete() {
		f, err := l.stream.Next(l.ctx)
		if err != nil {
			return cut(l.ctx, err)
		}
		arrived := time.Now()
		w.suspend()
		ok, err := r.answer.Accept(f)
		if errors.Is(err, kingcuphook.ErrTooLarge) {
			return &finalError{err}
		}
		if err != nil {
			return &guardError{err}
		}
		if !ok {
			w.resume()
			continue
		}
		if f.Kind() != kingcuphook.FrameKindData {
			w.heard()
			continue
		}
		if err := r.accepted(l, f); err != nil {
			return err
		}
		observe(sample, arrived.Sub(l.began), arrived.Sub(last))
		last = time.Now()
		r.trial.survived(sample.Tokens)
		l.slot.Progress(r.answer.Position())
		w.heard()
	}
	return nil
}

// accepted passes an accepted data frame on.
func (r *run) accepted(l *leg, f kingcuphook.Frame) error {
	if err := r.tracker.Apply(tracker.EventFrame); err != nil {
		return &finalError{err}
	}
	if !r.request.Stream() {
		return nil
	}
	if err := r.writeHead(l); err != nil {
		return err
	}
	if err := r.write(f.Text()); err != nil {
		return err
	}
	r.lastEvent = cmp.Or(f.Event(), r.lastEvent)
	return nil
}

// writeHead passes the head of the answer on, once. An answer that goes on at
// another upstream keeps the head of the first.
func (r *run) writeHead(l *leg) error {
	w, ok := r.w.(kingcuphook.HeadWriter)
	if !ok || r.headed {
		return nil
	}
	r.headed = true
	if err := w.WriteHead(l.head); err != nil {
		return &finalError{fmt.Errorf("dispatcher: write to caller: %w: %w", context.Canceled, err)}
	}
	return nil
}

// write passes text to the caller. A claimed call goes on without its caller.
func (r *run) write(text string) error {
	if err := r.w.WriteData(text); err != nil && !r.ticket.Held() {
		return &finalError{fmt.Errorf("dispatcher: write to caller: %w: %w", context.Canceled, err)}
	}
	return nil
}

// observe adds a token to the sample. The gap counts from when the router was
// ready for the token, so that a slow caller does not make its upstream slow.
func observe(s *kingcuphook.Sample, first, gap time.Duration) {
	s.Tokens++
	if s.Tokens == 1 {
		s.FirstToken = first
		return
	}
	s.TokenGap += (gap - s.TokenGap) / time.Duration(s.Tokens-1)
}
