package soaker

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// heedTime is how long after an answer a router may still send to an upstream that
	// has asked for a rest, restCalls how many calls may come after that.
	heedTime  = 500 * time.Millisecond
	restCalls = 2
)

// unheeded returns what an upstream got from routers though it had told them that it
// leaves, or wants a rest.
func (w *world) unheeded(u *upstream) []string {
	byRouter := make(map[*router][]standin.Run)
	for _, run := range slices.Concat(u.Runs(), u.Rejected()) {
		if call := w.soak.calls.byID(run.ID); call != nil {
			byRouter[call.router] = append(byRouter[call.router], run)
		}
	}
	var late []string
	for r, runs := range byRouter {
		// A router that was disturbed may have forgotten what it was told before.
		runs = slices.DeleteFunc(runs, func(run standin.Run) bool { return !r.calmSince(run.At) })
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
		if at := slices.IndexFunc(runs, func(run standin.Run) bool { return run.Leaving }); at >= 0 {
			late = append(late, w.lateAfter(u, r, runs[at:])...)
		}
		late = append(late, r.restless(u, runs)...)
	}
	return late
}

// lateAfter returns the calls that callers sent long after the first of the runs, whose
// answer told the router that the upstream leaves.
func (w *world) lateAfter(u *upstream, r *router, runs []standin.Run) []string {
	told := runs[0].At
	var late []string
	for _, run := range runs {
		if w.soak.calls.byID(run.ID).sent.After(told.Add(leaveTime)) {
			late = append(late, fmt.Sprintf("%s got %s of %s %v after it had told that it leaves", u.name, run.ID, r.name, run.At.Sub(told)))
		}
	}
	return late
}

// restless returns the rests that the router did not keep.
func (r *router) restless(u *upstream, runs []standin.Run) []string {
	var broken []string
	for i, asked := range runs {
		if asked.PausedUntil.IsZero() {
			continue
		}
		n := 0
		for _, run := range runs[i+1:] {
			if run.At.After(asked.At.Add(heedTime)) && run.At.Before(asked.PausedUntil) {
				n++
			}
		}
		if n > restCalls {
			broken = append(broken, fmt.Sprintf("%s got %d calls of %s in its rest", u.name, n, r.name))
		}
	}
	return broken
}
