package dispatcher_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/dispatcher"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

const (
	words = 20
	body  = "question"
)

// slot is a slot of the fake allocator.
type slot struct {
	upstream  *kingcuphook.Upstream
	preempted chan struct{}
	sample    *kingcuphook.Sample
}

func (s *slot) Choice() kingcuphook.Choice        { return kingcuphook.Choice{Upstream: s.upstream} }
func (s *slot) Preempted() <-chan struct{}        { return s.preempted }
func (s *slot) Progress(int)                      {}
func (s *slot) Release(sample kingcuphook.Sample) { s.sample = &sample }

// rig is a dispatcher on fakes. It is its own allocator, and the caller that
// takes the frames.
type rig struct {
	*is.I
	dispatcher.Dispatcher
	engine    *runner.Engine
	upstreams []*kingcuphook.Upstream
	// acquire replaces the allocator if set.
	acquire func(ctx context.Context) error

	mu     sync.Mutex
	slots  []*slot
	faults []runner.Fault
	text   strings.Builder
	gone   bool
	// slow is how long the caller takes for each piece.
	slow time.Duration
}

func (r *rig) Acquire(ctx context.Context, _ *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	if r.acquire != nil {
		if err := r.acquire(ctx); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.upstreams {
		if !slices.Contains(excluded, u.Address()) {
			s := &slot{upstream: u, preempted: make(chan struct{})}
			r.slots = append(r.slots, s)
			return s, nil
		}
	}
	return nil, &kingcuphook.RequestError{Code: "no-upstream", Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrNoUpstream}
}

func (r *rig) WriteData(text string) error {
	if r.gone {
		return errors.New("gone")
	}
	time.Sleep(r.slow)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text.WriteString(text)
	return nil
}

func (r *rig) fault(*kingcuphook.Upstream, *kingcuphook.Attempt) runner.Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) == 0 {
		return runner.Fault{}
	}
	f := r.faults[0]
	r.faults = r.faults[1:]
	return f
}

// test runs f with a rig of upstreams that resume, or do not, under a virtual
// clock.
func test(t *testing.T, resumes []bool, f func(*rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{I: is.New(t), engine: &runner.Engine{Words: words}}
		r.engine.Hook = r.fault
		for i, resume := range resumes {
			r.upstreams = append(r.upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
				Address: string(rune('a' + i)),
				Resumes: resume,
			}))
		}
		r.Allocator = r
		r.Engine = r.engine
		r.Store = &storer.Store{}
		r.Rand = rand.New(rand.NewPCG(1, 1))
		f(r)
		time.Sleep(time.Minute)
	})
}

func (r *rig) call(f kingcuphook.RequestFields) (kingcuphook.Outcome, *kingcuphook.RequestError) {
	return r.callContext(context.Background(), kingcuphook.UpstreamKindEngine, f)
}

func (r *rig) callContext(ctx context.Context, kind kingcuphook.UpstreamKind, f kingcuphook.RequestFields) (kingcuphook.Outcome, *kingcuphook.RequestError) {
	f.ID, f.Fingerprint = "r1", 1
	out, err := r.Dispatch(ctx, &kingcuphook.Call{Request: kingcuphook.NewRequest(f), Body: []byte(body), Kind: kind}, r)
	if err == nil {
		return out, nil
	}
	var told *kingcuphook.RequestError
	r.True(errors.As(err, &told))
	return out, told
}

var (
	stream = kingcuphook.RequestFields{Stream: true}
	plain  = kingcuphook.RequestFields{}
)

func TestResumesWhereItCan(t *testing.T) {
	test(t, []bool{false, false, true}, func(r *rig) {
		r.faults = []runner.Fault{{Kind: runner.FaultEarlyEnd, At: 7}}
		out, err := r.call(stream)
		r.True(err == nil)
		r.Equal(r.text.String(), runner.Text([]byte(body), words))
		r.Equal(out.Attempts, 2)
		r.Equal(out.Tokens, words)
		r.Equal(r.engine.Runs()[1].Upstream, "c") // b cannot resume
		r.Equal(r.engine.Runs()[1].Tokens, words-7)
		r.True(r.slots[0].sample.Failed)
	})
}

