package dispatcher_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// movableStream returns a call for a stream that may move to a second upstream.
func movableStream() *kingcuphook.Call {
	return &kingcuphook.Call{
		Request: kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "1", Fingerprint: 1, Stream: true}),
		Kind:    kingcuphook.UpstreamKindEngine,
		Opaque:  &kingcuphook.Opaque{MaxAttempts: 2, FirstByte: time.Second, Silence: 400 * time.Millisecond},
	}
}

// unreachableEngine makes upstream a fall silent like silentEngine, and can't reach upstream b.
type unreachableEngine struct{ silentEngine }

func (e unreachableEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	if u.Address() == "b" {
		return nil, errUnsent
	}
	return e.silentEngine.Start(ctx, u, a)
}

// A stream was cut since the upstream of the one retry that the budget allowed could not be
// reached, although another one could.
func TestRetryThatWasNotSentIsStillReserved(t *testing.T) {
	runTest(t, []bool{true, true, true}, func(r *harness) {
		r.Engine = unreachableEngine{silentEngine{r.engine}}
		r.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Window{Slack: 1.25, Fleet: &retrier.Fleet{}} }
		_, err := r.Dispatch(context.Background(), movableStream(), r)
		r.NoErr(err)
		r.Equal(len(r.engine.Runs()), 2)
	})
}

// farEngine can't reach the upstreams of the given starts, counted from 1, and falls silent in the
// streams of start 6.
type farEngine struct {
	silentEngine

	started int
	unsent  []int
}

func (e *farEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	e.started++
	if slices.Contains(e.unsent, e.started) {
		return nil, errUnsent
	}
	s, err := e.Engine.Start(ctx, u, a)
	if err == nil && e.started == 6 {
		s = &silentStream{Stream: s}
	}
	return s, err
}

// A stream of a sound upstream was cut since the upstreams that could not be reached before it
// began left its retry one dispatch.
func TestUnsentDispatchesBeforeStreamLeaveItsRetryWhole(t *testing.T) {
	runTest(t, []bool{true, true, true, true, true, true, true, true, true}, func(r *harness) {
		r.Engine = &farEngine{silentEngine: silentEngine{r.engine}, unsent: []int{1, 2, 3, 4, 5, 7}}
		_, err := r.Dispatch(context.Background(), movableStream(), r)
		r.NoErr(err)
		r.Equal(len(r.engine.Runs()), 2)
	})
}

// restartingEngine breaks the first stream after some frames, and can't reach any upstream for a
// while after that.
type restartingEngine struct {
	silentEngine

	brokenAt time.Time
}

func (e *restartingEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	if !e.brokenAt.IsZero() && time.Since(e.brokenAt) < 500*time.Millisecond {
		return nil, errUnsent
	}
	s, err := e.Engine.Start(ctx, u, a)
	if err != nil || !e.brokenAt.IsZero() {
		return s, err
	}
	return &endingStream{Stream: s, engine: e}, nil
}

// endingStream breaks at its fifth frame.
type endingStream struct {
	kingcuphook.Stream

	engine *restartingEngine
	frames int
}

func (s *endingStream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	s.frames++
	if s.frames == 5 {
		s.engine.brokenAt = time.Now()
		return kingcuphook.Frame{}, kingcuphook.ErrBrokenStream
	}
	return s.Stream.Next(ctx)
}

// A stream was cut within a millisecond while all upstreams refused connections, though its deadline
// was far.
func TestStreamWaitsWhileConnectionsAreRefused(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		r.Engine = &restartingEngine{silentEngine: silentEngine{r.engine}}
		_, err := r.Dispatch(context.Background(), movableStream(), r)
		r.NoErr(err)
		r.Equal(len(r.engine.Runs()), 2)
	})
}

// refusingEngine refuses all connections and keeps when they were tried, and where.
type refusingEngine struct {
	kingcuphook.Engine

	at        []time.Time
	addresses []string
}

func (e *refusingEngine) Start(_ context.Context, u *kingcuphook.Upstream, _ *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	e.at = append(e.at, time.Now())
	e.addresses = append(e.addresses, u.Address())
	return nil, errUnsent
}

// Six refusals of one call followed each other at once, before any upstream could be back.
func TestRefusedConnectionsAreSpreadOut(t *testing.T) {
	runTest(t, []bool{true, true, true}, func(r *harness) {
		e := &refusingEngine{Engine: r.engine}
		r.Engine = e
		budget := &retrier.Budget{Burst: 1, Rand: rand.New(rand.NewPCG(1, 1))}
		r.NewBudget = func(string) kingcuphook.RetryBudget { return budget }
		_, err := r.call(stream)
		r.True(err != nil)
		r.Equal(len(e.at), 6)
		for i, bound := 1, 50*time.Millisecond; i < len(e.at); i, bound = i+1, 2*bound {
			gap := e.at[i].Sub(e.at[i-1])
			r.True(gap > 0 && gap <= bound)
		}
		r.Equal(len(slices.Compact(slices.Sorted(slices.Values(e.addresses[:3])))), 3) // one that refused is left out
		r.True(budget.Spend(time.Now()))                                               // nothing was spent
	})
}

// The delay before another dispatch must not outlast the deadline of its call.
func TestDelayOfUnsentDispatchEndsAtDeadline(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		r.Engine = &refusingEngine{Engine: r.engine}
		r.NewBudget = func(string) kingcuphook.RetryBudget {
			return &retrier.Budget{BaseDelay: time.Hour, MaxDelay: time.Hour, Rand: rand.New(rand.NewPCG(1, 1))}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := r.callContext(ctx, kingcuphook.UpstreamKindEngine, stream)
		r.True(err != nil)
		r.Equal(time.Since(start), 200*time.Millisecond)
	})
}
