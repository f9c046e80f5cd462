package kingcuphook

import "time"

// PermitState describes whether requests may be sent to an upstream that may have
// announced a rate limit.
type PermitState struct {
	// Limited means that the upstream has a limit, so that each request needs a permit.
	Limited bool
	// Held is the number of permits that can be used now.
	Held int
	// Expiring means that one of them would expire unless the next request uses it.
	Expiring bool
	// Requested means that permits have been requested from another router, whose reply
	// is awaited.
	Requested bool
	// NextRequest is the earliest time at which permits may be requested again.
	NextRequest time.Time
	// DeniedUntil is the time before which no permit can be expected; zero if a request
	// for one was not denied.
	DeniedUntil time.Time
	// Bounded means that the upstream is brittle, so that a permit stands for a place that
	// the request holds until it ends. The permits then bound the requests instead of the
	// registered slots.
	Bounded bool
}

// Denied reports whether no permit can be expected now.
func (s PermitState) Denied(now time.Time) bool {
	return s.Limited && s.Held == 0 && now.Before(s.DeniedUntil)
}

// Available reports whether a request may be sent now, or a permit may be requested for
// it.
func (s PermitState) Available(now time.Time) bool {
	return !s.Limited || s.Held > 0 || !s.Requested && !now.Before(s.NextRequest)
}

// PermitSource issues permits for requests to upstreams that announced a rate limit, or that
// they are brittle, so that all routers together keep it. It is safe for concurrent use.
type PermitSource interface {
	// State returns the state of a program for requests of a tier.
	State(now time.Time, p Program, t Tier) PermitState
	// Acquire takes a permit for one request that is about to be sent, and reports whether
	// there was one or none is needed. Otherwise it requests one, for a later call.
	Acquire(now time.Time, p Program, t Tier) bool
	// Release records that a request ended for which Acquire returned true.
	Release(now time.Time, p Program, s Sample)
	// Offer records that a request could have been sent to the program but prefers
	// another one. If the limit is not used otherwise, it requests a permit.
	Offer(now time.Time, p Program)
}
