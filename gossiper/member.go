package gossiper

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook/hasher"
)

// State is what is known of a member.
type State string

// Values of State, in the order in which one replaces another of the same
// incarnation.
const (
	// StateAlive says that the member takes part.
	StateAlive State = "alive"
	// StateSuspect says that a member of its region could not reach it.
	StateSuspect State = "suspect"
	// StateDead says that it stayed unreachable; it may come back.
	StateDead State = "dead"
	// StateLeft says that it stopped as planned.
	StateLeft State = "left"
)

// States lists all states in the order of their rank.
func States() []State {
	return []State{StateAlive, StateSuspect, StateDead, StateLeft}
}

// Rank returns the position of s in States, or -1 for an unknown state.
func (s State) Rank() int {
	switch s {
	case StateAlive:
		return 0
	case StateSuspect:
		return 1
	case StateDead:
		return 2
	case StateLeft:
		return 3
	}
	return -1
}

// gone reports whether a member in the state takes no part.
func (s State) gone() bool { return s == StateDead || s == StateLeft }

// Member is one router of the fleet as this router knows it.
type Member struct {
	address   string
	location  Location
	state     State
	reachable bool
	revision  int64
	heard     time.Time
}

// Address returns the IP number and port of the peer link.
func (m Member) Address() string { return m.address }

// Region returns the region; empty while it is not known.
func (m Member) Region() string { return m.location.Region }

// DataCentre returns the data centre; empty while it is not known.
func (m Member) DataCentre() string { return m.location.DataCentre }

// State returns what is known of the member.
func (m Member) State() State { return m.state }

// Revision returns the revision of the tables last heard from the member itself;
// 0 if it was not heard.
func (m Member) Revision() int64 { return m.revision }

// Heard returns when the member itself was last heard; zero for never. Others
// tell of it meanwhile.
func (m Member) Heard() time.Time { return m.heard }

// Reachable reports whether the latest exchange with the member's region, if
// there was one, succeeded.
func (m Member) Reachable() bool { return m.reachable }

// member is the state kept of another router.
type member struct {
	entry Entry
	// order is the hash of the address; members are ranked by it.
	order uint64
	// since is when the state was entered.
	since time.Time
	// sends counts the digests that carried the latest change.
	sends int
	// queued says that the latest change is in the queue of changes.
	queued bool
	// failures counts the exchanges that failed since the last success.
	failures int
	// differs says that the member last knew other members than this router.
	differs bool
	// revision is the tables' revision last seen from the member.
	revision int64
	// heard is when the member itself was last heard; zero for never.
	heard time.Time
}

// newer reports whether e replaces old.
func (e Entry) newer(old Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.State.Rank() > old.State.Rank()
}

// hash returns a hash of all that e says.
func (e Entry) hash() uint64 {
	return hasher.Mix(xxhash.Sum64String(e.Address) + hasher.Mix(e.Incarnation<<2|uint64(e.State.Rank())))
}

// ID returns the hash that stands for l in an Entry.
func (l Location) ID() uint32 {
	return uint32(xxhash.Sum64String(l.Region + "\x00" + l.DataCentre))
}