func TestNoCleanEndWithoutResume(t *testing.T) {
	test(t, []bool{false, false}, func(r *rig) {
		r.faults = []runner.Fault{{Kind: runner.FaultEarlyEnd, At: 7}}
		_, err := r.call(stream)
		r.Equal(err.Ran, kingcuphook.RunStateUnknown)
		r.Equal(r.text.String(), runner.Text([]byte(body), 7))
	})
}

// TestPlainRunsAgain wants a plain caller to get a whole answer or none.
func TestPlainRunsAgain(t *testing.T) {
	early := runner.Fault{Kind: runner.FaultEarlyEnd, At: 7}
	test(t, []bool{false, false}, func(r *rig) {
		r.faults = []runner.Fault{early}
		_, err := r.call(plain)
		r.True(err == nil)
		r.Equal(r.text.String(), runner.Text([]byte(body), words))
	})
	test(t, []bool{true, true}, func(r *rig) {
		r.Limits.Attempts = 2
		r.faults = []runner.Fault{early, {Kind: runner.FaultGarbage, At: 9}}
		_, err := r.call(plain)
		r.Equal(err.Code, "broken-stream")
		r.Equal(r.text.String(), "")
	})
}

func TestAnswerBound(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		r.Limits.AnswerBytes = 50
		_, err := r.call(plain)
		r.Equal(err.Code, "answer-too-large")
		r.Equal(len(r.engine.Runs()), 1)
		r.True(r.engine.Runs()[0].Cancelled)
	})
}

func TestDeadlineWhileQueued(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		r.acquire = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		f := stream
		f.Deadline = time.Now().Add(time.Second)
		began := time.Now()
		_, err := r.call(f)
		r.Equal(err.Code, "deadline")
		r.Equal(err.Ran, kingcuphook.RunStateNotRun)
		r.Equal(time.Since(began), time.Second)
	})
}

func TestShedKeepsItsWords(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		r.acquire = func(context.Context) error {
			return &kingcuphook.RequestError{Code: "shed", Ran: kingcuphook.RunStateNotRun, RetryAfter: time.Second, Err: kingcuphook.ErrOverloaded}
		}
		_, err := r.call(stream)
		r.Equal(err.Code, "shed")
		r.Equal(err.RetryAfter, time.Second)
		r.Equal(err.Ran, kingcuphook.RunStateNotRun)
	})
}

// TestShedAfterAnAttempt is not told not-run, whatever the allocator says.
func TestShedAfterAnAttempt(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		r.faults = []runner.Fault{{Kind: runner.FaultEarlyEnd, At: 3}}
		r.acquire = func(context.Context) error {
			if len(r.slots) == 0 {
				return nil
			}
			return &kingcuphook.RequestError{Code: "shed", Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrOverloaded}
		}
		_, err := r.call(stream)
		r.Equal(err.Ran, kingcuphook.RunStateUnknown)
	})
}

func TestPreemptionResumes(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		for i := range 6 {
			time.AfterFunc(time.Duration(25+25*i)*time.Millisecond, func() { close(r.slots[len(r.slots)-1].preempted) })
		}
		out, err := r.call(stream)
		r.True(err == nil)
		r.Equal(r.text.String(), runner.Text([]byte(body), words))
		r.Equal(out.Attempts, 1) // preemptions are not failures
		r.Equal(r.Counts().Preempted, 6)
		r.True(r.slots[0].sample.Cancelled && !r.slots[0].sample.Failed)
	})
}

func TestNonIdempotentIsNotPreempted(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		time.AfterFunc(55*time.Millisecond, func() { close(r.slots[0].preempted) })
		_, err := r.call(kingcuphook.RequestFields{Stream: true, NonIdempotent: true})
		r.True(err == nil)
		r.Equal(len(r.engine.Runs()), 1)
	})
}

