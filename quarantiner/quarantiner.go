// Package quarantiner identifies requests that crash upstreams among all requests
// that were in flight during a crash. A request is identified by the hash of its
// body, so that a retry by the caller counts as the same request. The package does
// no I/O, and the time is passed in.
//
// Every request that is in flight on an upstream when it crashes is a suspect of
// the crash until it has been answered completely or its entry expires. A suspect of
// two crashes is held: it isn't sent to an upstream as long as it is one. It is
// quarantined once it is the only suspect left of one of its crashes. Both crashes are
// then attributed to it, so that their other suspects are no longer suspected of them.
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
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

// MaxCrashes is the number of crashes after which a suspect is held, and the
// maximum number of crashes in an entry.
const MaxCrashes = 2

// Defaults of the fields of Quarantiner, and sameCrashWindow, which is fixed.
const (
	defaultSettleTime    = 2 * time.Second
	defaultSuspectTTL    = time.Minute
	defaultQuarantineTTL = 30 * time.Minute
	defaultMaxEntries    = 1024
	// sameCrashWindow is the maximum difference between the times at which two routers
	// detect the same crash.
	sameCrashWindow = 10 * time.Second
)

// Crash is one crash of an upstream.
type Crash struct {
	upstream string
	at       time.Time
}

// NewCrash returns the crash of an upstream.
func NewCrash(upstream string, at time.Time) Crash { return Crash{upstream: upstream, at: at} }

// Upstream returns the upstream, as it was passed to RecordCrash.
func (c Crash) Upstream() string { return c.upstream }

// At returns when the crash was detected.
func (c Crash) At() time.Time { return c.at }

// Entry is the state of a request that is or was a suspect of crashes.
type Entry struct {
	fingerprint uint64
	// crashes are those that are not attributed to another request; at most
	// MaxCrashes.
	crashes []Crash
	// changedAt is when the entry last changed. It decides which of the entries of two
	// routers is current.
	changedAt time.Time
	state     state
}

// state is the stored state of a request, from which its verdict follows.
type state string

const (
	stateSuspect     state = "suspect"
	stateCleared     state = "cleared"
	stateQuarantined state = "quarantined"
	stateLifted      state = "lifted"
)

// Fingerprint returns the hash of the body.
func (e Entry) Fingerprint() uint64 { return e.fingerprint }

// Crashes returns the crashes that the request is a suspect of or that are
// attributed to it. The caller must not change the slice.
func (e Entry) Crashes() []Crash { return e.crashes }

// Changed returns when the entry last changed.
func (e Entry) Changed() time.Time { return e.changedAt }

// Quarantined reports whether requests with the fingerprint are rejected.
func (e Entry) Quarantined() bool { return e.state == stateQuarantined }

// Quarantiner holds the entries of one router. Its zero value is ready for use.
// It is safe for concurrent use.
type Quarantiner struct {
	// SettleTime is the minimum time between a crash and a quarantine for it, during
	// which peers report its other suspects; 0 means 2 s.
	SettleTime time.Duration
	// SuspectTTL is how long entries are kept that are not quarantined, counted from
	// their last change; 0 means 1 min.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a request stays quarantined; 0 means 30 min.
	QuarantineTTL time.Duration
	// MaxEntries is the maximum number of entries; 0 means 1,024.
	MaxEntries int

	mu      sync.Mutex
	entries map[uint64]*Entry
	// attributed holds the crashes that are attributed to quarantined requests.
	attributed []Crash
	// reserved has the fingerprint of the suspect that runs on each upstream.
	reserved map[string]uint64
}

// RecordCrash records that the request was in flight on an upstream that crashed. A
// request whose fingerprint is unknown (0) never becomes a suspect.
func (q *Quarantiner) RecordCrash(now time.Time, fingerprint uint64, upstream string) {
	if fingerprint == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	c := Crash{upstream: upstream, at: now}
	if q.isAttributed(c) {
		return
	}
	e := q.entry(fingerprint)
	if e.state != stateSuspect && e.state != "" {
		if e.state == stateQuarantined {
			return
		}
		e.crashes = nil
	}
	e.state = stateSuspect
	e.changedAt = now
	e.crashes = mergeCrashes(e.crashes, []Crash{c})
}

// MarkCleared records that the request was answered completely, which shows that it
// doesn't crash upstreams. It reports whether the request was a suspect.
func (q *Quarantiner) MarkCleared(now time.Time, fingerprint uint64) bool {
	return q.set(now, fingerprint, stateCleared)
}

// Lift ends the quarantine or suspicion of a request on behalf of an
// operator. It reports whether the request was quarantined or a suspect.
func (q *Quarantiner) Lift(now time.Time, fingerprint uint64) bool {
	return q.set(now, fingerprint, stateLifted)
}

