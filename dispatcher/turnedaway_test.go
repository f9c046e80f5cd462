package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// fullEngine makes the upstream a silent like silentEngine, and has b refuse calls for a while.
type fullEngine struct {
	silentEngine

	until   time.Time
	refused int
}

func (e *fullEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	if u.Address() == "b" && time.Now().Before(e.until) {
		e.refused++
		return nil, fmt.Errorf("full: %w: %w", kingcuphook.ErrUnavailable, kingcuphook.ErrOverloaded)
	}
	return e.silentEngine.Start(ctx, u, a)
}

// A stream that had left a silent upstream was cut, since other routers had taken the room at the
// next one.
func TestStreamWaitsForRoomElsewhere(t *testing.T) {
	for name, budget := range map[string]kingcuphook.RetryBudget{
		"with retries":    &countingBudget{},
		"without retries": &retrier.Budget{Burst: 1, Refill: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, []bool{true, true}, func(r *harness) {
				e := &fullEngine{silentEngine: silentEngine{r.engine}, until: time.Now().Add(3 * time.Second)}
				r.Engine = e
				r.NewBudget = func(string) kingcuphook.RetryBudget { return budget }
				_, err := r.Dispatch(context.Background(), movableStream(), r)
				r.NoErr(err)
				r.True(e.refused > 0 && e.refused <= 8)
			})
		})
	}
}

// A stream that waits for room must end with its caller.
func TestStreamThatWaitsForRoomEndsWithCaller(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		r.Engine = &fullEngine{silentEngine: silentEngine{r.engine}, until: time.Now().Add(time.Hour)}
		r.acquire = func(ctx context.Context) error { return ctx.Err() }
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		began := time.Now()
		r.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Budget{Burst: 1, Refill: 0.01} }
		_, err := r.Dispatch(ctx, movableStream(), r)
		r.True(err != nil)
		r.Equal(time.Since(began), 2*time.Second)
	})
}

// quietEngine never answers the first attempt, and refuses the next ones for a while.
type quietEngine struct {
	silentEngine

	until             time.Time
	attempts, refused int
}

func (e *quietEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	e.attempts++
	if e.attempts == 1 {
		<-ctx.Done()
		return nil, errors.Join(kingcuphook.ErrOutcomeUnknown, ctx.Err())
	}
	if time.Now().Before(e.until) {
		e.refused++
		return nil, errOverloaded
	}
	return e.Engine.Start(ctx, u, a)
}

func (e *quietEngine) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	s, err := e.Start(ctx, u, a)
	if err != nil {
		return kingcuphook.Answer{}, err
	}
	return kingcuphook.NewOpaqueAnswer(http.StatusOK, http.Header{}, []byte("whole")), s.Close()
}

// Calls that were moved off an upstream which had not begun to answer were ended, since there was no room at
// the next one.
func TestCallWithoutAnswerWaitsForRoomElsewhere(t *testing.T) {
	for _, kind := range []kingcuphook.UpstreamKind{kingcuphook.UpstreamKindEngine, kingcuphook.UpstreamKindService} {
		t.Run(string(kind), func(t *testing.T) {
			runTest(t, []bool{true, true}, func(r *harness) {
				e := &quietEngine{silentEngine: silentEngine{r.engine}, until: time.Now().Add(3 * time.Second)}
				r.Engine = e
				r.NewBudget = func(string) kingcuphook.RetryBudget { return &countingBudget{} }
				c := movableStream()
				c.Kind = kind
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				defer cancel()
				_, err := r.Dispatch(ctx, c, r)
				r.NoErr(err)
				r.True(e.refused > 0 && e.refused <= 8)
			})
		})
	}
}

// Calls that had been moved were ended, since the upstreams were at their rate limit.
func TestMovedCallWaitsForRateLimit(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		r.Engine = &quietEngine{silentEngine: silentEngine{r.engine}}
		r.NewBudget = func(string) kingcuphook.RetryBudget { return &countingBudget{} }
		acquired := 0
		r.acquire = func(context.Context) error {
			acquired++
			if acquired == 1 || acquired > 4 {
				return nil
			}
			return &kingcuphook.RequestError{
				Code: kingcuphook.CodeOverloaded, Ran: kingcuphook.RunStateNotRun, RetryAfter: time.Second, Err: kingcuphook.ErrUpstreamsLimited,
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		_, err := r.Dispatch(ctx, movableStream(), r)
		r.NoErr(err)
	})
}
