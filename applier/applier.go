// Package applier decides which revision of the tables a router uses: it applies a
// snapshot or changes, from whatever source, only if they lead to a higher revision. It
// does no I/O.
package applier

import (
	"errors"
	"fmt"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
)

// defaultMaxChanges is how many changes a snapshot keeps by default.
const defaultMaxChanges = 256

// Outcome is the result of applying a snapshot or changes.
type Outcome string

// Values of Outcome.
const (
	// OutcomeApplied means that the snapshot or the changes were applied.
	OutcomeApplied Outcome = "applied"
	// OutcomeForked means that the snapshot was applied although it does not descend
	// from the previous one.
	OutcomeForked Outcome = "forked"
	// OutcomeCurrent means that the snapshot or the changes lead to the current
	// state; nothing changed.
	OutcomeCurrent Outcome = "current"
	// OutcomeOlder means that the revision is lower than the current one, or equal
	// with another lineage; nothing changed.
	OutcomeOlder Outcome = "older"
	// OutcomeGap means that the changes do not continue the current revision, since
	// one is missing, truncated or of another lineage; nothing changed.
	OutcomeGap Outcome = "gap"
)

// Applier holds the current snapshot, which is empty in its zero value. It is used
// by one goroutine at a time.
type Applier struct {
	// MaxChanges is how many changes a snapshot keeps for updates of peers; 0 means 256.
	MaxChanges int

	// current is replaced only by snapshots of a higher revision; nil means empty.
	current *differ.Snapshot
}

// Current returns the current snapshot; never nil.
func (a *Applier) Current() *differ.Snapshot {
	if a.current == nil {
		return differ.EmptySnapshot()
	}
	return a.current
}

// ApplySnapshot makes s the current snapshot if its revision is higher than the current one.
func (a *Applier) ApplySnapshot(s *differ.Snapshot) Outcome {
	now := a.Current()
	switch {
	case s.Revision() > now.Revision():
		a.current = s
		if descends(s, now) {
			return OutcomeApplied
		}
		return OutcomeForked
	case s.Revision() == now.Revision() && s.Lineage() == now.Lineage():
		return OutcomeCurrent
	}
	return OutcomeOlder
}

// descends reports whether s may descend from base. It is false only if the changes
// that s keeps show that it does not.
func descends(s, base *differ.Snapshot) bool {
	if base.Revision() == 0 {
		return true
	}
	for _, c := range s.Changes() {
		if c.Revision() == base.Revision()+1 {
			return c.Parent() == base.Lineage()
		}
	}
	return true
}

// ApplyChanges applies those of the contiguous changes that follow the current revision,
// all or none. The error wraps ErrInvalid if a change can't be applied.
func (a *Applier) ApplyChanges(cs []differ.Change) (Outcome, error) {
	keep := a.MaxChanges
	if keep == 0 {
		keep = defaultMaxChanges
	}
	s := a.Current()
	if len(cs) == 0 || cs[len(cs)-1].Revision() < s.Revision() {
		return OutcomeOlder, nil
	}
	if last := cs[len(cs)-1]; last.Revision() == s.Revision() {
		if last.Lineage() == s.Lineage() {
			return OutcomeCurrent, nil
		}
		return OutcomeOlder, nil
	}
	for _, c := range cs {
		if c.Revision() <= s.Revision() {
			continue
		}
		next, err := differ.Advance(s, c, keep)
		if errors.Is(err, kingcuphook.ErrConflict) || c.Truncated() {
			return OutcomeGap, nil
		}
		if err != nil {
			return OutcomeGap, fmt.Errorf("applier: %w", err)
		}
		s = next
	}
	a.current = s
	return OutcomeApplied, nil
}
