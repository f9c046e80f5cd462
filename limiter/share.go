package limiter

import (
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// crowded is the share of the limit from which routers even out what they
	// hold.
	crowded = 0.9
	// evenStep is the share of the difference that is evened out at a report.
	evenStep = 1.0 / 16
)

// allowance returns how many requests the router may have running on u when the
// next one is of tier t.
func (l *Limiter) allowance(now time.Time, u *upstream, t kingcuphook.Tier) int {
	limit := u.limit * (1 - tierHeadroom(t))
	if u.reportMade.IsZero() || now.Sub(u.reportMade) > l.staleAfter() {
		return l.fixedShare(limit)
	}
	return int(math.Floor(l.reportedShare(u, limit) + u.dither))
}

// fixedShare is what the router may use without a report: an equal part of the
// limit, and at least one.
func (l *Limiter) fixedShare(limit float64) int {
	return max(1, int(limit/float64(l.routers())))
}

// reportedShare returns what the router held when the report was made, plus its
// part of what was free, or minus its part of what was over the limit. The parts
// of all routers add up to the whole, however old the report is.
func (l *Limiter) reportedShare(u *upstream, limit float64) float64 {
	own, load := float64(u.ownAtReport), float64(u.reportLoad)
	load = max(load, own)
	n := float64(l.routers())
	spare := limit - load
	if spare < 0 {
		return own + spare*own/max(load, 1)
	}
	part := 0.5/n + 0.5*(own+1)/(load+n)
	share := own + spare*part
	if load >= crowded*limit {
		share += evenStep * (limit/n - own)
	}
	return share
}

func tierHeadroom(t kingcuphook.Tier) float64 {
	if !t.Valid() {
		return headroom[len(headroom)-1]
	}
	return headroom[t.Index()]
}
