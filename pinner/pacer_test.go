package pinner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeBusily writes the ledger as often as the pacer lets it for d, with writes that take took, and
// returns the number of writes.
func writeBusily(p *Pacer, routers int, random float64, took, d time.Duration) int {
	n := 0
	now := start
	for now.Before(start.Add(d)) {
		if wait := p.Wait(now, true, routers, random); wait > 0 {
			now = now.Add(wait)
			continue
		}
		n++
		p.Begin(now, routers)
		now = now.Add(took)
		p.End(now, true)
	}
	return n
}

// All routers together wrote more often than the store allows.
func TestPacerBoundsWritesOfFleet(t *testing.T) {
	for _, routers := range []int{2, 8, 16, 64, 300, 1103} {
		is := is.New(t)
		const d = time.Minute
		writes, atOnce := 0, 0
		for i := range routers {
			phase := float64(i) / float64(routers)
			writes += writeBusily(&Pacer{}, routers, phase, time.Millisecond, d)
			atOnce += writeBusily(&Pacer{}, routers, phase, time.Millisecond, time.Second)
		}
		is.True(writes <= 100*60+fleetWriteBurst+routers)
		is.True(writes >= 95*60)
		is.True(atOnce <= 200) // in the first second of a second version
	}
}

// The first events of streams were held back although the ledger could not have them in time.
func TestPacerExpectsStreamsInLedger(t *testing.T) {
	is := is.New(t)
	const routers = 8
	at := start.Add
	p := &Pacer{}
	is.True(p.IsSoon(start)) // nothing is known of the store
	p.Begin(start, routers)
	is.True(p.IsSoon(at(100 * time.Millisecond)))
	is.True(!p.IsSoon(at(MaxHold + 1))) // the store does not reply
	p.End(at(time.Second), true)
	is.True(!p.IsSoon(at(time.Second))) // it is slow
	p.Begin(at(time.Second), routers)
	p.End(at(time.Second+70*time.Millisecond), true)
	is.True(p.IsSoon(at(2 * time.Second)))
	p.Begin(at(2*time.Second), routers)
	is.True(p.IsSoon(at(2*time.Second + 10*time.Millisecond))) // a second write follows this one
	p.End(at(2*time.Second+time.Millisecond), false)
	is.True(!p.IsSoon(at(time.Hour))) // it failed
	p.Begin(at(time.Hour), routers)
	p.End(at(time.Hour), true)
	is.True(p.IsSoon(at(time.Hour)))

	leased := &Pacer{}
	leased.Begin(start, routers)
	leased.Sent(at(200 * time.Millisecond)) // after the grant of a lease
	leased.End(at(270*time.Millisecond), true)
	is.True(leased.IsSoon(at(270 * time.Millisecond)))

	large := &Pacer{}
	large.Begin(start, 300)
	large.End(start, true)
	is.True(!large.IsSoon(at(time.Second)))
	is.True(large.IsSoon(at(WriteInterval(300))))
}
