// Package synchronizer estimates the time of day from the wall clocks of all routers. Clocks
// are kept as offsets to the monotonic clock of this router, so that a step of one of them changes
// nothing.
package synchronizer

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// clockAge is how long the wall clock of a router counts after its last message, and how long the
	// estimate of another router does.
	clockAge = 10 * time.Second
	// settleTime is how long a router without an estimate waits for one from a majority of the routers,
	// and how long one that starts waits for any.
	settleTime = 2 * time.Second
	// maxClocks bounds the wall clocks that are kept.
	maxClocks = 4096
)

// Clock is the time of day as estimated by one router. Times on the monotonic clock are given as
// durations since the start of the process. It is used by one goroutine at a time.
type Clock struct {
	// Self is the address of this router.
	Self netip.Addr

	// clocks has the wall clocks of routers by run of their process.
	clocks map[uint64]offset
	// estimates has those of other routers by address.
	estimates map[netip.Addr]estimate
	// current is the offset in use, which is valid if isKnown; isMajority if a majority of the routers
	// contributed to it.
	current             time.Duration
	isKnown, isMajority bool
	// since is when the estimates were last discarded.
	since time.Duration
}

// offset is a time of day as an offset to the monotonic clock, since 1970.
type offset struct {
	offset, at time.Duration
}

type estimate struct {
	offset
	// clocks is the number of wall clocks behind the estimate.
	clocks int
}

func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// ObserveClock records the wall clock of a router, as received or read at the time now.
func (c *Clock) ObserveClock(now time.Duration, run uint64, wall time.Time) {
	if c.clocks == nil {
		c.clocks = make(map[uint64]offset)
	}
	if _, known := c.clocks[run]; !known && len(c.clocks) >= maxClocks {
		return
	}
	c.clocks[run] = offset{offset: sinceEpoch(wall) - now, at: now}
}

// ObserveEstimate records the estimate of another router, which it made between the times sent and
// now, from a number of wall clocks.
func (c *Clock) ObserveEstimate(now, sent time.Duration, source netip.Addr, t time.Time, clocks int) {
	if c.estimates == nil {
		c.estimates = make(map[netip.Addr]estimate)
	}
	c.estimates[source] = estimate{offset: offset{offset: sinceEpoch(t) - (now+sent)/2, at: now}, clocks: clocks}
}

// Own returns the median of the wall clocks that this router has received, and their number.
func (c *Clock) Own(now time.Duration) (t time.Time, clocks int) {
	e := c.own(now)
	return time.Unix(0, int64(e.offset.offset+now)), e.clocks
}

func (c *Clock) own(now time.Duration) estimate {
	offsets := make([]time.Duration, 0, len(c.clocks))
	for run, o := range c.clocks {
		if now-o.at > clockAge {
			delete(c.clocks, run)
			continue
		}
		offsets = append(offsets, o.offset)
	}
	if len(offsets) == 0 {
		return estimate{}
	}
	slices.Sort(offsets)
	return estimate{offset: offset{offset: offsets[len(offsets)/2], at: now}, clocks: len(offsets)}
}

// Update chooses the estimate to use in a fleet of the given number of routers. All routers prefer the
// estimate with the most wall clocks, and the lowest address among equals. One of a minority is used
// only if there was none of a majority for a while.
func (c *Clock) Update(now time.Duration, routers int) {
	best, source := c.own(now), c.Self
	for a, e := range c.estimates {
		if now-e.at > clockAge {
			delete(c.estimates, a)
			continue
		}
		if e.clocks > best.clocks || e.clocks == best.clocks && a.Less(source) {
			best, source = e, a
		}
	}
	if best.clocks == 0 || now < settleTime {
		// A router that has just started doesn't know how many others there are.
		return
	}
	isMajority := 2*best.clocks > routers
	if isMajority || !c.isMajority && now-c.since >= settleTime {
		c.current, c.isKnown, c.isMajority = best.offset.offset, true, isMajority
	}
}

// At returns the time of day at a time of the monotonic clock; false if it is not known.
func (c *Clock) At(at time.Duration) (time.Time, bool) {
	return time.Unix(0, int64(c.current+at)), c.isKnown
}

// Distrust discards all estimates, since the monotonic clock may have stood still. It does while a VM
// is suspended.
func (c *Clock) Distrust(now time.Duration) {
	clear(c.clocks)
	clear(c.estimates)
	c.isKnown, c.isMajority, c.since = false, false, now
}
