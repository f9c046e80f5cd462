package prover

import (
	"fmt"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
)

// Violation is the violation of a rule.
type Violation struct {
	rule, detail string
}

// Rule returns the name of the rule.
func (v Violation) Rule() string { return v.rule }

// String returns the name of the rule and how it was violated.
func (v Violation) String() string { return v.rule + ": " + v.detail }

// Names of the rules, each of which is a guarantee to callers or upstreams.
const (
	RuleOnce                 = "runs-at-most-once"
	RuleOwnAnswer            = "own-answer"
	RuleCompleteAnswer       = "whole-answer"
	RuleNotRun               = "not-run-did-not-run"
	RuleRan                  = "ran-did-run"
	RuleTypedError           = "typed-error"
	RuleDeadline             = "ends-in-time"
	RuleOneVersion           = "one-software-version"
	RuleWorkStops            = "discarded-work-stops"
	RuleUpstreamsLost        = "two-upstreams-lost"
	RuleOthersNotQuarantined = "companions-not-quarantined"
)

// deadlineTolerance is how long after its deadline a call may end.
const deadlineTolerance = 2 * time.Second

// Check compares what the callers received with the runs that the emulated engine
// recorded, and returns the violations of the rules.
func Check(reports []Report, runs []runner.Run) []Violation {
	c := &checker{runs: runs}
	for _, r := range reports {
		c.checkAnswer(r)
		c.checkError(r)
	}
	c.checkOnce(reports)
	c.checkStopped(reports)
	c.checkVersions()
	return c.violations
}

type checker struct {
	runs       []runner.Run
	violations []Violation
}

func (c *checker) add(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule: rule, detail: fmt.Sprintf(format, args...)})
}

// checkAnswer checks that the received part of the answer is right, and complete if the
// call ended without an error.
func (c *checker) checkAnswer(r Report) {
	complete := runner.AnswerText(r.Body, 1)
	if r.Kind.engine() {
		complete = runner.AnswerText(r.Body, answerWords)
	}
	if !strings.HasPrefix(complete, r.Text) {
		c.add(RuleOwnAnswer, "%s received %q", r.Request, r.Text)
	}
	if !r.ConnectionLost && r.Err == nil && r.Text != complete {
		c.add(RuleCompleteAnswer, "%s ended cleanly after %d of %d bytes", r.Request, len(r.Text), len(complete))
	}
}

// checkError checks the time at which a call ended, and its error against the runs.
func (c *checker) checkError(r Report) {
	if r.ConnectionLost {
		return
	}
	if r.Ended.Sub(r.Began) > deadline+deadlineTolerance {
		c.add(RuleDeadline, "%s took %s", r.Request, r.Ended.Sub(r.Began))
	}
	if r.Err == nil {
		return
	}
	if r.Err.Code == "untyped" {
		c.add(RuleTypedError, "%s: %v", r.Request, r.Err)
	}
	if r.Err.Ran == kingcuphook.RunStateNotRun && c.ran(r, false) {
		c.add(RuleNotRun, "%s (%s)", r.Request, r.Err.Code)
	}
	if r.Err.Ran == kingcuphook.RunStateRan && !c.ran(r, true) {
		c.add(RuleRan, "%s (%s)", r.Request, r.Err.Code)
	}
}

// ran reports whether a run of the request of r, or of one with its key, had begun when
// the call ended. With finished, only runs that have finished count.
func (c *checker) ran(r Report, finished bool) bool {
	for _, run := range c.runs {
		mine := run.Request == r.Request || r.Key != "" && run.Key == r.Key
		if mine && !run.Started.After(r.Ended) && (run.Finished || !finished) {
			return true
		}
	}
	return false
}

// checkOnce checks that each non-idempotent request or key ran at most once.
func (c *checker) checkOnce(reports []Report) {
	limited := make(map[string]bool)
	for _, r := range reports {
		limited[r.Key] = r.Key != ""
		limited[r.Request] = r.Kind == KindOnce
	}
	counts := make(map[string]int)
	for _, run := range c.runs {
		name := run.Request
		if run.Key != "" {
			name = run.Key
		}
		counts[name]++
		if limited[name] && counts[name] == 2 {
			c.add(RuleOnce, "%s ran again on %s", name, run.Upstream)
		}
	}
}

// checkStopped checks that no run of an engine call was left unfinished without being
// cancelled. Such a run would use the engine for an answer that no caller receives.
func (c *checker) checkStopped(reports []Report) {
	streamed := make(map[string]bool)
	for _, r := range reports {
		streamed[r.Request] = r.Kind.engine()
	}
	for _, run := range c.runs {
		if streamed[run.Request] && !run.Finished && !run.Cancelled {
			c.add(RuleWorkStops, "%s on %s", run.Attempt, run.Upstream)
		}
	}
}

// checkVersions checks that each answer is continued only by the software version that
// began it.
func (c *checker) checkVersions() {
	began := make(map[string]string)
	for _, run := range c.runs {
		switch {
		case run.From == 0 && run.Tokens > 0:
			began[run.Request] = run.Version
		case run.From > 0 && run.Version != began[run.Request]:
			c.add(RuleOneVersion, "%s on %s of version %s, begun by version %s", run.Attempt, run.Upstream, run.Version, began[run.Request])
		}
	}
}

// CheckPoison checks the limits for poison bodies, which crash every upstream that runs
// them: each may crash at most two upstreams, and no other body may be quarantined.
func CheckPoison(env *Environment) []Violation {
	c := &checker{runs: env.Engine.Runs()}
	lost := make(map[uint64]int)
	for _, run := range c.runs {
		if env.isPoison(run.Fingerprint) {
			lost[run.Fingerprint]++
		}
	}
	for fingerprint, n := range lost {
		if n > 2 {
			c.add(RuleUpstreamsLost, "%016x crashed %d upstreams", fingerprint, n)
		}
	}
	for i, r := range env.Routers {
		for _, e := range r.Dispatcher.Quarantiner.List(time.Now()) {
			if e.Quarantined() && !env.isPoison(e.Fingerprint()) {
				c.add(RuleOthersNotQuarantined, "%016x at router %d", e.Fingerprint(), i)
			}
		}
	}
	return c.violations
}

func (env *Environment) isPoison(fingerprint uint64) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.poison[fingerprint]
}
