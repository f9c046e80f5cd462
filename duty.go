package kingcuphook

import (
	"context"
	"time"
)

// Duty is work that only one router of the fleet may do at a time.
type Duty string

// Values of Duty.
const (
	// DutyUsage reports the requests of each organisation to the platform.
	DutyUsage Duty = "usage"
	// DutyCapacity orders the number of upstreams of each pool.
	DutyCapacity Duty = "capacity"
)

// DutyLeaseKey is the key of the lease on all duties in the platform's key-value service. The
// candidates for it are known by their IP addresses.
const DutyLeaseKey = "leases/duties"

// UsageReport is the number of requests that began to run in one window of time, by organisation. It
// must not be changed.
type UsageReport struct {
	// Window is the number of the window: it begins Window times the length of a window after
	// the start of 1970, UTC.
	Window int64
	// Counts has the number of requests by organisation; organisations without requests are absent.
	Counts map[string]int64
}

// CapacityOrder is the number of upstreams that a pool is to have in a data centre. It is declarative:
// repeating it has no effect.
type CapacityOrder struct {
	Pool, DataCentre string
	// Spot selects the spot upstreams; on-demand and spot upstreams are ordered apart.
	Spot bool
	// Desired is the number of upstreams of that kind.
	Desired int
}

// DutyClient makes the calls of a duty on behalf of the lease holder. Each call carries the
// fencing number of the lease and ends before the lease can be held by another router. Errors wrap
// ErrLeaseLost (not held, or another holder was seen), ErrRateLimited, ErrUnavailable (no effect)
// or ErrOutcomeUnknown (the call may still take effect).
type DutyClient interface {
	// ReportUsage reports one window. Repeating a report has no effect; one of a
	// window that was reported with other counts must never be sent.
	ReportUsage(ctx context.Context, r UsageReport) error
	// SetCapacity orders a number of upstreams. The error wraps ErrNoCapacity if the platform has
	// none at the moment.
	SetCapacity(ctx context.Context, o CapacityOrder) error
}

// DutyWorker does the work of a duty while this router holds its lease. Its methods are called by one
// goroutine.
type DutyWorker interface {
	// Acquired is called when this router has become the holder, before the first Step. What was
	// known from an earlier holding may be out of date.
	Acquired(now time.Time)
	// Step does the work that is due and returns. It must return soon once ctx ends, which is before the
	// lease can be lost.
	Step(ctx context.Context, c DutyClient)
}

// Autoscaling declares that the platform starts and stops the upstreams of a pool by order, and
// within which bounds. The zero value means that it doesn't.
type Autoscaling struct {
	// Min and Max bound the number of upstreams in each data centre, on-demand and spot
	// upstreams together; Max is 0 if the pool is not scaled.
	Min, Max int
	// Startup is how long a new upstream takes until it serves.
	Startup time.Duration
	// SpotPrice is the price of a spot upstream relative to an on-demand one; 0 means that
	// there are none.
	SpotPrice float64
	// Prices has the price of an on-demand upstream per unit of time by data centre.
	Prices map[string]float64
}

// Enabled reports whether the pool is scaled.
func (a Autoscaling) Enabled() bool { return a.Max > 0 }
