// Package soaker implements a soak test with fault injection. It runs routers as
// separate processes, injects faults from outside of them, and checks what callers and
// upstreams observe. The sequence of faults depends on a seed only. The package ends no
// processes but those that it started.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook/pauser"
)

// Soak is one soak run. Its exported fields are set before Run.
type Soak struct {
	// Binary is the path of the routers' program.
	Binary string
	// Previous is the path of the program of an earlier build; "" means none. With one, routers
	// begin with it, and each start of a router switches between the two builds.
	Previous string
	// Seed determines the random choice of faults and calls.
	Seed uint64
	// FaultTime is how long faults are injected. Time for the recovery and a verification
	// phase without faults follow.
	FaultTime time.Duration
	// Routers and Upstreams are the numbers of routers and upstreams, at least 2 each.
	Routers, Upstreams int
	// Callers is the number of concurrent callers.
	Callers int
	// Changes adds changes of the declaration, empty pools, addresses that go to another pool,
	// silent upstreams, stops with long streams, and bodies in two halves.
	Changes bool
	// Versions is the number of software versions of the upstreams at the beginning. With one or
	// more, callers resume streams, upstreams are released, and all routers are killed at once.
	Versions int
	// Odd adds odd entries in the store, and upstreams that write refusals once more, cut the heads
	// of answers, send bytes without end and, with no Versions, break streams and answer with
	// something else.
	Odd bool
	// Cuts adds routers that are cut off from upstreams, and longer silences of sound upstreams.
	Cuts bool
	// Duties adds the duties that one router has at a time, with faults of their API and holder.
	Duties bool
	// Dir is the directory for settings and logs.
	Dir string
	// Host is the first value to try for the third byte of the loopback addresses. Run
	// sets it to the value used, which differs between concurrent runs.
	Host int

	rng   *rand.Rand
	env   *environment
	calls *callers
	// faultsEnd is when the last fault had ended.
	faultsEnd time.Time
}

const (
	// readyTimeout is how long routers may take to become ready.
	readyTimeout = 15 * time.Second
	// recoveryTime is the time after the last fault from which calls must be served
	// again.
	recoveryTime = 12 * time.Second
	// verifyTime is the length of the verification phase at the end of a run, in which
	// calls must be served.
	verifyTime = 4 * time.Second
	// verifyPause is how long one upstream rejects calls and asks for a pause in the
	// verification phase.
	verifyPause = 2 * time.Second
	// minServedShare is the share of calls that must be served in the verification
	// phase.
	minServedShare = 0.95
)

// ErrViolation reports that a guarantee was violated. The error that wraps it states
// which one and how.
var ErrViolation = errors.New("guarantee violated")

// Result holds the figures of a run.
type Result struct {
	// Calls counts the calls, Served those with a complete answer, and Runs the runs at
	// upstreams.
	Calls, Served, Runs int
	// Outcomes counts the calls by how they ended for their callers.
	Outcomes map[Outcome]int
	// Resumptions are the shares of streams that began and went on.
	Resumptions Resumptions
	// Cuts has the shares of the calls that were served during cuts.
	Cuts CutShares
	// Duties has the figures of the duties as text.
	Duties string
	// Faults describes the injected faults in order of time.
	Faults []string
}

// Run executes the soak run. Its error wraps ErrViolation for each violated guarantee,
// and also if a router does not become ready.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	s.rng = rand.New(rand.NewPCG(s.Seed, 1))
	env, err := newEnvironment(s)
	if err != nil {
		return Result{}, err
	}
	s.env = env
	defer env.close()
	if err := env.awaitReady(ctx, readyTimeout); err != nil {
		return Result{}, err
	}
	s.calls = newCallers(env, s.Seed)
	calling, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range s.Callers {
		wg.Go(func() { s.calls.run(calling, i) })
	}
	events := s.injectFaults(ctx)
	env.clearFaults()
	s.faultsEnd = time.Now()
	pauser.Pause(ctx, recoveryTime)
	s.calls.beginVerification()
	env.upstream(0).Pause(verifyPause)
	pauser.Pause(ctx, verifyTime)
	stop()
	wg.Wait()
	result := s.calls.result(env)
	result.Faults = events
	result.Resumptions = s.resumptionShares()
	result.Cuts, _ = env.cutShares()
	result.Duties = env.duties.figures()
	return result, s.verify(ctx)
}

