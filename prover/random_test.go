package prover

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/runner"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

const (
	randomSeeds      = 15
	randomCalls      = 150
	randomFaultCount = 40
	randomTime       = 20 * time.Second
	randomRouters    = 8
	randomKeys       = 20
)

// randomRun sends calls at random times through random routers, many of them with the
// same keys, and injects random faults at the same time.
func randomRun(r *rand.Rand, env *Environment) {
	var group sync.WaitGroup
	at := func(f func()) {
		wait := time.Duration(r.Int64N(int64(randomTime)))
		group.Go(func() {
			time.Sleep(wait)
			f()
		})
	}
	for range randomCalls {
		router, kind := r.IntN(randomRouters), Kinds[r.IntN(len(Kinds))]
		key := fmt.Sprintf("%s-%d", kind, r.IntN(randomKeys))
		at(func() { env.Call(router, kind, key, "body of "+key) })
	}
	for range randomFaultCount {
		f, router := Faults[1+r.IntN(len(Faults)-1)], r.IntN(randomRouters)
		if f == FaultRouterCrash && router > 2 {
			continue // only routers 0 to 2 crash, so that the others run to the end
		}
		at(func() { env.injectRandom(f, router) })
	}
	group.Wait()
	env.SetStoreFault(storer.Fault{})
	time.Sleep(lastResendAfter)
	for n := range randomKeys {
		key := fmt.Sprintf("%s-%d", KindClaimed, n)
		env.Call(randomRouters-1, KindClaimed, key, "body of "+key)
	}
	env.Close()
}

// injectRandom injects a fault at once. It ignores faults that require a current call.
func (env *Environment) injectRandom(f Fault, router int) {
	if kind, ok := attemptFaults[f]; ok {
		env.FailNextAttempt(runner.Fault{Kind: kind, At: streamMiddle})
		return
	}
	switch f {
	case FaultCallerGone, FaultRouterStop, FaultCallerSendsTwice:
		return
	}
	env.injectNow(env.Routers[router], f, func() {})
}

// TestRandomFaults guards against violations that occur only with many concurrent calls
// and overlapping faults, which are chosen at random by seed. With odd seeds, calls are
// hedged.
func TestRandomFaults(t *testing.T) {
	results := make(map[string]int)
	for seed := range uint64(randomSeeds) {
		synctest.Test(t, func(t *testing.T) {
			env := NewEnvironment(seed, randomRouters, cellUpstreams)
			env.Schedule(seed)
			if seed%2 == 1 {
				env.enableHedging()
			}
			randomRun(rand.New(rand.NewPCG(seed, seed)), env)
			for _, v := range Check(env.Reports(), env.Engine.Runs()) {
				t.Errorf("seed %d: %s", seed, v)
			}
			for _, r := range env.Reports() {
				results[r.Result()]++
			}
		})
	}
	t.Log(results)
}
