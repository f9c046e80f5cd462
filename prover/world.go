// Package prover injects every fault at every step of a request, in routers with
// complete data paths and an emulated engine and store, and compares what callers
// received with what the engine recorded. Its environments run in a testing/synctest
// bubble.
package prover

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

const (
	// streamMiddle is the number of frames before the middle of an answer.
	streamMiddle = 7
	// callMiddle is the time before the middle of a plain call.
	callMiddle = 5 * time.Millisecond
	// answerWords is the number of frames of an answer.
	answerWords = 20
	// deadline is the time from a call's start to its deadline.
	deadline = 100 * time.Second
	// storeDelay is the time that a call to the store takes without a fault.
	storeDelay = time.Millisecond
	// drainTime is longer than any claim's wait for the store.
	drainTime = 5 * time.Second
)

// Environment is a fleet of routers with one emulated store and one set of emulated
// upstreams.
type Environment struct {
	// Store and Engine are the emulated store and the emulated engine of the upstreams.
	Store  *storer.Store
	Engine *runner.Engine
	// Routers holds the routers.
	Routers []*Router
	// Upstreams holds the upstreams, all of which can serve every call.
	Upstreams []*kingcuphook.Upstream

	mu      sync.Mutex
	reports []Report
	// faults holds the faults of the next attempts, one each.
	faults []runner.Fault
	// poison holds the fingerprints of the bodies that crash every upstream.
	poison map[uint64]bool
	// peersCut reports that the routers can't share suspects through the store.
	peersCut bool
	// limitedUntil is until when all upstreams are at their rate limit.
	limitedUntil time.Time
	calls        int
	// store is the fault that every call to the store has.
	store storer.Fault
	// ctx ends the background goroutines; group waits for them.
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// closers holds functions that Close calls.
	closers []func()
	// repliesToLose is how many more writes of claim heads lose their replies.
	repliesToLose atomic.Int64
}

// NewEnvironment returns an environment with the given numbers of routers and upstreams.
// The seed determines the random numbers of the data paths. The caller must call Close.
func NewEnvironment(seed uint64, routers, upstreams int) *Environment {
	env := &Environment{
		Store:  &storer.Store{},
		Engine: &runner.Engine{Frames: answerWords},
		poison: make(map[uint64]bool),
	}
	env.ctx, env.cancel = context.WithCancel(context.Background())
	env.Engine.Hook = env.nextAttemptFault
	env.Store.Hook = env.storeCallFault
	for i := range upstreams {
		env.Upstreams = append(env.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address:    fmt.Sprintf("10.0.0.%d:80", i+1),
			Region:     regionName,
			DataCentre: regionName,
			Kind:       kingcuphook.UpstreamKindEngine,
			Resumes:    true,
			// Two versions serve side by side.
			SoftwareVersion: fmt.Sprint(i % 2),
		}))
	}
	for i := range routers {
		env.Routers = append(env.Routers, env.newRouter(seed, i))
	}
	return env
}

func (env *Environment) peersAreCut() bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.peersCut
}

// nextAttemptFault returns the fault of an attempt: a crash for poison bodies, otherwise
// the next of those set by FailNextAttempt.
func (env *Environment) nextAttemptFault(_ *kingcuphook.Upstream, a *kingcuphook.Attempt) runner.Fault {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.poison[a.Request().Fingerprint()] {
		return runner.Fault{Kind: runner.FaultCrash, At: a.ResumeFrom()}
	}
	if len(env.faults) == 0 {
		return runner.Fault{}
	}
	f := env.faults[0]
	env.faults = env.faults[1:]
	return f
}

// storeCallFault returns the fault of a call to the store.
func (env *Environment) storeCallFault(op, key string) storer.Fault {
	env.mu.Lock()
	f := env.store
	env.mu.Unlock()
	if f.Delay == 0 {
		f.Delay = storeDelay
	}
	head := op == storer.OpPut && strings.HasSuffix(key, "/head")
	f.LoseReply = head && consumeLostReply(&env.repliesToLose)
	return f
}

// SetStoreFault sets the fault of all further calls to the store.
func (env *Environment) SetStoreFault(f storer.Fault) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.store = f
}

// FailNextAttempt sets the fault of the next attempt that has none yet.
func (env *Environment) FailNextAttempt(f runner.Fault) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.faults = append(env.faults, f)
}

// Poison makes a body crash every upstream that runs it.
func (env *Environment) Poison(body string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.poison[xxhash.Sum64String(body)] = true
}

// CutPeers cuts the exchange of suspects between the routers, which uses the store.
func (env *Environment) CutPeers() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.peersCut = true
}

// limitUpstreams makes all upstreams accept no more requests until a time, because of a rate
// limit.
func (env *Environment) limitUpstreams(until time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.limitedUntil = until
}

// limitedFor returns for how much longer all upstreams are at their rate limit.
func (env *Environment) limitedFor() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return time.Until(env.limitedUntil)
}

// RevokeLeases revokes every lease of the store with an ID up to maxLeases, as if the
// platform had lost its leases.
func (env *Environment) RevokeLeases() {
	const maxLeases = 100
	for id := range kingcuphook.LeaseID(maxLeases) {
		_ = env.Store.Revoke(context.Background(), id+1)
	}
}

// Drain waits until no router has pending writes of claims.
func (env *Environment) Drain() {
	time.Sleep(drainTime)
	for _, r := range env.Routers {
		// The error is ignored: a background context is never cancelled.
		_ = r.Dispatcher.Claimer.Drain(context.Background())
	}
}

// Close drains the routers and ends all background goroutines.
func (env *Environment) Close() {
	env.Drain()
	for _, f := range env.closers {
		f()
	}
	env.cancel()
	env.group.Wait()
}

// Reports returns the reports of all calls that have ended.
func (env *Environment) Reports() []Report {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.reports)
}

// Call sends a call through a router and returns its report.
func (env *Environment) Call(router int, kind Kind, key, body string) Report {
	r := env.Routers[router]
	report := Report{Request: env.newID(), Router: router, Kind: kind, Body: []byte(body), Began: time.Now()}
	if kind.claimed() {
		report.Key = key
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	r.reachStep(StepQueued)
	if r.process.awaitRunning() {
		report.dispatch(ctx, r, newCall(&report))
	}
	report.ConnectionLost = !r.process.awaitRunning()
	report.Ended = time.Now()
	r.reachStep(StepDone)
	r.exitIfStopping()
	env.mu.Lock()
	defer env.mu.Unlock()
	env.reports = append(env.reports, report)
	return report
}

func (env *Environment) newID() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.calls++
	return fmt.Sprintf("call-%d", env.calls)
}
