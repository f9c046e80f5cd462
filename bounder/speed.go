package bounder

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// speedInterval is the least time between two updates of the learned speed of an upstream. Speeds
// change within seconds.
const speedInterval = time.Second

// update applies the row of the upstream in the pool. The speed of an earlier program at its address
// is forgotten.
func (u *upstream) update(row *kingcuphook.Upstream) {
	if u.program != row.Program() {
		u.program, u.speed, u.speedAt = row.Program(), 0, time.Time{}
	}
	u.row, u.slots = row, row.Slots()
}

// updateSpeed takes over the learned speed of an upstream, unless it did so lately.
func (b *Bounder) updateSpeed(now time.Time, u *upstream) {
	if b.Speeds == nil || now.Sub(u.speedAt) < speedInterval {
		return
	}
	u.speed, u.speedAt = b.Speeds.Learned(u.program), now
}

// relativeSpeed returns the speed of the upstream relative to its pool, 1 if it is like the others.
// Slots become free in relation to it. The slots themselves don't depend on it: an upstream whose
// requests last longer begins fewer of them with the same number of slots.
func (u *upstream) relativeSpeed() float64 {
	if u.speed == 0 {
		return 1
	}
	return u.speed
}
