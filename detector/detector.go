// Package detector finds connections that stay open and say nothing. It is a
// pure decision: the data path tells it what was sent and heard and asks when
// to look again.
package detector

import "time"

// lateness is how much after its due time a look still counts. A later look
// means that the router itself was paused, and says nothing of the connection.
const lateness = time.Second

// Detector watches one attempt. It is used by one goroutine.
type Detector struct {
	// First is how long the upstream may stay silent after the dispatch.
	First time.Duration
	// Between is how long it may stay silent between two frames.
	Between time.Duration

	// last is when the upstream was last heard, or the dispatch.
	last time.Time
	// heard says that the upstream was heard at all.
	heard bool
}

// Sent notes the dispatch.
func (d *Detector) Sent(now time.Time) {
	d.last = now
	d.heard = false
}

// Heard notes a frame.
func (d *Detector) Heard(now time.Time) {
	d.last = now
	d.heard = true
}

// Due returns when the connection counts as silent unless it is heard before.
func (d *Detector) Due() time.Time {
	if d.heard {
		return d.last.Add(d.Between)
	}
	return d.last.Add(d.First)
}

// Silent reports whether the connection counts as silent.
func (d *Detector) Silent(now time.Time) bool {
	late := now.Sub(d.Due())
	return late >= 0 && late <= lateness
}

// Resume starts the wait again after a look that came too late.
func (d *Detector) Resume(now time.Time) { d.last = now }
