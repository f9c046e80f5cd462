// Package retrier implements retry budgets, which bound the retries relative to
// the successes or the requests, so that retries don't add to the load of a
// failing pool. It performs no I/O and starts no goroutines.
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
	defaultRatio     = 0.1
	defaultBurst     = 50
	defaultRefill    = 0.5
	defaultBaseDelay = 50 * time.Millisecond
	defaultMaxDelay  = 2 * time.Second
)

// Budget implements kingcuphook.RetryBudget for one class as a token bucket that
// successes and time refill. It is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that a success adds; 0 means 0.1.
	Ratio float64
	// Burst is the capacity of the budget in retries; 0 means 50, so that all
	// requests of an upstream that crashes can be resumed.
	Burst float64
	// Refill is the number of retries added per second, so that a class with few
	// successes can retry at all; 0 means 0.5.
	Refill float64
	// BaseDelay is the maximum delay of the first retry. It doubles with each
	// further retry, up to MaxDelay. 0 means 50 ms and 2 s.
	BaseDelay, MaxDelay time.Duration
	// Rand is the source of jitter; nil means no delay.
	Rand *rand.Rand

	// available is the number of retries available, from 0 to Burst.
	available float64
	// updated is when available was last updated; zero before the first use.
	updated time.Time
}

var _ kingcuphook.RetryBudget = (*Budget)(nil)

// Succeeded implements kingcuphook.RetryBudget.
func (b *Budget) Succeeded(now time.Time) {
	b.advance(now)
	b.available = min(b.available+cmp.Or(b.Ratio, defaultRatio), cmp.Or(b.Burst, defaultBurst))
}

// Spend implements kingcuphook.RetryBudget.
func (b *Budget) Spend(now time.Time) bool {
	b.advance(now)
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Refund implements kingcuphook.RetryBudget.
func (b *Budget) Refund(now time.Time) {
	b.advance(now)
	b.available = min(b.available+1, cmp.Or(b.Burst, defaultBurst))
}

// Delay implements kingcuphook.RetryBudget with exponential backoff and full
// jitter: the delay is uniformly distributed between 0 and its bound.
func (b *Budget) Delay(n int) time.Duration {
	if b.Rand == nil {
		return 0
	}
	base, maxDelay := float64(b.BaseDelay), float64(b.MaxDelay)
	bound := min(cmp.Or(base, float64(defaultBaseDelay))*math.Pow(2, float64(n-1)), cmp.Or(maxDelay, float64(defaultMaxDelay)))
	return time.Duration(b.Rand.Float64() * bound)
}

// advance adds the refill for the time since the last call. A new budget is full.
func (b *Budget) advance(now time.Time) {
	burst := cmp.Or(b.Burst, defaultBurst)
	if b.updated.IsZero() {
		b.available = burst
		b.updated = now
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.available = min(b.available+elapsed.Seconds()*cmp.Or(b.Refill, defaultRefill), burst)
		b.updated = now
	}
}
