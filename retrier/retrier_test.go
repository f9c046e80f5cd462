package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetriesToFailedPoolAreBounded guards against retry storms: every request to
// a failed pool asks for three retries, at 1,000 requests per second for a
// minute.
func TestRetriesToFailedPoolAreBounded(t *testing.T) {
	is := is.New(t)
	b := Budget{Rand: rand.New(rand.NewPCG(1, 1))}
	now := time.Unix(0, 0)
	retries := 0
	for range 60_000 {
		now = now.Add(time.Millisecond)
		for range 3 {
			if b.Spend(now) {
				retries++
			}
		}
	}
	is.True(retries <= defaultBurst+60*defaultRefill) // the initial budget and its refill, without successes
	is.True(retries > 0)
}

func TestRetriesFollowSuccesses(t *testing.T) {
	is := is.New(t)
	b := Budget{Refill: 1e-9}
	now := time.Unix(0, 0)
	for b.Spend(now) {
		continue
	}
	retries := 0
	for range 1000 {
		b.Succeeded(now)
		if b.Spend(now) {
			retries++
		}
	}
	is.True(retries >= 99 && retries <= 100) // a tenth of the successes
}

func TestDelayIsBoundedAndFullyJittered(t *testing.T) {
	is := is.New(t)
	b := Budget{Rand: rand.New(rand.NewPCG(1, 1)), BaseDelay: 100 * time.Millisecond, MaxDelay: time.Second}
	for n, most := range map[int]time.Duration{1: 100 * time.Millisecond, 3: 400 * time.Millisecond, 9: time.Second} {
		var shortest, longest time.Duration = time.Hour, 0
		for range 1000 {
			d := b.Delay(n)
			shortest, longest = min(shortest, d), max(longest, d)
		}
		is.True(longest < most && longest > most*9/10)
		is.True(shortest < most/10) // full jitter
	}
	is.Equal((&Budget{}).Delay(5), time.Duration(0))
}
