package accountant

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// fixDelay is how long after its end a window is fixed at the earliest.
	fixDelay = time.Second
	// fixShare is the share of the time until a report is due after which its window is fixed
	// although counts of a router are missing. The rest is for the write and the report.
	fixShare = 0.6
	// acquireDelay is the time that routers have to send their counts to a new holder.
	acquireDelay = time.Second
	// firstEra is the era of a store that was never restored from an older copy; stores without eras
	// have 0.
	firstEra = 1
)

// Action is the next call of a holder.
type Action string

// Values of Action.
const (
	// ActionNone means that nothing is due.
	ActionNone Action = "none"
	// ActionRead reads the record.
	ActionRead Action = "read"
	// ActionWrite writes the record, if it still has the revision read.
	ActionWrite Action = "write"
	// ActionReport sends the report of a window.
	ActionReport Action = "report"
)

// Step is the next call of a Reporter.
type Step struct {
	Action Action
	// Value and Revision are the record to write and the revision that it must have now.
	Value    []byte
	Revision int64
	// Report is the report to send.
	Report kingcuphook.UsageReport
}

// Fleet is what a Reporter needs to know about the counts of all routers.
type Fleet struct {
	// Fixed is the last window that is known to be fixed; 0 for none.
	Fixed int64
	// IsComplete reports whether all known routers have sent all counts of a window.
	IsComplete func(window int64) bool
	// Sum returns the counts of a window.
	Sum func(window int64) map[string]int64
}

// Reporter decides when windows are fixed and reported while this router holds the lease. Its
// exported fields are set before first use. It is used by one goroutine at a time.
//
// A window is reported only from a record that the store has confirmed in the current era. After each
// write whose outcome is not a confirmation, the record is read again.
type Reporter struct {
	// Length is the length of a window, Late how long after its end its report is due.
	Length, Late time.Duration
	// Started is when this router was started, by the time of day of the fleet. The first window
	// reported ever is that of the first holder's start.
	Started time.Time

	// acquired is when Next was first called in this holding.
	acquired time.Time
	// isRead is true while current is the record in the store as far as it is known.
	isRead   bool
	current  record
	revision int64
	// written is the record of the write under way.
	written record
	// reported are the windows of the record whose report has been confirmed in this holding.
	reported map[int64]bool
	dropped  int
}

// Acquired records that this router has become the holder.
func (r *Reporter) Acquired() {
	r.acquired = time.Time{}
	r.isRead = false
	r.reported = make(map[int64]bool)
}

// Next returns the next call. Now is the time of day of the fleet and era the latest era of the store.
func (r *Reporter) Next(now time.Time, era int64, f Fleet) Step {
	if r.acquired.IsZero() {
		r.acquired = now
	}
	if !r.isRead {
		return Step{Action: ActionRead}
	}
	if r.revision == kingcuphook.RevisionAbsent {
		// The estimate of the time of the start may have improved.
		r.current = r.firstRecord(era, f.Fixed)
	}
	if r.current.Era != era {
		return r.startEra(now, era, f)
	}
	// Windows are fixed also while their reports fail.
	if s := r.fix(now, f); s.Action != ActionNone {
		return s
	}
	if unreported := r.unreported(); len(unreported) > 0 {
		w := unreported[0]
		return Step{Action: ActionReport, Report: kingcuphook.UsageReport{Window: w.Window, Counts: w.Counts}}
	}
	return Step{Action: ActionNone}
}

// unreported returns the windows of the record whose report is not confirmed.
func (r *Reporter) unreported() []recordWindow {
	return slices.DeleteFunc(slices.Clone(r.current.Windows), func(w recordWindow) bool { return r.reported[w.Window] })
}

// startEra writes a record of a later era, which gives up all windows that have ended: they may have
// been reported from a record that the store has lost. Another router may know of later ones than the clock of
// this one shows.
func (r *Reporter) startEra(now time.Time, era int64, f Fleet) Step {
	ended := WindowAt(now, r.Length) - 1
	return r.write(record{Era: era, Fixed: max(ended, r.current.Fixed, f.Fixed)})
}

// fix writes a record with the windows that are due, in order.
func (r *Reporter) fix(now time.Time, f Fleet) Step {
	if now.Sub(r.acquired) < acquireDelay {
		return Step{Action: ActionNone}
	}
	next := record{Era: r.current.Era, Fixed: r.current.Fixed}
	next.Windows = r.unreported()
	// The counts of earlier windows are lost.
	next.Fixed = max(next.Fixed, WindowAt(now, r.Length)-MaxWindows)
	due := false
	for r.isDue(now, next.Fixed+1, f) {
		due = true
		next.Fixed++
		next.Windows = append(next.Windows, recordWindow{Window: next.Fixed, Counts: f.Sum(next.Fixed)})
	}
	if !due {
		return Step{Action: ActionNone}
	}
	return r.write(next)
}

func (r *Reporter) isDue(now time.Time, window int64, f Fleet) bool {
	since := now.Sub(EndOf(window, r.Length))
	limit := max(time.Duration(fixShare*float64(r.Late)), fixDelay)
	return since >= limit || since >= fixDelay && f.IsComplete(window)
}

func (r *Reporter) write(next record) Step {
	value, dropped := next.encode()
	r.dropped += dropped
	r.written = next
	return Step{Action: ActionWrite, Value: value, Revision: r.revision}
}

// Read handles the result of ActionRead. Era is the latest era of the store after the call; if the
// entry is of an earlier one, a write fails that expects its revision.
func (r *Reporter) Read(e kingcuphook.Entry, era int64, err error) error {
	absent := errors.Is(err, kingcuphook.ErrNotFound)
	if err != nil && !absent {
		return err
	}
	if absent {
		r.confirm(record{}, kingcuphook.RevisionAbsent)
		return nil
	}
	stored, err := decodeRecord(e.Value())
	if err != nil {
		// What the record had is lost, as in a later era.
		stored = record{Era: era - 1}
	}
	r.confirm(stored, e.Revision())
	return err
}

// firstRecord returns the record to start from if there is none. In a later era, or if windows are known
// to be fixed, one has been lost or may have been.
func (r *Reporter) firstRecord(era, fixed int64) record {
	if era > firstEra || fixed > 0 {
		return record{Era: era - 1, Fixed: fixed}
	}
	return record{Era: era, Fixed: WindowAt(r.Started, r.Length) - 1}
}

// Written handles the result of ActionWrite. Era is the latest era of the store after the call. After
// any doubt the record is read again.
func (r *Reporter) Written(revision, era int64, err error) {
	if err != nil || era != r.written.Era {
		r.isRead = false
		return
	}
	r.confirm(r.written, revision)
}

func (r *Reporter) confirm(current record, revision int64) {
	maps.DeleteFunc(r.reported, func(window int64, _ bool) bool {
		return !slices.ContainsFunc(current.Windows, func(w recordWindow) bool { return w.Window == window })
	})
	r.current, r.revision, r.isRead = current, revision, true
}

// Reported records that the report of a window has been confirmed.
func (r *Reporter) Reported(window int64) { r.reported[window] = true }

// Fixed returns the last window that is fixed in the store; 0 if not known.
func (r *Reporter) Fixed() int64 {
	if !r.isRead || r.revision == kingcuphook.RevisionAbsent {
		return 0
	}
	return r.current.Fixed
}

// Dropped returns the number of windows that were given up because the record was too long.
func (r *Reporter) Dropped() int { return r.dropped }
