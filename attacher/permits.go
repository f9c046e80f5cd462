package attacher

import (
	"context"
	"net/netip"
	"time"

	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/permitter"
)

// permitInterval is how often requests for permits are sent while an upstream has a rate
// limit.
const permitInterval = 100 * time.Millisecond

// runPermits sends the requests for permits until ctx ends.
func (a *Attacher) runPermits(ctx context.Context) {
	for {
		var tick <-chan time.Time
		if a.permits.Active() {
			tick = time.After(permitInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick:
		case <-a.permitsDue:
		}
		for _, m := range a.permits.Messages(time.Now()) {
			if to, err := netip.ParseAddr(m.To); err == nil {
				a.control.sendTo(to, m.Payload)
			}
		}
	}
}

// wakePermits makes runPermits send the requests that are due.
func (a *Attacher) wakePermits() {
	select {
	case a.permitsDue <- struct{}{}:
	default:
	}
}

// handlePermits handles the request for permits of a peer, or its reply to one.
func (a *Attacher) handlePermits(peer netip.Addr, message []byte) error {
	reply, more, err := a.permits.Receive(time.Now(), peer.String(), message)
	if reply != nil {
		a.control.sendTo(peer, reply)
	}
	if more {
		a.allocator.Reassign()
	}
	return err
}

// logRateLimit logs a change of the rate limit of an upstream.
func (a *Attacher) logRateLimit(c permitter.Change) {
	a.Log.Log(logger.RateLimitChanged, "upstream", c.Program.Address(), "instance", c.Program.Instance(), "change", c.Kind,
		"source", c.Source, "per-second", c.PerSecond, "age-ms", c.Age.Milliseconds(), "issuer", c.Issuer, "own-share", c.OwnShare)
}
