// Package detector detects connections that stay open but deliver no data. It does no
// I/O and reads no clock: the data path records when it sent and received data, and
// checks again at Deadline.
package detector

import "time"

// maxDelay is how long after Deadline a check is still valid. A later check means that this
// process stood still, so it is no evidence about the connection: data may have come
// meanwhile that is not read yet.
const maxDelay = 100 * time.Millisecond

// Detector monitors the connection of one attempt. It is used by one goroutine.
type Detector struct {
	// FirstFrameTimeout is the timeout from the dispatch to the first frame.
	FirstFrameTimeout time.Duration
	// IdleTimeout is the timeout between two frames.
	IdleTimeout time.Duration

	// last is the time of the last frame, or of the dispatch.
	last time.Time
	// received reports whether a frame was received.
	received bool
}

// RecordDispatch starts the timeout of the first frame.
func (d *Detector) RecordDispatch(now time.Time) {
	d.last = now
	d.received = false
}

// RecordFrame starts the timeout of the next frame.
func (d *Detector) RecordFrame(now time.Time) {
	d.last = now
	d.received = true
}

// Received reports whether a frame was received since the dispatch.
func (d *Detector) Received() bool { return d.received }

// Deadline returns when the connection counts as unresponsive unless a frame is received
// before.
func (d *Detector) Deadline() time.Time {
	if d.received {
		return d.last.Add(d.IdleTimeout)
	}
	return d.last.Add(d.FirstFrameTimeout)
}

// Unresponsive reports whether the connection counts as unresponsive. A check later than
// maxDelay after Deadline returns false.
func (d *Detector) Unresponsive(now time.Time) bool {
	late := now.Sub(d.Deadline())
	return late >= 0 && late <= maxDelay
}

// Restart restarts the current timeout, for example after a check that was too late to be
// valid.
func (d *Detector) Restart(now time.Time) { d.last = now }
