package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/detector"
	"github.com/kingcuphook/kingcuphook/tracker"
)

// unretriedFactor is how many times its timeout an attempt on an unresponsive upstream goes on if no
// retry can follow.
const unretriedFactor = 4

// watchdog cancels an attempt when its upstream is unresponsive or its slot is
// preempted.
type watchdog struct {
	cancel context.CancelCauseFunc
	// reserve reserves the retry for which an attempt on an unresponsive upstream is
	// cancelled. If it reports false, the attempt goes on. Nil means that the attempt is
	// always cancelled.
	reserve func(received bool) bool
	// hasEnd is set if the attempt is cancelled without a retry after unretriedFactor times its
	// timeout.
	hasEnd bool
	// upstream is that of the attempt, activity when it last sent data of any answer.
	upstream *kingcuphook.Upstream
	activity *detector.Activity
	// inquire is Dispatcher.InquireSilent.
	inquire func(u *kingcuphook.Upstream, since time.Time) kingcuphook.SilenceEvidence

	// mu guards the fields below.
	mu       sync.Mutex
	detector detector.Detector
	timer    *time.Timer
	// active is set while the timer runs. A check that was already waiting for mu then does
	// nothing.
	active bool
	// ended is set by stop.
	ended bool
}

// watch starts the watchdog of an attempt and returns the context of the attempt.
// The caller must call stop after the attempt.
func (r *run) watch(ctx context.Context, slot kingcuphook.Slot) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{
		detector: detector.Detector{FirstFrameTimeout: r.d.Limits.FirstByteTimeout, IdleTimeout: r.d.Limits.TokenTimeout},
		cancel:   cancel,
		upstream: slot.Choice().Upstream,
		activity: &r.d.activity,
		inquire:  r.d.InquireSilent,
	}
	w.activity.Begin(w.upstream.Program())
	if r.call.Kind == kingcuphook.UpstreamKindService {
		w.detector.FirstFrameTimeout = r.d.Limits.ReplyTimeout
	}
	if !r.request.NonIdempotent() && r.attempts < r.maxAttempts() {
		w.reserve, w.hasEnd = r.retryReserver(slot), true
	}
	if o := r.call.Opaque; o != nil {
		w.detector.FirstFrameTimeout = cmp.Or(o.FirstByte, w.detector.FirstFrameTimeout)
		w.detector.IdleTimeout = cmp.Or(o.Silence, w.detector.IdleTimeout)
		w.detector.Patience = o.Patience
		w.reserve, w.hasEnd = r.retryReserver(slot), false
	}
	now := time.Now()
	w.detector.RecordDispatch(now)
	w.mu.Lock()
	w.timer = time.AfterFunc(w.detector.Deadline().Sub(now), w.check)
	w.active = true
	w.mu.Unlock()
	if r.preemptible(slot.Choice().Upstream) {
		go awaitPreemption(ctx, slot, cancel)
	}
	return ctx, w
}

// preemptible reports whether the call can be retried or resumed after its slot
// was preempted.
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

// check cancels the attempt if the upstream is unresponsive, and otherwise
// schedules the next check.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.active {
		return
	}
	now := time.Now()
	switch {
	case w.detector.Unresponsive(now):
		e := w.evidence(now)
		if e != kingcuphook.SilenceEvidenceNone && w.mayEnd(now) {
			w.active = false
			w.cancel(w.silence(now, e))
			return
		}
		w.detector.Postpone(now)
	case !now.Before(w.detector.Deadline()):
		w.detector.RecordDelay(now)
	}
	w.timer.Reset(w.detector.Deadline().Sub(now))
}

// mayEnd reports whether the attempt may be cancelled, and reserves the retry for it. The caller must
// hold mu.
func (w *watchdog) mayEnd(now time.Time) bool {
	if w.reserve == nil || w.reserve(w.detector.Received()) {
		return true
	}
	return w.hasEnd && w.detector.Silence(now) >= unretriedFactor*w.detector.Timeout()
}

// evidence returns what shows that the unresponsive upstream may be given up now. The caller must
// hold mu.
func (w *watchdog) evidence(now time.Time) kingcuphook.SilenceEvidence {
	if w.inquire != nil {
		if e := w.inquire(w.upstream, now.Add(-w.detector.Silence(now))); e != kingcuphook.SilenceEvidenceNone {
			return e
		}
	}
	if !w.detector.IsPatient(now) {
		return kingcuphook.SilenceEvidenceLong
	}
	if w.activity.IsActive(now, w.upstream.Program()) {
		return kingcuphook.SilenceEvidenceActive
	}
	return kingcuphook.SilenceEvidenceNone
}

