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

// slot is a slot of the harness, which records its sample.
type slot struct {
	upstream  *kingcuphook.Upstream
	preempted chan struct{}
	sample    *kingcuphook.Sample
}

func (s *slot) Choice() kingcuphook.Choice        { return kingcuphook.Choice{Upstream: s.upstream} }
func (s *slot) Preempted() <-chan struct{}        { return s.preempted }
func (s *slot) Progress(int)                      {}
func (s *slot) Release(sample kingcuphook.Sample) { s.sample = &sample }

// harness is a dispatcher on fakes. It also implements the allocator and the
// caller's frame writer.
type harness struct {
	*is.I
	dispatcher.Dispatcher
	engine    *runner.Engine
	upstreams []*kingcuphook.Upstream
	// acquire runs before each allocation if set; its errors are returned.
	acquire func(ctx context.Context) error

	mu           sync.Mutex
	slots        []*slot
	faults       []runner.Fault
	text         strings.Builder
	disconnected bool
	// slow is how long each write to the caller takes.
	slow time.Duration
}

func (r *harness) Acquire(ctx context.Context, request *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	if r.acquire != nil {
		if err := r.acquire(ctx); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.ContainsFunc(r.upstreams, request.Allows) {
		return nil, &kingcuphook.RequestError{Code: kingcuphook.CodeVersionGone, Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrVersionGone}
	}
	for _, u := range r.upstreams {
		if request.Allows(u) && !slices.Contains(excluded, u.Address()) {
			s := &slot{upstream: u, preempted: make(chan struct{})}
			r.slots = append(r.slots, s)
			return s, nil
		}
	}
	return nil, &kingcuphook.RequestError{Code: "no-upstream", Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrNoUpstream}
}

func (r *harness) WriteData(text string) error {
	if r.disconnected {
		return errors.New("gone")
	}
	time.Sleep(r.slow)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text.WriteString(text)
	return nil
}

func (r *harness) fault(*kingcuphook.Upstream, *kingcuphook.Attempt) runner.Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) == 0 {
		return runner.Fault{}
	}
	f := r.faults[0]
	r.faults = r.faults[1:]
	return f
}

