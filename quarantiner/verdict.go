package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Verdict indicates whether and how a request may run.
type Verdict string

// Values of Verdict.
const (
	// VerdictClear means that the request is not suspected of a crash.
	VerdictClear Verdict = "clear"
	// VerdictSuspect means that the request may run on an upstream that runs no
	// other suspect.
	VerdictSuspect Verdict = "suspect"
	// VerdictHeld means that the request may not run for now: it is suspected of
	// MaxCrashes crashes, but is not quarantined.
	VerdictHeld Verdict = "held"
	// VerdictQuarantined means that the request is rejected.
	VerdictQuarantined Verdict = "quarantined"
)

// Attribute records that the crashes have another cause than a request as a whole. Requests
// that were suspected or quarantined for these alone are so no more.
func (q *Quarantiner) Attribute(now time.Time, crashes []Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.entries {
		explained := !slices.ContainsFunc(e.crashes, func(c Crash) bool { return !contains(crashes, c) })
		if e.state == stateQuarantined && explained {
			e.state = stateLifted
			e.changedAt = now
			e.crashes = nil
		}
	}
	q.attribute(crashes)
}

// Check returns the verdict on a request.
func (q *Quarantiner) Check(now time.Time, fingerprint uint64) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.entries) == 0 {
		return VerdictClear
	}
	q.expire(now)
	q.quarantineDue(now)
	e, ok := q.entries[fingerprint]
	switch {
	case !ok || e.state == stateCleared || e.state == stateLifted || len(e.crashes) == 0:
		return VerdictClear
	case e.state == stateQuarantined:
		return VerdictQuarantined
	case len(e.crashes) >= MaxCrashes:
		return VerdictHeld
	default:
		return VerdictSuspect
	}
}

// quarantineDue quarantines every suspect that nextDue returns. It takes one at a time
// because each quarantine removes crashes from the other suspects.
func (q *Quarantiner) quarantineDue(now time.Time) {
	for {
		e := q.nextDue(now)
		if e == nil {
			return
		}
		// Every router that has the same crashes computes the same time, so that a later
		// Lift overrides the quarantine on all of them.
		e.state = stateQuarantined
		e.changedAt = latest(e.crashes).Add(cmp.Or(q.SettleTime, defaultSettleTime))
		q.attribute(e.crashes)
	}
}

// nextDue returns a suspect of MaxCrashes crashes that is the only suspect left of at
// least one of them, once SettleTime has passed since the last of them. It returns nil
// if there is none.
func (q *Quarantiner) nextDue(now time.Time) *Entry {
	settleTime := cmp.Or(q.SettleTime, defaultSettleTime)
	for _, e := range q.entries {
		if e.state != stateSuspect || len(e.crashes) < MaxCrashes {
			continue
		}
		if now.Sub(latest(e.crashes)) < settleTime {
			continue
		}
		if slices.ContainsFunc(e.crashes, func(c Crash) bool { return q.isOnlySuspect(e, c) }) {
			return e
		}
	}
	return nil
}

// isOnlySuspect reports whether e is the only suspect left of the crash.
func (q *Quarantiner) isOnlySuspect(e *Entry, c Crash) bool {
	for _, other := range q.entries {
		if other != e && other.state == stateSuspect && contains(other.crashes, c) {
			return false
		}
	}
	return true
}

// attribute attributes the crashes to a quarantined request, and removes them from
// all suspects.
func (q *Quarantiner) attribute(crashes []Crash) {
	q.attributed = append(q.attributed, crashes...)
	for _, e := range q.entries {
		if e.state == stateSuspect {
			e.crashes = slices.DeleteFunc(e.crashes, q.isAttributed)
		}
	}
}

func (q *Quarantiner) isAttributed(c Crash) bool { return contains(q.attributed, c) }
