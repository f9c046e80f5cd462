package limiter

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// rotateInterval is how often the fractional shares of a slot rotate among the
// routers. If they rotated faster, every router would fill its share while it is
// rounded up, since requests in flight are not taken back when the share falls.
const rotateInterval = 8 * time.Second

// allowance returns how many requests the router may have in flight on u when it
// adds one of tier t.
func (l *Limiter) allowance(now time.Time, u *upstream, t kingcuphook.Tier) int {
	limit := u.limit * (1 - tierHeadroom(t))
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > l.staleAfter() {
		return l.equalShare(limit)
	}
	share := l.reportedShare(u, limit)
	if n := l.routers(); n > 1 && t == kingcuphook.HighestTier {
		share = max(share, limit/float64(n))
	}
	return int(math.Floor(share + u.dither))
}

// dither returns the offset that is added to shares before they are rounded down.
// The offsets of routers with a known index are spread evenly over one slot and
// rotate, so that exactly one of them takes a free slot. A single router needs no
// offset; routers without an index use a random one, or 0.5 without Rand.
func (l *Limiter) dither(report kingcuphook.LoadReport) float64 {
	if l.routers() == 1 {
		return 0
	}
	if l.rank > 0 {
		rotation := report.Made().Unix() / int64(rotateInterval.Seconds())
		key := report.Upstream() + strconv.FormatInt(rotation, 10)
		turn := float64(xxhash.Sum64String(key)>>11) / (1 << 53)
		_, frac := math.Modf(turn + float64(l.rank)/float64(l.routers()))
		return frac
	}
	if l.Rand != nil {
		return l.Rand.Float64()
	}
	return 0.5
}

// equalShare returns the share of the router without a current load report: an
// equal part of the limit, but at least one request.
func (l *Limiter) equalShare(limit float64) int {
	return max(1, int(limit/float64(l.routers())))
}

// reportedShare returns the number of requests that the router had in flight when
// the last report was made, plus its part of the capacity that was free or minus
// its part of the excess over the limit. The parts of all routers add up to the
// whole, however old the report is.
func (l *Limiter) reportedShare(u *upstream, limit float64) float64 {
	own, load := float64(u.ownAtReport), float64(u.reportLoad)
	load = max(load, own)
	n := float64(l.routers())
	spare := limit - load
	if n == 1 {
		return own + spare
	}
	if spare < 0 {
		return own + spare*own/max(load, 1)
	}
	part := 0.5/n + 0.5*(own+1)/(load+n)
	return own + spare*part
}

func tierHeadroom(t kingcuphook.Tier) float64 {
	if !t.Valid() {
		return headroom[len(headroom)-1]
	}
	return headroom[t.Declared().Index()]
}
