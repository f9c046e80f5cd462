package accountant

import (
	"errors"
	"maps"
	"net/netip"
	"time"
)

// Table has the counts of all routers. A run of a process keeps its counts when the router restarts.
// Counts and totals only grow, so that lost, late and repeated messages change nothing. It is used by
// one goroutine at a time.
type Table struct {
	runs map[uint64]*run
	// fixed is the last window that is known to be fixed.
	fixed int64
}

// run is one run of a router.
type run struct {
	from    netip.Addr
	heard   time.Duration
	windows map[int64]*runWindow
	// sequence and current are those of the latest report.
	sequence uint32
	current  int64
}

// runWindow are the counts of one run in one window, by the hash of the organisation.
type runWindow struct {
	counts map[uint64]int64
	sum    int64
	// total is the sum of the counts as stated by the router.
	total int64
}

// Receive records a report. Current is the window in progress by the estimate of this router.
// Invalid counts are ignored. The errors that it returns tell which there were.
func (t *Table) Receive(now time.Duration, from netip.Addr, r Report, current int64, isDeclared func(hash uint64) bool) error {
	if r.Current > current+1 {
		return ErrFutureWindow
	}
	u := t.run(now, from, r.Run)
	isLate := r.Sequence < u.sequence
	u.heard, u.from = now, from
	if !isLate {
		u.sequence, u.current = r.Sequence, r.Current
	}
	var invalid error
	for k, total := range r.Totals {
		if !t.isOpen(k, current) {
			continue
		}
		w := u.window(k)
		if total < w.total && !isLate {
			invalid = errors.Join(invalid, ErrFallingCount)
		}
		w.total = max(w.total, total)
	}
	for _, c := range r.Counts {
		if !t.isOpen(c.Window, current) {
			continue
		}
		w := u.window(c.Window)
		before := w.counts[c.Organisation]
		switch {
		case !isDeclared(c.Organisation):
			invalid = errors.Join(invalid, ErrUnknownOrganisation)
		case c.Requests > before:
			w.counts[c.Organisation] = c.Requests
			w.sum += c.Requests - before
		case c.Requests < before && !isLate:
			invalid = errors.Join(invalid, ErrFallingCount)
		}
	}
	return invalid
}

func (t *Table) isOpen(window, current int64) bool {
	return window > t.fixed && window > current-MaxWindows
}

// run returns the record of a run. The run that was silent for longest is removed if there are too
// many.
func (t *Table) run(now time.Duration, from netip.Addr, id uint64) *run {
	if t.runs == nil {
		t.runs = make(map[uint64]*run)
	}
	if u := t.runs[id]; u != nil {
		return u
	}
	if len(t.runs) >= maxRuns {
		silent, longest := uint64(0), time.Duration(-1)
		for id, u := range t.runs {
			if now-u.heard > longest {
				silent, longest = id, now-u.heard
			}
		}
		delete(t.runs, silent)
	}
	u := &run{from: from, windows: make(map[int64]*runWindow)}
	t.runs[id] = u
	return u
}

func (u *run) window(k int64) *runWindow {
	w := u.windows[k]
	if w == nil {
		w = &runWindow{counts: make(map[uint64]int64)}
		u.windows[k] = w
	}
	return w
}

// runAge is how long a run without open windows is kept after its last message.
const runAge = time.Minute

// Fix removes the windows up to a fixed one, and those before the latest MaxWindows.
func (t *Table) Fix(now time.Duration, window, current int64) {
	t.fixed = max(t.fixed, window)
	for id, u := range t.runs {
		maps.DeleteFunc(u.windows, func(k int64, _ *runWindow) bool { return !t.isOpen(k, current) })
		if len(u.windows) == 0 && now-u.heard > runAge {
			delete(t.runs, id)
		}
	}
}

// Fixed returns the last window that is known to be fixed; 0 for none.
func (t *Table) Fixed() int64 { return t.fixed }

// Runs returns the number of runs.
func (t *Table) Runs() int { return len(t.runs) }

// IsComplete reports whether the latest runs of all given routers have sent all counts of a
// window after its end.
func (t *Table) IsComplete(window int64, routers []netip.Addr) bool {
	latest := make(map[netip.Addr]*run, len(routers))
	for _, u := range t.runs {
		if other := latest[u.from]; other == nil || u.heard > other.heard {
			latest[u.from] = u
		}
	}
	for _, a := range routers {
		u := latest[a]
		if u == nil || u.current <= window {
			return false
		}
		if w := u.windows[window]; w != nil && w.sum < w.total {
			return false
		}
	}
	return true
}

// Sum returns the counts of all runs in a window by organisation. Name resolves a hash.
func (t *Table) Sum(window int64, name func(hash uint64) (string, bool)) map[string]int64 {
	sum := make(map[string]int64)
	for _, u := range t.runs {
		w := u.windows[window]
		if w == nil {
			continue
		}
		for hash, n := range w.counts {
			if organisation, ok := name(hash); ok && n > 0 {
				sum[organisation] += n
			}
		}
	}
	return sum
}
