package soaker

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// noticeDelay is how long after a response that asks for a pause a router may still
	// send calls to the upstream; maxPausedCalls is how many more calls may arrive after
	// that until the pause ends.
	noticeDelay    = 500 * time.Millisecond
	maxPausedCalls = 2
)

// ignoredNotices describes the calls that routers sent to an upstream although its
// responses to them had reported that it leaves or asked for a pause.
func (env *environment) ignoredNotices(u *upstream) []string {
	byRouter := make(map[*router][]standin.Run)
	for _, run := range slices.Concat(u.Runs(), u.Rejected()) {
		if call := env.soak.calls.byID(run.ID); call != nil {
			byRouter[call.router] = append(byRouter[call.router], run)
		}
	}
	var late []string
	for r, runs := range byRouter {
		// Ignore runs before the end of the router's last disturbance: after a restart it
		// may lack what earlier responses reported.
		runs = slices.DeleteFunc(runs, func(run standin.Run) bool { return !r.undisturbedSince(run.At) })
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
		if at := slices.IndexFunc(runs, func(run standin.Run) bool { return run.Leaving }); at >= 0 {
			late = append(late, env.callsAfterLeaving(u, r, runs[at:])...)
		}
		late = append(late, r.callsWhilePaused(u, runs)...)
	}
	return late
}

// callsAfterLeaving describes the runs of calls that callers sent more than leaveGrace
// after the first of the runs, whose response reported to the router that the upstream
// leaves.
func (env *environment) callsAfterLeaving(u *upstream, r *router, runs []standin.Run) []string {
	announced := runs[0].At
	var late []string
	for _, run := range runs {
		if env.soak.calls.byID(run.ID).sent.After(announced.Add(leaveGrace)) {
			late = append(late, fmt.Sprintf("%s received %s from %s %v after it had reported that it leaves", u.name, run.ID, r.name, run.At.Sub(announced)))
		}
	}
	return late
}

// callsWhilePaused describes the pauses in which the router sent more than
// maxPausedCalls calls to the upstream.
func (r *router) callsWhilePaused(u *upstream, runs []standin.Run) []string {
	var violations []string
	for i, asked := range runs {
		if asked.PausedUntil.IsZero() {
			continue
		}
		n := 0
		for _, run := range runs[i+1:] {
			if run.At.After(asked.At.Add(noticeDelay)) && run.At.Before(asked.PausedUntil) {
				n++
			}
		}
		if n > maxPausedCalls {
			violations = append(violations, fmt.Sprintf("%s received %d calls from %s while it was paused", u.name, n, r.name))
		}
	}
	return violations
}
