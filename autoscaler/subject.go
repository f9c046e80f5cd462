package autoscaler

import "time"

// subject is the state of the orders of one kind of upstream in a data centre.
type subject struct {
	// isKnown is false until the registered upstreams were first counted.
	isKnown bool
	// ordered is the number of upstreams that are wanted, unsent whether that is still to be sent.
	ordered int
	unsent  bool
	// sentAt is when it was last sent, retryAt the earliest time for the next attempt.
	sentAt, retryAt time.Time
	// isMet is true if as many upstreams were registered since then.
	isMet bool
	// isRaised is true if upstreams were added since this router became the holder.
	isRaised bool
	// aboveSince is since when more upstreams are registered than ordered, lowerSince since when
	// the target is lower than what is ordered; zero if that isn't so.
	aboveSince, lowerSince time.Time
	// cappedUntil is until when no more than the registered upstreams can be expected.
	cappedUntil time.Time
}

// order sets the number that is wanted.
func (s *subject) order(now time.Time, n int) {
	s.ordered, s.unsent, s.isMet = n, true, false
	s.sentAt, s.aboveSince, s.lowerSince = now, time.Time{}, time.Time{}
}

// isStarting reports whether the upstreams of the last order may still be starting.
func (s *subject) isStarting(now time.Time, startup time.Duration) bool {
	return !s.isMet && !s.unsent && now.Sub(s.sentAt) < startup && !s.isCapped(now)
}

// observe compares the registered upstreams with the order, and repeats it if they don't follow it. A
// lower number after the order was met is repeated at once, since the platform has reclaimed upstreams.
func (s *subject) observe(now time.Time, c count, startup time.Duration) {
	if !s.isKnown {
		s.isKnown, s.ordered, s.isMet = true, c.live, true
		return
	}
	late := startup + orderTimeout
	switch {
	case c.live > s.ordered:
		s.observeAbove(now, c.live, late)
		return
	case c.live == s.ordered:
		s.isMet = true
	case s.isMet:
		s.isMet, s.unsent, s.sentAt = false, true, now
	case !s.unsent && now.Sub(s.sentAt) > late:
		s.unsent, s.sentAt = true, now
		s.cappedUntil = now.Add(late)
	}
	s.aboveSince = time.Time{}
}

// observeAbove takes over a number that stays above the order: an earlier order took effect late, or the
// last one was lost. If it exceeds the target, a new order follows by the rules for giving up upstreams.
func (s *subject) observeAbove(now time.Time, live int, late time.Duration) {
	if s.aboveSince.IsZero() {
		s.aboveSince = now
	}
	if now.Sub(s.aboveSince) > late {
		s.ordered, s.unsent, s.isMet, s.aboveSince = live, false, true, time.Time{}
	}
}

// isDue reports whether the order must be sent now.
func (s *subject) isDue(now time.Time) bool {
	return s.unsent && !now.Before(s.retryAt)
}

// isCapped reports whether no more upstreams than registered can be expected.
func (s *subject) isCapped(now time.Time) bool { return now.Before(s.cappedUntil) }

func (s *subject) sent(now time.Time) {
	s.unsent, s.sentAt, s.retryAt = false, now, time.Time{}
}

// refused records that the platform has no such upstreams at the moment.
func (s *subject) refused(now time.Time) {
	s.retryAt = now.Add(noCapacityDelay)
	s.cappedUntil = s.retryAt
}
