package limiter

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// turnEvery is how long a router keeps its turn for a share of a slot. Shares that
// change often are all filled at their highest, since what runs is not taken back.
const turnEvery = 8 * time.Second

// allowance returns how many requests the router may have running on u when the
// next one is of tier t.
func (l *Limiter) allowance(now time.Time, u *upstream, t kingcuphook.Tier) int {
	limit := u.limit * (1 - tierHeadroom(t))
	if u.reportMade.IsZero() || now.Sub(u.reportMade) > l.staleAfter() {
		return l.fixedShare(limit)
	}
	share := l.reportedShare(u, limit)
	if n := l.routers(); n > 1 && t == kingcuphook.HighestTier {
		share = max(share, limit/float64(n))
	}
	return int(math.Floor(share + u.dither))
}

// dither returns what is added to shares of slots before they are rounded down.
// Routers that know their places are spread evenly over one slot, and take
// turns, so that a free slot is taken by one of them.
func (l *Limiter) dither(report kingcuphook.LoadReport) float64 {
	if l.routers() == 1 {
		return 0
	}
	if l.place > 0 {
		turns := report.Made().Unix() / int64(turnEvery.Seconds())
		key := report.Upstream() + strconv.FormatInt(turns, 10)
		turn := float64(xxhash.Sum64String(key)>>11) / (1 << 53)
		_, frac := math.Modf(turn + float64(l.place)/float64(l.routers()))
		return frac
	}
	if l.Rand != nil {
		return l.Rand.Float64()
	}
	return 0.5
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
	return headroom[t.Index()]
}
