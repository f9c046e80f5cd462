// Package isolator finds the parts of prompts that crash upstreams, among all parts of the
// requests that were on an upstream when it crashed. A part is found by elimination: a
// crash counts against it as long as no request with the part has begun soundly since,
// while requests without it have. Routers exchange these counts, so that a part is found
// even if each of them sees one crash. The package does no I/O, and the time is passed in.
package isolator

import (
	"slices"
	"sync"
	"time"
)

const (
	// minCrashes is the least number of crashes, of different upstream programs, for which a
	// part is quarantined.
	minCrashes = 5
	// survivalTime is how long an upstream has to go on after it has begun an answer, so
	// that the request counts as sound.
	survivalTime = 300 * time.Millisecond
	// settleTime is how long a crash is known before it counts, during which requests
	// with the same parts may begin soundly elsewhere.
	settleTime = 2 * time.Second
	// suspectTTL is how long entries are kept that are not quarantined, counted from their
	// last crash, and excusedTTL how long those whose crashes are all excused.
	suspectTTL = 30 * time.Minute
	excusedTTL = time.Minute
	// quarantineTTL is how long a part stays quarantined.
	quarantineTTL = 24 * time.Hour
	// maxEntries bounds the parts that are known, maxCrashes the crashes in an entry.
	maxEntries = 512
	maxCrashes = 24
	// updateInterval is the shortest time between two updates of the states by checks.
	updateInterval = 50 * time.Millisecond
)

// Isolator holds what one router knows about the parts. Its zero value is ready for use. It
// is safe for concurrent use.
type Isolator struct {
	// OnChange, if set, is called when the state of a part changes, except that it becomes a
	// suspect. It must not call the Isolator.
	OnChange func(Entry)

	mu      sync.Mutex
	entries map[uint64]*Entry
	// sound and soundBefore have when a request with a part last began soundly on this
	// router. soundBefore is the older half.
	sound, soundBefore map[uint64]time.Time
	// explained has the crashes of quarantined parts, by program.
	explained map[uint32][]Crash
	// withdrawn has, by program, until when it certainly had not crashed. Crashes in entries
	// are later.
	withdrawn map[uint32]withdrawal
	// trials has the trials without a verdict that are in the store, by part.
	trials map[uint64]*trial
	// lastCrash is when the last crash that was counted against a part was detected.
	lastCrash time.Time
	// outcomes are those of the latest requests.
	outcomes []outcome
	// unsettled are ended requests that have begun less than settleTime ago, and whose
	// answers had no marked end.
	unsettled []*Attempt
	// updatedAt is when the states were last brought up to date.
	updatedAt time.Time
	// sent is the position in the entries from which the next message is filled.
	sent int
}

// Verdict indicates whether a request may run.
type Verdict string

// Values of Verdict.
const (
	// VerdictClear means that no part of the request is quarantined.
	VerdictClear Verdict = "clear"
	// VerdictTrial means that the request may run although a part is quarantined, to find out
	// whether it still crashes upstreams.
	VerdictTrial Verdict = "trial"
	// VerdictQuarantined means that the request is rejected.
	VerdictQuarantined Verdict = "quarantined"
)

// Check returns the verdict on a request with the parts, and the first part that is
// quarantined.
func (i *Isolator) Check(now time.Time, parts []uint64) (Verdict, uint64) {
	if len(parts) == 0 {
		return VerdictClear, 0
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.entries) == 0 {
		return VerdictClear, 0
	}
	if now.Sub(i.updatedAt) >= updateInterval {
		i.update(now)
	}
	quarantined := i.quarantinedOf(parts)
	if len(quarantined) == 0 {
		return VerdictClear, 0
	}
	e := quarantined[0]
	if len(quarantined) == 1 && i.startTrial(now, e) {
		return VerdictTrial, e.part
	}
	return VerdictQuarantined, e.part
}

// quarantinedOf returns the entries of the parts that are quarantined.
func (i *Isolator) quarantinedOf(parts []uint64) []*Entry {
	var list []*Entry
	for _, p := range parts {
		if e, ok := i.entries[p]; ok && e.state == StateQuarantined && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	return list
}

// Lift ends the quarantine or suspicion of a part on behalf of an operator. It reports
// whether the part was quarantined or a suspect.
func (i *Isolator) Lift(now time.Time, part uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	e, ok := i.entries[part]
	if !ok || e.state == StateLifted {
		return false
	}
	i.setState(now, e, StateLifted)
	return true
}

// List returns copies of the entries, quarantined ones first and of these the latest.
func (i *Isolator) List(now time.Time) []Entry {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.update(now)
	list := make([]Entry, 0, len(i.entries))
	for _, e := range i.entries {
		list = append(list, e.clone())
	}
	slices.SortFunc(list, func(a, b Entry) int { return a.compare(&b) })
	return list
}

// Count returns the number of quarantined parts and of suspects.
func (i *Isolator) Count() (quarantined, suspects int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, e := range i.entries {
		switch e.state {
		case StateQuarantined:
			quarantined++
		case StateSuspect:
			suspects++
		}
	}
	return quarantined, suspects
}

// setState changes the state of a part. A part that is lifted starts without crashes.
func (i *Isolator) setState(now time.Time, e *Entry, s State) {
	i.adopt(now, e, Entry{state: s, generation: min(e.generation, maxGeneration-1) + 1, since: now}, now)
}

// adopt takes over the state of received. The crashes of a part that is lifted are excused until
// the given time.
func (i *Isolator) adopt(now time.Time, e *Entry, received Entry, excusedUntil time.Time) {
	if e.state == StateQuarantined && received.state == StateLifted {
		e.explainsUntil = excusedUntil
	}
	e.state, e.generation, e.since = received.state, received.generation, received.since
	e.changedAt = now
	if e.state == StateLifted {
		e.excuse(excusedUntil)
	}
	if i.OnChange != nil {
		i.OnChange(e.clone())
	}
}

// entry returns the entry of a part. It creates a missing one, and evicts another if there
// are too many.
func (i *Isolator) entry(part uint64) *Entry {
	if e, ok := i.entries[part]; ok {
		return e
	}
	if i.entries == nil {
		i.entries = make(map[uint64]*Entry)
	}
	if len(i.entries) >= maxEntries {
		i.evict()
	}
	e := &Entry{part: part, state: StateSuspect}
	i.entries[part] = e
	return e
}

// evict deletes the least important entry.
func (i *Isolator) evict() {
	var last *Entry
	for _, e := range i.entries {
		if last == nil || e.compare(last) > 0 {
			last = e
		}
	}
	delete(i.entries, last.part)
	delete(i.trials, last.part)
}

// expire deletes entries that are too old.
func (i *Isolator) expire(now time.Time) {
	i.expireWithdrawn(now)
	for part, e := range i.entries {
		if now.Sub(e.changedAt) > e.ttl() {
			delete(i.entries, part)
			delete(i.trials, part)
		}
	}
}

func (e *Entry) ttl() time.Duration {
	switch {
	case e.state != StateSuspect:
		return quarantineTTL
	case e.counted() == 0:
		return excusedTTL
	default:
		return suspectTTL
	}
}
