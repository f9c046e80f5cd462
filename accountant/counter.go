package accountant

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// momentLength is the resolution of the times at which requests began.
	momentLength = 10 * time.Millisecond
	// maxMoments bounds the counts that wait for the time of day. Requests beyond are not counted.
	maxMoments = 1 << 14
	// resendInterval is how often the counts of windows that have ended are sent again.
	resendInterval = 2 * time.Second
)

// Counter counts the requests that began at this router. Requests wait by the monotonic clock until
// the time of day is known. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	waiting map[moment]int64
	windows map[int64]*counts
	// fixed is the last window that is fixed.
	fixed   int64
	dropped int64
}

// moment is an organisation with a time on the monotonic clock.
type moment struct {
	at           time.Duration
	organisation string
}

// counts are the requests of one window by organisation.
type counts struct {
	counts map[string]int64
	// sent has the counts that were sent last.
	sent map[string]int64
	// isEnded is true once the totals were sent after the end of the window; sentAt is when the
	// counts were sent last since.
	isEnded bool
	sentAt  time.Duration
}

// Begin counts a request that began at a time of the monotonic clock.
func (c *Counter) Begin(now time.Duration, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = make(map[moment]int64)
	}
	m := moment{at: now.Truncate(momentLength), organisation: organisation}
	if _, ok := c.waiting[m]; !ok && len(c.waiting) >= maxMoments {
		c.dropped++
		return
	}
	c.waiting[m]++
}

// Assign assigns the waiting requests to the windows in which they began, by the function given.
func (c *Counter) Assign(window func(at time.Duration) int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for m, n := range c.waiting {
		// A request of a window that is fixed can't be reported with it any more. The next one has
		// it, so that the sum stays right.
		w := c.window(max(window(m.at), c.fixed+1))
		w.counts[m.organisation] += n
	}
	clear(c.waiting)
}

func (c *Counter) window(k int64) *counts {
	if c.windows == nil {
		c.windows = make(map[int64]*counts)
	}
	w := c.windows[k]
	if w == nil {
		w = &counts{counts: make(map[string]int64), sent: make(map[string]int64)}
		c.windows[k] = w
	}
	return w
}

// Fix removes the windows up to a fixed one.
func (c *Counter) Fix(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixed = max(c.fixed, window)
	maps.DeleteFunc(c.windows, func(k int64, _ *counts) bool { return k <= c.fixed })
}

// Dropped returns the number of requests that were not counted.
func (c *Counter) Dropped() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Report returns the counts to send in the current window: what has changed of it, and the
// windows that have ended when they are due. If all is set, everything is due.
func (c *Counter) Report(now time.Duration, current int64, all bool) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.windows, func(k int64, _ *counts) bool { return k <= current-MaxWindows })
	r := Report{Current: current, Totals: make(map[int64]int64)}
	for _, k := range slices.Sorted(maps.Keys(c.windows)) {
		if k > current {
			continue
		}
		w := c.windows[k]
		full := all || w.isEnded && now-w.sentAt >= resendInterval
		if k < current && (full || !w.isEnded) {
			w.isEnded, w.sentAt = true, now
		}
		for _, name := range slices.Sorted(maps.Keys(w.counts)) {
			n := w.counts[name]
			r.Totals[k] += n
			if full || n != w.sent[name] {
				w.sent[name] = n
				r.Counts = append(r.Counts, Count{Window: k, Organisation: Hash(name), Requests: n})
			}
		}
	}
	return r
}
