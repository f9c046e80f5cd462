// Package soaker runs real routers as processes of their own, injects faults from
// outside of them, and checks what callers and upstreams see: every fault is drawn
// from a seed. It ends only the processes that it started.
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

// Soak is one run. Its fields are set before Run.
type Soak struct {
	// Binary is the program of the routers.
	Binary string
	// Seed draws the faults and the calls.
	Seed uint64
	// Faults is how long faults are injected; quiet time for the recovery follows.
	Faults time.Duration
	// Routers and Upstreams are how many there are; at least 2.
	Routers, Upstreams int
	// Callers is how many callers call at once.
	Callers int
	// Dir takes settings and logs.
	Dir string
	// Host is the third byte of the loopback addresses, by which runs beside one
	// another differ.
	Host int

	rng   *rand.Rand
	world *world
	calls *callers
}

const (
	// settleTime is how long routers have to become ready.
	settleTime = 15 * time.Second
	// recoverTime is how long after the last fault calls must be served again.
	recoverTime = 12 * time.Second
	// calmTime is how long the last part of a run is, in which all is checked again.
	calmTime = 4 * time.Second
	// calmRest is for how long an upstream turns calls away in it.
	calmRest = 2 * time.Second
	// leastServed is the share of calls that is served in that part.
	leastServed = 0.95
)

// ErrBroken says that a promise was broken; the error tells which and how.
var ErrBroken = errors.New("promise broken")

// Result is what a run saw.
type Result struct {
	// Calls, Served and Runs count calls, those served whole, and runs at upstreams.
	Calls, Served, Runs int
	// Events are the faults in the order in which they came.
	Events []string
}

// Run plays the soak. Its error wraps ErrBroken for each broken promise.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	s.rng = rand.New(rand.NewPCG(s.Seed, 1))
	w, err := newWorld(s)
	if err != nil {
		return Result{}, err
	}
	s.world = w
	defer w.close()
	if err := w.awaitReady(ctx, settleTime); err != nil {
		return Result{}, err
	}
	s.calls = newCallers(w, s.Seed)
	calling, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range s.Callers {
		wg.Go(func() { s.calls.run(calling, i) })
	}
	events := s.injectFaults(ctx)
	w.heal()
	pauser.Pause(ctx, recoverTime)
	s.calls.beginCalm()
	w.upstream(0).Pause(calmRest)
	pauser.Pause(ctx, calmTime)
	stop()
	wg.Wait()
	result := s.calls.result(w)
	result.Events = events
	return result, s.judge(ctx)
}

// judge returns the broken promises of a run that was not interrupted: one that was
// has not waited for what must come back after the faults.
func (s *Soak) judge(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("soaker: interrupted: %w", err)
	}
	return s.check()
}

// injectFaults draws faults until their time is over, several at once.
func (s *Soak) injectFaults(ctx context.Context) []string {
	var events []string
	until := time.Now().Add(s.Faults)
	var wg sync.WaitGroup
	for time.Now().Before(until) && ctx.Err() == nil {
		f := s.draw()
		events = append(events, fmt.Sprintf("%s %s for %v", time.Now().Format("05.000"), f.name, f.lasts.Round(time.Millisecond)))
		wg.Go(func() {
			f.begin()
			pauser.Pause(ctx, f.lasts)
			f.end()
		})
		pauser.Pause(ctx, between(s.rng, 200*time.Millisecond, 1200*time.Millisecond))
	}
	wg.Wait()
	return events
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// check returns the broken promises of the whole run.
func (s *Soak) check() error {
	var errs []error
	broken := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("%w: %s", ErrBroken, fmt.Sprintf(format, args...)))
	}
	runs := s.world.runs()
	for _, c := range s.calls.all() {
		n := len(runs[c.id])
		if once(c.kind) && n > 1 {
			broken("%s %s ran %d times", c.kind, c.id, n)
		}
		if c.saidNotRun && once(c.kind) && n > 0 {
			broken("%s %s was answered %d and ran", c.kind, c.id, c.status)
		}
		if c.wrong != "" {
			broken("%s %s: %s", c.kind, c.id, c.wrong)
		}
	}
	for _, late := range s.world.lateRuns(runs) {
		broken("%s", late)
	}
	for _, u := range s.world.allUpstreams() {
		for _, late := range s.world.unheeded(u) {
			broken("%s", late)
		}
	}
	if all, served := s.calls.calm(); served < int(leastServed*float64(all)) {
		broken("%d of %d calls were served after the faults had ended", served, all)
	}
	if panicked := s.world.panicked(); panicked != "" {
		broken("a router panicked: %s", panicked)
	}
	return errors.Join(errs...)
}

// panicked returns the name of a log that tells of a panic, or nothing.
func (w *world) panicked() string {
	for _, r := range w.routers {
		text, err := os.ReadFile(r.logFile)
		if err == nil && (strings.Contains(string(text), "panic:") || strings.Contains(string(text), "DATA RACE") || strings.Contains(string(text), "KCH1202")) {
			return r.logFile
		}
	}
	return ""
}
