package gossiper

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook/hasher"
)

// State is the state of a member as known to a router.
type State string

// Values of State, in order of precedence: within an incarnation a later one
// replaces an earlier one.
const (
	// StateAlive marks an active member.
	StateAlive State = "alive"
	// StateSuspect marks a member that another member of its region could not reach.
	StateSuspect State = "suspect"
	// StateDead marks a member that remained unreachable; it may return.
	StateDead State = "dead"
	// StateLeft marks a member that shut down as planned.
	StateLeft State = "left"
)

// States returns all states in order of rank.
func States() []State {
	return []State{StateAlive, StateSuspect, StateDead, StateLeft}
}

// Rank returns the index of s in States, or -1 for an unknown state.
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

// deadOrLeft reports whether a member in state s no longer counts as a member.
func (s State) deadOrLeft() bool { return s == StateDead || s == StateLeft }

// Member describes one router of the fleet as known to this router.
type Member struct {
	address   string
	location  Location
	state     State
	reachable bool
	revision  int64
	lastHeard time.Time
}

// Address returns the IP address and port of the peer link.
func (m Member) Address() string { return m.address }

// Region returns the region; empty while unknown.
func (m Member) Region() string { return m.location.Region }

// DataCentre returns the data centre; empty while unknown.
func (m Member) DataCentre() string { return m.location.DataCentre }

// State returns the member's state as known to this router.
func (m Member) State() State { return m.state }

// Revision returns the highest revision of the tables in digests received from the
// member itself, or 0 if none was received; for this router its current revision.
func (m Member) Revision() int64 { return m.revision }

// LastHeard returns when the latest digest from the member itself was received, or
// the zero time if none was. Digests of other routers that mention the member don't
// count.
func (m Member) LastHeard() time.Time { return m.lastHeard }

// Reachable reports whether the member's region is reachable: fewer than three
// consecutive exchanges with it have failed. It is always true for this router's
// own region.
func (m Member) Reachable() bool { return m.reachable }

// member is the state that this router keeps about itself or another router.
type member struct {
	entry Entry
	// rankHash is the hash of the address that determines the rank in the data
	// centre.
	rankHash uint64
	// since is the time of the latest change of the entry.
	since time.Time
	// sends counts the digests that have included the latest change.
	sends int
	// queued is set while the member is in the queue of changes.
	queued bool
	// failures counts the failed exchanges since the latest successful one.
	failures int
	// checksumDiffers is set if the member's latest digest had another checksum than
	// this router.
	checksumDiffers bool
	// revision is the highest revision of the tables in digests from the member.
	revision int64
	// lastHeard is when the latest digest from the member itself was received; zero
	// for never.
	lastHeard time.Time
}

// newer reports whether e takes precedence over old.
func (e Entry) newer(old Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.State.Rank() > old.State.Rank()
}

// hash returns a hash of the address, incarnation and state of e.
func (e Entry) hash() uint64 {
	return hasher.Mix(xxhash.Sum64String(e.Address) + hasher.Mix(e.Incarnation<<2|uint64(e.State.Rank())))
}

// ID returns the hash that identifies l in an Entry.
func (l Location) ID() uint32 {
	return uint32(xxhash.Sum64String(l.Region + "\x00" + l.DataCentre))
}
