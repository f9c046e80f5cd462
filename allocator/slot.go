package allocator

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// slot implements kingcuphook.Slot.
type slot struct {
	pool       *pool
	assignment kingcuphook.Assignment
	// preempted is closed once, when isPreempted is set.
	preempted chan struct{}
	// isPreempted and released are guarded by pool.mu.
	isPreempted, released bool
}

var _ kingcuphook.Slot = (*slot)(nil)

// Choice implements kingcuphook.Slot.
func (s *slot) Choice() kingcuphook.Choice { return s.assignment.Choice }

// Probe reports whether the attempt probes an ejected upstream.
func (s *slot) Probe() bool { return s.assignment.Probe }

// Preempted implements kingcuphook.Slot.
func (s *slot) Preempted() <-chan struct{} { return s.preempted }

// Progress implements kingcuphook.Slot.
func (s *slot) Progress(n int) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.scheduler.Progress(time.Now(), s.assignment.Choice.Upstream.Address(), s.assignment.Request, n)
}

// Release implements kingcuphook.Slot. Calls after the first do nothing.
func (s *slot) Release(sample kingcuphook.Sample) {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.release(now, s, sample)
	p.assign(now)
}

func (s *slot) key() slotKey {
	return slotKey{s.assignment.Request.ID(), s.assignment.Choice.Upstream.Address()}
}
