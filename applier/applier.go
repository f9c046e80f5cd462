// Package applier decides which revision of the tables a router uses. It does no
// I/O.
package applier

import (
	"errors"
	"fmt"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
)

// defaultKeep is how many changes a snapshot keeps by default.
const defaultKeep = 256

// Verdict is the result of applying a snapshot or changes.
type Verdict string

// Values of Verdict.
const (
	// VerdictApplied means that the snapshot or the changes were applied.
	VerdictApplied Verdict = "applied"
	// VerdictForked means that the snapshot was applied although it does not descend
	// from the previous one.
	VerdictForked Verdict = "forked"
	// VerdictCurrent means that the snapshot or the changes lead to the current
	// state; nothing changed.
	VerdictCurrent Verdict = "current"
	// VerdictOlder means that the revision is lower than the current one, or equal
	// with another lineage; nothing changed.
	VerdictOlder Verdict = "older"
	// VerdictGap means that the changes do not continue the current revision, since
	// one is missing, truncated or of another lineage; nothing changed.
	VerdictGap Verdict = "gap"
)

// Applier holds the current snapshot, which is empty in its zero value. It is used
// by one goroutine at a time.
type Applier struct {
	// Keep is how many changes a snapshot keeps for updates of peers; 0 means 256.
	Keep int

	// current is replaced only by snapshots of a higher revision; nil means empty.
	current *differ.Snapshot
}

// InForce returns the current snapshot; never nil.
func (a *Applier) InForce() *differ.Snapshot {
	if a.current == nil {
		return differ.EmptySnapshot()
	}
	return a.current
}

// Offer makes s the current snapshot if its revision is higher than the current one.
func (a *Applier) Offer(s *differ.Snapshot) Verdict {
	now := a.InForce()
	switch {
	case s.Revision() > now.Revision():
		a.current = s
		if descends(s, now) {
			return VerdictApplied
		}
		return VerdictForked
	case s.Revision() == now.Revision() && s.Lineage() == now.Lineage():
		return VerdictCurrent
	}
	return VerdictOlder
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

// Advance applies those of the contiguous changes that follow the current revision,
// all or none. The error wraps ErrInvalid if a change can't be applied.
func (a *Applier) Advance(cs []differ.Change) (Verdict, error) {
	keep := a.Keep
	if keep == 0 {
		keep = defaultKeep
	}
	s := a.InForce()
	if len(cs) == 0 || cs[len(cs)-1].Revision() < s.Revision() {
		return VerdictOlder, nil
	}
	if last := cs[len(cs)-1]; last.Revision() == s.Revision() {
		if last.Lineage() == s.Lineage() {
			return VerdictCurrent, nil
		}
		return VerdictOlder, nil
	}
	for _, c := range cs {
		if c.Revision() <= s.Revision() {
			continue
		}
		next, err := differ.Advance(s, c, keep)
		if errors.Is(err, kingcuphook.ErrConflict) || c.Truncated() {
			return VerdictGap, nil
		}
		if err != nil {
			return VerdictGap, fmt.Errorf("applier: %w", err)
		}
		s = next
	}
	a.current = s
	return VerdictApplied, nil
}
