package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// TestStopEndsCallsWithTrueState checks that a call that a planned stop ends in any state ends at
// once, with a run state that is true.
func TestStopEndsCallsWithTrueState(t *testing.T) {
	const stop = time.Second
	wait := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	for name, test := range map[string]struct {
		// queued is the number of the attempt that gets no slot; 0 means none.
		queued int
		fault  runner.Fault
		ran    kingcuphook.RunState
	}{
		"queued":            {queued: 1, ran: kingcuphook.RunStateNotRun},
		"sent":              {fault: runner.Fault{Kind: runner.FaultSilence}, ran: kingcuphook.RunStateUnknown},
		"streaming":         {fault: runner.Fault{Kind: runner.FaultSilence, At: 5}, ran: kingcuphook.RunStateUnknown},
		"between two tries": {queued: 2, fault: runner.Fault{Kind: runner.FaultEarlyEnd, At: 5}, ran: kingcuphook.RunStateUnknown},
		"refused once":      {queued: 2, fault: runner.Fault{Kind: runner.FaultRefuse}, ran: kingcuphook.RunStateNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, []bool{true, true}, func(r *harness) {
				r.faults = []runner.Fault{test.fault}
				r.acquire = func(ctx context.Context) error {
					if len(r.slots)+1 == test.queued {
						return wait(ctx)
					}
					return nil
				}
				ctx, cancel := context.WithCancelCause(context.Background())
				time.AfterFunc(stop, func() { cancel(kingcuphook.ErrStopping) })
				began := time.Now()
				_, err := r.callContext(ctx, kingcuphook.UpstreamKindEngine, stream)
				r.Equal(time.Since(began), stop)
				r.Equal(err.Code, kingcuphook.CodeStopping)
				r.Equal(err.Ran, test.ran)
			})
		})
	}
}

// A call that waited for a slot, or for its next try, began so late in a planned stop that it was cut.
func TestStopRefusesCallsThatWouldStartLate(t *testing.T) {
	const stop, left = time.Second, 2 * time.Second
	for name, test := range map[string]struct {
		// slotAfter is how long the call waits for its slot, fault that of its first attempt.
		slotAfter time.Duration
		fault     runner.Fault
		takes     time.Duration
		refused   bool
	}{
		"in time":              {slotAfter: 2500 * time.Millisecond},
		"queued for too long":  {slotAfter: time.Minute, takes: stop + left, refused: true},
		"refused by upstream":  {slotAfter: 2900 * time.Millisecond, fault: runner.Fault{Kind: runner.FaultRefuse}, takes: stop + left, refused: true},
		"answer begun already": {slotAfter: 2900 * time.Millisecond, fault: runner.Fault{Kind: runner.FaultEarlyEnd, At: 5}},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, []bool{true, true}, func(r *harness) {
				began := time.Now()
				stopping, begin := context.WithCancel(context.Background())
				r.Stopping = stopping
				r.LatestStart = func(*kingcuphook.Request) time.Time {
					if stopping.Err() == nil {
						return time.Time{}
					}
					return began.Add(stop + left)
				}
				time.AfterFunc(stop, begin)
				r.faults = []runner.Fault{test.fault}
				r.acquire = func(ctx context.Context) error {
					pauser.Pause(ctx, test.slotAfter)
					return ctx.Err()
				}
				_, err := r.callContext(context.Background(), kingcuphook.UpstreamKindEngine, stream)
				r.Equal(err != nil, test.refused)
				if !test.refused {
					return
				}
				r.Equal(time.Since(began), test.takes)
				r.Equal(err.Code, kingcuphook.CodeStopping)
				r.Equal(err.Ran, kingcuphook.RunStateNotRun)
				r.True(err.RetryAfter > 0)
			})
		})
	}
}

// A queued call ended with an internal error when the forecast of its route became shorter as its wait ended.
func TestStopRefusesQueuedCallTrulyWhenForecastChanges(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		stopping, begin := context.WithCancel(context.Background())
		begin()
		r.Stopping = stopping
		began, asked := time.Now(), 0
		r.LatestStart = func(*kingcuphook.Request) time.Time {
			if asked++; asked == 1 {
				return began.Add(time.Second)
			}
			return began.Add(2 * time.Second)
		}
		r.faults = []runner.Fault{{}}
		r.acquire = func(ctx context.Context) error {
			pauser.Pause(ctx, time.Minute)
			return ctx.Err()
		}
		_, err := r.callContext(context.Background(), kingcuphook.UpstreamKindEngine, stream)
		r.True(err != nil)
		r.Equal(err.Code, kingcuphook.CodeStopping)
		r.Equal(err.Ran, kingcuphook.RunStateNotRun)
	})
}
