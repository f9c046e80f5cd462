package retrier

import (
	"cmp"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// bucketCount is the number of buckets that a window is divided into.
	bucketCount = 20
	// safetyFactor is the fraction of its share that a router uses, since the
	// windows of routers are not aligned and requests are counted before they
	// arrive.
	safetyFactor = 0.8
	// minRouters is the minimum number of routers assumed to share the slack, while
	// few or no other routers are known.
	minRouters = 2
	// unknownSlack is the part of Slack that a router uses while it does not know the
	// others: one retry, so that a request that breaks just after the start can go on.
	unknownSlack = 1 / safetyFactor
)

// Window implements kingcuphook.RetryBudget for one pool over a sliding window: in
// every window of time, all routers together may retry a share of the requests,
// plus a fixed number. Each router uses the share of its own requests and an equal
// part of the fixed number. Except for Fleet it is not safe for concurrent use.
type Window struct {
	// Length is the length of the window; 0 means 10 s.
	Length time.Duration
	// Ratio is the share of requests that may be retried.
	Ratio float64
	// Slack is the number of further retries that all routers together may make.
	Slack float64
	// Fleet counts the routers that share the fixed number; while it doesn't know them, this
	// router makes at most one retry of it.
	Fleet *Fleet

	requests, retries [bucketCount]int
	// current is the index of the current bucket; bucketEnd is when it ends.
	current   int
	bucketEnd time.Time
}

var _ kingcuphook.RetryBudget = (*Window)(nil)

// Requested counts a request, which may be retried later.
func (w *Window) Requested(now time.Time) {
	w.advance(now)
	w.requests[w.current]++
}

// Succeeded implements kingcuphook.RetryBudget. It does nothing, since Requested
// counts requests when they begin.
func (*Window) Succeeded(time.Time) {}

// CanSpend reports whether a retry is available.
func (w *Window) CanSpend(now time.Time) bool {
	w.advance(now)
	allowed := safetyFactor * (w.Ratio*float64(sum(w.requests)) + w.ownSlack(now))
	return float64(sum(w.retries)+1) <= allowed
}

// ownSlack returns this router's part of Slack.
func (w *Window) ownSlack(now time.Time) float64 {
	routers := w.Fleet.Size(now)
	if routers == 0 {
		return min(w.Slack, unknownSlack)
	}
	return w.Slack / float64(max(routers, minRouters))
}

// Spend implements kingcuphook.RetryBudget.
func (w *Window) Spend(now time.Time) bool {
	if !w.CanSpend(now) {
		return false
	}
	w.retries[w.current]++
	return true
}

// Refund implements kingcuphook.RetryBudget. The latest retry in the window is the one that
// was not made.
func (w *Window) Refund(now time.Time) {
	w.advance(now)
	for i := range bucketCount {
		bucket := (w.current - i + bucketCount) % bucketCount
		if w.retries[bucket] > 0 {
			w.retries[bucket]--
			return
		}
	}
}

// Delay implements kingcuphook.RetryBudget. It returns 0, since requests that did
// not run are sent to another upstream at once.
func (*Window) Delay(int) time.Duration { return 0 }

// advance moves to the bucket of the current time and clears the buckets that it
// enters.
func (w *Window) advance(now time.Time) {
	length := cmp.Or(w.Length, 10*time.Second) / bucketCount
	if w.bucketEnd.IsZero() {
		w.bucketEnd = now.Add(length)
	}
	for n := 0; !now.Before(w.bucketEnd); n++ {
		if n == bucketCount {
			w.bucketEnd = now.Add(length)
			return
		}
		w.bucketEnd = w.bucketEnd.Add(length)
		w.current = (w.current + 1) % bucketCount
		w.requests[w.current] = 0
		w.retries[w.current] = 0
	}
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
