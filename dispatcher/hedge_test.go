package dispatcher_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
)

const hedgeAfter = 25 * time.Millisecond

var straggle = runner.Fault{Kind: runner.FaultSlow}

// TestFasterHedgeIsUsed checks that the hedged attempt continues the call and the
// first one is cancelled when the first frame of the first one is late.
func TestFasterHedgeIsUsed(t *testing.T) {
	for _, fault := range []runner.Fault{straggle, {Kind: runner.FaultSilence}} {
		runTest(t, []bool{true, true}, func(r *harness) {
			r.Limits.HedgeAfter = hedgeAfter
			r.faults = []runner.Fault{fault}
			began := time.Now()
			_, err := r.call(stream)
			r.True(err == nil)
			r.Equal(r.text.String(), runner.AnswerText([]byte(body), words))
			r.Equal(time.Since(began), hedgeAfter+(words+1)*10*time.Millisecond)
			r.Equal(len(r.engine.Runs()), 2)
			r.Equal(r.Counts().Hedged, 1)
			time.Sleep(time.Second)
			synctest.Wait()
			r.True(r.slots[0].sample.Cancelled && !r.slots[0].sample.Failed)
			r.Equal(r.slots[1].sample.Tokens, words)
			r.Equal(r.slots[1].sample.FirstToken, 10*time.Millisecond)
			if fault == straggle {
				r.True(!r.engine.Runs()[0].Finished) // the slower attempt is cancelled
			}
		})
	}
}

// TestSlowerHedgeIsDiscarded checks that the hedged attempt is discarded when the first one
// answers after all.
func TestSlowerHedgeIsDiscarded(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		r.Limits.HedgeAfter = hedgeAfter
		r.faults = []runner.Fault{straggle, {Kind: runner.FaultSilence}}
		_, err := r.call(plain)
		r.True(err == nil)
		r.Equal(r.text.String(), runner.AnswerText([]byte(body), words))
		time.Sleep(time.Second)
		synctest.Wait()
		r.Equal(r.slots[0].sample.Tokens, words)
		r.True(r.slots[1].sample.Cancelled)
		r.True(r.engine.Runs()[1].Cancelled || !r.engine.Runs()[1].Finished)
	})
}

// TestBothAttemptsFail checks that a hedged call is not reported as not-run when
// one attempt was refused but the other may have run.
func TestBothAttemptsFail(t *testing.T) {
	refuse, crash := runner.Fault{Kind: runner.FaultRefuse}, runner.Fault{Kind: runner.FaultCrash}
	for _, faults := range [][]runner.Fault{{crash, refuse}, {crash, crash}} {
		runTest(t, []bool{true, true}, func(r *harness) {
			r.engine.FrameTime = 50 * time.Millisecond
			r.Limits.HedgeAfter = hedgeAfter
			r.Limits.MaxAttempts = 1
			r.faults = faults
			_, err := r.call(stream)
			r.Equal(err.Ran, kingcuphook.RunStateUnknown)
			r.Equal(r.Counts().Hedged, 1)
			r.Equal(r.Counts().Crashes, r.engine.Crashes())
			synctest.Wait()
			for _, s := range r.slots {
				r.True(s.sample.Failed)
			}
		})
	}
}

func TestNonIdempotentIsNotHedged(t *testing.T) {
	for _, f := range []kingcuphook.RequestFields{{NonIdempotent: true}, {NonIdempotent: true, IdempotencyKey: "k"}} {
		runTest(t, []bool{true, true}, func(r *harness) {
			r.Limits.HedgeAfter = hedgeAfter
			r.faults = []runner.Fault{straggle}
			_, err := r.call(f)
			r.True(err == nil)
			r.Equal(len(r.engine.Runs()), 1)
		})
	}
}

// TestHedgeBudgetLimitsHedges checks that 100 concurrent slow calls start no more
// hedged attempts than the budget allows.
func TestHedgeBudgetLimitsHedges(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		r.engine.FrameTime = 100 * time.Millisecond
		r.Limits.HedgeAfter = hedgeAfter
		var group sync.WaitGroup
		for range 100 {
			group.Go(func() { _, _ = r.call(plain) })
		}
		group.Wait()
		r.Equal(r.Counts().Hedged, 5) // the initial burst of the hedge budget
	})
}