// silence returns the cause with which the attempt is cancelled. The caller must hold mu.
func (w *watchdog) silence(now time.Time, e kingcuphook.SilenceEvidence) *silenceError {
	silent := w.detector.Silence(now)
	return &silenceError{
		evidence: e, silence: silent, program: w.upstream.Program(),
		cancelledAt: now, patientUntil: now.Add(w.detector.Patience - silent),
	}
}

// received restarts the timeout after data from the upstream.
func (w *watchdog) received() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.activity.Record(now, w.upstream.Program())
	w.detector.RecordFrame(now)
	w.active = true
	w.timer.Reset(w.detector.Deadline().Sub(now))
}

// suspend stops the timer while the router itself is the cause of the delay, such
// as while it writes to a slow caller.
func (w *watchdog) suspend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.active = false
}

// resume restarts the timer without extending the timeout.
func (w *watchdog) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = true
	w.timer.Reset(time.Until(w.detector.Deadline()))
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.active = false
	w.cancel(context.Canceled)
	if !w.ended {
		w.ended = true
		w.activity.End(w.upstream.Program())
	}
}

// attemptError wraps the error of an attempt, with the cause if its context was
// cancelled.
func attemptError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errUnresponsive) || errors.Is(cause, errPreempted) {
		return fmt.Errorf("dispatcher: %w: %w", cause, kingcuphook.ErrBrokenStream)
	}
	if cause != nil {
		return fmt.Errorf("dispatcher: %w: %w", cause, err)
	}
	return fmt.Errorf("dispatcher: %w", err)
}

// service runs one attempt, and a hedged one if needed, on a plain service.
func (r *run) service(ctx context.Context, slot kingcuphook.Slot) (kingcuphook.Outcome, kingcuphook.Sample, error) {
	a := r.race(ctx, r.newOpenAttempt(ctx, slot))
	defer a.watch.stop()
	r.isolated = a.isolated
	return kingcuphook.Outcome{Answer: a.answer}, a.sample, a.err
}

// stream runs one attempt, and a hedged one if needed, on a model engine.
func (r *run) stream(ctx context.Context, slot kingcuphook.Slot) (kingcuphook.Outcome, kingcuphook.Sample, error) {
	if !slot.Choice().Upstream.Resumes() {
		r.answer.Restart()
	}
	a := r.race(ctx, r.newOpenAttempt(ctx, slot))
	defer func() { a.watch.stop() }()
	r.isolated = a.isolated
	sample := kingcuphook.Sample{UncachedTokens: a.slot.Choice().UncachedTokens}
	if a.err != nil {
		return kingcuphook.Outcome{}, failedSample(a.ctx, a.err, sample), a.err
	}
	defer func() { a.close() }()
	r.answer.Begin(a.attempt.ID())
	for {
		err := r.forward(ctx, a, &sample)
		if err == nil {
			break
		}
		next := r.continueMoved(ctx, a, &sample, err)
		if next == nil {
			return kingcuphook.Outcome{}, failedSample(a.ctx, err, sample), err
		}
		a = next
		r.isolated = a.isolated
		if a.err != nil {
			return kingcuphook.Outcome{}, failedSample(a.ctx, a.err, sample), a.err
		}
		r.answer.Begin(a.attempt.ID())
	}
	out := kingcuphook.Outcome{Finish: r.answer.Finish(), Tokens: r.answer.Position()}
	a.isolated.Complete(time.Now(), out.Finish != kingcuphook.FinishClosed)
	if r.request.Stream() {
		return out, sample, r.writeHead(a)
	}
	return out, sample, r.write(r.answer.Text())
}

