package dispatcher_test

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// scriptedEngine returns errs from successive attempts and then succeeds.
type scriptedEngine struct {
	errs  []error
	calls int
	// resent has whether the upstream of each call had had an attempt before.
	resent []bool
}

func (s *scriptedEngine) next() error {
	s.calls++
	if len(s.errs) == 0 {
		return nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

func (s *scriptedEngine) Start(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	return nil, s.next()
}

func (s *scriptedEngine) Call(_ context.Context, _ *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	s.resent = append(s.resent, a.Resent())
	err := s.next()
	var answered *kingcuphook.AnswerError
	if errors.As(err, &answered) {
		return answered.Answer, nil
	}
	return kingcuphook.NewOpaqueAnswer(http.StatusOK, http.Header{}, []byte("whole")), err
}

var (
	errUnsent      = errors.Join(kingcuphook.ErrUnavailable, kingcuphook.ErrNotSent)
	errMisdirected = errors.Join(kingcuphook.ErrUnavailable, kingcuphook.ErrMisdirected)
	errOverloaded  = errors.Join(kingcuphook.ErrUnavailable, kingcuphook.ErrOverloaded)
	errBroken      = errors.Join(kingcuphook.ErrOutcomeUnknown, errors.New("connection reset"))
	errAnswered    = &kingcuphook.AnswerError{Answer: kingcuphook.NewOpaqueAnswer(http.StatusInternalServerError, http.Header{}, []byte("why"))}
)

// dispatchOpaque runs one opaque call and returns its error, nil if it was
// answered.
func (r *harness) dispatchOpaque(f kingcuphook.RequestFields, attempts int) *kingcuphook.RequestError {
	f.ID, f.Fingerprint = "r1", 1
	c := &kingcuphook.Call{
		Request: kingcuphook.NewRequest(f),
		Kind:    kingcuphook.UpstreamKindService,
		Opaque:  &kingcuphook.Opaque{MaxAttempts: attempts},
	}
	_, err := r.Dispatch(context.Background(), c, r)
	if err == nil {
		return nil
	}
	var reqErr *kingcuphook.RequestError
	r.True(errors.As(err, &reqErr))
	return reqErr
}

// TestOpaqueAttempts checks how often an opaque call is sent if its attempts end with
// the given errors, and which run state the caller gets.
func TestOpaqueAttempts(t *testing.T) {
	once := kingcuphook.RequestFields{NonIdempotent: true}
	for name, test := range map[string]struct {
		fields   kingcuphook.RequestFields
		attempts int
		errs     []error
		calls    int
		ran      kingcuphook.RunState
	}{
		"unsent is retried elsewhere":             {once, 1, []error{errUnsent, errUnsent}, 3, ""},
		"unsent gives up when all unreachable":    {once, 1, []error{errUnsent, errUnsent, errUnsent, errUnsent, errUnsent, errUnsent, errUnsent}, 6, kingcuphook.RunStateNotRun},
		"overload counts as an attempt":           {once, 1, []error{errOverloaded}, 1, kingcuphook.RunStateNotRun},
		"overload is retried":                     {once, 2, []error{errOverloaded}, 2, ""},
		"non-idempotent broken is not retried":    {once, 2, []error{errBroken}, 1, kingcuphook.RunStateUnknown},
		"idempotent broken is retried":            {plain, 2, []error{errBroken}, 2, ""},
		"maximum number of attempts":              {plain, 2, []error{errBroken, errBroken}, 2, kingcuphook.RunStateUnknown},
		"error answer is retried":                 {plain, 2, []error{errAnswered}, 2, ""},
		"last error answer is returned":           {plain, 2, []error{errAnswered, errAnswered}, 2, kingcuphook.RunStateUnknown},
		"non-idempotent error answer is returned": {once, 2, []error{errAnswered}, 1, kingcuphook.RunStateUnknown},
		"overload after a broken attempt":         {plain, 2, []error{errBroken, errOverloaded}, 2, kingcuphook.RunStateUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			withScript(t, func(r *harness, engine *scriptedEngine) {
				engine.errs = test.errs
				err := r.dispatchOpaque(test.fields, test.attempts)
				r.Equal(engine.calls, test.calls)
				if test.ran == "" {
					r.True(err == nil)
					return
				}
				r.Equal(err.Ran, test.ran)
				// Attempts counts only the dispatches that were sent.
				unsent := 0
				for _, e := range test.errs {
					if errors.Is(e, kingcuphook.ErrNotSent) {
						unsent++
					}
				}
				r.Equal(err.Attempts, test.calls-min(unsent, test.calls))
			})
		})
	}
}

// A call that is sent to an upstream again must not go over a connection of its earlier attempt, on
// which the upstream may repeat the refusal of that one.
func TestAttemptsAtSameUpstreamAreMarked(t *testing.T) {
	for upstreams, want := range map[int][]bool{1: {false, true, true}, 2: {false, false, true}} {
		runTest(t, make([]bool, upstreams), func(r *harness) {
			engine := &scriptedEngine{errs: []error{errOverloaded, errOverloaded}}
			r.Engine, r.Store = engine, nil
			r.True(r.dispatchOpaque(kingcuphook.RequestFields{NonIdempotent: true}, 3) == nil)
			r.Equal(engine.resent, want)
		})
	}
}

// A call whose reply was that to another call, or found no room here, was suspected of a crash of the upstream.
func TestUnusableReplyIsNoCrash(t *testing.T) {
	for _, cause := range []error{kingcuphook.ErrForeignFrame, kingcuphook.ErrOutOfMemory} {
		withScript(t, func(r *harness, engine *scriptedEngine) {
			failed := errors.Join(kingcuphook.ErrOutcomeUnknown, cause)
			engine.errs = []error{failed, failed}
			r.True(r.dispatchOpaque(plain, 2) != nil)
			r.Equal(engine.calls, 2)
			r.Equal(r.Counts().Crashes, 0)
		})
	}
}

// withScript runs f with upstreams a to h behind a scripted engine.
func withScript(t *testing.T, f func(*harness, *scriptedEngine)) {
	runTest(t, make([]bool, 8), func(r *harness) {
		engine := &scriptedEngine{}
		r.Engine = engine
		r.Store = nil
		r.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Budget{} }
		f(r, engine)
	})
}

