package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Crash is one crash of an upstream.
type Crash struct {
	upstream string
	at       time.Time
	// knownAt is when this router got to know of the crash.
	knownAt time.Time
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

// evictedBefore reports whether e is evicted before f.
func (e *Entry) evictedBefore(f *Entry) bool {
	return cmp.Or(
		cmp.Compare(f.rank(), e.rank()),
		e.changedAt.Compare(f.changedAt),
		cmp.Compare(e.fingerprint, f.fingerprint),
	) < 0
}

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
