// Package applier decides which revision of the tables is in force on a router.
// It is pure.
package applier

import (
	"errors"
	"fmt"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
)

// defaultKeep is how many changes are kept for other routers.
const defaultKeep = 256

// Verdict says what became of a candidate.
type Verdict string

// Values of Verdict.
const (
	// VerdictApplied says that the candidate is in force now.
	VerdictApplied Verdict = "applied"
	// VerdictForked says that the candidate is in force now and does not descend
	// from what was in force.
	VerdictForked Verdict = "forked"
	// VerdictCurrent says that the candidate is what is in force.
	VerdictCurrent Verdict = "current"
	// VerdictOlder says that the candidate is older, or another state of the same
	// revision; nothing changed.
	VerdictOlder Verdict = "older"
	// VerdictGap says that changes between are missing; nothing changed.
	VerdictGap Verdict = "gap"
)

// Applier holds the state in force. Its zero value has the empty one. It is
// used by one goroutine at a time.
type Applier struct {
	// Keep is how many changes are kept for other routers; 0 means 256.
	Keep int

	// current never falls in revision; nil means empty.
	current *differ.Snapshot
}

// InForce returns the state in force; never nil.
func (a *Applier) InForce() *differ.Snapshot {
	if a.current == nil {
		return differ.EmptySnapshot()
	}
	return a.current
}

// Offer takes a whole state and puts it in force if its revision is higher.
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

// descends reports whether nothing known says that s does not come from base.
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

// Advance takes contiguous changes and puts those that follow in force, all or
// none. An error wraps ErrInvalid: a change does not fit.
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