func TestSilence(t *testing.T) {
	test(t, []bool{true, true}, func(r *rig) {
		r.faults = []runner.Fault{{Kind: runner.FaultSilence, At: 5}}
		began := time.Now()
		_, err := r.call(stream)
		r.True(err == nil)
		r.True(time.Since(began) < 4*time.Second) // found within the bound between tokens
		r.True(r.engine.Runs()[0].Cancelled)      // and the old work stops
		r.Equal(r.Counts().Silent, 1)
		r.Equal(r.Counts().Crashes, 0) // which makes nobody a suspect
	})
}

// TestTellsPeersOfClearedSuspects wants the peers to hear of a call that is no
// suspect any more: they may hold another one until they do.
func TestTellsPeersOfClearedSuspects(t *testing.T) {
	test(t, []bool{true, true}, func(r *rig) {
		var mu sync.Mutex
		var told []int
		r.Share = func(context.Context) {
			mu.Lock()
			defer mu.Unlock()
			told = append(told, len(r.Quarantiner.Export(time.Now(), 1000)))
		}
		r.faults = []runner.Fault{{Kind: runner.FaultEarlyEnd, At: 7}}
		_, err := r.call(stream)
		r.True(err == nil)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		r.Equal(len(told), 2) // the suspicion, and that it is over
		r.True(told[1] < told[0])
	})
}

// TestErrorAnswerIsNoCrash wants an upstream that answers with an error to make
// nobody a suspect.
func TestErrorAnswerIsNoCrash(t *testing.T) {
	for _, cause := range []error{kingcuphook.ErrUpstreamAnswered, kingcuphook.ErrTooLarge, nil} {
		test(t, []bool{true}, func(r *rig) {
			r.Engine = failing{errors.Join(kingcuphook.ErrOutcomeUnknown, cause)}
			r.Limits.Attempts = 1
			_, err := r.call(stream)
			r.Equal(err.Ran, kingcuphook.RunStateUnknown)
			r.Equal(r.Counts().Crashes == 1, cause == nil)
		})
	}
}

// TestRejectedRequestIsTriedOnce wants a request that its upstream refuses as it
// is to be tried nowhere else and to say nothing against the upstream.
func TestRejectedRequestIsTriedOnce(t *testing.T) {
	test(t, []bool{true, true}, func(r *rig) {
		r.Engine = failing{errors.Join(kingcuphook.ErrRejected, kingcuphook.ErrUpstreamAnswered, kingcuphook.ErrOutcomeUnknown)}
		_, err := r.call(stream)
		r.Equal(err.Code, "rejected")
		r.Equal(r.Counts().Attempts, 1)
		r.Equal(r.Counts().Crashes, 0)
	})
}

// failing fails every call with an error.
type failing struct{ err error }

func (f failing) Start(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	return nil, f.err
}

func (f failing) Call(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	return kingcuphook.Answer{}, f.err
}

// TestSlowCallerIsNoSilence wants the upstream not to be blamed for a caller that
// takes its time.
func TestSlowCallerIsNoSilence(t *testing.T) {
	test(t, []bool{true, true}, func(r *rig) {
		r.slow = 20 * time.Second
		_, err := r.call(stream)
		r.True(err == nil)
		r.Equal(len(r.engine.Runs()), 1)
		r.Equal(r.Counts().Silent, 0)
		r.Equal(r.slots[0].sample.FirstToken, 10*time.Millisecond)
		r.Equal(r.slots[0].sample.TokenGap, 10*time.Millisecond)
	})
}

// chatter sends foreign frames for ever.
type chatter struct{ instant }

func (c chatter) Start(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	return c, nil
}

func (chatter) Next(ctx context.Context) (kingcuphook.Frame, error) {
	time.Sleep(100 * time.Millisecond)
	return kingcuphook.NewFrame("other", 0, kingcuphook.FrameKindData, "x"), ctx.Err()
}

func (chatter) Close() error { return nil }