// failedSample returns the sample of a failed attempt. It counts as failed if the
// upstream is at fault, and otherwise as cancelled: a request that was rejected
// as invalid is not a fault of the upstream, nor is a path that is cut or an answer for which this
// router has no memory.
func failedSample(ctx context.Context, err error, s kingcuphook.Sample) kingcuphook.Sample {
	cause := context.Cause(ctx)
	s.Failed = (cause == nil || errors.Is(cause, errUnresponsive)) && !errors.Is(err, kingcuphook.ErrRejected) &&
		!errors.Is(err, kingcuphook.ErrPathLost) && !errors.Is(err, kingcuphook.ErrOutOfMemory)
	if errors.Is(err, errNotContinued) {
		s.Failed = false
	}
	s.Cancelled = !s.Failed
	s.Misdirected = errors.Is(err, kingcuphook.ErrMisdirected)
	s.Answered = s.Failed && errors.Is(err, kingcuphook.ErrUpstreamAnswered)
	return s
}

// forward reads frames and passes them on until the answer is complete.
func (r *run) forward(ctx context.Context, a *openAttempt, sample *kingcuphook.Sample) error {
	w := a.watch
	var last time.Time
	for !r.answer.Complete() {
		f, err := a.stream.Next(a.ctx)
		if err != nil {
			return attemptError(a.ctx, err)
		}
		arrived := time.Now()
		w.suspend()
		if err := a.movable.checkEnd(ctx, f); err != nil {
			return err
		}
		if f.Kind() == kingcuphook.FrameKindData {
			a.isolated.Progress(arrived)
		}
		ok, err := r.answer.Accept(f)
		if errors.Is(err, kingcuphook.ErrTooLarge) {
			return &finalError{err}
		}
		if err != nil {
			return &frameError{err}
		}
		if !ok {
			w.resume()
			continue
		}
		if f.Kind() != kingcuphook.FrameKindData {
			w.received()
			continue
		}
		if err := r.deliver(ctx, a, f); err != nil {
			return err
		}
		addToken(sample, arrived.Sub(a.began), arrived.Sub(last))
		last = time.Now()
		r.trial.observeTokens(sample.Tokens)
		a.slot.Progress(r.answer.Position())
		r.trackMovable(ctx, a, f, arrived)
		w.received()
	}
	return nil
}

// deliver writes an accepted data frame to the caller of a stream.
func (r *run) deliver(ctx context.Context, a *openAttempt, f kingcuphook.Frame) error {
	if err := r.tracker.Apply(tracker.EventFrame); err != nil {
		return &finalError{err}
	}
	if err := r.pin(ctx, a.slot.Choice().Upstream); err != nil {
		return r.unrecorded(a, err)
	}
	if !r.request.Stream() {
		return nil
	}
	if err := r.writeHead(a); err != nil {
		return err
	}
	if err := r.write(f.Text()); err != nil {
		return err
	}
	r.lastEvent = cmp.Or(f.Event(), r.lastEvent)
	return nil
}

// unrecorded returns the error of an attempt whose stream must not begin for err. Its upstream is not at fault.
func (r *run) unrecorded(a *openAttempt, err error) error {
	reqErr := &kingcuphook.RequestError{Code: kingcuphook.CodeVersionUnknown, Ran: r.tracker.RunState(), RetryAfter: unrecordedRetryAfter, Err: err}
	if !errors.Is(err, kingcuphook.ErrVersionUnrecorded) {
		return &finalError{reqErr}
	}
	a.watch.cancel(err)
	return reqErr
}

// writeHead writes the head of the answer to the caller, once. An answer that is
// resumed on another upstream keeps the head from the first.
func (r *run) writeHead(a *openAttempt) error {
	w, ok := r.w.(kingcuphook.HeadWriter)
	if !ok || r.headWritten {
		return nil
	}
	r.headWritten = true
	if err := w.WriteHead(a.head); err != nil {
		return &finalError{fmt.Errorf("dispatcher: write to caller: %w: %w", context.Canceled, err)}
	}
	return nil
}

// write writes text to the caller. Write errors are ignored for a call that holds
// a claim, since it is completed even if its caller disconnects.
func (r *run) write(text string) error {
	if err := r.w.WriteData(text); err != nil && !r.ticket.Held() {
		return &finalError{fmt.Errorf("dispatcher: write to caller: %w: %w", context.Canceled, err)}
	}
	return nil
}

// addToken adds a token to the sample. The gap is measured from when the router
// was ready to read the token, so that a slow caller does not count against the
// upstream.
func addToken(s *kingcuphook.Sample, first, gap time.Duration) {
	s.Tokens++
	if s.Tokens == 1 {
		s.FirstToken = first
		return
	}
	s.TokenGap += (gap - s.TokenGap) / time.Duration(s.Tokens-1)
}
