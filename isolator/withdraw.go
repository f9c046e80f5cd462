package isolator

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// restartTime is the least time after a crash for which the upstream is away. An answer
	// after that may come from the program that was started next.
	restartTime = 1500 * time.Millisecond
	// withdrawnPart is the part under which withdrawn crashes are sent to peers.
	withdrawnPart = 0
	// maxWithdrawn bounds the programs whose crashes are withdrawn.
	maxWithdrawn = 512
)

// withdrawal says until when a program certainly had not crashed.
type withdrawal struct {
	until time.Time
	// changedAt is when it became known here.
	changedAt time.Time
}

// RecordAnswer records that an upstream has answered a request that was sent at a time. What
// this router took for crashes of it before are none. It returns how many parts are no more
// suspected of these.
func (i *Isolator) RecordAnswer(now time.Time, u *kingcuphook.Upstream, sentAt time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordTrialAnswer(u, sentAt)
	if sentAt.Sub(i.lastCrash) >= restartTime {
		return 0
	}
	program := hashProgram(u.Program())
	var until time.Time
	for _, e := range i.entries {
		for _, c := range e.crashes {
			if c.program == program && c.knownAt.Before(sentAt) && sentAt.Sub(c.at) < restartTime && c.at.After(until) {
				until = c.at
			}
		}
	}
	if until.IsZero() {
		return 0
	}
	return i.withdraw(now, program, until)
}

// Withdraw records that an upstream certainly had not crashed until a time, for which its
// connections ended for another reason. Crashes of it until then count no more, here and at the
// peers. It returns how many parts had such crashes here.
func (i *Isolator) Withdraw(now time.Time, u *kingcuphook.Upstream, until time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	program := hashProgram(u.Program())
	for _, e := range i.entries {
		if slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.program == program && !c.at.After(until) }) {
			return i.withdraw(now, program, until)
		}
	}
	return 0
}

func (i *Isolator) withdraw(now time.Time, program uint32, until time.Time) int {
	known, ok := i.withdrawn[program]
	if !ok && len(i.withdrawn) >= maxWithdrawn || ok && !until.After(known.until.Add(crashAgeUnit)) {
		return 0
	}
	if i.withdrawn == nil {
		i.withdrawn = make(map[uint32]withdrawal)
	}
	i.withdrawn[program] = withdrawal{until: until, changedAt: now}
	i.outcomes = slices.DeleteFunc(i.outcomes, func(o outcome) bool { return o.broken && o.program == program && !o.at.After(until) })
	cleared := 0
	for part, e := range i.entries {
		n := len(e.crashes)
		e.crashes = slices.DeleteFunc(e.crashes, i.isWithdrawn)
		if len(e.crashes) == n {
			continue
		}
		cleared++
		switch {
		case e.state == StateQuarantined && e.counted() < minCrashes:
			i.setState(now, e, StateLifted)
		case e.state == StateSuspect && len(e.crashes) == 0:
			delete(i.entries, part)
		}
	}
	return cleared
}

// isWithdrawn reports whether a crash is withdrawn. Peers know its age to crashAgeUnit.
func (i *Isolator) isWithdrawn(c Crash) bool {
	w, ok := i.withdrawn[c.program]
	return ok && !c.at.After(w.until.Add(crashAgeUnit))
}

// expireWithdrawn deletes withdrawals that are too old.
func (i *Isolator) expireWithdrawn(now time.Time) {
	maps.DeleteFunc(i.withdrawn, func(_ uint32, w withdrawal) bool { return now.Sub(w.until) > excusedTTL })
}

// newWithdrawals returns the withdrawals that became known lately, as the crashes of an entry
// for peers; nil if there are none.
func (i *Isolator) newWithdrawals(now time.Time) *Entry {
	e := &Entry{part: withdrawnPart, state: StateSuspect}
	for program, w := range i.withdrawn {
		if now.Sub(w.changedAt) <= changedTTL {
			e.crashes = append(e.crashes, Crash{program: program, at: w.until})
		}
	}
	if len(e.crashes) == 0 {
		return nil
	}
	slices.SortFunc(e.crashes, func(a, b Crash) int { return a.at.Compare(b.at) })
	return e
}
