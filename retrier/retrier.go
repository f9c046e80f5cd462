// Package retrier bounds retries to a share of the successes, so that a pool
// that goes down does not get more work from them. It is a pure
// decision.
package retrier

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Defaults of a Budget whose fields are zero.
const (
	defaultShare  = 0.1
	defaultBurst  = 50
	defaultRefill = 0.5
	defaultBase   = 50 * time.Millisecond
	defaultMost   = 2 * time.Second
)

// Budget implements kingcuphook.RetryBudget for one class. It is used by one
// goroutine at a time.
type Budget struct {
	// Share is what one success adds to the budget, in retries; 0 means 0.1.
	Share float64
	// Burst is the most retries that can be saved up; 0 means 50, so
	// that the requests of an upstream that crashes can all be resumed.
	Burst float64
	// Refill is what a second adds to the budget, in retries, so that a class
	// with few successes may retry at all; 0 means 0.5.
	Refill float64
	// Base is the longest delay of the first retry; it doubles with each
	// further one up to Most. 0 means 50 ms and 2 s.
	Base, Most time.Duration
	// Rand is the source of jitter; nil means no delay.
	Rand *rand.Rand

	// saved is the retries left; between 0 and Burst.
	saved float64
	// seen is when saved was last brought up to date; zero before first use.
	seen time.Time
}

var _ kingcuphook.RetryBudget = (*Budget)(nil)

// Succeeded implements kingcuphook.RetryBudget.
func (b *Budget) Succeeded(now time.Time) {
	b.advance(now)
	b.saved = min(b.saved+cmp.Or(b.Share, defaultShare), cmp.Or(b.Burst, defaultBurst))
}

// Spend implements kingcuphook.RetryBudget.
func (b *Budget) Spend(now time.Time) bool {
	b.advance(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Delay implements kingcuphook.RetryBudget with full jitter: any time up to the
// bound of the retry is as likely as another.
func (b *Budget) Delay(n int) time.Duration {
	if b.Rand == nil {
		return 0
	}
	base, most := float64(b.Base), float64(b.Most)
	bound := min(cmp.Or(base, float64(defaultBase))*math.Pow(2, float64(n-1)), cmp.Or(most, float64(defaultMost)))
	return time.Duration(b.Rand.Float64() * bound)
}

// advance adds what the time since the last call is worth. A new budget is full.
func (b *Budget) advance(now time.Time) {
	burst := cmp.Or(b.Burst, defaultBurst)
	if b.seen.IsZero() {
		b.saved = burst
		b.seen = now
	}
	if passed := now.Sub(b.seen); passed > 0 {
		b.saved = min(b.saved+passed.Seconds()*cmp.Or(b.Refill, defaultRefill), burst)
		b.seen = now
	}
}
