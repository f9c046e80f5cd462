package dispatcher_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// Streams that aren't opaque were all cancelled for the one retry that the budget had left.
func TestSilentEngineKeepsStreamsThatCannotBeRetried(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		r.Engine = silentEngine{r.engine}
		r.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Window{Slack: 1.25, Fleet: &retrier.Fleet{}} }
		r.Limits.TokenTimeout = 400 * time.Millisecond
		var group sync.WaitGroup
		errs := make([]error, 4)
		for i := range errs {
			f := kingcuphook.RequestFields{ID: fmt.Sprint(i), Fingerprint: uint64(i), Stream: true}
			c := &kingcuphook.Call{Request: kingcuphook.NewRequest(f), Kind: kingcuphook.UpstreamKindEngine}
			group.Go(func() { _, errs[i] = r.Dispatch(context.Background(), c, r) })
		}
		group.Wait()
		for _, err := range errs {
			r.NoErr(err)
		}
	})
}

// A stream that finds no retry must end although its upstream never goes on.
func TestSilentEngineEndsStreamsThatCannotBeRetried(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		e := &pausingEngine{Engine: r.engine, silence: time.Hour}
		r.Engine = e
		r.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Budget{Burst: 0.5, Refill: 0.001} }
		r.Limits.TokenTimeout = 400 * time.Millisecond
		c := &kingcuphook.Call{Request: movableStream().Request, Kind: kingcuphook.UpstreamKindEngine}
		_, err := r.Dispatch(context.Background(), c, r)
		r.True(err != nil)
		r.Equal(e.leftAt.Sub(e.silentAt), 1600*time.Millisecond)
	})
}
