package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// minResumptions is the number of resumptions from which the share that goes on is checked;
	// minResumptionShare is the least, as a share of that of the new streams that begin.
	minResumptions     = 12
	minResumptionShare = 0.5
	// minSameVersion is the number of upstreams of the stream's version that must serve for a
	// resumption to count.
	minSameVersion = 2
	// releaseGap is the time between two upstreams of a release.
	releaseGap = 400 * time.Millisecond
)

// Share is a number of calls and how many of them were answered as they should be.
type Share struct{ All, Good int }

// add counts a call.
func (s *Share) add(good bool) {
	s.All++
	if good {
		s.Good++
	}
}

// String returns the share as text.
func (s Share) String() string { return fmt.Sprintf("%d of %d", s.Good, s.All) }

// Resumptions counts the streams that began and those that were resumed while at least two
// upstreams of their version served and their router was not disturbed.
type Resumptions struct {
	// New are the calls for new streams, Good those that began.
	New Share
	// Live are the resumptions of streams that began since all routers were killed last, Killed
	// those of older ones; Good are those that went on.
	Live, Killed Share
	// Unknown are the resumptions that named no or an unknown attempt.
	Unknown Share
}

// String returns the shares as text.
func (t Resumptions) String() string {
	return fmt.Sprintf("streams began %v, went on %v, after all routers were killed %v, with an unknown attempt %v", t.New, t.Live, t.Killed, t.Unknown)
}

// resumptionShares counts the resumptions of the run.
func (s *Soak) resumptionShares() Resumptions {
	var t Resumptions
	for _, x := range s.calls.all() {
		if x.stream != nil && x.lastEvent == "" && x.kind == standin.KindResumableStream && x.wasAnswered() && !x.router.interruptedAt(x.sent) {
			t.New.add(x.status == http.StatusOK)
		}
	}
	for _, u := range s.calls.allResumptions() {
		wentOn := u.call.status == http.StatusOK
		switch {
		case !u.known:
			t.Unknown.add(wentOn)
		case !u.call.wasAnswered() || s.env.serving(u.version, u.begun, u.call.ended) < minSameVersion:
		case s.env.killedBetween(u.begun, u.call.sent):
			t.Killed.add(wentOn)
		case !u.call.router.interruptedAt(u.call.sent):
			t.Live.add(wentOn)
		}
	}
	return t
}

// wasAnswered reports whether a router that ran all the while answered a call whose key was
// valid and whose caller waited long enough.
func (c *call) wasAnswered() bool {
	answered := c.status != 0 && c.status != http.StatusUnauthorized
	return answered && c.timeout >= callTimeout && !c.router.failed(c.sent, c.ended)
}

// stoppedResumptions describes the share of the resumptions that went on, if it is too small.
func (s *Soak) stoppedResumptions() string {
	t := s.resumptionShares()
	took := Share{All: t.Live.All, Good: t.Live.Good}
	if took.All < minResumptions || float64(took.Good*t.New.All) >= minResumptionShare*float64(t.New.Good*took.All) {
		return ""
	}
	return fmt.Sprintf("only %v resumptions went on, while %v new streams began", took, t.New)
}

// serving returns the number of upstreams of a version that were in service and sound in the
// whole span.
func (env *environment) serving(version string, begin, end time.Time) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, u := range env.upstreams {
		left := !u.replacedAt.IsZero() && u.replacedAt.Before(end)
		if u.Version == version && !u.born.After(begin) && !left && !u.troubled(begin, end) {
			n++
		}
	}
	return n
}

// killedBetween reports whether all routers were killed in the span.
func (env *environment) killedBetween(begin, end time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.ContainsFunc(env.killedAt, func(at time.Time) bool { return at.After(begin) && at.Before(end) })
}

// versionFaults returns the faults of a run with several software versions.
func (s *Soak) versionFaults(duration time.Duration) []func() fault {
	env := s.env
	return []func() fault{
		func() fault { return fault{"kill all routers", 0, func() { env.killAll(duration) }, func() {}} },
		func() fault { return fault{"kill all routers", 0, func() { env.killAll(0) }, func() {}} },
		func() fault { return env.releaseFault(s.rng) },
		func() fault { return env.releaseFault(s.rng) },
	}
}

// killAll kills all routers at one moment and starts them again down/2 after their end.
func (env *environment) killAll(down time.Duration) {
	env.mu.Lock()
	env.killedAt = append(env.killedAt, time.Now())
	env.mu.Unlock()
	for _, r := range env.routers {
		env.kill(r, down)
	}
}

// releaseFault returns a fault in which some upstreams, one after the other, are replaced by ones
// of a newer or an older version, or a single one by one without a version.
func (env *environment) releaseFault(rng *rand.Rand) fault {
	count := 1 + rng.IntN(env.soak.Upstreams)
	older := rng.IntN(3) == 0
	first := rng.IntN(env.soak.Upstreams)
	begin := func() {
		version := ""
		if older || count > 1 {
			version = env.nextVersion(older)
		}
		for n := range count {
			i := (first + n) % env.soak.Upstreams
			env.mu.Lock()
			env.versions[i] = version
			env.mu.Unlock()
			env.leaveByRegistration(i)
			time.Sleep(releaseGap)
		}
	}
	return fault{fmt.Sprintf("release to %d upstreams, older version %v", count, older), 0, begin, func() {}}
}

// nextVersion returns a new version, or one that has been in service.
func (env *environment) nextVersion(older bool) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	if !older {
		env.released++
		return versionName(env.released - 1)
	}
	return versionName(0)
}

// versionName returns the name of the n-th version.
func versionName(n int) string { return fmt.Sprintf("1.%d", n) }

// versionOf returns the version of the software that starts at a position; empty without
// versions.
func (env *environment) versionOf(i int) string {
	if env.versions == nil {
		return ""
	}
	return env.versions[i]
}