func (q *Quarantiner) set(now time.Time, fingerprint uint64, s state) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.entries[fingerprint]
	if !ok || e.state == stateCleared || e.state == stateLifted {
		return false
	}
	if s == stateCleared && e.state == stateQuarantined {
		return false
	}
	e.state = s
	e.changedAt = now
	e.crashes = nil
	return true
}

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

// Reserve reserves an upstream for a suspect. It reports false if the upstream is
// reserved already.
func (q *Quarantiner) Reserve(fingerprint uint64, upstream string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, busy := q.reserved[upstream]; busy {
		return false
	}
	if q.reserved == nil {
		q.reserved = make(map[string]uint64)
	}
	q.reserved[upstream] = fingerprint
	return true
}

// Release releases the reservation of an upstream by the given suspect.
func (q *Quarantiner) Release(fingerprint uint64, upstream string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reserved[upstream] == fingerprint {
		delete(q.reserved, upstream)
	}
}

// Reserved returns the upstreams that are reserved for a suspect, sorted.
func (q *Quarantiner) Reserved() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	upstreams := make([]string, 0, len(q.reserved))
	for upstream := range q.reserved {
		upstreams = append(upstreams, upstream)
	}
	slices.Sort(upstreams)
	return upstreams
}

// List returns copies of the entries, ordered by rank and then by fingerprint.
func (q *Quarantiner) List(now time.Time) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	q.quarantineDue(now)
	list := make([]Entry, 0, len(q.entries))
	for _, e := range q.entries {
		list = append(list, e.clone())
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return list
}

func (e *Entry) clone() Entry {
	c := *e
	c.crashes = slices.Clone(e.crashes)
	return c
}

// rank orders entries by their importance for other routers; 0 is the highest.
func (e *Entry) rank() int {
	switch {
	case e.state == stateQuarantined || e.state == stateLifted:
		return 0
	case e.state == stateSuspect && len(e.crashes) >= MaxCrashes:
		return 1
	case e.state == stateSuspect:
		return 2
	default:
		return 3
	}
}

// entry returns the entry of a fingerprint. It creates a missing one, and evicts
// another if there are too many.
func (q *Quarantiner) entry(fingerprint uint64) *Entry {
	if e, ok := q.entries[fingerprint]; ok {
		return e
	}
	if q.entries == nil {
		q.entries = make(map[uint64]*Entry)
	}
	maxEntries := q.MaxEntries
	if maxEntries == 0 {
		maxEntries = defaultMaxEntries
	}
	if len(q.entries) >= maxEntries {
		q.evict()
	}
	e := &Entry{fingerprint: fingerprint}
	q.entries[fingerprint] = e
	return e
}

// evict deletes the entry of the lowest rank, and of these the one that changed
// first.
func (q *Quarantiner) evict() {
	var evicted *Entry
	for _, e := range q.entries {
		if evicted == nil || e.evictedBefore(evicted) {
			evicted = e
		}
	}
	delete(q.entries, evicted.fingerprint)
}

// evictedBefore reports whether e is evicted before f.
func (e *Entry) evictedBefore(f *Entry) bool {
	return cmp.Or(
		cmp.Compare(f.rank(), e.rank()),
		e.changedAt.Compare(f.changedAt),
		cmp.Compare(e.fingerprint, f.fingerprint),
	) < 0
}

// expire deletes entries and attributed crashes that are too old.
func (q *Quarantiner) expire(now time.Time) {
	suspectTTL := cmp.Or(q.SuspectTTL, defaultSuspectTTL)
	quarantineTTL := cmp.Or(q.QuarantineTTL, defaultQuarantineTTL)
	for fingerprint, e := range q.entries {
		age := now.Sub(e.changedAt)
		if e.state == stateQuarantined && age > quarantineTTL || e.state != stateQuarantined && age > suspectTTL {
			delete(q.entries, fingerprint)
		}
	}
	q.attributed = slices.DeleteFunc(q.attributed, func(c Crash) bool { return now.Sub(c.at) > suspectTTL })
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

func contains(crashes []Crash, c Crash) bool {
	return slices.ContainsFunc(crashes, func(d Crash) bool { return sameCrash(c, d) })
}

// sameCrash reports whether c and d count as one crash, possibly detected by two
// routers.
func sameCrash(c, d Crash) bool {
	return c.upstream == d.upstream && c.at.Sub(d.at).Abs() <= sameCrashWindow
}

// mergeCrashes returns the crashes of a and b without duplicates in order of time, and
// at most the MaxCrashes earliest.
func mergeCrashes(a, b []Crash) []Crash {
	for _, c := range b {
		if !contains(a, c) {
			a = append(a, c)
		}
	}
	slices.SortFunc(a, func(c, d Crash) int {
		return cmp.Or(c.at.Compare(d.at), cmp.Compare(c.upstream, d.upstream))
	})
	return a[:min(len(a), MaxCrashes)]
}

func latest(crashes []Crash) time.Time {
	var last time.Time
	for _, c := range crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}
