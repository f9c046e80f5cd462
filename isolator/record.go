package isolator

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// maxErrorBytes bounds the part of a record that an error repeats.
const maxErrorBytes = 100

// Record is the state of a part that is kept in the store, for routers that start. An operator
// ends a quarantine by changing the state to "lifted".
type Record struct {
	// Part is the hash of the part, as in logs.
	Part string `json:"part"`
	// State is quarantined or lifted.
	State State `json:"state"`
	// Generation counts the changes of the state.
	Generation uint8 `json:"generation"`
	// Since is when the part got its state.
	Since time.Time `json:"since"`
	// Crashes is the number of crashes that were counted against the part.
	Crashes int `json:"crashes"`
	// Trials is the number of requests that were let through while the part was
	// quarantined, TriedAt when the last of them was and TriedBefore the one before. Void trials,
	// which ended without a verdict, are removed; VoidedAt is when the last one was. Older builds ignore and drop TriedBefore, VoidedAt and TrialProgram.
	Trials      int       `json:"trials,omitempty"`
	TriedAt     time.Time `json:"tried-at,omitzero"`
	TriedBefore time.Time `json:"tried-before,omitzero"`
	VoidedAt    time.Time `json:"voided-at,omitzero"`
	// TrialProgram is the upstream program that runs the last trial, which has no verdict yet, in
	// the format of FormatProgram.
	TrialProgram string `json:"trial-program,omitempty"`
}

// Record returns the record of the entry.
func (e Entry) Record() Record {
	return Record{
		Part: FormatPart(e.part), State: e.state, Generation: e.generation, Since: e.since.UTC(), Crashes: len(e.crashes),
	}
}

// FormatPart returns the hash of a part as it stands in logs and records.
func FormatPart(part uint64) string { return hasher.Format(part) }

// Encode returns the encoded record.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("isolator: %w", err)
	}
	return b, nil
}

// DecodeRecord decodes a record. The error wraps kingcuphook.ErrInvalid.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("isolator: record: %w: %.*s", kingcuphook.ErrInvalid, maxErrorBytes, err.Error())
	}
	if err := r.check(); err != nil {
		return Record{}, fmt.Errorf("isolator: record of part %.*q: %w: %w", maxErrorBytes, r.Part, kingcuphook.ErrInvalid, err)
	}
	return r, nil
}

// check returns an error if a field has a value that no router gives it.
func (r Record) check() error {
	part, err := r.part()
	program, programErr := r.trialProgram()
	switch {
	case err != nil || FormatPart(part) != r.Part:
		return errors.New("the part is not a hash")
	case programErr != nil || r.TrialProgram != "" && hasher.Format(program) != r.TrialProgram:
		return errors.New("the program of the trial is not a hash")
	case r.State != StateQuarantined && r.State != StateLifted:
		return fmt.Errorf("unknown state %.*q", maxErrorBytes, r.State)
	case r.Crashes < 0 || r.Trials < 0:
		return fmt.Errorf("%d crashes or %d trials are negative", r.Crashes, r.Trials)
	}
	return nil
}

func (r Record) part() (uint64, error) { return hasher.Parse(r.Part) }

// trialProgram returns the hash of the program of the trial, 0 if the record names none.
func (r Record) trialProgram() (uint64, error) {
	if r.TrialProgram == "" {
		return 0, nil
	}
	return hasher.Parse(r.TrialProgram)
}

// Apply applies a record of the store, unless it is older than what this router knows.
func (i *Isolator) Apply(now time.Time, r Record) {
	part, err := r.part()
	if err != nil || now.Sub(r.Since) > quarantineTTL {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.adoptTrial(part, r)
	e := i.entry(part)
	if !isLater(r.Generation, r.State, e) {
		return
	}
	since := r.Since
	if since.After(now) {
		since = now
	}
	i.adopt(now, e, Entry{state: r.State, generation: r.Generation, since: since}, now)
}

// Records returns the records of the parts that are quarantined or lifted.
func (i *Isolator) Records() []Record {
	i.mu.Lock()
	defer i.mu.Unlock()
	var list []Record
	for _, e := range i.entries {
		if e.state != StateSuspect {
			list = append(list, e.Record())
		}
	}
	return list
}

// Replaces reports whether r is to replace the stored record of the same part.
func (r Record) Replaces(stored Record) bool {
	return isLater(r.Generation, r.State, &Entry{state: stored.State, generation: stored.Generation})
}

// isLater reports whether a state replaces that of an entry: it is of a later generation, or the
// lift in the same one.
func isLater(generation uint8, state State, e *Entry) bool {
	if generation != e.generation {
		return generation > e.generation
	}
	return state == StateLifted && e.state != StateLifted
}
