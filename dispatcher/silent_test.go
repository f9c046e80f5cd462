package dispatcher_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// silentEngine makes the upstream a silent for a second within each of its streams.
type silentEngine struct{ *runner.Engine }

func (e silentEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	s, err := e.Engine.Start(ctx, u, a)
	if err != nil || u.Address() != "a" {
		return s, err
	}
	return &silentStream{Stream: s}, nil
}

type silentStream struct {
	kingcuphook.Stream
	frames int
}

func (s *silentStream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	s.frames++
	if s.frames == 5 && !pauser.Pause(ctx, time.Second) {
		return kingcuphook.Frame{}, ctx.Err()
	}
	return s.Stream.Next(ctx)
}

// silentStreams runs streams whose upstream a falls silent, with a budget of one retry, and
// returns how many fail and how many are retried.
func silentStreams(t *testing.T, resumes []bool) (failed, retried int) {
	const calls = 4
	runTest(t, resumes, func(r *harness) {
		r.Engine = silentEngine{r.engine}
		r.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Window{Slack: 1.25, Fleet: &retrier.Fleet{}} }
		var group sync.WaitGroup
		errs := make([]error, calls)
		for i := range calls {
			f := kingcuphook.RequestFields{ID: fmt.Sprint(i), Fingerprint: uint64(i), Stream: true}
			c := &kingcuphook.Call{
				Request: kingcuphook.NewRequest(f), Kind: kingcuphook.UpstreamKindEngine,
				Opaque: &kingcuphook.Opaque{MaxAttempts: 2, FirstByte: time.Second, Silence: 400 * time.Millisecond},
			}
			group.Go(func() { _, errs[i] = r.Dispatch(context.Background(), c, r) })
		}
		group.Wait()
		for _, err := range errs {
			if err != nil {
				t.Log(err)
				failed++
			}
		}
		retried = len(r.engine.Runs()) - calls
	})
	return failed, retried
}

// All streams of a silent upstream were cancelled for the one retry that the budget had left.
func TestSilentUpstreamKeepsStreamsThatCannotBeRetried(t *testing.T) {
	failed, retried := silentStreams(t, []bool{true, true})
	if failed != 0 || retried != 1 {
		t.Errorf("got %d failed and %d retried streams, want 0 and 1", failed, retried)
	}
}
