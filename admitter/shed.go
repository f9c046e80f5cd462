package admitter

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// drainWindow is the time constant of the measured rate of service.
	drainWindow = 10 * time.Second
	// unknownRetryAfter is told while nothing has been served lately.
	unknownRetryAfter = 5 * time.Second
	minRetryAfter     = time.Second
	maxRetryAfter     = 2 * time.Minute
	// retrySpread is the share of the time by which callers are spread.
	retrySpread = 0.25
	// fadeEvery is how often the measured rate is faded.
	fadeEvery = 100 * time.Millisecond
)

// shed takes requests out until the bounds hold: from the lowest tier, there
// from the organisation with the most waiting work.
func (a *Admitter) shed(now time.Time) []kingcuphook.Shed {
	var sheds []kingcuphook.Shed
	for len(a.byID) > a.maxQueued() || a.bytes > a.maxBytes() {
		it := a.victim(now)
		a.remove(it)
		err := fmt.Errorf("admitter: queue is full: %w", kingcuphook.ErrOverloaded)
		sheds = append(sheds, a.newShed(now, it.request, err))
	}
	return sheds
}

// victim returns the item to be shed next: a late one if there is one, else the
// one due last of those at the end of the heap.
func (a *Admitter) victim(now time.Time) *item {
	t := a.lowestWaiting()
	acc := t.byLoad[0]
	limit := a.lateLimit(now)
	var last *item
	for _, q := range acc.queues {
		q.moveLate(limit)
		if n := len(q.late); n > 0 {
			return q.late[n-1]
		}
		it := q.onTime[len(q.onTime)-1]
		if last == nil || last.before(it) {
			last = it
		}
	}
	return last
}

func (a *Admitter) lowestWaiting() *tierQueue {
	i := len(a.tiers) - 1
	for i > 0 && a.tiers[i].waiting == 0 {
		i--
	}
	return &a.tiers[i]
}

// pressure is the share of the bounds that a waiting request takes.
func (a *Admitter) pressure(r *kingcuphook.Request) float64 {
	return 1/float64(a.maxQueued()) + float64(r.Bytes())/float64(a.maxBytes())
}

func (a *Admitter) newShed(now time.Time, r *kingcuphook.Request, err error) kingcuphook.Shed {
	return kingcuphook.NewShed(r, err, a.retryAfter(now, r))
}

// retryAfter returns the time after which what waits now before r would be
// served at the measured rate, spread by the request's identifier so that the
// callers don't come back at once.
func (a *Admitter) retryAfter(now time.Time, r *kingcuphook.Request) time.Duration {
	d := unknownRetryAfter
	if rate := a.drain.rate(now); rate > 0 {
		ahead := 0
		for i := range tierIndex(r) + 1 {
			ahead += a.tiers[i].waiting
		}
		d = time.Duration(math.Min(float64(ahead)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	unit := float64(xxhash.Sum64String(r.ID())>>11) / (1 << 53)
	d += time.Duration(unit * retrySpread * float64(d))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// drainRate measures the requests served a second, with old ones fading out.
type drainRate struct {
	count float64
	// last is when count was last faded.
	last time.Time
}

func (d *drainRate) add(now time.Time, n float64) {
	if now.Sub(d.last) >= fadeEvery {
		d.count = d.faded(now)
		d.last = now
	}
	d.count = max(d.count+n, 0)
}

// rate returns the requests served a second; 0 if fewer than one is remembered.
func (d *drainRate) rate(now time.Time) float64 {
	n := d.faded(now)
	if n < 1 {
		return 0
	}
	return n / drainWindow.Seconds()
}

func (d *drainRate) faded(now time.Time) float64 {
	if d.last.IsZero() {
		return 0
	}
	return d.count * math.Exp(-now.Sub(d.last).Seconds()/drainWindow.Seconds())
}
