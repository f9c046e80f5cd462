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

// randomRun sends calls at random times through random routers, many of them with
// the same keys, and lets random faults happen meanwhile.
func randomRun(r *rand.Rand, w *World) {
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
		at(func() { w.Call(router, kind, key, "body of "+key) })
	}
	for range randomFaultCount {
		f, router := Faults[1+r.IntN(len(Faults)-1)], r.IntN(randomRouters)
		if f == FaultRouterCrash && router > 2 {
			continue // some routers live to the end
		}
		at(func() { w.failNow(f, router) })
	}
	group.Wait()
	w.FailStore(storer.Fault{})
	time.Sleep(lastAfter)
	for n := range randomKeys {
		key := fmt.Sprintf("%s-%d", KindClaimed, n)
		w.Call(randomRouters-1, KindClaimed, key, "body of "+key)
	}
	w.Close()
}

// failNow lets a fault happen now.
func (w *World) failNow(f Fault, router int) {
	if kind, ok := attemptFaults[f]; ok {
		w.Fail(runner.Fault{Kind: kind, At: streamMiddle})
		return
	}
	switch f {
	case FaultCallerGone, FaultRouterStop, FaultCallerSendsTwice:
		return
	}
	w.happen(w.Routers[router], f, func() {})
}

func TestRandomFaults(t *testing.T) {
	results := make(map[string]int)
	for seed := range uint64(randomSeeds) {
		synctest.Test(t, func(t *testing.T) {
			w := NewWorld(seed, randomRouters, cellUpstreams)
			w.Schedule(seed)
			if seed%2 == 1 {
				w.hedge()
			}
			randomRun(rand.New(rand.NewPCG(seed, seed)), w)
			for _, v := range Check(w.Reports(), w.Engine.Runs()) {
				t.Errorf("seed %d: %s", seed, v)
			}
			for _, r := range w.Reports() {
				results[r.Result()]++
			}
		})
	}
	t.Log(results)
}
