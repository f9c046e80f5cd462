package retrier

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// slices is the number of parts that the window is counted in.
	slices = 20
	// windowSafety is the part of its share that a router uses, since the windows
	// of routers differ and requests are counted before they arrive.
	windowSafety = 0.8
	// fewestRouters bounds the share of the slack while few routers are known.
	fewestRouters = 2
)

// Window implements kingcuphook.RetryBudget for one pool: in every window of
// time, all routers together may repeat a share of the requests, and some more.
// A router uses the share of its own requests and its part of the rest. It is
// used by one goroutine at a time but for SetRouters.
type Window struct {
	// Length is the length of the window; 0 means 10 s.
	Length time.Duration
	// Ratio is the share of requests that may be repeated.
	Ratio float64
	// Slack is how many more all routers together may repeat.
	Slack float64
	// Routers is how many routers there are.
	Routers *atomic.Int64

	requests, repeats [slices]int
	// at is the slice in use, until is when it ends.
	at    int
	until time.Time
}

var _ kingcuphook.RetryBudget = (*Window)(nil)

// Requested notes a request that may be repeated later.
func (w *Window) Requested(now time.Time) {
	w.advance(now)
	w.requests[w.at]++
}

// Succeeded implements kingcuphook.RetryBudget. Requests count when they begin.
func (*Window) Succeeded(time.Time) {}

// Left reports whether a repetition is left.
func (w *Window) Left(now time.Time) bool {
	w.advance(now)
	routers := float64(max(w.Routers.Load(), fewestRouters))
	allowed := windowSafety * (w.Ratio*float64(sum(w.requests)) + w.Slack/routers)
	return float64(sum(w.repeats)+1) <= allowed
}

// Spend implements kingcuphook.RetryBudget.
func (w *Window) Spend(now time.Time) bool {
	if !w.Left(now) {
		return false
	}
	w.repeats[w.at]++
	return true
}

// Delay implements kingcuphook.RetryBudget. What did not run goes elsewhere at
// once.
func (*Window) Delay(int) time.Duration { return 0 }

// advance empties the slices whose time has passed.
func (w *Window) advance(now time.Time) {
	length := cmp.Or(w.Length, 10*time.Second) / slices
	if w.until.IsZero() {
		w.until = now.Add(length)
	}
	for n := 0; !now.Before(w.until); n++ {
		if n == slices {
			w.until = now.Add(length)
			return
		}
		w.until = w.until.Add(length)
		w.at = (w.at + 1) % slices
		w.requests[w.at] = 0
		w.repeats[w.at] = 0
	}
}

func sum(counts [slices]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
