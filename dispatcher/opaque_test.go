package dispatcher_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// scripted is an engine whose attempts end as they are told, one after another.
type scripted struct {
	errs  []error
	calls int
}

func (s *scripted) next() error {
	s.calls++
	if len(s.errs) == 0 {
		return nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

func (s *scripted) Start(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	return nil, s.next()
}

func (s *scripted) Call(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	err := s.next()
	var answered *kingcuphook.AnswerError
	if errors.As(err, &answered) {
		return answered.Answer, nil
	}
	return kingcuphook.NewOpaqueAnswer(http.StatusOK, http.Header{}, []byte("whole")), err
}

var (
	errUnsent  = errors.Join(kingcuphook.ErrUnavailable, kingcuphook.ErrNotSent)
	errWrong   = errors.Join(kingcuphook.ErrUnavailable, kingcuphook.ErrMisdirected)
	errRefused = errors.Join(kingcuphook.ErrUnavailable, kingcuphook.ErrOverloaded)
	errBroken  = errors.Join(kingcuphook.ErrOutcomeUnknown, errors.New("connection reset"))
	errAnswer  = &kingcuphook.AnswerError{Answer: kingcuphook.NewOpaqueAnswer(http.StatusInternalServerError, http.Header{}, []byte("why"))}
)

// dispatchOpaque runs one call and returns its error, nil if it was answered.
func (r *rig) dispatchOpaque(f kingcuphook.RequestFields, attempts int) *kingcuphook.RequestError {
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
	var told *kingcuphook.RequestError
	r.True(errors.As(err, &told))
	return told
}

func TestOpaqueAttempts(t *testing.T) {
	once := kingcuphook.RequestFields{NonIdempotent: true}
	for name, test := range map[string]struct {
		fields   kingcuphook.RequestFields
		attempts int
		errs     []error
		calls    int
		ran      kingcuphook.RunState
	}{
		"what was not sent goes elsewhere":          {once, 1, []error{errUnsent, errUnsent}, 3, ""},
		"and ends when nobody can be reached":       {once, 1, []error{errUnsent, errUnsent, errUnsent, errUnsent, errUnsent, errUnsent, errUnsent}, 6, kingcuphook.RunStateNotRun},
		"a refusal is one of the attempts":          {once, 1, []error{errRefused}, 1, kingcuphook.RunStateNotRun},
		"a refusal leaves the other attempts":       {once, 2, []error{errRefused}, 2, ""},
		"what may have run is not repeated":         {once, 2, []error{errBroken}, 1, kingcuphook.RunStateUnknown},
		"what is idempotent is repeated":            {plain, 2, []error{errBroken}, 2, ""},
		"not more often than the route allows":      {plain, 2, []error{errBroken, errBroken}, 2, kingcuphook.RunStateUnknown},
		"an error of an upstream is repeated":       {plain, 2, []error{errAnswer}, 2, ""},
		"an error of an upstream is the answer":     {plain, 2, []error{errAnswer, errAnswer}, 2, kingcuphook.RunStateUnknown},
		"an error after a run that counts once":     {once, 2, []error{errAnswer}, 1, kingcuphook.RunStateUnknown},
		"what was refused later may still have run": {plain, 2, []error{errBroken, errRefused}, 2, kingcuphook.RunStateUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			withScript(t, func(r *rig, engine *scripted) {
				engine.errs = test.errs
				err := r.dispatchOpaque(test.fields, test.attempts)
				r.Equal(engine.calls, test.calls)
				if test.ran == "" {
					r.True(err == nil)
					return
				}
				r.Equal(err.Ran, test.ran)
				// The error tells how often an upstream had the call.
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

// withScript runs f with upstreams a to h behind a scripted engine.
func withScript(t *testing.T, f func(*rig, *scripted)) {
	test(t, make([]bool, 8), func(r *rig) {
		engine := &scripted{}
		r.Engine = engine
		r.Store = nil
		r.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Budget{} }
		f(r, engine)
	})
}

// counting is a retry budget without end that counts what is spent.
type counting struct{ spent int }

func (*counting) Succeeded(time.Time)     {}
func (c *counting) Spend(time.Time) bool  { c.spent++; return true }
func (*counting) Delay(int) time.Duration { return 0 }

func TestWhatSpendsTheRetryBudget(t *testing.T) {
	for name, test := range map[string]struct {
		errs  []error
		spent int
	}{
		"nothing that was not sent":         {[]error{errUnsent, errUnsent}, 0},
		"what a wrong program got":          {[]error{errWrong, errWrong}, 2},
		"what follows something that was":   {[]error{errWrong, errUnsent}, 2},
		"what an upstream refused":          {[]error{errRefused}, 1},
		"what comes after a broken attempt": {[]error{errBroken}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withScript(t, func(r *rig, engine *scripted) {
				budget := &counting{}
				r.NewBudget = func(string) kingcuphook.RetryBudget { return budget }
				engine.errs = test.errs
				r.True(r.dispatchOpaque(plain, 4) == nil)
				r.Equal(budget.spent, test.spent)
			})
		})
	}
}

func TestRefusesACallThatCrashesUpstreams(t *testing.T) {
	withScript(t, func(r *rig, engine *scripted) {
		for range 2 {
			engine.errs = []error{errBroken, errBroken}
			r.True(r.dispatchOpaque(plain, 1) != nil)
			// Another upstream is the next to crash.
			r.upstreams = r.upstreams[1:]
			time.Sleep(time.Second)
		}
		before := engine.calls
		err := r.dispatchOpaque(plain, 2)
		r.Equal(engine.calls, before) // it reaches no upstream any more
		r.Equal(err.Ran, kingcuphook.RunStateNotRun)
	})
}

func TestErrorsOfUpstreamsAreNoCrash(t *testing.T) {
	withScript(t, func(r *rig, engine *scripted) {
		for range 4 {
			engine.errs = []error{errAnswer}
			r.True(r.dispatchOpaque(plain, 1) != nil)
			r.upstreams = r.upstreams[1:]
		}
		r.True(r.dispatchOpaque(plain, 1) == nil)
	})
}

func TestWaitsForItsFirstUpstreamInBounds(t *testing.T) {
	for _, begun := range []bool{false, true} {
		withScript(t, func(r *rig, engine *scripted) {
			r.Limits.WaitShare = 0.4
			if begun {
				engine.errs = []error{errBroken}
			}
			r.acquire = func(ctx context.Context) error {
				if begun && engine.calls == 0 {
					return nil
				}
				<-ctx.Done()
				return ctx.Err()
			}
			now := time.Now()
			err := r.dispatchOpaque(kingcuphook.RequestFields{Arrived: now, Deadline: now.Add(10 * time.Second)}, 2)
			if begun {
				r.Equal(time.Since(now), 10*time.Second) // what had begun waits on
				r.Equal(err.Ran, kingcuphook.RunStateUnknown)
				return
			}
			r.Equal(time.Since(now), 4*time.Second)
			r.Equal(err.Ran, kingcuphook.RunStateNotRun)
			r.True(err.RetryAfter >= 500*time.Millisecond)
		})
	}
}