// runTest runs f with a harness under a virtual clock. It has one upstream for
// each element of resumes, which is true if the upstream supports resuming.
func runTest(t *testing.T, resumes []bool, f func(*harness)) {
	synctest.Test(t, func(t *testing.T) {
		r := &harness{I: is.New(t), engine: &runner.Engine{Frames: words}}
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

func (r *harness) call(f kingcuphook.RequestFields) (kingcuphook.Outcome, *kingcuphook.RequestError) {
	return r.callContext(context.Background(), kingcuphook.UpstreamKindEngine, f)
}

func (r *harness) callContext(ctx context.Context, kind kingcuphook.UpstreamKind, f kingcuphook.RequestFields) (kingcuphook.Outcome, *kingcuphook.RequestError) {
	f.ID, f.Fingerprint = "r1", 1
	out, err := r.Dispatch(ctx, &kingcuphook.Call{Request: kingcuphook.NewRequest(f), Body: []byte(body), Kind: kind}, r)
	if err == nil {
		return out, nil
	}
	var reqErr *kingcuphook.RequestError
	r.True(errors.As(err, &reqErr))
	return out, reqErr
}

var (
	stream = kingcuphook.RequestFields{Stream: true}
	plain  = kingcuphook.RequestFields{}
)

func TestResumesOnCapableUpstream(t *testing.T) {
	runTest(t, []bool{false, false, true}, func(r *harness) {
		r.faults = []runner.Fault{{Kind: runner.FaultEarlyEnd, At: 7}}
		out, err := r.call(stream)
		r.True(err == nil)
		r.Equal(r.text.String(), runner.AnswerText([]byte(body), words))
		r.Equal(out.Attempts, 2)
		r.Equal(out.Tokens, words)
		r.Equal(r.engine.Runs()[1].Upstream, "c") // b does not support resuming
		r.Equal(r.engine.Runs()[1].Tokens, words-7)
		r.True(r.slots[0].sample.Failed)
	})
}

func TestStreamFailsWithoutResume(t *testing.T) {
	runTest(t, []bool{false, false}, func(r *harness) {
		r.faults = []runner.Fault{{Kind: runner.FaultEarlyEnd, At: 7}}
		_, err := r.call(stream)
		r.Equal(err.Ran, kingcuphook.RunStateUnknown)
		r.Equal(r.text.String(), runner.AnswerText([]byte(body), 7))
	})
}

// TestBufferedAnswerIsRetried checks that a caller without a stream gets a
// complete answer or none after an attempt breaks off.
func TestBufferedAnswerIsRetried(t *testing.T) {
	early := runner.Fault{Kind: runner.FaultEarlyEnd, At: 7}
	runTest(t, []bool{false, false}, func(r *harness) {
		r.faults = []runner.Fault{early}
		_, err := r.call(plain)
		r.True(err == nil)
		r.Equal(r.text.String(), runner.AnswerText([]byte(body), words))
	})
	runTest(t, []bool{true, true}, func(r *harness) {
		r.Limits.MaxAttempts = 2
		r.faults = []runner.Fault{early, {Kind: runner.FaultGarbage, At: 9}}
		_, err := r.call(plain)
		r.Equal(err.Code, "broken-stream")
		r.Equal(r.text.String(), "")
	})
}

// TestTooLargeAnswerIsNotRetried checks that an attempt whose answer exceeds
// Limits.MaxAnswerBytes is cancelled and not retried.
func TestTooLargeAnswerIsNotRetried(t *testing.T) {
	runTest(t, []bool{true}, func(r *harness) {
		r.Limits.MaxAnswerBytes = 50
		_, err := r.call(plain)
		r.Equal(err.Code, "answer-too-large")
		r.Equal(len(r.engine.Runs()), 1)
		r.True(r.engine.Runs()[0].Cancelled)
	})
}

// TestQueuedCallFailsAtDeadline checks that a call that gets no slot is reported as
// not-run at its deadline.
func TestQueuedCallFailsAtDeadline(t *testing.T) {
	runTest(t, []bool{true}, func(r *harness) {
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

func TestShedErrorIsPassedOn(t *testing.T) {
	runTest(t, []bool{true}, func(r *harness) {
		r.acquire = func(context.Context) error {
			return &kingcuphook.RequestError{Code: "shed", Ran: kingcuphook.RunStateNotRun, RetryAfter: time.Second, Err: kingcuphook.ErrOverloaded}
		}
		_, err := r.call(stream)
		r.Equal(err.Code, "shed")
		r.Equal(err.RetryAfter, time.Second)
		r.Equal(err.Ran, kingcuphook.RunStateNotRun)
	})
}

// TestShedAfterAttempt guards against reporting not-run for a call that is shed
// while it waits for a retry, after an attempt that may have run.
func TestShedAfterAttempt(t *testing.T) {
	runTest(t, []bool{true}, func(r *harness) {
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
	runTest(t, []bool{true}, func(r *harness) {
		for i := range 6 {
			time.AfterFunc(time.Duration(25+25*i)*time.Millisecond, func() { close(r.slots[len(r.slots)-1].preempted) })
		}
		out, err := r.call(stream)
		r.True(err == nil)
		r.Equal(r.text.String(), runner.AnswerText([]byte(body), words))
		r.Equal(out.Attempts, 1) // preempted attempts do not count
		r.Equal(r.Counts().Preempted, 6)
		r.True(r.slots[0].sample.Cancelled && !r.slots[0].sample.Failed)
	})
}

func TestNonIdempotentIsNotPreempted(t *testing.T) {
	runTest(t, []bool{true}, func(r *harness) {
		time.AfterFunc(55*time.Millisecond, func() { close(r.slots[0].preempted) })
		_, err := r.call(kingcuphook.RequestFields{Stream: true, NonIdempotent: true})
		r.True(err == nil)
		r.Equal(len(r.engine.Runs()), 1)
	})
}

// TestUnresponsiveUpstreamIsNotACrash checks that an attempt on an unresponsive
// upstream is cancelled in time and retried, without making the call a suspect.
func TestUnresponsiveUpstreamIsNotACrash(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		r.faults = []runner.Fault{{Kind: runner.FaultSilence, At: 5}}
		began := time.Now()
		_, err := r.call(stream)
		r.True(err == nil)
		r.True(time.Since(began) < 4*time.Second) // detected by the timeout between tokens
		r.True(r.engine.Runs()[0].Cancelled)      // the unresponsive attempt is cancelled
		r.Equal(r.Counts().Unresponsive, 1)
		r.Equal(r.Counts().Crashes, 0) // an unresponsive upstream is not a crash
	})
}

// TestSharesClearedSuspects checks that a cleared suspect is shared with the
// peers, which otherwise hold back other suspects of the same crash.
func TestSharesClearedSuspects(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		var mu sync.Mutex
		var sent []int
		r.ShareSuspects = func(context.Context) {
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, len(r.Quarantiner.Export(time.Now(), 1000)))
		}
		r.faults = []runner.Fault{{Kind: runner.FaultEarlyEnd, At: 7}}
		_, err := r.call(stream)
		r.True(err == nil)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		r.Equal(len(sent), 2) // once when suspected, once when cleared
		r.True(sent[1] < sent[0])
	})
}

// TestErrorAnswerIsNotACrash checks that a request does not become a suspect when
// its upstream answers with an error.
func TestErrorAnswerIsNotACrash(t *testing.T) {
	for _, cause := range []error{kingcuphook.ErrUpstreamAnswered, kingcuphook.ErrTooLarge, nil} {
		runTest(t, []bool{true}, func(r *harness) {
			r.Engine = failingEngine{errors.Join(kingcuphook.ErrOutcomeUnknown, cause)}
			r.Limits.MaxAttempts = 1
			_, err := r.call(stream)
			r.Equal(err.Ran, kingcuphook.RunStateUnknown)
			r.Equal(r.Counts().Crashes == 1, cause == nil)
		})
	}
}

// TestRejectedRequestIsTriedOnce checks that a request that its upstream rejects
// as invalid is not retried and does not count as a crash.
func TestRejectedRequestIsTriedOnce(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		r.Engine = failingEngine{errors.Join(kingcuphook.ErrRejected, kingcuphook.ErrUpstreamAnswered, kingcuphook.ErrOutcomeUnknown)}
		_, err := r.call(stream)
		r.Equal(err.Code, "rejected")
		r.Equal(r.Counts().Attempts, 1)
		r.Equal(r.Counts().Crashes, 0)
	})
}

// failingEngine fails every call with err.
type failingEngine struct{ err error }

func (f failingEngine) Start(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	return nil, f.err
}

func (f failingEngine) Call(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	return kingcuphook.Answer{}, f.err
}

// TestSlowCallerDoesNotTimeOutUpstream checks that time spent writing to a slow
// caller counts neither towards the timeouts nor in the sample of the upstream.
func TestSlowCallerDoesNotTimeOutUpstream(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		r.slow = 20 * time.Second
		_, err := r.call(stream)
		r.True(err == nil)
		r.Equal(len(r.engine.Runs()), 1)
		r.Equal(r.Counts().Unresponsive, 0)
		r.Equal(r.slots[0].sample.FirstToken, 10*time.Millisecond)
		r.Equal(r.slots[0].sample.TokenGap, 10*time.Millisecond)
	})
}

