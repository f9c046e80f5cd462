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
	// minOnlyCrashes is the least number of crashes, and minOnlyShare their least share, for a
	// verdict with fewer groups. So many in a row, whose share is nearly all, leave it unlikely
	// that the requests that began soundly lack the part by chance.
	minOnlyCrashes = 2 * minCrashes
	minOnlyShare   = 0.9
	// followTime is how long ago a request began soundly amid the crashes, so that peers have
	// reported the parts with which others did at about the same time.
	followTime = time.Second
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
	worst := i.worst(now)
	if worst == nil {
		return false
	}
	due := []*Entry{worst}
	same := programs(i.counting(now, worst))
	for _, e := range i.entries {
		if e != worst && e.state != StateQuarantined && slices.Equal(programs(i.counting(now, e)), same) {
			due = append(due, e)
		}
	}
	for _, e := range due {
		i.setState(now, e, StateQuarantined)
	}
	i.explain()
	return true
}

// worst returns the part with the most crashes that are enough for a verdict, or nil.
func (i *Isolator) worst(now time.Time) (worst *Entry) {
	most := 0
	for _, e := range i.entries {
		if e.state == StateQuarantined || len(e.crashes) < minCrashes {
			continue
		}
		evidence := i.evidence(now, e)
		if !i.isEnough(now, e, evidence) {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(most, len(evidence)), cmp.Compare(e.part, worst.part)) < 0 {
			worst, most = e, len(evidence)
		}
	}
	return worst
}

// isEnough reports whether the crashes that count against a part are enough for a verdict.
func (i *Isolator) isEnough(now time.Time, e *Entry, counting []Crash) bool {
	if len(counting) == 0 || len(counting) < i.needed(e, counting) {
		return false
	}
	n, others := float64(len(counting)), i.others(e, counting)
	if e.groups(counting) >= minGroups && n/float64(i.unexplained(e)+others) >= minShare {
		return true
	}
	return len(counting) >= minOnlyCrashes && n/float64(len(counting)+others) >= minOnlyShare &&
		moments(counting) >= minGroups && i.goesOn(now, e) && !i.hasRival(e, counting)
}

// hasRival reports whether another part is suspected of half of the crashes or more, though it
// comes in other requests: then any request may crash upstreams.
func (i *Isolator) hasRival(e *Entry, counting []Crash) bool {
	for _, other := range i.entries {
		n := 0
		for _, c := range counting {
			if other.suspects(c.program) {
				n++
			}
		}
		if other != e && other.state != StateQuarantined && 2*n >= len(counting) && !i.areTogether(e.part, other.part) {
			return true
		}
	}
	return false
}

// areTogether reports whether all requests that were broken off on this router had both parts or
// neither, and some had both.
func (i *Isolator) areTogether(a, b uint64) bool {
	found := false
	for _, o := range i.outcomes {
		hasA, hasB := slices.Contains(o.parts, a), slices.Contains(o.parts, b)
		if hasA != hasB {
			return false
		}
		found = found || hasA
	}
	return found
}

// goesOn reports whether the part has crashed upstreams before and after a request without it
// began soundly on this router, so that not all requests crash upstreams. The parts of requests
// that peers alone know of may not be reported yet.
func (i *Isolator) goesOn(now time.Time, e *Entry) bool {
	for n, c := range e.crashes[:len(e.crashes)-1] {
		if c.excused || i.isExplained(c) {
			continue
		}
		before := e.crashes[n+1].at
		if known := now.Add(-followTime); known.Before(before) {
			before = known
		}
		if i.beganSoundly(c.pool, c.at, before) {
			return true
		}
	}
	return false
}

// moments returns the number of crashes that came more than groupWindow after the one before.
func moments(crashes []Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(last) > groupWindow {
			n++
		}
		last = c.at
	}
	return n
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

// evidence returns the crashes that count against a part. If enough do, so that it crashes
// upstreams without the quarantined parts, those count too that a quarantined part explains.
func (i *Isolator) evidence(now time.Time, e *Entry) []Crash {
	counting := i.counting(now, e)
	if len(counting) < minGroups {
		return counting
	}
	var list []Crash
	for _, c := range e.crashes {
		if !c.excused && now.Sub(c.knownAt) >= settleTime && c.at.After(e.explainsUntil) {
			list = append(list, c)
		}
	}
	return list
}

// hasCrash reports whether the crash of a program is in the entry.
func (e *Entry) hasCrash(program uint32) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.program == program })
}

// suspects reports whether the crash of a program is in the entry and isn't excused.
func (e *Entry) suspects(program uint32) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.program == program && !c.excused })
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

// others returns the number of crashes in their pool, known since the first counting one, that
// neither a quarantined part explains nor count against the entry now or later.
func (i *Isolator) others(e *Entry, counting []Crash) int {
	others := make(map[uint32]bool)
	for _, other := range i.entries {
		for _, c := range other.crashes {
			if c.pool == counting[0].pool && !c.at.Before(counting[0].at) && !e.suspects(c.program) && !i.isExplained(c) {
				others[c.program] = true
			}
		}
	}
	return len(others)
}

// unexplained returns the number of crashes that count against a part now or later.
func (i *Isolator) unexplained(e *Entry) int {
	n := 0
	for _, c := range e.crashes {
		if !c.excused && !i.isExplained(c) {
			n++
		}
	}
	return n
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
