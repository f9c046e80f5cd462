package retrier

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	ratio  = 0.2
	slack  = 56.0
	length = 10 * time.Second
)

func newWindow(f *Fleet) *Window {
	return &Window{Length: length, Ratio: ratio, Slack: slack, Fleet: f}
}

// settledFleet returns a fleet whose size has been known for a while.
func settledFleet(now time.Time, n int) *Fleet {
	f := &Fleet{}
	f.Set(now.Add(-settleTime), n)
	return f
}

func TestWindowAllowsItsShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	w := newWindow(settledFleet(now, 8))
	for range 100 {
		w.Requested(now)
	}
	n := 0
	for w.CanSpend(now) && w.Spend(now) {
		n++
	}
	is.Equal(n, 21) // 0.8 * (0.2*100 + 56/8), rounded down
	is.True(!w.Spend(now.Add(length / 2)))
	is.True(w.Spend(now.Add(2 * length))) // the slack of a new window
}

// TestWindowsTogether checks the bound in every window of time for routers that
// use up their retries while requests arrive in bursts. The windows of routers and
// the checked ones are not aligned, so the requests of the window before and of
// one that is shifted by half a window count as well.
func TestWindowsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "routers")
		f := settledFleet(time.Unix(100, 0), n)
		windows := make([]*Window, n)
		for i := range windows {
			windows[i] = newWindow(f)
		}
		const step = 100 * time.Millisecond
		steps := int(3 * length / step)
		requests, retries := make([]int, steps), make([]int, steps)
		burst := rapid.SliceOfN(rapid.IntRange(0, 5), steps/10+1, steps/10+1).Draw(t, "burst")
		for i := range steps {
			now := time.Unix(100, 0).Add(time.Duration(i) * step)
			for _, w := range windows {
				for range burst[i/10] {
					w.Requested(now)
					requests[i]++
				}
				for w.Spend(now) {
					retries[i]++
				}
			}
		}
		span := int(length / step)
		for i := 0; i+span <= steps; i++ {
			most := max(total(requests[i:i+span]), total(requests[max(i-span, 0):i]), total(requests[max(i-span/2, 0):max(i+span/2, 0)]))
			if got, bound := float64(total(retries[i:i+span])), ratio*float64(most)+slack; got > bound {
				t.Fatalf("window at step %d: %v retries, want at most %v", i, got, bound)
			}
		}
	})
}

func total(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// TestWindowRefund checks that a retry that was put back can be made, once.
func TestWindowRefund(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	w := newWindow(settledFleet(now, 8))
	for w.Spend(now) {
	}
	now = now.Add(length / 4)
	w.Refund(now)
	is.True(w.Spend(now))
	is.True(!w.Spend(now))
	w.Refund(now.Add(2 * length)) // the window has passed
	is.Equal(sum(w.retries), 0)
}
