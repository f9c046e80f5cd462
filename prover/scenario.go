package prover

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rogpeppe/go-internal/testscript"
)

// scenarioKey is the key of the scenario in the values of a script.
type scenarioKey struct{}

// scenario is the state of one script.
type scenario struct {
	env   *Environment
	group sync.WaitGroup

	// mu guards reports, which holds the reports of ended calls by the name of the call.
	mu      sync.Mutex
	reports map[string]Report
}

// Commands returns the commands of the scenario language:
//
//	world ROUTERS UPSTREAMS          creates the environment
//	fault NAME STEP ROUTER           injects a fault into the router's next call
//	crash-upstreams                  crashes every upstream once
//	poison BODY                      makes a body crash every upstream
//	call NAME KIND ROUTER KEY BODY   sends a call and waits for its end
//	start NAME KIND ROUTER KEY BODY  sends a call without waiting for its end
//	join                             waits for every started call
//	pass DURATION                    waits for a time
//	expect NAME RESULT [CODE]        checks the result that a caller received
//	within NAME DURATION             checks how long a call took
//	runs KEY-OR-BODY N               checks how often a call was run
//	quarantined ROUTER N             checks the number of bodies quarantined at a router
//	lift ROUTER BODY                 ends the quarantine of a body at a router
//	check                            checks every rule
//
// A script runs in a testing/synctest bubble.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	commands := map[string]struct {
		args int
		f    func(s *scenario, ts *testscript.TestScript, args []string)
	}{
		"world":           {2, (*scenario).begin},
		"fault":           {3, (*scenario).fault},
		"crash-upstreams": {0, (*scenario).crash},
		"poison":          {1, (*scenario).poison},
		"call":            {5, (*scenario).call},
		"start":           {5, (*scenario).start},
		"join":            {0, (*scenario).join},
		"pass":            {1, (*scenario).pass},
		"expect":          {2, (*scenario).expect},
		"within":          {2, (*scenario).within},
		"runs":            {2, (*scenario).runs},
		"quarantined":     {2, (*scenario).quarantined},
		"lift":            {2, (*scenario).lift},
		"check":           {0, (*scenario).check},
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, c := range commands {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg || len(args) < c.args {
				ts.Fatalf("%s: requires at least %d arguments and no negation", name, c.args)
			}
			c.f(ts.Value(scenarioKey{}).(*scenario), ts, args)
		}
	}
	return out
}

// Setup prepares a script for the scenario commands.
func Setup(env *testscript.Env) error {
	s := &scenario{reports: make(map[string]Report)}
	env.Values[scenarioKey{}] = s
	env.Defer(s.end)
	return nil
}

// end waits for all calls that the script started, and closes the environment.
func (s *scenario) end() {
	s.group.Wait()
	if s.env != nil {
		s.env.Close()
	}
}

const scenarioSeed = 1

func (s *scenario) begin(ts *testscript.TestScript, args []string) {
	s.env = NewEnvironment(scenarioSeed, number(ts, args[0]), number(ts, args[1]))
}

func (s *scenario) fault(ts *testscript.TestScript, args []string) {
	f, step := Fault(args[0]), Step(args[1])
	if !slices.Contains(Faults, f) || !slices.Contains(Steps, step) {
		ts.Fatalf("fault: unknown fault or step")
	}
	s.env.inject(number(ts, args[2]), f, step, func() {})
}

func (s *scenario) crash(*testscript.TestScript, []string) { s.env.CrashUpstreams() }

func (s *scenario) poison(_ *testscript.TestScript, args []string) { s.env.Poison(args[0]) }

func (s *scenario) call(ts *testscript.TestScript, args []string) {
	kind, router := Kind(args[1]), number(ts, args[2])
	if !slices.Contains(Kinds, kind) {
		ts.Fatalf("call: unknown kind %s", kind)
	}
	r := s.env.Call(router, kind, args[3], args[4])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[args[0]] = r
}

func (s *scenario) start(ts *testscript.TestScript, args []string) {
	s.group.Go(func() { s.call(ts, args) })
}

func (s *scenario) join(*testscript.TestScript, []string) { s.group.Wait() }

func (s *scenario) pass(ts *testscript.TestScript, args []string) { time.Sleep(duration(ts, args[0])) }

func (s *scenario) report(ts *testscript.TestScript, name string) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.reports[name]
	if !ok {
		ts.Fatalf("no call %s has ended", name)
	}
	return r
}

func (s *scenario) expect(ts *testscript.TestScript, args []string) {
	r := s.report(ts, args[0])
	if !Matches(args[1], r.Result()) {
		ts.Fatalf("%s: expected %s, got %s (%v)", args[0], args[1], r.Result(), r.Err)
	}
	if len(args) > 2 && (r.Err == nil || r.Err.Code != args[2]) {
		ts.Fatalf("%s: expected %s, got %v", args[0], args[2], r.Err)
	}
}

func (s *scenario) within(ts *testscript.TestScript, args []string) {
	r := s.report(ts, args[0])
	if took := r.Ended.Sub(r.Began); took > duration(ts, args[1]) {
		ts.Fatalf("%s took %s", args[0], took)
	}
}

func (s *scenario) runs(ts *testscript.TestScript, args []string) {
	n := 0
	for _, run := range s.env.Engine.Runs() {
		if run.Key == args[0] || run.Fingerprint == xxhash.Sum64String(args[0]) {
			n++
		}
	}
	if n != number(ts, args[1]) {
		ts.Fatalf("%s was run %d times", args[0], n)
	}
}

func (s *scenario) quarantined(ts *testscript.TestScript, args []string) {
	n := 0
	for _, e := range s.env.Routers[number(ts, args[0])].Dispatcher.Quarantiner.List(time.Now()) {
		if e.Quarantined() {
			n++
		}
	}
	if n != number(ts, args[1]) {
		ts.Fatalf("%d bodies are quarantined", n)
	}
}

func (s *scenario) lift(ts *testscript.TestScript, args []string) {
	r := s.env.Routers[number(ts, args[0])]
	if !r.Dispatcher.Quarantiner.Lift(time.Now(), xxhash.Sum64String(args[1])) {
		ts.Fatalf("lift: the body is not quarantined or suspect at this router")
	}
	r.sharer.Share(s.env.ctx)
}

func (s *scenario) check(ts *testscript.TestScript, _ []string) {
	s.env.Drain()
	violations := append(Check(s.env.Reports(), s.env.Engine.Runs()), CheckPoison(s.env)...)
	lines := make([]string, 0, len(violations))
	for _, v := range violations {
		lines = append(lines, v.String())
	}
	if len(lines) > 0 {
		ts.Fatalf("%s", strings.Join(lines, "\n"))
	}
}

func number(ts *testscript.TestScript, arg string) int {
	n, err := strconv.Atoi(arg)
	ts.Check(err)
	return n
}

func duration(ts *testscript.TestScript, arg string) time.Duration {
	d, err := time.ParseDuration(arg)
	ts.Check(err)
	return d
}