// countingBudget is an unlimited retry budget that counts the retries spent.
type countingBudget struct{ spent int }

func (*countingBudget) Succeeded(time.Time)     {}
func (c *countingBudget) Spend(time.Time) bool  { c.spent++; return true }
func (c *countingBudget) Refund(time.Time)      { c.spent-- }
func (*countingBudget) Delay(int) time.Duration { return 0 }

// TestRetryBudgetSpent checks that each retry that was sent to some program is spent once, and
// one that was not sent costs nothing.
func TestRetryBudgetSpent(t *testing.T) {
	for name, test := range map[string]struct {
		errs  []error
		spent int
	}{
		"unsent attempts are free":           {[]error{errUnsent, errUnsent}, 0},
		"misdirected attempts":               {[]error{errMisdirected, errMisdirected}, 2},
		"unsent after a misdirected attempt": {[]error{errMisdirected, errUnsent}, 1},
		"overloaded upstream":                {[]error{errOverloaded}, 1},
		"broken attempt":                     {[]error{errBroken}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withScript(t, func(r *harness, engine *scriptedEngine) {
				budget := &countingBudget{}
				r.NewBudget = func(string) kingcuphook.RetryBudget { return budget }
				engine.errs = test.errs
				r.True(r.dispatchOpaque(plain, 4) == nil)
				r.Equal(budget.spent, test.spent)
			})
		})
	}
}

// TestRejectsCallThatCrashesUpstreams checks that an opaque call is rejected before any
// attempt once two upstreams crashed on it.
func TestRejectsCallThatCrashesUpstreams(t *testing.T) {
	withScript(t, func(r *harness, engine *scriptedEngine) {
		for range 2 {
			engine.errs = []error{errBroken, errBroken}
			r.True(r.dispatchOpaque(plain, 1) != nil)
			// The next crash is on another upstream.
			r.upstreams = r.upstreams[1:]
			time.Sleep(time.Second)
		}
		before := engine.calls
		err := r.dispatchOpaque(plain, 2)
		r.Equal(engine.calls, before) // rejected before any attempt
		r.Equal(err.Ran, kingcuphook.RunStateNotRun)
	})
}

// Calls on sound upstreams that were silent were suspected of crashes.
func TestTimeoutOfConnectionIsNotACrash(t *testing.T) {
	for _, cause := range []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		withScript(t, func(r *harness, engine *scriptedEngine) {
			for range 2 {
				engine.errs = []error{errors.Join(kingcuphook.ErrOutcomeUnknown, cause)}
				r.True(r.dispatchOpaque(plain, 1) != nil)
				r.upstreams = r.upstreams[1:]
				time.Sleep(time.Second)
			}
			r.True(r.dispatchOpaque(plain, 1) == nil)
		})
	}
}

func TestOpaqueErrorAnswerIsNotACrash(t *testing.T) {
	withScript(t, func(r *harness, engine *scriptedEngine) {
		for range 4 {
			engine.errs = []error{errAnswered}
			r.True(r.dispatchOpaque(plain, 1) != nil)
			r.upstreams = r.upstreams[1:]
		}
		r.True(r.dispatchOpaque(plain, 1) == nil)
	})
}

// TestWaitForFirstUpstreamIsBounded checks that Limits.WaitShare limits the wait of a
// call that was not dispatched yet, and only of such a call.
func TestWaitForFirstUpstreamIsBounded(t *testing.T) {
	for _, dispatched := range []bool{false, true} {
		withScript(t, func(r *harness, engine *scriptedEngine) {
			r.Limits.WaitShare = 0.4
			if dispatched {
				engine.errs = []error{errBroken}
			}
			r.acquire = func(ctx context.Context) error {
				if dispatched && engine.calls == 0 {
					return nil
				}
				<-ctx.Done()
				return ctx.Err()
			}
			now := time.Now()
			err := r.dispatchOpaque(kingcuphook.RequestFields{Arrived: now, Deadline: now.Add(10 * time.Second)}, 2)
			if dispatched {
				r.Equal(time.Since(now), 10*time.Second) // a dispatched call waits until its deadline
				r.Equal(err.Ran, kingcuphook.RunStateUnknown)
				return
			}
			r.Equal(time.Since(now), 4*time.Second)
			r.Equal(err.Ran, kingcuphook.RunStateNotRun)
			r.True(err.RetryAfter >= 500*time.Millisecond)
		})
	}
}

// A call whose body had arrived late was refused as overloaded, although upstreams had free slots.
func TestCallWithLateBodyFindsFreeSlot(t *testing.T) {
	withScript(t, func(r *harness, _ *scriptedEngine) {
		r.Limits.WaitShare = 0.4
		r.acquire = func(ctx context.Context) error { return ctx.Err() }
		now := time.Now()
		r.True(r.dispatchOpaque(kingcuphook.RequestFields{Arrived: now.Add(-8 * time.Second), Deadline: now.Add(2 * time.Second)}, 1) == nil)
	})
}
