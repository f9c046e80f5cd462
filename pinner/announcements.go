package pinner

import (
	"maps"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// AnnounceInterval is the time between two announcements of a router, announceTimeout how long after
	// its last one a peer that is still seen counts as one that doesn't guard the base.
	AnnounceInterval = time.Second
	announceTimeout  = 5 * time.Second
)

// Keys and marks of reports that are announcements: their sender keeps to the rules for the base of
// records. Routers that don't know them ignore them, since no call waits for such a stream.
var (
	announceKey  = xxhash.Sum64String("pinner: guards the base of records")
	announceMark = max(announceKey, ambiguous+1)
)

// Fleet is what a router knows of the others that keep to the rules for the base of records.
type Fleet struct {
	// All is true if all known routers have announced that they do, and the fleet is so small that
	// the ledger soon has each stream.
	All bool
	// Broken is true if a router is known that doesn't, or the fleet is too large.
	Broken bool
	// Odd is the address of one that doesn't; the zero address if there is none.
	Odd netip.Addr
}

// HasBases reports whether the records in a fleet of the given number of routers may have bases.
func HasBases(routers int) bool { return WriteInterval(routers) <= MaxHold }

// EncodeAnnouncement encodes the announcement that this router guards the base of records. It has the
// form of an answer.
func EncodeAnnouncement() []byte {
	return EncodeAnswer([]Report{{Key: announceKey, Mark: announceMark}})
}

// IsAnnouncement reports whether a report is an announcement.
func (r Report) IsAnnouncement() bool { return r.Key == announceKey }

// Announcements has when the other routers of a fleet were seen and sent announcements, by address.
// The zero value is ready for use.
type Announcements struct {
	// first has when each router was first seen, last when its last announcement came.
	first, last map[netip.Addr]time.Time
}

// Received records an announcement of a router.
func (a *Announcements) Received(now time.Time, router netip.Addr) {
	if a.last == nil {
		a.last = make(map[netip.Addr]time.Time)
	}
	a.last[router] = now
}

// Judge returns the state of a fleet whose other routers were last seen at the given times, and forgets
// all others.
func (a *Announcements) Judge(lastSeen map[netip.Addr]time.Time) Fleet {
	a.retain(lastSeen)
	f := Fleet{All: HasBases(len(lastSeen) + 1)}
	f.Broken = !f.All
	for router, seen := range lastSeen {
		since, ok := a.last[router]
		if !ok {
			since, f.All = a.first[router], false
		}
		if seen.Sub(since) > announceTimeout {
			f.All, f.Broken = false, true
			if f.Odd.Less(router) {
				f.Odd = router
			}
		}
	}
	return f
}

// retain forgets the routers without a time, and records when the others were first seen.
func (a *Announcements) retain(lastSeen map[netip.Addr]time.Time) {
	if a.first == nil {
		a.first = make(map[netip.Addr]time.Time)
	}
	isGone := func(router netip.Addr, _ time.Time) bool {
		_, ok := lastSeen[router]
		return !ok
	}
	maps.DeleteFunc(a.first, isGone)
	maps.DeleteFunc(a.last, isGone)
	for router, seen := range lastSeen {
		if _, ok := a.first[router]; !ok {
			a.first[router] = seen
		}
	}
}