// verify checks a run that was not interrupted. An interrupted run gives no result,
// because it did not wait for the recovery after the faults.
func (s *Soak) verify(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("soaker: interrupted: %w", err)
	}
	return s.check()
}

// injectFaults injects random faults, which may overlap, until their time is over. It
// returns their descriptions.
func (s *Soak) injectFaults(ctx context.Context) []string {
	var events []string
	until := time.Now().Add(s.FaultTime)
	var wg sync.WaitGroup
	for time.Now().Before(until) && ctx.Err() == nil {
		f := s.randomFault()
		events = append(events, fmt.Sprintf("%s %s for %v", time.Now().Format("05.000"), f.name, f.duration.Round(time.Millisecond)))
		wg.Go(func() {
			f.begin()
			pauser.Pause(ctx, f.duration)
			f.end()
		})
		pauser.Pause(ctx, between(s.rng, 200*time.Millisecond, 1200*time.Millisecond))
	}
	wg.Wait()
	return events
}

// between returns a random duration of at least least and less than most.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// check returns an error for each guarantee that the run violated.
func (s *Soak) check() error {
	var errs []error
	addViolation := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("%w: %s", ErrViolation, fmt.Sprintf(format, args...)))
	}
	runs := s.env.runs()
	for _, c := range s.calls.all() {
		n := len(runs[c.id])
		if atMostOnce(c.kind) && n > 1 {
			addViolation("%s %s ran %d times", c.kind, c.id, n)
		}
		if c.reportedNotRun && atMostOnce(c.kind) && n > 0 {
			addViolation("%s %s got status %d, which states that it did not run, but ran", c.kind, c.id, c.status)
		}
		if c.violation != "" {
			addViolation("%s %s: %s", c.kind, c.id, c.violation)
		}
	}
	if stopped := s.stoppedResumptions(); stopped != "" {
		addViolation("%s", stopped)
	}
	for _, ended := range s.env.ownEnds() {
		addViolation("%s", ended)
	}
	for _, lost := range append(s.env.lostCalls(), s.env.duties.violations(s.faultsEnd)...) {
		addViolation("%s", lost)
	}
	_, unserved := s.env.cutShares()
	for _, few := range unserved {
		addViolation("%s", few)
	}
	for _, misrouted := range s.env.misroutedRuns() {
		addViolation("%s", misrouted)
	}
	for _, late := range s.env.lateRuns(runs) {
		addViolation("%s", late)
	}
	for _, often := range s.env.crashedTooOften(runs) {
		addViolation("%s", often)
	}
	for _, u := range s.env.allUpstreams() {
		for _, late := range s.env.ignoredNotices(u) {
			addViolation("%s", late)
		}
		for _, exceeded := range s.env.exceededLimits(u) {
			addViolation("%s", exceeded)
		}
		for _, fallen := range s.env.fallenTooOften(u) {
			addViolation("%s", fallen)
		}
	}
	for i := range s.Upstreams {
		if u := s.env.upstream(i); !s.calls.reached(u) {
			addViolation("%s received no call after the recovery", u.name)
		}
	}
	if all, served := s.calls.verification(); served < int(minServedShare*float64(all)) {
		addViolation("only %d of %d calls were served after the recovery", served, all)
	}
	if log := s.env.panicLog(); log != "" {
		addViolation("a router reported a panic or a data race: %s", log)
	}
	return errors.Join(errs...)
}

// panicLog returns the name of a router's log that contains a panic or a report of the
// race detector, or an empty string.
func (env *environment) panicLog() string {
	for _, r := range env.routers {
		text, err := os.ReadFile(r.logFile)
		if err == nil && (strings.Contains(string(text), "panic:") || strings.Contains(string(text), "DATA RACE") || strings.Contains(string(text), "KCH1202")) {
			return r.logFile
		}
	}
	return ""
}
