// Package quarantiner finds the request that crashes upstreams among those that
// were in flight with it. A request is known by the hash of its body, so that a
// resend counts as the same. It is a pure decision: time is passed in.
//
// Every request that runs on a crashing upstream is a suspect of that
// crash until it is answered whole. A suspect of two crashes runs no more. It
// is quarantined once every other suspect of one of them has been cleared, which
// explains its crashes and so frees the others.
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Verdict says what may be done with a request.
type Verdict string

// Values of Verdict.
const (
	// VerdictClear says that nothing is known against the request.
	VerdictClear Verdict = "clear"
	// VerdictSuspect says that it may run where no other suspect runs.
	VerdictSuspect Verdict = "suspect"
	// VerdictHeld says that it may not run until it is cleared or quarantined.
	VerdictHeld Verdict = "held"
	// VerdictQuarantined says that it is refused.
	VerdictQuarantined Verdict = "quarantined"
)

// MaxCrashes is the most upstreams that one request may crash.
const MaxCrashes = 2

// Defaults of a Quarantiner whose fields are zero.
const (
	defaultSettle     = 2 * time.Second
	defaultSuspicion  = time.Minute
	defaultQuarantine = 30 * time.Minute
	defaultEntries    = 1024
	defaultSame       = 10 * time.Second
)

// Crash is one crash of an upstream.
type Crash struct {
	upstream string
	at       time.Time
}

// Upstream returns the address.
func (c Crash) Upstream() string { return c.upstream }

// At returns when the crash was seen.
func (c Crash) At() time.Time { return c.at }

// Entry is what is known against one request.
type Entry struct {
	fingerprint uint64
	// crashes are not explained by another request; at most MaxCrashes.
	crashes []Crash
	// changed is when the entry last changed.
	changed time.Time
	// state decides which of two copies of an entry holds: the later change.
	state state
}

// state is the lasting part of a verdict.
type state string

const (
	stateSuspect     state = "suspect"
	stateCleared     state = "cleared"
	stateQuarantined state = "quarantined"
	stateLifted      state = "lifted"
)

// Fingerprint returns the hash of the body.
func (e Entry) Fingerprint() uint64 { return e.fingerprint }

// Crashes returns the crashes it is a suspect of; the caller must not change
// the slice.
func (e Entry) Crashes() []Crash { return e.crashes }

// Changed returns when the entry last changed.
func (e Entry) Changed() time.Time { return e.changed }

// Quarantined reports whether requests with the fingerprint are refused.
func (e Entry) Quarantined() bool { return e.state == stateQuarantined }

// Quarantiner keeps the entries of one router. Its zero value is ready for use.
// It is safe for concurrent use.
type Quarantiner struct {
	// Settle is the least time between a crash and a quarantine for it, in which
	// the other suspects become known from peers; 0 means 2 s.
	Settle time.Duration
	// Suspicion is how long a suspect is remembered; 0 means 1 min.
	Suspicion time.Duration
	// Quarantine is how long a quarantine holds; 0 means 30 min.
	Quarantine time.Duration
	// Entries bounds the entries kept; 0 means 1,024.
	Entries int

	mu      sync.Mutex
	entries map[uint64]*Entry
	// explained holds the crashes of quarantined requests.
	explained []Crash
	// trials holds the suspect that runs on each upstream.
	trials map[string]uint64
}

// Crashed notes that the request was in flight on an upstream that crashed. A
// request whose fingerprint is 0, which means unknown, is never a suspect.
func (q *Quarantiner) Crashed(now time.Time, fingerprint uint64, upstream string) {
	if fingerprint == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	c := Crash{upstream: upstream, at: now}
	if q.isExplained(c) {
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
	e.changed = now
	e.crashes = merge(e.crashes, []Crash{c})
}

// Cleared notes that the request was answered whole: it crashes nothing. It
// reports whether the request was a suspect.
func (q *Quarantiner) Cleared(now time.Time, fingerprint uint64) bool {
	return q.set(now, fingerprint, stateCleared)
}

// Lift ends the quarantine or suspicion of a request and reports whether there
// was one.
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
	e.changed = now
	e.crashes = nil
	return true
}

// Judge says what may be done with a request now.
func (q *Quarantiner) Judge(now time.Time, fingerprint uint64) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.entries) == 0 {
		return VerdictClear
	}
	q.expire(now)
	q.convict(now)
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

// Begin reserves an upstream for a suspect, and reports whether no other
// suspect runs there.
func (q *Quarantiner) Begin(fingerprint uint64, upstream string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, busy := q.trials[upstream]; busy {
		return false
	}
	if q.trials == nil {
		q.trials = make(map[string]uint64)
	}
	q.trials[upstream] = fingerprint
	return true
}

