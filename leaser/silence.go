package leaser

import (
	"maps"
	"slices"
	"time"
)

// Silence decides which members don't answer, so that they are passed over as candidates. It uses neither
// clock nor network, and is used by one goroutine at a time.
type Silence struct {
	// After is how long a member may leave questions unanswered.
	After time.Duration

	// asked has when each member was first asked since it was last heard; heard is when any member was.
	asked map[string]time.Time
	heard time.Time
}

// Asked records that a member was asked something that it answers at once.
func (s *Silence) Asked(now time.Time, member string) {
	if s.asked == nil {
		s.asked = make(map[string]time.Time)
	}
	if _, ok := s.asked[member]; !ok {
		s.asked[member] = now
	}
}

// Heard records a message of a member.
func (s *Silence) Heard(now time.Time, member string) {
	delete(s.asked, member)
	s.heard = now
}

// Retain forgets the members for which isMember returns false.
func (s *Silence) Retain(isMember func(member string) bool) {
	maps.DeleteFunc(s.asked, func(m string, _ time.Time) bool { return !isMember(m) })
}

// Silent returns the members that don't answer, in order. There are none while no other was heard since:
// it is this router that is cut off then.
func (s *Silence) Silent(now time.Time) []string {
	var silent []string
	for m, at := range s.asked {
		if now.Sub(at) >= s.After && s.heard.After(at) {
			silent = append(silent, m)
		}
	}
	slices.Sort(silent)
	return silent
}
