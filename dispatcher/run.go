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
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/tracker"
)

// overloadWait is added to the retry delay after an upstream reported overload or
// a rate limit.
const overloadWait = 100 * time.Millisecond

// maxOverloadDoublings is how often overloadWait doubles for a call that is turned away again.
// budgetInterval is the interval at which it asks for a retry of a spent budget.
const (
	maxOverloadDoublings = 3
	budgetInterval       = 100 * time.Millisecond
)

// MinQueueRetryAfter and queueRetryAfterJitter determine the retry-after value of
// calls that got no slot in time.
const (
	MinQueueRetryAfter    = 500 * time.Millisecond
	queueRetryAfterJitter = time.Second
)

// maxUnsent bounds the dispatches in a row of one call that reached no upstream of
// the pool.
const maxUnsent = 6

// readmitDelay is how long a call that waits for a slot leaves out the upstream that its first dispatch didn't
// reach. It doubles with each further such dispatch in a row.
const readmitDelay = 100 * time.Millisecond

// unsentDelay is the least delay after the second dispatch in a row of a stream that has begun
// which was not sent. It doubles with each further one.
const unsentDelay = 50 * time.Millisecond

const (
	// closeTime is how long after it is cancelled an upstream that is not silent notices that the
	// connection of an attempt is closed. dropInterval is the interval at which its data are
	// looked for.
	closeTime    = 50 * time.Millisecond
	dropInterval = 20 * time.Millisecond
)

// run is the execution of one call. It is used by one goroutine.
type run struct {
	d    *Dispatcher
	call *kingcuphook.Call
	// request is the request of the call. Once the answer has begun, it is restricted to the
	// software version that began it.
	request *kingcuphook.Request
	w       kingcuphook.FrameWriter
	// begun is when the whole call was received; its body may have taken long to arrive.
	begun   time.Time
	tracker tracker.Tracker
	answer  assembler.Assembler
	// ticket is the held claim. The zero value is not held.
	ticket claimer.Ticket
	// replayed is set if the stored outcome of an earlier call is returned.
	replayed bool
	// slot is the slot of the running attempt.
	slot kingcuphook.Slot
	// reserved is the retry for which the running attempt was cancelled.
	reserved reservation
	// trial is the trial of the running attempt; nil if the call is not a suspect.
	trial *trial
	// partTrial is set if the running attempt was let through although a part is quarantined.
	partTrial *partTrial
	// isolated is the running attempt as the isolator follows it; nil before the first.
	isolated *isolator.Attempt
	// attempts counts the dispatches, except those that were preempted or are
	// counted by turnedAway or unsent.
	attempts int
	// turnedAway counts the attempts that upstreams without room refused while the call must go on.
	turnedAway int
	// unsent counts the dispatches that reached no upstream of the pool, since the last one
	// that did: nothing was sent, or another program had the address.
	unsent int
	// restarted is set once a stream that was not recorded had to begin again.
	restarted bool
	// moved is set once an attempt was cancelled because its upstream was silent.
	moved bool
	// dispatched is set once the call was dispatched.
	dispatched bool
	// failed holds the upstreams that failed this call. They are tried again when
	// there is no other.
	failed []string
	// unreached holds the upstreams that could not be reached, so that nothing was sent. They are tried again
	// after readmitDelay.
	unreached []string
	// sent holds the addresses of the upstreams that the call was dispatched to.
	sent []string
	// cannotResume holds the upstreams that cannot resume this call.
	cannotResume []string
	// headWritten is set once the head of the answer was written to the caller.
	headWritten bool
	// lastEvent is the ID of the last event written to the caller.
	lastEvent string
	// continues is the copy of the KV memory that the next attempt continues from.
	continues kingcuphook.StreamCopy
	// moves counts how often the stream was stopped to be moved.
	moves int
}

func newRun(d *Dispatcher, c *kingcuphook.Call, w kingcuphook.FrameWriter) *run {
	return &run{
		d:       d,
		call:    c,
		request: c.Request,
		w:       w,
		begun:   time.Now(),
		tracker: tracker.Tracker{AtMostOnce: c.Request.NonIdempotent(), NeedsClaim: needsClaim(c.Request)},
		// The events of an opaque stream are in no later attempt and no claim.
		answer: assembler.Assembler{MaxBytes: d.Limits.MaxAnswerBytes, DropsText: c.Opaque != nil && c.Request.Stream()},
	}
}

// do acquires the claim of the call if it needs one, and attempts the call until
// it is answered or may not be retried.
func (r *run) do(ctx context.Context) (kingcuphook.Outcome, error) {
	if r.tracker.NeedsClaim {
		out, err := r.claim(ctx)
		if err != nil || r.replayed {
			return out, err
		}
	}
	defer r.endMove()
	for {
		out, err := r.attempt(ctx)
		if err != nil {
			err = r.prepareRetry(ctx, err)
			r.refundRetry()
			if err != nil {
				return kingcuphook.Outcome{}, err
			}
			continue
		}
		r.refundRetry()
		r.succeed(out)
		return out, nil
	}
}

