package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
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
