package bounder

import "time"

// usageTime is the time constant with which past requests are forgotten.
const usageTime = 10 * time.Second

// usage measures the mean time of the requests of one router in a pool, as their number in
// flight over time divided by the number that ended.
type usage struct {
	running  int
	changed  time.Time
	busy     float64
	finished float64
}

// add changes the number of requests in flight.
func (u *usage) add(now time.Time, n int) {
	if passed := now.Sub(u.changed); !u.changed.IsZero() && passed > 0 {
		u.busy += float64(u.running) * passed.Seconds()
		kept := max(1-passed.Seconds()/usageTime.Seconds(), 0)
		u.busy *= kept
		u.finished *= kept
	}
	u.changed = now
	u.running += n
	if n < 0 {
		u.finished++
	}
}

// meanTime returns the mean time of a request in seconds; 0 if unknown.
func (u *usage) meanTime() float64 {
	if u.finished < 1 {
		return 0
	}
	return u.busy / u.finished
}
