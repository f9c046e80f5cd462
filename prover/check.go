package prover

import (
	"fmt"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
)

// Violation is a promise that was broken.
type Violation struct {
	rule, detail string
}

// Rule returns the kebab-case name of the promise.
func (v Violation) Rule() string { return v.rule }

// String returns the promise and how it was broken.
func (v Violation) String() string { return v.rule + ": " + v.detail }

// Names of the rules.
const (
	RuleOnce      = "runs-at-most-once"
	RuleOwn       = "own-answer"
	RuleWhole     = "whole-answer"
	RuleNotRun    = "not-run-did-not-run"
	RuleRan       = "ran-did-run"
	RuleTyped     = "typed-error"
	RuleInTime    = "ends-in-time"
	RuleStops     = "discarded-work-stops"
	RuleTwoLost   = "two-upstreams-lost"
	RuleNoBystand = "companions-not-quarantined"
)

// lateness is how much after its deadline a call may end.
const lateness = 2 * time.Second

// Check compares what callers were told with what the stand-ins recorded.
func Check(reports []Report, runs []runner.Run) []Violation {
	c := &checker{runs: runs}
	for _, r := range reports {
		c.answer(r)
		c.told(r)
	}
	c.once(reports)
	c.stopped(reports)
	return c.found
}

type checker struct {
	runs  []runner.Run
	found []Violation
}

func (c *checker) add(rule, format string, args ...any) {
	c.found = append(c.found, Violation{rule: rule, detail: fmt.Sprintf(format, args...)})
}

// answer checks what came of the answer.
func (c *checker) answer(r Report) {
	whole := runner.AnswerText(r.Body, 1)
	if r.Kind.engine() {
		whole = runner.AnswerText(r.Body, answerWords)
	}
	if !strings.HasPrefix(whole, r.Text) {
		c.add(RuleOwn, "%s got %q", r.Request, r.Text)
	}
	if !r.Lost && r.Err == nil && r.Text != whole {
		c.add(RuleWhole, "%s ended cleanly after %d of %d bytes", r.Request, len(r.Text), len(whole))
	}
}

// told checks the error that a caller was told.
func (c *checker) told(r Report) {
	if r.Lost {
		return
	}
	if r.Ended.Sub(r.Began) > deadline+lateness {
		c.add(RuleInTime, "%s took %s", r.Request, r.Ended.Sub(r.Began))
	}
	if r.Err == nil {
		return
	}
	if r.Err.Code == "untyped" {
		c.add(RuleTyped, "%s: %v", r.Request, r.Err)
	}
	if r.Err.Ran == kingcuphook.RunStateNotRun && c.ran(r, false) {
		c.add(RuleNotRun, "%s (%s)", r.Request, r.Err.Code)
	}
	if r.Err.Ran == kingcuphook.RunStateRan && !c.ran(r, true) {
		c.add(RuleRan, "%s (%s)", r.Request, r.Err.Code)
	}
}

// ran reports whether the request of r, or one with its key, had begun when its
// caller was told, and, if asked, whether it was finished.
func (c *checker) ran(r Report, finished bool) bool {
	for _, run := range c.runs {
		mine := run.Request == r.Request || r.Key != "" && run.Key == r.Key
		if mine && !run.Started.After(r.Ended) && (run.Finished || !finished) {
			return true
		}
	}
	return false
}

// once counts the runs of each non-idempotent request.
func (c *checker) once(reports []Report) {
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

// stopped checks that no engine works on an answer that nobody takes.
func (c *checker) stopped(reports []Report) {
	streamed := make(map[string]bool)
	for _, r := range reports {
		streamed[r.Request] = r.Kind.engine()
	}
	for _, run := range c.runs {
		if streamed[run.Request] && !run.Finished && !run.Cancelled {
			c.add(RuleStops, "%s on %s", run.Attempt, run.Upstream)
		}
	}
}

// CheckPoison checks the limits on what poisonous bodies may do: at most two
// upstreams are lost to each of them, and nobody else is quarantined.
func CheckPoison(w *World) []Violation {
	c := &checker{runs: w.Engine.Runs()}
	lost := make(map[uint64]int)
	for _, run := range c.runs {
		if w.poisonous(run.Fingerprint) {
			lost[run.Fingerprint]++
		}
	}
	for fingerprint, n := range lost {
		if n > 2 {
			c.add(RuleTwoLost, "%016x crashed %d upstreams", fingerprint, n)
		}
	}
	for i, r := range w.Routers {
		for _, e := range r.Dispatcher.Quarantiner.List(time.Now()) {
			if e.Quarantined() && !w.poisonous(e.Fingerprint()) {
				c.add(RuleNoBystand, "%016x at router %d", e.Fingerprint(), i)
			}
		}
	}
	return c.found
}

func (w *World) poisonous(fingerprint uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.poison[fingerprint]
}
