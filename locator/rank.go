package locator

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// rankTTL is how long after its last long prompt a rank counts as one that long prompts have.
const rankTTL = 10 * time.Second

// lowestRank tracks the lowest rank, by Urgency, of the long prompts that were started lately.
// Its zero value has seen none.
type lowestRank struct {
	urgency int
	// at is when a long prompt of that rank was last started; zero if none was.
	at time.Time
}

// observe records the start of a long prompt.
func (l *lowestRank) observe(now time.Time, r *kingcuphook.Request) {
	if l.expired(now) || r.Urgency() >= l.urgency {
		l.urgency, l.at = r.Urgency(), now
	}
}

// isBelow reports whether long prompts of a lower rank than that of r were started lately.
func (l *lowestRank) isBelow(now time.Time, r *kingcuphook.Request) bool {
	return !l.expired(now) && r.Urgency() < l.urgency
}

func (l *lowestRank) expired(now time.Time) bool {
	return l.at.IsZero() || now.Sub(l.at) >= rankTTL
}
