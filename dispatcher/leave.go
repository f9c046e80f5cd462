package dispatcher

import (
	"context"
	"maps"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// askInterval is the least time between two questions to an upstream when it leaves, askTimeout their
	// timeout. Notices are short, and an upstream may not know the time at once.
	askInterval = 500 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	// leaveTTL is how long the answer is kept: longer than any spot upstream goes on.
	leaveTTL = time.Minute
)

// leave is what a spot upstream said about the time at which it leaves.
type leave struct {
	askedAt time.Time
	// at is the time; zero if it is not known.
	at time.Time
}

// leavesAt returns when a leaving upstream stops; zero if that is not known. Spot upstreams are asked for it
// if their registration doesn't tell and streams of this router run there. Others leave when their streams
// have ended.
func (d *Dispatcher) leavesAt(now time.Time, u *kingcuphook.Upstream) time.Time {
	if !u.LeavesAt().IsZero() || !u.Spot() {
		return u.LeavesAt()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := u.Program()
	known := d.leaves[p]
	if !known.at.IsZero() {
		return known.at
	}
	if len(d.movable[p]) > 0 && now.Sub(known.askedAt) >= askInterval {
		maps.DeleteFunc(d.leaves, func(_ kingcuphook.Program, l leave) bool { return now.Sub(l.askedAt) > leaveTTL })
		d.leaves[p] = leave{askedAt: now}
		go d.askLeave(u, now)
	}
	return time.Time{}
}

// askLeave asks a spot upstream when it leaves. The answer is used by the next call of MoveStreams.
func (d *Dispatcher) askLeave(u *kingcuphook.Upstream, now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	left, known, err := d.Mover.LeavesIn(ctx, u)
	if err != nil || !known {
		return // it is asked again
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// The time counts from the question: the answer may have been late.
	d.leaves[u.Program()] = leave{askedAt: now, at: now.Add(left)}
}
