package pinner

import "time"

const (
	// MaxHold bounds for how long the first event of a stream is held back until the ledger
	// has the stream.
	MaxHold = 250 * time.Millisecond
	// MaxGuard bounds it for a stream that has to be in the ledger. Otherwise the stream ends.
	MaxGuard = time.Second
	// minWriteInterval is the shortest mean time between the begins of two writes of the ledger
	// of a router, and writeIntervalPerRouter that between two writes of all routers together.
	minWriteInterval       = 20 * time.Millisecond
	writeIntervalPerRouter = 10 * time.Millisecond
	// maxWriteBurst bounds the writes of a router that follow one another at once, and
	// fleetWriteBurst those of all routers together, if there are fewer routers.
	maxWriteBurst   = 4
	fleetWriteBurst = 64
)

// Pacer decides when the ledger of a router is written, and for which streams it is worth while
// to wait until they are in it. The zero value is ready for use.
type Pacer struct {
	// mixed is true while several versions are or were in service.
	mixed bool
	// next is the time of the next write without bursts.
	next time.Time
	// early is how much earlier a write may begin.
	early time.Duration
	// began is when the write in flight began; zero if there is none.
	began time.Time
	// sent is when the segment was sent in that write, and took how long the store took to
	// acknowledge the last one.
	sent time.Time
	took time.Duration
	// failing is true from a failed write until one succeeds.
	failing bool
}

// Wait returns how long the next write has to wait, in a fleet of the given number of routers.
// Random is a number from 0 to 1. All routers learn of a second version at about the same time:
// the first write of each waits for a random part of the interval.
func (p *Pacer) Wait(now time.Time, mixed bool, routers int, random float64) time.Duration {
	interval := WriteInterval(routers)
	p.early = time.Duration(min(fleetWriteBurst/max(routers, 1), maxWriteBurst)-1) * interval
	p.early = max(p.early, 0)
	if mixed && !p.mixed {
		p.next = now.Add(p.early + time.Duration(random*float64(interval)))
	}
	p.mixed = mixed
	return p.next.Add(-p.early).Sub(now)
}

// WriteInterval returns the mean time between two writes of the ledger of a router, in a fleet of
// the given number of routers.
func WriteInterval(routers int) time.Duration {
	return max(minWriteInterval, time.Duration(routers)*writeIntervalPerRouter)
}

// Begin records that a write begins, in a fleet of the given number of routers.
func (p *Pacer) Begin(now time.Time, routers int) {
	if p.next.Before(now) {
		p.next = now
	}
	p.began, p.sent, p.next = now, now, p.next.Add(WriteInterval(routers))
}

// Spread makes the next write wait for a random part of the interval, as after a second version
// came, since all routers have to write at about the same time.
func (p *Pacer) Spread() { p.mixed = false }

// Sent records that the write in flight sends the segment only now, after the grant of a lease.
func (p *Pacer) Sent(now time.Time) { p.sent = now }

// End records that the write in flight has ended.
func (p *Pacer) End(now time.Time, succeeded bool) {
	if succeeded {
		p.took = now.Sub(p.sent)
	}
	p.began, p.failing = time.Time{}, !succeeded
}

// CanGuard reports whether a stream can be expected in the ledger within MaxGuard, as far as earlier
// writes show. It may have to wait for the end of one write and for the next one.
func (p *Pacer) CanGuard(now time.Time) bool {
	return !p.failing && 2*p.took <= MaxGuard && (p.began.IsZero() || now.Sub(p.began) <= MaxHold)
}

// IsSoon reports whether a stream that begins now can be expected in the ledger within MaxHold.
func (p *Pacer) IsSoon(now time.Time) bool {
	if p.failing || !p.began.IsZero() && now.Sub(p.began) > MaxHold {
		return false
	}
	begin := now
	if next := p.next.Add(-p.early); next.After(begin) {
		begin = next
	}
	if !p.began.IsZero() && p.began.Add(p.took).After(begin) {
		begin = p.began.Add(p.took)
	}
	return begin.Add(p.took).Sub(now) <= MaxHold
}
