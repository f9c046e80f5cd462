package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// retryStopping is the retry-after value of calls that can't end before the graceful shutdown
// does: another router takes them at once.
const retryStopping = 100 * time.Millisecond

// errLate is the cause with which the wait for a slot ends once the call may not start any more.
var errLate = errors.New("no time left to run")

// acquireInTime waits for a slot like acquire. If the router is stopping and the call has not
// run, it waits only as long as the call may still start.
func (r *run) acquireInTime(ctx context.Context) (kingcuphook.Slot, *trial, error) {
	if r.d.Stopping == nil || r.tracker.RunState() != kingcuphook.RunStateNotRun {
		return r.acquire(ctx)
	}
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request := r.request
	stop := context.AfterFunc(r.d.Stopping, func() {
		if pauser.Pause(waiting, time.Until(r.d.LatestStart(request))) {
			cancel(errLate)
		}
	})
	defer stop()
	slot, t, err := r.acquire(waiting)
	// The forecast may have changed since the wait was ended.
	wasEnded := err != nil && errors.Is(context.Cause(waiting), errLate)
	if ctx.Err() != nil || !wasEnded && !r.isLate(time.Now()) {
		return slot, t, err
	}
	if slot != nil {
		slot.Release(kingcuphook.Sample{Cancelled: true})
		t.end()
	}
	return nil, nil, &kingcuphook.RequestError{
		Code:       kingcuphook.CodeStopping,
		Ran:        kingcuphook.RunStateNotRun,
		RetryAfter: retryStopping,
		Err:        fmt.Errorf("dispatcher: no time left to run: %w", kingcuphook.ErrStopping),
	}
}

// isLate reports whether the call may not be sent to its first upstream any more.
func (r *run) isLate(now time.Time) bool {
	latest := r.d.LatestStart(r.request)
	return !latest.IsZero() && !now.Before(latest)
}