// foreignStream endlessly sends frames that belong to another attempt.
type foreignStream struct{ instantEngine }

func (c foreignStream) Start(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	return c, nil
}

func (foreignStream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	time.Sleep(100 * time.Millisecond)
	return kingcuphook.NewFrame("other", 0, kingcuphook.FrameKindData, "x"), ctx.Err()
}

func (foreignStream) Close() error { return nil }

// TestRejectedFramesDoNotResetTimeout checks that an upstream that sends only
// frames of another attempt is treated as unresponsive.
func TestRejectedFramesDoNotResetTimeout(t *testing.T) {
	runTest(t, []bool{true}, func(r *harness) {
		r.Engine = foreignStream{}
		r.Limits.MaxAttempts = 1
		began := time.Now()
		_, err := r.call(stream)
		r.Equal(err.Ran, kingcuphook.RunStateUnknown)
		r.Equal(r.Counts().Unresponsive, 1)
		r.True(time.Since(began) < 11*time.Second)
	})
}

// TestCancelReachesTheEngine checks that the running attempt is cancelled when the
// context of the call ends or a write to the caller fails.
func TestCancelReachesTheEngine(t *testing.T) {
	runTest(t, []bool{true}, func(r *harness) {
		ctx, cancel := context.WithTimeout(context.Background(), 55*time.Millisecond)
		defer cancel()
		_, err := r.callContext(ctx, kingcuphook.UpstreamKindEngine, stream)
		r.Equal(err.Ran, kingcuphook.RunStateUnknown)
		r.True(r.engine.Runs()[0].Cancelled)
		r.True(r.slots[0].sample.Cancelled && !r.slots[0].sample.Failed)
	})
	runTest(t, []bool{true}, func(r *harness) {
		r.disconnected = true // writes to the caller fail
		_, err := r.call(stream)
		r.Equal(err.Code, "caller-gone")
		r.Equal(len(r.engine.Runs()), 1)
		r.True(r.engine.Runs()[0].Cancelled)
	})
}

