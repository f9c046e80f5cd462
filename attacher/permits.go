package attacher

import (
	"context"
	"net/netip"
	"time"

	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/permitter"
)

// runPermits sends the requests for permits to peers until ctx ends.
func (a *Attacher) runPermits(ctx context.Context) {
	a.permits.Run(ctx, func(m permitter.Message) {
		if to, err := netip.ParseAddr(m.To); err == nil {
			a.control.sendTo(to, m.Payload)
		}
	})
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

// logPlaces logs a change of what is known about a brittle upstream.
func (a *Attacher) logPlaces(c permitter.PlacesChange) {
	a.Log.Log(logger.PlacesChanged, c.LogFields()...)
}

// logRateLimit logs a change of the rate limit of an upstream.
func (a *Attacher) logRateLimit(c permitter.Change) {
	a.Log.Log(logger.RateLimitChanged, c.LogFields()...)
}
