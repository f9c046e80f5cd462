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
//
// A crash is withdrawn if its upstream goes on: its connections broke for another reason.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
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
	// lastCrash is when the last crash that this router knows of was detected.
	lastCrash time.Time
	// withdrawn has, by upstream, until when it certainly had not crashed. Crashes in entries
	// and in attributed are later.
	withdrawn map[string]time.Time
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
	c := Crash{upstream: upstream, at: now, knownAt: now}
	q.lastCrash = later(q.lastCrash, now)
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

// IsEmpty reports whether no request is or was suspected.
func (q *Quarantiner) IsEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.entries) == 0
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

// entry returns the entry of a fingerprint. It creates a missing one, and evicts
// another if there are too many.
func (q *Quarantiner) entry(fingerprint uint64) *Entry {
	if e, ok := q.entries[fingerprint]; ok {
		return e
	}
	if q.entries == nil {
		q.entries = make(map[uint64]*Entry)
	}
	if len(q.entries) >= q.maxEntries() {
		q.evict()
	}
	e := &Entry{fingerprint: fingerprint}
	q.entries[fingerprint] = e
	return e
}

func (q *Quarantiner) maxEntries() int { return cmp.Or(q.MaxEntries, defaultMaxEntries) }

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
	maps.DeleteFunc(q.withdrawn, func(_ string, until time.Time) bool { return now.Sub(until) > suspectTTL })
}
