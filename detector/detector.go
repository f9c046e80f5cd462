// Package detector detects connections that stay open but deliver no data. It does no
// I/O and reads no clock: the data path passes in what was sent and received, and asks
// when to check again.
package detector

import "time"

// maxDelay is how long after its due time a check is still valid. A later check means
// that this process was suspended, so it is no evidence about the connection.
const maxDelay = time.Second

// Detector monitors the connection of one attempt. It is used by one goroutine.
type Detector struct {
	// First is the timeout from the dispatch to the first frame.
	First time.Duration
	// Between is the timeout between two frames.
	Between time.Duration

	// last is the time of the last frame, or of the dispatch.
	last time.Time
	// received reports whether a frame was received.
	received bool
}

// Sent records the dispatch.
func (d *Detector) Sent(now time.Time) {
	d.last = now
	d.received = false
}

// Heard records a received frame.
func (d *Detector) Heard(now time.Time) {
	d.last = now
	d.received = true
}

// Due returns when the connection counts as unresponsive unless a frame is received
// before.
func (d *Detector) Due() time.Time {
	if d.received {
		return d.last.Add(d.Between)
	}
	return d.last.Add(d.First)
}

// Silent reports whether the connection counts as unresponsive. A check later than
// maxDelay after Due returns false.
func (d *Detector) Silent(now time.Time) bool {
	late := now.Sub(d.Due())
	return late >= 0 && late <= maxDelay
}

// Resume restarts the timeout after a check that was too late to be valid.
func (d *Detector) Resume(now time.Time) { d.last = now }
