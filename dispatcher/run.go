package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/assembler"
	"github.com/kingcuphook/kingcuphook/claimer"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/quarantiner"
	"github.com/kingcuphook/kingcuphook/tracker"
)

// overloadWait is the least time before a retry after an upstream that said it
// has too much work.
const overloadWait = 100 * time.Millisecond

// comeBackLeast and comeBackSpread say when callers of calls that found no upstream
// in time come back.
const (
	comeBackLeast  = 500 * time.Millisecond
	comeBackSpread = time.Second
)

// maxUnsent bounds the upstreams of one call that could not be reached.
const maxUnsent = 6

// run is one call on its way. It is used by one goroutine.
type run struct {
	d       *Dispatcher
	call    *kingcuphook.Call
	request *kingcuphook.Request
	w       kingcuphook.FrameWriter
	tracker tracker.Tracker
	answer  assembler.Assembler
	// ticket is the held claim; its zero value is not held.
	ticket claimer.Ticket
	// replayed says that the outcome of an earlier call is returned.
	replayed bool
	// slot is that of the running attempt.
	slot kingcuphook.Slot
	// trial is that of the running attempt; nil if the call is no suspect.
	trial *trial
	// attempts counts the dispatches that were not preempted, and did not fail
	// before anything was sent.
	attempts int
	// unsent counts the dispatches that no upstream of the pool got.
	unsent int
	// arrived says that a dispatch reached a program, also if it was a wrong one.
	arrived bool
	// begun says that the request had a slot before.
	begun bool
	// failed are the upstreams that failed this call; they are tried again when
	// there is no other.
	failed []string
	// unable are the upstreams that cannot serve the rest of this call.
	unable []string
	// headed says that the caller has the head of the answer.
	headed bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
}

func newRun(d *Dispatcher, c *kingcuphook.Call, w kingcuphook.FrameWriter) *run {
	return &run{
		d:       d,
		call:    c,
		request: c.Request,
		w:       w,
		tracker: tracker.Tracker{Once: c.Request.NonIdempotent(), Claims: claims(c.Request)},
		answer:  assembler.Assembler{MaxBytes: d.Limits.AnswerBytes},
	}
}

// do claims the call if it must, and attempts it until it is answered or may
// not be attempted again.
func (r *run) do(ctx context.Context) (kingcuphook.Outcome, error) {
	if r.tracker.Claims {
		out, err := r.claim(ctx)
		if err != nil || r.replayed {
			return out, err
		}
	}
	for {
		out, err := r.attempt(ctx)
		if err == nil {
			r.succeed(out)
			return out, nil
		}
		if err := r.prepareRetry(ctx, err); err != nil {
			return kingcuphook.Outcome{}, err
		}
	}
}

func (r *run) succeed(out kingcuphook.Outcome) {
	now := time.Now()
	r.d.succeeded(r.request, now)
	if r.d.Quarantiner.MarkCleared(now, r.request.Fingerprint()) {
		// Another suspect of the same crash may be held until the peers know.
		go r.d.share(context.Background())
	}
	r.settle(out)
}

// prepareRetry waits until another attempt may be made after err, or returns
// the error that ends the call.
func (r *run) prepareRetry(ctx context.Context, err error) error {
	if ctx.Err() != nil || isFinal(err) || errors.Is(err, kingcuphook.ErrRejected) || !r.tracker.Allows(tracker.EventDispatch) {
		return err
	}
	if errors.Is(err, errPreempted) {
		return nil
	}
	if r.attempts >= r.maxAttempts() || r.unsent >= maxUnsent {
		return err
	}
	if !r.arrived && errors.Is(err, kingcuphook.ErrNotSent) {
		return nil
	}
	wait, ok := r.d.spend(r.request, time.Now(), max(r.attempts, 1))
	if errors.Is(err, kingcuphook.ErrOverloaded) || errors.Is(err, kingcuphook.ErrRateLimited) {
		wait += overloadWait
	}
	if !ok {
		r.d.count(func(n *Counts) { n.NoBudget++ })
		return err
	}
	if !pauser.Pause(ctx, wait) {
		return errors.Join(ctx.Err(), err)
	}
	return nil
}

// maxAttempts returns the bound of the upstreams that the call is sent to.
func (r *run) maxAttempts() int {
	if r.call.Opaque != nil {
		return max(r.call.Opaque.MaxAttempts, 1)
	}
	return r.d.Limits.Attempts
}

// mayRepeat reports whether another attempt could follow the running one.
func (r *run) mayRepeat() bool {
	return r.attempts < r.maxAttempts() && r.d.canSpend(r.request, time.Now())
}

