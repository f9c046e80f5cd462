package retrier

import (
	"sync"
	"time"
)

const (
	// settleTime is how long a router that has started does not know how many others there
	// are.
	settleTime = 3 * time.Second
	// fleetMemory is how long at least a router that is no longer known is counted. It may
	// still be there, out of reach of this one only.
	fleetMemory = 30 * time.Second
)

// Fleet counts the routers that share a budget. It is safe for concurrent use.
type Fleet struct {
	mu sync.Mutex
	// started is when the first count was set.
	started time.Time
	// most is the highest count since since, and earlier the highest in the time of
	// fleetMemory before that.
	most, earlier int
	since         time.Time
}

// Set sets the number of routers that are known now, this one included.
func (f *Fleet) Set(now time.Time, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.started.IsZero() {
		f.started, f.since = now, now
	}
	if now.Sub(f.since) >= fleetMemory {
		f.earlier, f.most, f.since = f.most, 0, now
	}
	f.most = max(f.most, n)
}

// Size returns the number of routers; 0 while it is not known.
func (f *Fleet) Size(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.started.IsZero() || now.Sub(f.started) < settleTime {
		return 0
	}
	return max(f.most, f.earlier)
}
