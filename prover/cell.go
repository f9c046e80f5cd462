package prover

import (
	"fmt"
	"sync"
	"time"
)

const (
	cellRouters   = 3
	cellUpstreams = 4
	// resendAfter is the time from the first call to its resends.
	resendAfter = 100 * time.Millisecond
	// lastAfter is the time from there to the last resend; every outage is over.
	lastAfter = 45 * time.Second
	// settleTime lets everything end that a cell has started.
	settleTime = 90 * time.Second
	// earlierCalls is the number of calls before the first one.
	earlierCalls = 8
	cellKey      = "redemption-1"
	cellBody     = "redeem token 1"
)

// Cell is one trial: a kind of call to which faults happen at a step.
type Cell struct {
	// Kind is the kind of the call.
	Kind Kind
	// Step is when the faults happen.
	Step Step
	// Faults are one or two faults.
	Faults []Fault
}

// Observation is what a cell showed.
type Observation struct {
	// First is the result of the first call.
	First string
	// Last is the result of the last resend; empty for calls without a key.
	Last string
	// Violations are the promises that were broken.
	Violations []Violation
}

// Run tries the cell in a world of its own.
func (c Cell) Run(seed uint64) Observation {
	return c.RunIn(NewWorld(seed, cellRouters, cellUpstreams))
}

// RunIn tries the cell in a given world of three routers.
func (c Cell) RunIn(w *World) Observation {
	if c.Kind.claimed() {
		w.fillSegments(c.Kind)
	}
	again := func() {
		go w.Call(1, c.Kind, cellKey, cellBody)
	}
	for _, f := range c.Faults {
		w.inject(0, f, c.Step, again)
	}
	o := Observation{First: w.Call(0, c.Kind, cellKey, cellBody).Result()}
	time.Sleep(resendAfter)
	if c.Kind.claimed() {
		o.Last = w.resend(c.Kind)
	}
	time.Sleep(settleTime)
	w.Close()
	o.Violations = Check(w.Reports(), w.Engine.Runs())
	return o
}

// fillSegments makes claims until every shard has a sealed segment.
func (w *World) fillSegments(k Kind) {
	for i := range earlierCalls {
		w.Call(2, k, fmt.Sprintf("earlier-%d", i), "an earlier call")
	}
}

// resend sends the call again through two routers at the same moment, and once
// more later. It returns the result of the last one.
func (w *World) resend(k Kind) string {
	var group sync.WaitGroup
	group.Go(func() { w.Call(1, k, cellKey, cellBody) })
	group.Go(func() { w.Call(2, k, cellKey, cellBody) })
	group.Wait()
	time.Sleep(lastAfter)
	return w.Call(1, k, cellKey, cellBody).Result()
}