// TestNoRetryStorm checks that the retry budget bounds the attempts when a pool
// refuses 500 concurrent calls.
func TestNoRetryStorm(t *testing.T) {
	runTest(t, []bool{true, true, true}, func(r *harness) {
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
		r.True(n.Attempts-calls <= 60) // a burst of 50, plus the refill of a few seconds
		r.True(n.RetriesRejected > calls/2)
	})
}

// TestExpiredClaimIsNotDispatched checks that a call whose slot comes after its
// claim has become too old fails instead of running.
func TestExpiredClaimIsNotDispatched(t *testing.T) {
	runTest(t, []bool{true}, func(r *harness) {
		r.acquire = func(context.Context) error {
			time.Sleep(20 * time.Minute)
			return nil
		}
		_, err := r.callContext(context.Background(), kingcuphook.UpstreamKindService, kingcuphook.RequestFields{NonIdempotent: true, IdempotencyKey: "k"})
		r.Equal(err.Code, "claim-expired")
		r.Equal(err.Ran, kingcuphook.RunStateNotRun)
		r.Equal(len(r.engine.Runs()), 0)
	})
}

// TestClaimOfShedCallIsReleased checks that a call that was rejected as not-run
// releases its claim, so that a resend can run.
func TestClaimOfShedCallIsReleased(t *testing.T) {
	runTest(t, []bool{true}, func(r *harness) {
		shed := true
		r.acquire = func(context.Context) error {
			if shed {
				return &kingcuphook.RequestError{Code: "shed", Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrOverloaded}
			}
			return nil
		}
		redeem := kingcuphook.RequestFields{NonIdempotent: true, IdempotencyKey: "k"}
		_, err := r.callContext(context.Background(), kingcuphook.UpstreamKindService, redeem)
		r.Equal(err.Ran, kingcuphook.RunStateNotRun)
		shed = false
		_, err = r.callContext(context.Background(), kingcuphook.UpstreamKindService, redeem)
		r.True(err == nil)
		out, err := r.callContext(context.Background(), kingcuphook.UpstreamKindService, redeem)
		r.True(err == nil && out.Replayed)
		r.Equal(string(out.Answer.Body()), runner.AnswerText([]byte(body), 1))
		r.Equal(len(r.engine.Runs()), 1)
	})
}

// TestClaimFailsWithoutStore checks that a call that needs a claim isn't run without a
// store to keep the claim in.
func TestClaimFailsWithoutStore(t *testing.T) {
	runTest(t, []bool{true}, func(r *harness) {
		r.Store = nil
		_, err := r.call(kingcuphook.RequestFields{NonIdempotent: true, IdempotencyKey: "k"})
		r.Equal(err.Code, "claims-unavailable")
		r.Equal(len(r.engine.Runs()), 0)
	})
}