func (r *run) succeed(out kingcuphook.Outcome) {
	now := time.Now()
	r.d.countSuccess(r.request, now)
	if r.d.Quarantiner.MarkCleared(now, r.request.Fingerprint()) {
		// Peers may hold other suspects of the same crash until they receive that this
		// one is cleared.
		go r.d.notifyPeers(context.Background())
	}
	r.storeOutcome(out)
}

// prepareRetry waits for the delay before the next attempt after err, or returns
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
	if errors.Is(err, kingcuphook.ErrNotSent) {
		// What was spent for this dispatch, if anything, pays for the next one.
		if !pauser.Pause(ctx, r.unsentWait()) {
			return errors.Join(ctx.Err(), err)
		}
		return nil
	}
	if !r.awaitDrop(ctx, err) {
		return errors.Join(ctx.Err(), err)
	}
	wait, ok := r.awaitRetry(ctx, err)
	if errors.Is(err, kingcuphook.ErrOverloaded) || errors.Is(err, kingcuphook.ErrRateLimited) {
		wait += overloadWait << min(max(r.turnedAway-1, 0), maxOverloadDoublings)
	}
	if !ok {
		r.d.count(func(n *Counts) { n.RetriesRejected++ })
		return fmt.Errorf("%w (retry budget spent)", err)
	}
	if !pauser.Pause(ctx, wait) {
		return errors.Join(ctx.Err(), err)
	}
	return nil
}

// unsentWait returns the delay after a dispatch that was not sent: that of the retry budget, from
// which nothing is spent, and more for a stream that has begun.
func (r *run) unsentWait() time.Duration {
	wait := r.d.delay(r.request, r.unsent)
	if r.answer.Position() > 0 && r.unsent > 1 {
		wait = max(wait, unsentDelay<<(r.unsent-2))
	}
	return wait
}

// isTurnedAway reports whether an upstream without room has refused a call that must go on, so that it
// waits for room instead of failing.
func (r *run) isTurnedAway(err error) bool {
	return r.mustGoOn() && errors.Is(err, kingcuphook.ErrUnavailable) && errors.Is(err, kingcuphook.ErrOverloaded)
}

// mustGoOn reports whether the call waits for upstreams instead of failing: its caller has part of a
// stream, which is useless without the rest, or this router ended an attempt that might have answered.
func (r *run) mustGoOn() bool {
	return r.moved || r.request.Stream() && r.answer.Position() > 0
}

// awaitRetry is like spendRetry, but waits for the budget if the call was turned away.
func (r *run) awaitRetry(ctx context.Context, err error) (time.Duration, bool) {
	for {
		wait, ok := r.spendRetry()
		if ok || !r.isTurnedAway(err) || !pauser.Pause(ctx, budgetInterval) {
			return wait, ok
		}
	}
}

// awaitDrop waits until an upstream whose other requests went on has dropped a cancelled attempt, as
// further data of theirs shows. It reports false if ctx ends before.
func (r *run) awaitDrop(ctx context.Context, err error) bool {
	var silence *silenceError
	if !errors.As(err, &silence) || silence.evidence != kingcuphook.SilenceEvidenceActive {
		return true
	}
	noticed := silence.cancelledAt.Add(closeTime)
	for time.Now().Before(silence.patientUntil) && !r.d.activity.Last(silence.program).After(noticed) {
		if !pauser.Pause(ctx, dropInterval) {
			return false
		}
	}
	return true
}

// maxAttempts returns the maximum number of attempts of the call.
func (r *run) maxAttempts() int {
	if r.call.Opaque != nil {
		return max(r.call.Opaque.MaxAttempts, 1)
	}
	return r.d.Limits.MaxAttempts
}

// attempt acquires a slot, runs the call once on its upstream and ends the trial of a part.
func (r *run) attempt(ctx context.Context) (kingcuphook.Outcome, error) {
	out, err := r.attemptOnce(ctx)
	r.endPartTrial(err)
	return out, err
}

// attemptOnce acquires a slot and runs the call once on its upstream, unless a part is quarantined.
func (r *run) attemptOnce(ctx context.Context) (kingcuphook.Outcome, error) {
	if err := r.checkParts(); err != nil {
		return kingcuphook.Outcome{}, err
	}
	slot, t, err := r.acquireInTime(ctx)
	r.endMove()
	if err != nil {
		return kingcuphook.Outcome{}, &finalError{err}
	}
	sample := kingcuphook.Sample{Cancelled: true}
	r.slot = slot
	defer func() { r.slot.Release(sample) }()
	r.trial = t
	defer t.end()
	// The wait for the slot may have been long.
	if err := r.checkParts(); err != nil {
		return kingcuphook.Outcome{}, err
	}
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
		return kingcuphook.Outcome{}, r.recordFailure(ctx, r.slot.Choice().Upstream, err)
	}
	out.Attempts = r.attempts
	return out, r.tracker.Apply(tracker.EventComplete)
}

