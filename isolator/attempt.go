package isolator

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// maxOutcomes bounds the outcomes that are kept.
	maxOutcomes = 512
	// maxUnsettled bounds the ended attempts that are kept until they count as sound.
	maxUnsettled = 256
	// maxSound bounds the parts in each half of those that have begun soundly.
	maxSound = 2048
	// sameCrashWindow is the maximum difference between the times at which routers detect
	// one crash of a program.
	sameCrashWindow = 5 * time.Second
)

// Attempt follows one attempt of a request at an upstream. It is used by one goroutine.
type Attempt struct {
	isolator *Isolator
	upstream *kingcuphook.Upstream
	request  *kingcuphook.Request
	// first and last are when the first and the latest piece of the answer arrived; zero
	// before.
	first, last time.Time
	// ended is set once the outcome is recorded.
	ended bool
}

// outcome is how the beginning of an attempt ended.
type outcome struct {
	at     time.Time
	pool   uint8
	broken bool
	// program is the one that broke off the attempt, parts are those of the request; set if it
	// was broken off.
	program uint32
	parts   []uint64
}

// Begin returns an attempt at an upstream.
func (i *Isolator) Begin(u *kingcuphook.Upstream, r *kingcuphook.Request) *Attempt {
	a := &Attempt{isolator: i, upstream: u, request: r}
	i.beginTrial(a)
	return a
}

// Progress records that a piece of the answer has arrived.
func (a *Attempt) Progress(now time.Time) {
	if a.first.IsZero() {
		a.first = now
	}
	a.last = now
	if !a.ended && a.survived() {
		a.ended = true
		a.isolator.recordSound(a)
	}
}

// survived reports whether the upstream has gone on long enough after it began the answer.
func (a *Attempt) survived() bool {
	return !a.first.IsZero() && a.last.Sub(a.first) >= survivalTime
}

// Complete records that the attempt was answered completely. An answer whose end is not
// marked, because it ends with its connection, may be one that a crash has cut short.
func (a *Attempt) Complete(now time.Time, marked bool) {
	a.Progress(now)
	if a.ended {
		return
	}
	a.ended = true
	if marked {
		a.isolator.recordSound(a)
		return
	}
	a.isolator.recordUnsettled(now, a)
}

// BrokenOff records that the upstream broke off the attempt, as it does when it crashes.
// It reports whether the request is a suspect of that crash: it is none if the upstream had
// gone on after it began the answer.
func (a *Attempt) BrokenOff(now time.Time) bool {
	if a.ended {
		return false
	}
	a.ended = true
	a.isolator.recordBroken(now, a)
	return true
}

// recordSound records that a request has begun soundly.
func (i *Isolator) recordSound(a *Attempt) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.markSound(a)
	i.liftSound(a)
}

// markSound records that a request with the parts of the attempt has begun soundly.
func (i *Isolator) markSound(a *Attempt) {
	i.addOutcome(outcome{at: a.first, pool: hashPool(a.request.Pool())})
	for _, p := range a.request.Parts() {
		if len(i.sound) >= maxSound || i.sound == nil {
			i.soundBefore = i.sound
			i.sound = make(map[uint64]time.Time)
		}
		if a.first.After(i.sound[p]) {
			i.sound[p] = a.first
		}
		if e, ok := i.entries[p]; ok && e.state != StateQuarantined && e.excuse(a.first) {
			e.changedAt = a.first
		}
	}
}

// liftSound lifts the quarantine of parts with which the attempt has begun soundly after the
// last crash.
func (i *Isolator) liftSound(a *Attempt) {
	for _, e := range i.quarantinedOf(a.request.Parts()) {
		if a.first.After(e.latest()) {
			i.setState(a.last, e, StateLifted)
		}
	}
}

// lastSound returns when a request with the part last began soundly on this router.
func (i *Isolator) lastSound(part uint64) time.Time {
	if at, ok := i.sound[part]; ok {
		return at
	}
	return i.soundBefore[part]
}

// recordUnsettled keeps an attempt until it is known whether its upstream has crashed.
func (i *Isolator) recordUnsettled(now time.Time, a *Attempt) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.settle(now)
	if len(i.unsettled) < maxUnsettled {
		i.unsettled = append(i.unsettled, a)
	}
}

// settle records the unsettled attempts as sound that ended settleTime ago.
func (i *Isolator) settle(now time.Time) {
	i.unsettled = slices.DeleteFunc(i.unsettled, func(a *Attempt) bool {
		if now.Sub(a.last) < settleTime {
			return false
		}
		i.markSound(a)
		i.liftSound(a)
		return true
	})
}

// recordBroken records a crash against the parts of an attempt.
func (i *Isolator) recordBroken(now time.Time, a *Attempt) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordCrash(now, hashProgram(a.upstream.Program()))
	i.addCandidate(now, a)
}

// RecordCrash records that an upstream has crashed, though no request was broken off.
func (i *Isolator) RecordCrash(now time.Time, u *kingcuphook.Upstream) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordCrash(now, hashProgram(u.Program()))
}

// recordCrash makes the unsettled attempts at the program suspects of its crash, and counts the trials
// that it ran.
func (i *Isolator) recordCrash(now time.Time, program uint32) {
	i.recordTrialCrash(now, program)
	i.unsettled = slices.DeleteFunc(i.unsettled, func(a *Attempt) bool {
		if hashProgram(a.upstream.Program()) != program {
			return false
		}
		i.addCandidate(now, a)
		return true
	})
}

// addCandidate counts a crash against the parts of an attempt. If one of them is
// quarantined, that explains the crash.
func (i *Isolator) addCandidate(now time.Time, a *Attempt) {
	crash := Crash{program: hashProgram(a.upstream.Program()), pool: hashPool(a.request.Pool()), at: now, knownAt: now}
	i.addOutcome(outcome{at: now, pool: crash.pool, broken: true, program: crash.program, parts: a.request.Parts()})
	if quarantined := i.quarantinedOf(a.request.Parts()); len(quarantined) > 0 {
		quarantined[0].addCrash(crash)
		return
	}
	i.noteCrash(crash)
	for _, p := range a.request.Parts() {
		if e := i.entry(p); e.addCrash(crash) {
			e.changedAt = now
		}
	}
}

// noteCrash records when the last crash was detected.
func (i *Isolator) noteCrash(c Crash) {
	if c.at.After(i.lastCrash) {
		i.lastCrash = c.at
	}
}

func (i *Isolator) addOutcome(o outcome) {
	if len(i.outcomes) >= maxOutcomes {
		i.outcomes = slices.Delete(i.outcomes, 0, maxOutcomes/2)
	}
	i.outcomes = append(i.outcomes, o)
}
