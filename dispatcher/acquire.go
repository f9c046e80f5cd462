package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/quarantiner"
)

// acquire waits for a slot on an upstream that can run or resume the call. If the
// call is a suspect, the trial is not nil and must be ended after the attempt.
func (r *run) acquire(ctx context.Context) (kingcuphook.Slot, *trial, error) {
	if r.call.Opaque != nil {
		slot, err := r.acquireOpaque(ctx)
		return slot, nil, err
	}
	for {
		suspect, err := r.awaitVerdict(ctx)
		if err != nil {
			return nil, nil, err
		}
		if !suspect {
			slot, err := r.tryAcquire(ctx, nil)
			if slot != nil || err != nil {
				return slot, nil, err
			}
			continue
		}
		slot, t, err := r.acquireForTrial(ctx)
		if slot != nil || err != nil {
			return slot, t, err
		}
		if !pauser.Pause(ctx, verdictInterval) {
			return nil, nil, ctx.Err()
		}
	}
}

// acquireOpaque waits for a slot for an opaque call. Such calls have no trials:
// they are rejected while the quarantiner holds or quarantines them.
func (r *run) acquireOpaque(ctx context.Context) (kingcuphook.Slot, error) {
	switch r.d.Quarantiner.Check(time.Now(), r.request.Fingerprint()) {
	case quarantiner.VerdictHeld, quarantiner.VerdictQuarantined:
		return nil, fmt.Errorf("dispatcher: call %016x: %w", r.request.Fingerprint(), kingcuphook.ErrQuarantined)
	}
	waiting, cancel := r.boundWait(ctx)
	defer cancel()
	for {
		slot, err := r.tryAcquire(waiting, nil)
		if err != nil && ctx.Err() == nil && waiting.Err() != nil {
			return nil, &kingcuphook.RequestError{
				Code:       kingcuphook.CodeOverloaded,
				Ran:        r.tracker.RunState(),
				RetryAfter: r.queueRetryAfter(),
				Err:        fmt.Errorf("dispatcher: no slot in time: %w", kingcuphook.ErrOverloaded),
			}
		}
		if slot != nil || err != nil {
			return slot, err
		}
	}
}

// boundWait limits how long a call waits for its first upstream, by
// Limits.WaitShare. A call that was dispatched before waits until its deadline,
// since its caller may already have part of the answer.
func (r *run) boundWait(ctx context.Context) (context.Context, context.CancelFunc) {
	share, deadline := r.d.Limits.WaitShare, r.request.Deadline()
	if r.dispatched || share <= 0 || deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	allowed := deadline.Sub(r.begun)
	return context.WithDeadline(ctx, r.begun.Add(time.Duration(share*float64(allowed))))
}

// queueRetryAfter returns the retry-after value for a call that got no slot in
// time. It is jittered so that callers do not retry all at once.
func (r *run) queueRetryAfter() time.Duration {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	return MinQueueRetryAfter + time.Duration(r.d.Rand.Int64N(int64(queueRetryAfterJitter)))
}

// acquireForTrial tries once to acquire a slot for a suspect on an upstream that
// runs no other suspect. It returns neither a slot nor an error if the caller
// must get a new verdict and try again.
func (r *run) acquireForTrial(ctx context.Context) (kingcuphook.Slot, *trial, error) {
	t := r.d.newTrial(r.request.Fingerprint())
	if t == nil {
		return nil, nil, nil
	}
	slot, err := r.tryAcquire(ctx, r.d.Quarantiner.Reserved())
	if slot == nil || err != nil {
		t.end()
		return nil, nil, err
	}
	// The verdict may have changed meanwhile: an upstream of another router may have
	// crashed on the same body.
	verdict := r.d.Quarantiner.Check(time.Now(), r.request.Fingerprint())
	if t.reserveUpstream(slot.Choice().Upstream.Address()) && verdict == quarantiner.VerdictSuspect {
		return slot, t, nil
	}
	slot.Release(kingcuphook.Sample{Cancelled: true})
	t.end()
	return nil, nil, nil
}

// blocksResume reports whether the caller already has part of the answer that the
// upstream cannot resume.
func (r *run) blocksResume(u *kingcuphook.Upstream) bool {
	return r.request.Stream() && r.answer.Position() > 0 && !u.Resumes()
}

// tryAcquire requests a slot on an upstream that is not in busy, did not fail this
// call and can resume it. It returns neither a slot nor an error if the caller must
// try again.
func (r *run) tryAcquire(ctx context.Context, busy []string) (kingcuphook.Slot, error) {
	excluded := append(r.excluded(), busy...)
	if excluded == nil && r.dispatched {
		// A list that is not nil marks a request that had a slot before.
		excluded = []string{}
	}
	stop := r.readmitLater(busy)
	slot, err := r.d.Allocator.Acquire(ctx, r.request, excluded)
	stop()
	switch {
	case err == nil && r.blocksResume(slot.Choice().Upstream):
		r.cannotResume = append(r.cannotResume, slot.Choice().Upstream.Address())
		slot.Release(kingcuphook.Sample{Cancelled: true})
		return nil, nil
	case errors.Is(err, kingcuphook.ErrVersionGone) && r.unpin():
		return nil, nil
	case err != nil && isBlocked(err) && (r.moved || r.answer.Position() > 0):
		// The call must go on, so it waits for the upstreams instead of failing.
		pauser.Pause(ctx, retryAfter(err))
		return nil, nil
	case err == nil || !errors.Is(err, kingcuphook.ErrNoUpstream):
		return slot, err
	case len(busy) > 0 && ctx.Err() == nil:
		return nil, nil
	case len(r.failed)+len(r.unreached) == 0:
		return nil, err
	default:
		r.failed, r.unreached = nil, nil
		return nil, nil
	}
}

// excluded returns the upstreams that the next attempt leaves out.
func (r *run) excluded() []string { return slices.Concat(r.cannotResume, r.failed, r.unreached) }

// readmitLater lets the call, while it waits for a slot, be assigned to the upstreams that could not be reached
// again after a delay: the others may stay without a slot until its deadline. The last dispatch is kept for
// another upstream. The returned function ends that.
func (r *run) readmitLater(busy []string) (stop func()) {
	if r.d.Readmit == nil || len(r.unreached) == 0 || r.unsent >= maxUnsent-1 {
		return func() {}
	}
	request, excluded := r.request, slices.Concat(r.cannotResume, r.failed, busy)
	done := make(chan struct{})
	timer := time.AfterFunc(readmitDelay<<max(r.unsent-1, 0), func() {
		defer close(done)
		r.d.Readmit(request, excluded)
	})
	return func() {
		if !timer.Stop() {
			<-done
			r.unreached = nil
		}
	}
}

// isBlocked reports whether all upstreams are paused or at their rate limit.
func isBlocked(err error) bool {
	return errors.Is(err, kingcuphook.ErrPaused) || errors.Is(err, kingcuphook.ErrUpstreamsLimited)
}

// retryAfter returns the retry-after value of a RequestError, or 0.
func retryAfter(err error) time.Duration {
	var reqErr *kingcuphook.RequestError
	if !errors.As(err, &reqErr) {
		return 0
	}
	return reqErr.RetryAfter
}