// End gives back what Begin reserved.
func (q *Quarantiner) End(fingerprint uint64, upstream string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.trials[upstream] == fingerprint {
		delete(q.trials, upstream)
	}
}

// Busy returns the upstreams on which a suspect runs.
func (q *Quarantiner) Busy() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	busy := make([]string, 0, len(q.trials))
	for upstream := range q.trials {
		busy = append(busy, upstream)
	}
	slices.Sort(busy)
	return busy
}

// List returns the entries, quarantined ones first, then by fingerprint.
func (q *Quarantiner) List(now time.Time) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	q.convict(now)
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

// rank orders entries by how much they matter to others.
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

// entry returns the entry of a fingerprint, making room for a new one.
func (q *Quarantiner) entry(fingerprint uint64) *Entry {
	if e, ok := q.entries[fingerprint]; ok {
		return e
	}
	if q.entries == nil {
		q.entries = make(map[uint64]*Entry)
	}
	most := q.Entries
	if most == 0 {
		most = defaultEntries
	}
	if len(q.entries) >= most {
		q.evict()
	}
	e := &Entry{fingerprint: fingerprint}
	q.entries[fingerprint] = e
	return e
}

// evict forgets the entry that matters least, the oldest among equals.
func (q *Quarantiner) evict() {
	var least *Entry
	for _, e := range q.entries {
		if least == nil || e.lessThan(least) {
			least = e
		}
	}
	delete(q.entries, least.fingerprint)
}

func (e *Entry) lessThan(f *Entry) bool {
	return cmp.Or(
		cmp.Compare(f.rank(), e.rank()),
		e.changed.Compare(f.changed),
		cmp.Compare(e.fingerprint, f.fingerprint),
	) < 0
}

// expire forgets what is too old.
func (q *Quarantiner) expire(now time.Time) {
	suspicion := cmp.Or(q.Suspicion, defaultSuspicion)
	quarantine := cmp.Or(q.Quarantine, defaultQuarantine)
	for fingerprint, e := range q.entries {
		age := now.Sub(e.changed)
		if e.state == stateQuarantined && age > quarantine || e.state != stateQuarantined && age > suspicion {
			delete(q.entries, fingerprint)
		}
	}
	q.explained = slices.DeleteFunc(q.explained, func(c Crash) bool { return now.Sub(c.at) > suspicion })
}

// convict quarantines every suspect of two crashes that is the only one left of
// one of them, until there is none.
func (q *Quarantiner) convict(now time.Time) {
	for {
		e := q.culprit(now)
		if e == nil {
			return
		}
		// The time is the same at every router that knows the crashes, so that a
		// lift that comes later holds everywhere.
		e.state = stateQuarantined
		e.changed = latest(e.crashes).Add(cmp.Or(q.Settle, defaultSettle))
		q.explain(e.crashes)
	}
}

func (q *Quarantiner) culprit(now time.Time) *Entry {
	settle := cmp.Or(q.Settle, defaultSettle)
	for _, e := range q.entries {
		if e.state != stateSuspect || len(e.crashes) < MaxCrashes {
			continue
		}
		if now.Sub(latest(e.crashes)) < settle {
			continue
		}
		if slices.ContainsFunc(e.crashes, func(c Crash) bool { return q.alone(e, c) }) {
			return e
		}
	}
	return nil
}

// alone reports whether no other suspect of a crash is left.
func (q *Quarantiner) alone(e *Entry, c Crash) bool {
	for _, other := range q.entries {
		if other != e && other.state == stateSuspect && contains(other.crashes, c) {
			return false
		}
	}
	return true
}

// explain takes the crashes of a quarantined request from all suspects.
func (q *Quarantiner) explain(crashes []Crash) {
	q.explained = append(q.explained, crashes...)
	for _, e := range q.entries {
		if e.state == stateSuspect {
			e.crashes = slices.DeleteFunc(e.crashes, q.isExplained)
		}
	}
}

func (q *Quarantiner) isExplained(c Crash) bool { return contains(q.explained, c) }

func contains(crashes []Crash, c Crash) bool {
	return slices.ContainsFunc(crashes, func(d Crash) bool { return same(c, d) })
}

// same reports whether two routers may have seen the same crash.
func same(c, d Crash) bool {
	return c.upstream == d.upstream && c.at.Sub(d.at).Abs() <= defaultSame
}

// merge returns the crashes of both, the earliest first, at most MaxCrashes.
func merge(a, b []Crash) []Crash {
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