// TestRefusedFramesAreSilence wants frames that do not count to be no sign of
// life.
func TestRefusedFramesAreSilence(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		r.Engine = chatter{}
		r.Limits.Attempts = 1
		began := time.Now()
		_, err := r.call(stream)
		r.Equal(err.Ran, kingcuphook.RunStateUnknown)
		r.Equal(r.Counts().Silent, 1)
		r.True(time.Since(began) < 11*time.Second)
	})
}

func TestCancelReachesTheEngine(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		ctx, cancel := context.WithTimeout(context.Background(), 55*time.Millisecond)
		defer cancel()
		_, err := r.callContext(ctx, kingcuphook.UpstreamKindEngine, stream)
		r.Equal(err.Ran, kingcuphook.RunStateUnknown)
		r.True(r.engine.Runs()[0].Cancelled)
		r.True(r.slots[0].sample.Cancelled && !r.slots[0].sample.Failed)
	})
	test(t, []bool{true}, func(r *rig) {
		r.gone = true // the write to the caller fails
		_, err := r.call(stream)
		r.Equal(err.Code, "caller-gone")
		r.Equal(len(r.engine.Runs()), 1)
		r.True(r.engine.Runs()[0].Cancelled)
	})
}

// TestNoRetryStorm lets a pool go down under 500 calls.
func TestNoRetryStorm(t *testing.T) {
	test(t, []bool{true, true, true}, func(r *rig) {
		r.engine.Hook = func(*kingcuphook.Upstream, *kingcuphook.Attempt) runner.Fault {
			return runner.Fault{Kind: runner.FaultRefuse}
		}
		const calls = 500
		var group sync.WaitGroup
		for range calls {
			group.Go(func() {
				_, err := r.call(stream)
				r.Equal(err.Ran, kingcuphook.RunStateNotRun)
			})
		}
		group.Wait()
		n := r.Counts()
		r.True(n.Attempts-calls <= 60) // a budget of 50, and what a few seconds add
		r.True(n.NoBudget > calls/2)
	})
}

// TestPausedHolderDoesNotRun holds a router up between its claim and its
// dispatch until the claim is too old.
func TestPausedHolderDoesNotRun(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		r.acquire = func(context.Context) error {
			time.Sleep(20 * time.Minute)
			return nil
		}
		_, err := r.callContext(context.Background(), kingcuphook.UpstreamKindService, kingcuphook.RequestFields{NonIdempotent: true, Key: "k"})
		r.Equal(err.Code, "claim-expired")
		r.Equal(err.Ran, kingcuphook.RunStateNotRun)
		r.Equal(len(r.engine.Runs()), 0)
	})
}

// TestShedRedemptionCanBeSentAgain wants the claim of a call that was told
// not-run to be free for the resend.
func TestShedRedemptionCanBeSentAgain(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		shed := true
		r.acquire = func(context.Context) error {
			if shed {
				return &kingcuphook.RequestError{Code: "shed", Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrOverloaded}
			}
			return nil
		}
		redeem := kingcuphook.RequestFields{NonIdempotent: true, Key: "k"}
		_, err := r.callContext(context.Background(), kingcuphook.UpstreamKindService, redeem)
		r.Equal(err.Ran, kingcuphook.RunStateNotRun)
		shed = false
		_, err = r.callContext(context.Background(), kingcuphook.UpstreamKindService, redeem)
		r.True(err == nil)
		out, err := r.callContext(context.Background(), kingcuphook.UpstreamKindService, redeem)
		r.True(err == nil && out.Replayed)
		r.Equal(string(out.Answer.Body()), runner.Text([]byte(body), 1))
		r.Equal(len(r.engine.Runs()), 1)
	})
}

func TestClaimNeedsAStore(t *testing.T) {
	test(t, []bool{true}, func(r *rig) {
		r.Store = nil
		_, err := r.call(kingcuphook.RequestFields{NonIdempotent: true, Key: "k"})
		r.Equal(err.Code, "claims-unavailable")
		r.Equal(len(r.engine.Runs()), 0)
	})
}
