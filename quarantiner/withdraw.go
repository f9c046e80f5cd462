package quarantiner

import (
	"slices"
	"time"
)

// RestartTime is the least time after a crash for which the upstream is away. An answer after
// that may come from the program that was started next.
const RestartTime = 1500 * time.Millisecond

// RecordAnswer records that an upstream has answered a request that was sent at a time. What
// this router took for crashes of it before are none.
func (q *Quarantiner) RecordAnswer(now time.Time, upstream string, sentAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if sentAt.Sub(q.lastCrash) >= RestartTime {
		return
	}
	var until time.Time
	for _, e := range q.entries {
		for _, c := range e.crashes {
			if c.upstream == upstream && c.knownAt.Before(sentAt) && sentAt.Sub(c.at) < RestartTime {
				until = later(until, c.at)
			}
		}
	}
	if !until.IsZero() {
		q.withdraw(now, upstream, until)
	}
}

// Withdraw records that an upstream certainly had not crashed until a time, for which its
// connections ended for another reason. Requests that were suspected or quarantined for crashes
// of it until then are no more suspected of these, here and at the peers.
func (q *Quarantiner) Withdraw(now time.Time, upstream string, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.entries {
		if slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.upstream == upstream && !c.at.After(until) }) {
			q.withdraw(now, upstream, until)
			return
		}
	}
}

func (q *Quarantiner) withdraw(now time.Time, upstream string, until time.Time) {
	if until.After(now) {
		until = now
	}
	known, ok := q.withdrawn[upstream]
	if !ok && len(q.withdrawn) >= q.maxEntries() {
		return
	}
	if q.withdrawn == nil {
		q.withdrawn = make(map[string]time.Time)
	}
	q.withdrawn[upstream] = later(known, until)
	for fingerprint, e := range q.entries {
		quarantined := e.state == stateQuarantined
		crashes := e.crashes
		if !q.removeWithdrawn(e) {
			continue
		}
		if quarantined {
			q.attributed = slices.DeleteFunc(q.attributed, func(c Crash) bool { return contains(crashes, c) })
		}
		if len(e.crashes) == 0 {
			delete(q.entries, fingerprint)
		}
	}
}

// removeWithdrawn removes the withdrawn crashes from an entry, and reports whether there were
// any. A quarantine for them ends.
func (q *Quarantiner) removeWithdrawn(e *Entry) bool {
	if !slices.ContainsFunc(e.crashes, q.isWithdrawn) {
		return false
	}
	e.crashes = slices.DeleteFunc(slices.Clone(e.crashes), q.isWithdrawn)
	if e.state == stateQuarantined {
		e.state = stateSuspect
	}
	return true
}

// isWithdrawn reports whether a crash is withdrawn. Peers know its time to the millisecond.
func (q *Quarantiner) isWithdrawn(c Crash) bool {
	until, ok := q.withdrawn[c.upstream]
	return ok && !c.at.Truncate(time.Millisecond).After(until)
}

// exportWithdrawn encodes the latest withdrawals in at most limit bytes, as entries without a
// fingerprint.
func (q *Quarantiner) exportWithdrawn(limit int) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	crashes := make([]Crash, 0, len(q.withdrawn))
	for upstream, until := range q.withdrawn {
		crashes = append(crashes, Crash{upstream: upstream, at: until})
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return b.at.Compare(a.at) })
	crashes = crashes[:min(len(crashes), maxWithdrawals*MaxCrashes)]
	var b []byte
	for list := range slices.Chunk(crashes, MaxCrashes) {
		next := Entry{state: stateCleared, changedAt: list[0].at, crashes: list}.append(b)
		if len(next) > limit {
			break
		}
		b = next
	}
	return b
}
