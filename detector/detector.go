// Package detector detects connections that stay open but deliver no data. It does no
// I/O and reads no clock: the data path records when it sent and received data, and
// checks again at Deadline.
package detector

import "time"

// maxDelay is how long after Deadline a check is still valid. A later check means that this
// process stood still, so it is no evidence about the connection: data may have come
// meanwhile that is not read yet.
const maxDelay = 100 * time.Millisecond

// checkInterval is the time between two checks of a connection that counts as unresponsive.
const checkInterval = 100 * time.Millisecond

// Detector monitors the connection of one attempt. It is used by one goroutine.
type Detector struct {
	// FirstFrameTimeout is the timeout from the dispatch to the first frame.
	FirstFrameTimeout time.Duration
	// IdleTimeout is the timeout between two frames.
	IdleTimeout time.Duration
	// Patience is how long a sound upstream may send nothing.
	Patience time.Duration

	// last is the time of the last frame, or of the dispatch.
	last time.Time
	// received reports whether a frame was received.
	received bool
	// next is the time of the next check of an unresponsive connection; zero before the first.
	next time.Time
}

// RecordDispatch starts the timeout of the first frame.
func (d *Detector) RecordDispatch(now time.Time) {
	d.last, d.next = now, time.Time{}
	d.received = false
}

// RecordFrame starts the timeout of the next frame.
func (d *Detector) RecordFrame(now time.Time) {
	d.last, d.next = now, time.Time{}
	d.received = true
}

// Received reports whether a frame was received since the dispatch.
func (d *Detector) Received() bool { return d.received }

// Silence returns how long nothing was received.
func (d *Detector) Silence(now time.Time) time.Duration { return now.Sub(d.last) }

// Deadline returns when the connection is to be checked, and counts as unresponsive, unless a
// frame is received before.
func (d *Detector) Deadline() time.Time {
	if !d.next.IsZero() {
		return d.next
	}
	return d.last.Add(d.Timeout())
}

// Timeout returns the current timeout.
func (d *Detector) Timeout() time.Duration {
	if d.received {
		return d.IdleTimeout
	}
	return d.FirstFrameTimeout
}

// Unresponsive reports whether the connection counts as unresponsive. A check later than
// maxDelay after Deadline returns false.
func (d *Detector) Unresponsive(now time.Time) bool {
	late := now.Sub(d.Deadline())
	return late >= 0 && late <= maxDelay
}

// IsPatient reports whether a sound upstream may still be silent.
func (d *Detector) IsPatient(now time.Time) bool { return d.Silence(now) < d.Patience }

// Postpone schedules the next check of an unresponsive connection, at the latest when a sound
// upstream may no longer be silent.
func (d *Detector) Postpone(now time.Time) {
	d.next = now.Add(checkInterval)
	if end := d.last.Add(d.Patience); now.Before(end) && end.Before(d.next) {
		d.next = end
	}
}

// RecordDelay records a check that was too late to be valid. The first one restarts the timeout; of
// a later one the time by which it was late doesn't count as silence.
func (d *Detector) RecordDelay(now time.Time) {
	if d.next.IsZero() {
		d.Restart(now)
		return
	}
	d.last = d.last.Add(now.Sub(d.next))
	d.Postpone(now)
}

// Restart restarts the current timeout.
func (d *Detector) Restart(now time.Time) { d.last, d.next = now, time.Time{} }
