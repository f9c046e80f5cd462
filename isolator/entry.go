package isolator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// State is the state of a part.
type State string

// Values of State.
const (
	// StateSuspect means that requests with the part run.
	StateSuspect State = "suspect"
	// StateQuarantined means that requests with the part are rejected.
	StateQuarantined State = "quarantined"
	// StateLifted means that an operator has ended the quarantine, or a request that was
	// let through has begun soundly.
	StateLifted State = "lifted"
)

// Crash is the crash of an upstream program during a request with the part.
type Crash struct {
	// program is the hash of the program.
	program uint32
	// pool is the hash of the pool that the program serves.
	pool uint8
	// at is when the crash was detected.
	at time.Time
	// excused is set once a request with the part has begun soundly after the crash.
	excused bool
	// followed is set once some request has begun soundly after the crash and before the
	// next one of the entry.
	followed bool
	// knownAt is when this router got to know of the crash.
	knownAt time.Time
}

// Program returns the program that crashed, in the format of FormatProgram.
func (c Crash) Program() string { return formatProgram(c.program) }

// FormatProgram returns the hash by which crashes of a program are told apart.
func FormatProgram(p kingcuphook.Program) string {
	return formatProgram(hashProgram(p))
}

func formatProgram(program uint32) string { return hasher.Format(uint64(program)) }

// At returns when the crash was detected.
func (c Crash) At() time.Time { return c.at }

// Entry is the state of a part.
type Entry struct {
	part  uint64
	state State
	// generation counts the changes between quarantined and lifted. Of two routers' states
	// the one of the later generation is current.
	generation uint8
	// since is when the part got its state.
	since time.Time
	// explainsUntil is the time until which the part explains its crashes although it was
	// lifted; zero if it never was in quarantine.
	explainsUntil time.Time
	// crashes are ordered by time; at most one for each program.
	crashes []Crash
	// changedAt is when the entry last changed here, in state or crashes.
	changedAt time.Time
	// refusedAt is when this router last rejected a request of which no other part is
	// quarantined.
	refusedAt time.Time
	// trialAfter is the earliest time of the next trial by this router.
	trialAfter time.Time
}

// Part returns the hash of the part.
func (e Entry) Part() uint64 { return e.part }

// State returns the state of the part.
func (e Entry) State() State { return e.state }

// Since returns when the part got its state.
func (e Entry) Since() time.Time { return e.since }

// Crashes returns the crashes that are counted against the part. The caller must not change
// the slice.
func (e Entry) Crashes() []Crash { return e.crashes }

// latest returns when the last of the crashes was detected.
func (e *Entry) latest() time.Time {
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[len(e.crashes)-1].at
}

func (e *Entry) clone() Entry {
	c := *e
	c.crashes = slices.Clone(e.crashes)
	return c
}

// compare orders entries by their importance: quarantined and lifted ones, then those with
// more crashes, then those that changed later.
func (e *Entry) compare(other *Entry) int {
	return cmp.Or(
		cmp.Compare(e.rank(), other.rank()),
		cmp.Compare(other.counted(), e.counted()),
		other.changedAt.Compare(e.changedAt),
		cmp.Compare(e.part, other.part),
	)
}

func (e *Entry) rank() int {
	if e.state == StateSuspect {
		return 1
	}
	return 0
}

// counted returns the number of crashes that are not excused.
func (e *Entry) counted() int {
	n := 0
	for _, c := range e.crashes {
		if !c.excused {
			n++
		}
	}
	return n
}

// excuse excuses the crashes until the given time. It reports whether there were any.
func (e *Entry) excuse(until time.Time) bool {
	found := false
	for n := range e.crashes {
		c := &e.crashes[n]
		if !c.excused && !c.at.After(until) {
			c.excused = true
			found = true
		}
	}
	return found
}

// addCrash adds a crash to an entry, or merges it with the same one. It reports whether the
// entry has changed. Of too many crashes the earliest are kept that are not excused: they were
// told to more routers.
func (e *Entry) addCrash(c Crash) bool {
	for n := range e.crashes {
		own := &e.crashes[n]
		if own.same(c) {
			return own.merge(c)
		}
	}
	if len(e.crashes) == maxCrashes {
		n := slices.IndexFunc(e.crashes, func(c Crash) bool { return c.excused })
		if n < 0 {
			return false
		}
		e.crashes = slices.Delete(e.crashes, n, n+1)
	}
	e.crashes = append(e.crashes, c)
	slices.SortFunc(e.crashes, func(a, b Crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.program, b.program))
	})
	return true
}

// merge merges another report of the same crash. It reports whether c has changed. The
// earlier time is closer to the crash, since reports take time.
func (c *Crash) merge(other Crash) bool {
	changed := other.excused && !c.excused || other.followed && !c.followed
	c.excused = c.excused || other.excused
	c.followed = c.followed || other.followed
	if other.at.Before(c.at) {
		c.at = other.at
	}
	return changed
}

// hashPool returns the hash by which pools are told apart.
func hashPool(name string) uint8 { return uint8(xxhash.Sum64String(name)) }

// hashProgram returns the hash by which crashes of a program are told apart.
func hashProgram(p kingcuphook.Program) uint32 { return uint32(p.Key()) }