// detach returns a context that keeps the deadline of ctx but not its
// cancellation, unless the router ends it because it is stopping. A call that holds
// a claim is completed even if its caller disconnects, so that a resend finds its
// outcome.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	free, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); errors.Is(cause, kingcuphook.ErrStopping) {
			cancel(cause)
		}
	})
	end := func() {}
	if deadline, ok := ctx.Deadline(); ok {
		free, end = context.WithDeadline(free, deadline)
	}
	return free, func() {
		stop()
		end()
		cancel(nil)
	}
}

// dispatch records that the call is about to be sent to an upstream. It fails if
// the claim is too old to be used.
func (r *run) dispatch() error {
	if r.tracker.NeedsClaim && !r.ticket.Usable(time.Now()) {
		return &finalError{&kingcuphook.RequestError{
			Code: codeClaimExpired,
			Ran:  r.tracker.RunState(),
			Err:  fmt.Errorf("dispatcher: claim too old: %w", kingcuphook.ErrLeaseLost),
		}}
	}
	if err := r.tracker.Apply(tracker.EventDispatch); err != nil {
		return &finalError{err}
	}
	r.attempts++
	r.dispatched = true
	r.d.count(func(n *Counts) {
		n.Attempts++
		if r.answer.Position() > 0 {
			n.Resumed++
		}
	})
	return nil
}

// recordFailure records an attempt that ended without a complete answer, and
// returns the error for prepareRetry.
func (r *run) recordFailure(ctx context.Context, u *kingcuphook.Upstream, err error) error {
	event := tracker.EventBreak
	if errors.Is(err, kingcuphook.ErrUnavailable) && r.tracker.State() == tracker.StateDispatched {
		event = tracker.EventRefuse
	}
	if e := r.tracker.Apply(event); e != nil {
		return &finalError{errors.Join(err, e)}
	}
	if errors.Is(err, kingcuphook.ErrNotSent) || errors.Is(err, kingcuphook.ErrMisdirected) && errors.Is(err, kingcuphook.ErrUnavailable) {
		r.attempts--
		r.unsent++
	} else {
		r.unsent = 0
	}
	if r.isTurnedAway(err) {
		r.attempts--
		r.turnedAway++
	}
	suspect := ctx.Err() == nil && r.recordBroken(r.isolated, u, err)
	switch {
	case ctx.Err() != nil:
		return err
	case errors.Is(err, errPreempted):
		r.attempts--
		r.d.count(func(n *Counts) { n.Preempted++ })
		return err
	case errors.Is(err, kingcuphook.ErrVersionUnrecorded):
		r.restarted = true
	case errors.Is(err, errUnresponsive):
		r.moved = true
		r.countSilence(err)
	case event == tracker.EventBreak && isCrash(err):
		r.recordCrash(ctx, u, suspect)
		r.replaceRestart()
	}
	if errors.Is(err, kingcuphook.ErrNotSent) {
		r.unreached = append(r.unreached, u.Address())
	} else {
		r.failed = append(r.failed, u.Address())
	}
	return err
}

// replaceRestart gives back the attempt that was left for the crash of an upstream, if it was spent since
// a stream could not be recorded. A crashed upstream doesn't count.
func (r *run) replaceRestart() {
	if r.restarted {
		r.restarted = false
		r.attempts--
	}
}

// countSilence counts an attempt that was cancelled because its upstream is unresponsive.
func (r *run) countSilence(err error) {
	var silence *silenceError
	isLong := errors.As(err, &silence) && silence.evidence == kingcuphook.SilenceEvidenceLong
	r.d.count(func(n *Counts) {
		n.Unresponsive++
		if isLong {
			n.LongSilent++
		}
	})
}

func (r *run) newAttempt(c kingcuphook.Choice) *kingcuphook.Attempt {
	address := c.Upstream.Address()
	resent := slices.Contains(r.sent, address)
	r.sent = append(r.sent, address)
	if r.continues.Handle != "" {
		// The copy has the prefix too.
		c.CopyFrom = ""
	}
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
		Continues:   r.continues,
		Resent:      resent,
	})
}

// fail ends the call and returns the error for its caller. If the call certainly
// did not run, its claim is released.
func (r *run) fail(err error) error {
	reqErr := &kingcuphook.RequestError{Code: code(err), Ran: r.tracker.RunState(), Attempts: r.attempts, Err: err}
	_ = r.tracker.Apply(tracker.EventFail)
	var inner *kingcuphook.RequestError
	if errors.As(err, &inner) {
		reqErr.Code = inner.Code
		reqErr.RetryAfter = inner.RetryAfter
		if inner.Ran == kingcuphook.RunStateUnknown {
			reqErr.Ran = inner.Ran
		}
	}
	if reqErr.Ran == kingcuphook.RunStateNotRun && r.d.Claimer != nil {
		r.d.Claimer.Release(r.ticket)
	}
	return reqErr
}
