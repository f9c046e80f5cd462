package pinner

import (
	"maps"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// AnnounceInterval is the time between two announcements of a router.
	AnnounceInterval = time.Second
	// announceTimeout and maxUnannounced are for how long, and in how many digests, a router has to be heard
	// without an announcement until it counts as one that doesn't guard the base. Either may be lost.
	announceTimeout = 5 * time.Second
	maxUnannounced  = 24
)

// GuardLevel is which rules for the base of records a router keeps to.
type GuardLevel uint64

// Values of GuardLevel.
const (
	// GuardNone means that it is not known to keep to any.
	GuardNone GuardLevel = iota
	// GuardHalf means that it keeps to them while at least half of the upstreams have the base.
	GuardHalf
	// GuardAny means that it keeps to them while any upstream has the base.
	GuardAny
)

// Keys and marks of reports that are announcements: their sender keeps to the rules for the base of
// records. Routers that don't know them ignore them, since no call waits for such a stream. The mark tells the
// level; those of the first level look at the key alone.
var (
	announceKey     = xxhash.Sum64String("pinner: guards the base of records")
	announceAnyMark = max(xxhash.Sum64String("pinner: guards the base of records at any share"), tentative+1)
)

// Fleet is what a router knows of the others that keep to the rules for the base of records.
type Fleet struct {
	// All is true if all known routers have announced that they do.
	All bool
	// Broken is true if a router is known that doesn't.
	Broken bool
	// Half is true if one is or was known within the horizon that does so only while half of the
	// upstreams have the base.
	Half bool
	// Large is true if there are so many routers that the ledger has a stream late, and that they
	// announce nothing.
	Large bool
	// Odd is the address of the router for which Broken is true; the zero address if there is none.
	Odd netip.Addr
}

// IsLarge reports whether a fleet of the given number of routers is so large that the ledger has a stream late.
func IsLarge(routers int) bool { return WriteInterval(routers) > MaxHold }

// EncodeAnnouncement encodes the announcement that this router guards the base of records. It has the
// form of an answer.
func EncodeAnnouncement() []byte {
	return EncodeAnswer([]Report{{Key: announceKey, Mark: announceAnyMark}})
}

// Announced returns the level that the report announces; GuardNone if it is no announcement.
func (r Report) Announced() GuardLevel {
	switch {
	case r.Key != announceKey:
		return GuardNone
	case r.Mark != announceAnyMark:
		return GuardHalf
	}
	return GuardAny
}

// announcer is another router that was heard.
type announcer struct {
	// level is that of its last announcement, which came at since; without one, it was first heard then.
	level GuardLevel
	since time.Time
	// unannounced counts its digests since then.
	unannounced int
}

// Announcements has the announcements of the other routers of a fleet, by address. The zero value is ready for
// use.
type Announcements struct {
	heard map[netip.Addr]announcer
	// halfAt is when a router with GuardHalf was last known.
	halfAt time.Time
}

// Heard records a digest that a router has sent itself.
func (a *Announcements) Heard(now time.Time, router netip.Addr) {
	if a.heard == nil {
		a.heard = make(map[netip.Addr]announcer)
	}
	x, known := a.heard[router]
	if !known {
		x.since = now
	}
	x.unannounced++
	a.heard[router] = x
}

// Received records an announcement of a router.
func (a *Announcements) Received(now time.Time, router netip.Addr, level GuardLevel) {
	if a.heard == nil {
		a.heard = make(map[netip.Addr]announcer)
	}
	a.heard[router] = announcer{level: level, since: now}
}

// Judge returns the state of a fleet with the given other routers, and forgets all others. Routers of
// which only others tell count as unknown: datagrams may be lost one way for good.
func (a *Announcements) Judge(now time.Time, others map[netip.Addr]time.Time) Fleet {
	maps.DeleteFunc(a.heard, func(router netip.Addr, _ announcer) bool {
		_, ok := others[router]
		return !ok
	})
	f := Fleet{Large: IsLarge(len(others) + 1)}
	if f.Large {
		clear(a.heard)
	}
	f.All = !f.Large
	for router := range others {
		x := a.heard[router]
		switch {
		case x.isSilent(now):
			f.All, f.Broken = false, true
			if f.Odd.Less(router) {
				f.Odd = router
			}
		case x.level == GuardNone:
			f.All = false
		case x.level == GuardHalf:
			a.halfAt = now
		}
	}
	f.Half = !a.halfAt.IsZero() && now.Sub(a.halfAt) <= horizon
	return f
}

// isSilent reports whether the router was heard for so long without an announcement that it sends none.
func (x announcer) isSilent(now time.Time) bool {
	return x.unannounced >= maxUnannounced && now.Sub(x.since) > announceTimeout
}