// attempt acquires a slot and runs the call on it once.
func (r *run) attempt(ctx context.Context) (kingcuphook.Outcome, error) {
	slot, t, err := r.acquire(ctx)
	if err != nil {
		return kingcuphook.Outcome{}, &finalError{err}
	}
	sample := kingcuphook.Sample{Cancelled: true}
	r.slot = slot
	defer func() { r.slot.Release(sample) }()
	r.trial = t
	defer t.end()
	if err := r.dispatch(); err != nil {
		return kingcuphook.Outcome{}, err
	}
	if r.ticket.Held() {
		var cancel context.CancelFunc
		ctx, cancel = detach(ctx)
		defer cancel()
	}
	var out kingcuphook.Outcome
	if r.call.Kind == kingcuphook.UpstreamKindService {
		out, sample, err = r.service(ctx, slot)
	} else {
		out, sample, err = r.stream(ctx, slot)
	}
	if err != nil {
		return kingcuphook.Outcome{}, r.broke(ctx, r.slot.Choice().Upstream, err)
	}
	out.Attempts = r.attempts
	return out, r.tracker.Apply(tracker.EventWhole)
}

// detach returns a context that ends at the deadline of ctx only. A claimed call
// runs to its end also when its caller is gone, so that a resend finds its
// outcome.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	free := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(free, deadline)
	}
	return context.WithCancel(free)
}

// dispatch notes that the first byte is about to go out.
func (r *run) dispatch() error {
	if r.tracker.Claims && !r.ticket.Usable(time.Now()) {
		return &finalError{&kingcuphook.RequestError{
			Code: codeClaimExpired,
			Ran:  r.tracker.Says(),
			Err:  fmt.Errorf("dispatcher: claim too old: %w", kingcuphook.ErrLeaseLost),
		}}
	}
	if err := r.tracker.Apply(tracker.EventDispatch); err != nil {
		return &finalError{err}
	}
	r.attempts++
	r.begun = true
	r.d.count(func(n *Counts) {
		n.Attempts++
		if r.answer.Position() > 0 {
			n.Resumed++
		}
	})
	return nil
}

// broke notes the end of an attempt that gave no whole answer.
func (r *run) broke(ctx context.Context, u *kingcuphook.Upstream, err error) error {
	event := tracker.EventBreak
	if errors.Is(err, kingcuphook.ErrUnavailable) && r.tracker.State() == tracker.StateDispatched {
		event = tracker.EventRefuse
	}
	if e := r.tracker.Apply(event); e != nil {
		return &finalError{errors.Join(err, e)}
	}
	if errors.Is(err, kingcuphook.ErrNotSent) || errors.Is(err, kingcuphook.ErrMisdirected) {
		r.attempts--
		r.unsent++
	}
	r.arrived = r.arrived || !errors.Is(err, kingcuphook.ErrNotSent)
	switch {
	case ctx.Err() != nil:
		return err
	case errors.Is(err, errPreempted):
		r.attempts--
		r.d.count(func(n *Counts) { n.Preempted++ })
		return err
	case errors.Is(err, errSilent):
		r.d.count(func(n *Counts) { n.Silent++ })
	case event == tracker.EventBreak && isCrash(err):
		r.crashed(ctx, u)
	}
	r.failed = append(r.failed, u.Address())
	return err
}

// acquire waits for a slot on which the call can go on. The trial is not nil if
// the call is a suspect; it must be ended after the attempt.
func (r *run) acquire(ctx context.Context) (kingcuphook.Slot, *trial, error) {
	if r.call.Opaque != nil {
		slot, err := r.acquireOpaque(ctx)
		return slot, nil, err
	}
	for {
		suspect, err := r.judge(ctx)
		if err != nil {
			return nil, nil, err
		}
		if !suspect {
			slot, err := r.ask(ctx, nil)
			if slot != nil || err != nil {
				return slot, nil, err
			}
			continue
		}
		slot, t, err := r.acquireAlone(ctx)
		if slot != nil || err != nil {
			return slot, t, err
		}
		if !pauser.Pause(ctx, judgeInterval) {
			return nil, nil, ctx.Err()
		}
	}
}

// acquireOpaque waits for a slot for a call that is passed on as it came. Such a
// call has no trial: it is refused once it is held to crash upstreams.
func (r *run) acquireOpaque(ctx context.Context) (kingcuphook.Slot, error) {
	switch r.d.Quarantiner.Check(time.Now(), r.request.Fingerprint()) {
	case quarantiner.VerdictHeld, quarantiner.VerdictQuarantined:
		return nil, fmt.Errorf("dispatcher: call %016x: %w", r.request.Fingerprint(), kingcuphook.ErrQuarantined)
	}
	waiting, cancel := r.boundWait(ctx)
	defer cancel()
	for {
		slot, err := r.ask(waiting, nil)
		if err != nil && ctx.Err() == nil && waiting.Err() != nil {
			return nil, &kingcuphook.RequestError{
				Code:       kingcuphook.CodeOverloaded,
				Ran:        r.tracker.Says(),
				RetryAfter: r.comeBack(),
				Err:        fmt.Errorf("dispatcher: no slot in time: %w", kingcuphook.ErrOverloaded),
			}
		}
		if slot != nil || err != nil {
			return slot, err
		}
	}
}

