package isolator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// groupWindow is the time within which crashes of several upstreams count as one, since
	// they may have a common cause.
	groupWindow = 250 * time.Millisecond
	// minGroups is the least number of crashes without a common cause that a verdict needs.
	minGroups = 4
	// minShare is the least share that the crashes of a part have in all that no quarantined
	// part explains. It keeps parts out whose requests are few of those that are broken off.
	minShare = 0.25
	// significance is the greatest probability that requests of the parts of a verdict were
	// broken off by chance.
	significance = 0.001
	// priorSound and priorBroken are added to the outcomes, so that few of them say little.
	priorSound, priorBroken = 4, 1
	// maxNeeded bounds the crashes that a verdict needs. If more were needed, nearly all
	// requests are broken off, whatever their parts.
	maxNeeded = 16
)

// update brings the states up to date: it excuses crashes, notes after which of them
// requests have begun soundly, and quarantines the parts that are due.
func (i *Isolator) update(now time.Time) {
	i.updatedAt = now
	i.settle(now)
	i.expire(now)
	i.explain()
	for _, e := range i.entries {
		i.weigh(now, e)
	}
	for i.quarantineDue(now) {
	}
}

// weigh applies what this router knows to the crashes of a part that is not quarantined.
func (i *Isolator) weigh(now time.Time, e *Entry) {
	if e.state == StateQuarantined || e.counted() == 0 {
		return
	}
	if sound := i.lastSound(e.part); !sound.IsZero() && e.excuse(sound) {
		e.changedAt = now
	}
	for n := range e.crashes {
		c := &e.crashes[n]
		if !c.followed && i.beganSoundly(c.pool, c.at, e.nextCrash(n)) {
			c.followed = true
			e.changedAt = now
		}
	}
}

// nextCrash returns when the crash after the nth was detected, or the zero time if there is
// none.
func (e *Entry) nextCrash(n int) time.Time {
	if n+1 >= len(e.crashes) {
		return time.Time{}
	}
	return e.crashes[n+1].at
}

// beganSoundly reports whether a request began soundly on this router after the first and before
// the second time, in the pool; a zero time is no limit.
func (i *Isolator) beganSoundly(pool uint8, after, before time.Time) bool {
	return slices.ContainsFunc(i.outcomes, func(o outcome) bool {
		return !o.broken && o.pool == pool && o.at.After(after) && (before.IsZero() || o.at.Before(before))
	})
}

// quarantineDue quarantines the part with the most crashes that are enough for a verdict,
// and those parts with it that have the same crashes. It reports whether there was one.
func (i *Isolator) quarantineDue(now time.Time) bool {
	worst, evidence := i.worst(now)
	if worst == nil {
		return false
	}
	due := []*Entry{worst}
	for _, e := range i.entries {
		if e != worst && e.state != StateQuarantined && slices.Equal(programs(i.counting(now, e)), programs(evidence)) {
			due = append(due, e)
		}
	}
	for _, e := range due {
		i.setState(now, e, StateQuarantined)
	}
	i.explain()
	return true
}

// worst returns the part with the most crashes that are enough for a verdict, and these. It
// returns nil if there is none.
func (i *Isolator) worst(now time.Time) (worst *Entry, evidence []Crash) {
	for _, e := range i.entries {
		if e.state == StateQuarantined || len(e.crashes) < minCrashes {
			continue
		}
		counting := i.counting(now, e)
		if !i.isEnough(e, counting) {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(len(evidence), len(counting)), cmp.Compare(e.part, worst.part)) < 0 {
			worst, evidence = e, counting
		}
	}
	return worst, evidence
}

// isEnough reports whether the crashes that count against a part are enough for a verdict.
func (i *Isolator) isEnough(e *Entry, counting []Crash) bool {
	return len(counting) > 0 && len(counting) >= i.needed(e, counting) &&
		e.groups(counting) >= minGroups && i.share(counting) >= minShare
}

// explain collects the crashes that quarantined parts explain, and those that lifted parts
// explained before.
func (i *Isolator) explain() {
	i.explained = make(map[uint32][]Crash)
	for _, e := range i.entries {
		for _, c := range e.crashes {
			if e.state == StateQuarantined || !c.at.After(e.explainsUntil) {
				i.explained[c.program] = append(i.explained[c.program], c)
			}
		}
	}
}

// counting returns the crashes that count against a part: those that are known for settleTime,
// not excused, and that no quarantined part explains.
func (i *Isolator) counting(now time.Time, e *Entry) []Crash {
	var list []Crash
	for _, c := range e.crashes {
		if c.excused || now.Sub(c.knownAt) < settleTime || i.isExplained(c) {
			continue
		}
		list = append(list, c)
	}
	return list
}

// hasCrash reports whether the crash of a program is in the entry.
func (e *Entry) hasCrash(program uint32) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.program == program })
}

// isExplained reports whether a part that is or was quarantined explains the crash.
func (i *Isolator) isExplained(c Crash) bool {
	return slices.ContainsFunc(i.explained[c.program], c.same)
}

// same reports whether c and d are the same crash, possibly detected by two routers.
func (c Crash) same(d Crash) bool {
	return c.program == d.program && c.at.Sub(d.at).Abs() <= sameCrashWindow
}

func programs(crashes []Crash) []uint32 {
	list := make([]uint32, 0, len(crashes))
	for _, c := range crashes {
		list = append(list, c.program)
	}
	return list
}

// groups returns the number of the counting crashes without those that may have a common cause
// with the one before: they came within groupWindow of it, or no request has begun soundly in
// between, as when all upstreams crash.
func (e *Entry) groups(counting []Crash) int {
	n := 0
	followed := true
	var first time.Time
	for _, c := range e.crashes {
		if !slices.ContainsFunc(counting, c.same) {
			followed = followed || c.followed
			continue
		}
		if n == 0 || followed && c.at.Sub(first) > groupWindow {
			first = c.at
			n++
			followed = false
		}
		followed = followed || c.followed
	}
	return n
}

// share returns the share of the crashes in all of their pool that are known since the first of
// them and that no quarantined part explains.
func (i *Isolator) share(crashes []Crash) float64 {
	all := make(map[uint32]bool)
	for _, e := range i.entries {
		for _, c := range e.crashes {
			if c.pool == crashes[0].pool && !c.at.Before(crashes[0].at) && !all[c.program] && !i.isExplained(c) {
				all[c.program] = true
			}
		}
	}
	return float64(len(crashes)) / float64(max(len(all), 1))
}

// needed returns how many crashes a verdict on a part needs, so that its requests are unlikely
// to be broken off as often in a row by chance. The chance is the share of requests that other
// crashes broke off between the first and the last that count.
func (i *Isolator) needed(e *Entry, counting []Crash) int {
	sound, broken := priorSound, priorBroken
	for _, o := range i.outcomes {
		switch {
		case o.pool != counting[0].pool || o.at.Before(counting[0].at) || o.at.After(counting[len(counting)-1].at):
		case !o.broken:
			sound++
		case !e.hasCrash(o.program) && !i.isExplained(Crash{program: o.program, at: o.at}):
			broken++
		}
	}
	byChance := float64(broken) / float64(sound+broken)
	n := int(math.Ceil(math.Log(significance) / math.Log(byChance)))
	if n > maxNeeded {
		return math.MaxInt
	}
	return max(n, minCrashes)
}
