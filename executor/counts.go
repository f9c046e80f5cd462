package executor

import (
	"errors"
	"sync/atomic"

	"github.com/kingcuphook/kingcuphook"
)

// counts counts the calls that were sent, by result.
type counts struct {
	accepted, noCapacity, rejected, rateLimited, unavailable, unknown atomic.Int64
}

// add counts a call with the given error.
func (c *counts) add(err error) {
	switch {
	case err == nil:
		c.accepted.Add(1)
	case errors.Is(err, kingcuphook.ErrNoCapacity):
		c.noCapacity.Add(1)
	case errors.Is(err, kingcuphook.ErrLeaseLost):
		c.rejected.Add(1)
	case errors.Is(err, kingcuphook.ErrRateLimited):
		c.rateLimited.Add(1)
	case errors.Is(err, kingcuphook.ErrUnavailable):
		c.unavailable.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// Counts has the numbers of calls that were sent, by result.
type Counts struct {
	// Accepted took effect.
	Accepted int64
	// NoCapacity were refused for a lack of upstreams, Rejected for their fencing number.
	NoCapacity, Rejected int64
	// RateLimited exceeded the platform's rate.
	RateLimited int64
	// Unavailable had no effect, Unknown may have one.
	Unavailable, Unknown int64
}

// Counts returns the numbers of calls so far.
func (c *Client) Counts() Counts {
	return Counts{
		Accepted: c.counts.accepted.Load(), NoCapacity: c.counts.noCapacity.Load(), Rejected: c.counts.rejected.Load(),
		RateLimited: c.counts.rateLimited.Load(), Unavailable: c.counts.unavailable.Load(), Unknown: c.counts.unknown.Load(),
	}
}
