package dispatcher_test

import (
	"context"
	"fmt"
	"slices"
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
// returns how many fail and how many are retried. The function set changes the harness before.
func silentStreams(t *testing.T, set func(*harness)) (failed, retried int) {
	const calls = 4
	runTest(t, []bool{true, true}, func(r *harness) {
		r.Engine = silentEngine{r.engine}
		r.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Window{Slack: 1.25, Fleet: &retrier.Fleet{}} }
		set(r)
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
	failed, retried := silentStreams(t, func(*harness) {})
	if failed != 0 || retried != 1 {
		t.Errorf("got %d failed and %d retried streams, want 0 and 1", failed, retried)
	}
}

// A stream of a silent upstream was cancelled although no other upstream could go on with it.
func TestSilentUpstreamKeepsStreamsThatNoOtherCanResume(t *testing.T) {
	failed, retried := silentStreams(t, func(r *harness) {
		r.HasVacancy = func(_ *kingcuphook.Request, excluded []string, resumes bool, _ int) bool {
			return !resumes || len(excluded) != 1 || excluded[0] != "a"
		}
	})
	if failed != 0 || retried != 0 {
		t.Errorf("got %d failed and %d retried streams, want none", failed, retried)
	}
}

// lateEngine answers calls just when they are cancelled.
type lateEngine struct{ scriptedEngine }

func (e *lateEngine) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	<-ctx.Done()
	return e.scriptedEngine.Call(ctx, u, a)
}

// TestUnusedRetryIsRefunded checks that a retry that was reserved goes back to the budget if
// its attempt is answered after all.
func TestUnusedRetryIsRefunded(t *testing.T) {
	withScript(t, func(r *harness, _ *scriptedEngine) {
		budget := &countingBudget{}
		r.NewBudget = func(string) kingcuphook.RetryBudget { return budget }
		r.Engine = &lateEngine{}
		r.Limits.ReplyTimeout = time.Second
		began := time.Now()
		r.True(r.dispatchOpaque(plain, 2) == nil)
		r.Equal(time.Since(began), time.Second) // cancelled by the timeout
		r.Equal(budget.spent, 0)
	})
}

// narrowPool has one slot at the upstream b.
type narrowPool struct{ *harness }

func (p narrowPool) isFull() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.slots, func(s *slot) bool { return s.upstream.Address() == "b" && s.sample == nil })
}

func (p narrowPool) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	if slices.Contains(excluded, "a") && p.isFull() {
		return nil, kingcuphook.ErrOverloaded
	}
	return p.harness.Acquire(ctx, r, excluded)
}

// All streams of a silent upstream were cancelled for the one slot that was free elsewhere.
func TestSilentUpstreamKeepsStreamsThatFindNoSlot(t *testing.T) {
	failed, retried := silentStreams(t, func(r *harness) {
		pool := narrowPool{r}
		r.Allocator = pool
		r.HasVacancy = func(_ *kingcuphook.Request, _ []string, _ bool, n int) bool { return n <= 1 && !pool.isFull() }
		r.NewBudget = nil
	})
	if failed != 0 || retried == 0 {
		t.Errorf("got %d failed and %d retried streams, want 0 and some", failed, retried)
	}
}