// boundWait bounds the wait of a call for its first upstream. One that had an
// upstream before waits on: its caller may have a part of the answer.
func (r *run) boundWait(ctx context.Context) (context.Context, context.CancelFunc) {
	share, deadline := r.d.Limits.WaitShare, r.request.Deadline()
	if r.begun || share <= 0 || deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	allowed := deadline.Sub(r.request.Arrived())
	return context.WithDeadline(ctx, r.request.Arrived().Add(time.Duration(share*float64(allowed))))
}

// comeBack returns when the caller of a call that found no upstream in time should
// come back. Callers are spread, so that they don't all come at once.
func (r *run) comeBack() time.Duration {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	return comeBackLeast + time.Duration(r.d.Rand.Int64N(int64(comeBackSpread)))
}

// acquireAlone tries once to get a slot for a suspect where no other one runs.
// It returns neither slot nor error when the call must be judged again.
func (r *run) acquireAlone(ctx context.Context) (kingcuphook.Slot, *trial, error) {
	t := r.d.newTrial(r.request.Fingerprint())
	if t == nil {
		return nil, nil, nil
	}
	slot, err := r.ask(ctx, r.d.Quarantiner.Reserved())
	if slot == nil || err != nil {
		t.end()
		return nil, nil, err
	}
	// Another router may have lost an upstream to the body since it was judged.
	verdict := r.d.Quarantiner.Check(time.Now(), r.request.Fingerprint())
	if t.on(slot.Choice().Upstream.Address()) && verdict == quarantiner.VerdictSuspect {
		return slot, t, nil
	}
	slot.Release(kingcuphook.Sample{Cancelled: true})
	t.end()
	return nil, nil, nil
}

// stuckOn reports whether an upstream cannot continue what the caller already
// has.
func (r *run) stuckOn(u *kingcuphook.Upstream) bool {
	return r.request.Stream() && r.answer.Position() > 0 && !u.Resumes()
}

// ask asks the allocator for a slot outside of busy upstreams. It returns no
// slot and no error when the caller must ask again.
func (r *run) ask(ctx context.Context, busy []string) (kingcuphook.Slot, error) {
	excluded := slices.Concat(r.unable, r.failed, busy)
	if excluded == nil && r.begun {
		excluded = []string{}
	}
	slot, err := r.d.Allocator.Acquire(ctx, r.request, excluded)
	switch {
	case err == nil && r.stuckOn(slot.Choice().Upstream):
		r.unable = append(r.unable, slot.Choice().Upstream.Address())
		slot.Release(kingcuphook.Sample{Cancelled: true})
		return nil, nil
	case err != nil && errors.Is(err, kingcuphook.ErrResting) && r.answer.Position() > 0:
		// What the caller has of the answer is of no use to it without the rest.
		pauser.Pause(ctx, retryAfter(err))
		return nil, nil
	case err == nil || !errors.Is(err, kingcuphook.ErrNoUpstream):
		return slot, err
	case len(busy) > 0 && ctx.Err() == nil:
		return nil, nil
	case len(r.failed) == 0:
		return nil, err
	default:
		r.failed = nil
		return nil, nil
	}
}

// retryAfter returns when a refusal says that the request may come back.
func retryAfter(err error) time.Duration {
	var told *kingcuphook.RequestError
	if !errors.As(err, &told) {
		return 0
	}
	return told.RetryAfter
}

func (r *run) newAttempt(c kingcuphook.Choice) *kingcuphook.Attempt {
	return kingcuphook.NewAttempt(kingcuphook.AttemptFields{
		ID:          r.d.attemptID(r.request),
		Request:     r.request,
		Method:      r.call.Method,
		Path:        r.call.Path,
		Body:        r.call.Body,
		ContentType: r.call.ContentType,
		ResumeFrom:  r.answer.Position(),
		Delivered:   r.answer.Text(),
		Opaque:      r.call.Opaque,
		ResumeAfter: r.lastEvent,
		CopyFrom:    c.CopyFrom,
	})
}

// fail ends the call with the error that its caller is told.
func (r *run) fail(err error) error {
	told := &kingcuphook.RequestError{Code: code(err), Ran: r.tracker.Says(), Attempts: r.attempts, Err: err}
	_ = r.tracker.Apply(tracker.EventFail)
	var inner *kingcuphook.RequestError
	if errors.As(err, &inner) {
		told.Code = inner.Code
		told.RetryAfter = inner.RetryAfter
		if inner.Ran == kingcuphook.RunStateUnknown {
			told.Ran = inner.Ran
		}
	}
	if told.Ran == kingcuphook.RunStateNotRun && r.d.Claimer != nil {
		r.d.Claimer.Release(r.ticket)
	}
	return told
}
