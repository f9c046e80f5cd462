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
	stormSeeds   = 15
	stormCalls   = 150
	stormFaults  = 40
	stormTime    = 20 * time.Second
	stormRouters = 8
	stormKeys    = 20
)

// storm sends calls at random times through random routers, many of them with
// the same keys, and lets random faults happen meanwhile.
func storm(r *rand.Rand, w *World) {
	var group sync.WaitGroup
	at := func(f func()) {
		wait := time.Duration(r.Int64N(int64(stormTime)))
		group.Go(func() {
			time.Sleep(wait)
			f()
		})
	}
	for range stormCalls {
		router, kind := r.IntN(stormRouters), Kinds[r.IntN(len(Kinds))]
		key := fmt.Sprintf("%s-%d", kind, r.IntN(stormKeys))
		at(func() { w.Call(router, kind, key, "body of "+key) })
	}
	for range stormFaults {
		f, router := Faults[1+r.IntN(len(Faults)-1)], r.IntN(stormRouters)
		if f == FaultRouterCrash && router > 2 {
			continue // some routers live to the end
		}
		at(func() { w.strike(f, router) })
	}
	group.Wait()
	w.FailStore(storer.Fault{})
	time.Sleep(lastAfter)
	for n := range stormKeys {
		key := fmt.Sprintf("%s-%d", KindClaimed, n)
		w.Call(stormRouters-1, KindClaimed, key, "body of "+key)
	}
	w.Close()
}

// strike lets a fault happen now.
func (w *World) strike(f Fault, router int) {
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

func TestStorm(t *testing.T) {
	results := make(map[string]int)
	for seed := range uint64(stormSeeds) {
		synctest.Test(t, func(t *testing.T) {
			w := NewWorld(seed, stormRouters, cellUpstreams)
			w.Schedule(seed)
			if seed%2 == 1 {
				w.hedge()
			}
			storm(rand.New(rand.NewPCG(seed, seed)), w)
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
