package prover

import (
	"fmt"
	"sync"
	"time"
)

const (
	cellRouters   = 3
	cellUpstreams = 4
	// resendAfter is the time from the end of the first call to its resends.
	resendAfter = 100 * time.Millisecond
	// lastResendAfter is the time from the end of these resends to the last one, by
	// which every outage is over.
	lastResendAfter = 45 * time.Second
	// completionTime is enough for everything that a cell started to end.
	completionTime = 90 * time.Second
	// earlierCalls is the number of claimed calls before the first call.
	earlierCalls = 8
	cellKey      = "redemption-1"
	cellBody     = "redeem token 1"
)

// Cell is one test case of the fault matrix: a kind of call with faults that are
// injected at a step.
type Cell struct {
	// Kind is the kind of the call.
	Kind Kind
	// Step is the step at which the faults are injected.
	Step Step
	// Faults holds one or two faults.
	Faults []Fault
}

// Observation is the outcome of a cell.
type Observation struct {
	// First is the result of the first call.
	First string
	// Last is the result of the last resend; empty for calls without a claim.
	Last string
	// Violations lists the guarantees that were violated.
	Violations []Violation
}

// Run runs the cell in a new environment.
func (c Cell) Run(seed uint64) Observation {
	return c.RunIn(NewEnvironment(seed, cellRouters, cellUpstreams))
}

// RunIn runs the cell in an environment of at least three routers, which it closes.
func (c Cell) RunIn(env *Environment) Observation {
	if c.Kind.claimed() {
		env.fillSegments(c.Kind)
	}
	resendCall := func() {
		go env.Call(1, c.Kind, cellKey, cellBody)
	}
	for _, f := range c.Faults {
		env.inject(0, f, c.Step, resendCall)
	}
	o := Observation{First: env.Call(0, c.Kind, cellKey, cellBody).Result()}
	time.Sleep(resendAfter)
	if c.Kind.claimed() {
		o.Last = env.resend(c.Kind)
	}
	time.Sleep(completionTime)
	env.Close()
	o.Violations = Check(env.Reports(), env.Engine.Runs())
	return o
}

// fillSegments makes earlierCalls claims through router 2, so that every shard of claims
// has a sealed segment.
func (env *Environment) fillSegments(k Kind) {
	for i := range earlierCalls {
		env.Call(2, k, fmt.Sprintf("earlier-%d", i), "an earlier call")
	}
}

// resend sends the call again through routers 1 and 2 at the same time, and once more
// through router 1 after lastResendAfter. It returns the result of the last call.
func (env *Environment) resend(k Kind) string {
	var group sync.WaitGroup
	group.Go(func() { env.Call(1, k, cellKey, cellBody) })
	group.Go(func() { env.Call(2, k, cellKey, cellBody) })
	group.Wait()
	time.Sleep(lastResendAfter)
	return env.Call(1, k, cellKey, cellBody).Result()
}
