package admitter

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// rateWindow is the time constant of the measured dispatch rate.
	rateWindow = 10 * time.Second
	// unknownRetryAfter is the retry delay while no dispatch rate is known.
	unknownRetryAfter = 5 * time.Second
	minRetryAfter     = time.Second
	maxRetryAfter     = 2 * time.Minute
	// retrySpread is the maximum jitter, relative to the retry delay.
	retrySpread = 0.25
	// decayInterval is the minimum interval between updates of the decayed count.
	decayInterval = 100 * time.Millisecond
)

// shed removes requests until the queue is within its bounds. It takes them from
// the lowest tier and there from the organisation with the largest load.
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

// victim returns the item to shed next from the organisation with the largest
// load in the lowest tier: a late item if there is one, otherwise the latest due
// of the last elements of its on-time heaps, which approximates the latest due
// item overall.
func (a *Admitter) victim(now time.Time) *item {
	t := a.lowestQueued()
	acc := t.byLoad[0]
	cutoff := a.lateCutoff(now)
	var last *item
	for _, q := range acc.queues {
		q.moveLate(cutoff)
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

func (a *Admitter) lowestQueued() *tierQueue { return &a.tiers[a.lowestIndex()] }

// lowestIndex returns the index of the lowest tier with queued requests; 0 if there is none.
func (a *Admitter) lowestIndex() int {
	i := len(a.tiers) - 1
	for i > 0 && a.tiers[i].queued == 0 {
		i--
	}
	return i
}

// loadOf returns the share of the bounds of the queue that r takes up.
func (a *Admitter) loadOf(r *kingcuphook.Request) float64 {
	return 1/float64(a.maxQueued()) + float64(r.Bytes())/float64(a.maxBytes())
}

func (a *Admitter) newShed(now time.Time, r *kingcuphook.Request, err error) kingcuphook.Shed {
	return kingcuphook.NewShed(r, err, a.retryAfter(now, r))
}

// retryAfter returns how long it takes to dispatch the requests queued in the
// tier of r and above at the measured rate. Jitter derived from the request's
// identifier keeps callers from retrying at the same time.
func (a *Admitter) retryAfter(now time.Time, r *kingcuphook.Request) time.Duration {
	d := unknownRetryAfter
	if rate := a.dispatches.rate(now); rate > 0 {
		ahead := 0
		for i := range tierIndex(r) + 1 {
			ahead += a.tiers[i].queued
		}
		d = time.Duration(math.Min(float64(ahead)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	unit := float64(xxhash.Sum64String(r.ID())>>11) / (1 << 53)
	d += time.Duration(unit * retrySpread * float64(d))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// dispatchRate measures requests dispatched per second with exponential decay.
type dispatchRate struct {
	count float64
	// lastDecay is when the decay was last applied to count.
	lastDecay time.Time
}

func (d *dispatchRate) add(now time.Time, n float64) {
	if now.Sub(d.lastDecay) >= decayInterval {
		d.count = d.decayed(now)
		d.lastDecay = now
	}
	d.count = max(d.count+n, 0)
}

// rate returns the requests dispatched per second, or 0 if the decayed count is
// below 1.
func (d *dispatchRate) rate(now time.Time) float64 {
	n := d.decayed(now)
	if n < 1 {
		return 0
	}
	return n / rateWindow.Seconds()
}

func (d *dispatchRate) decayed(now time.Time) float64 {
	if d.lastDecay.IsZero() {
		return 0
	}
	return d.count * math.Exp(-now.Sub(d.lastDecay).Seconds()/rateWindow.Seconds())
}
