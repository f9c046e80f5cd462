package reserver

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// reserveAfter is how long a request waits before the free memory of an engine is reserved for it. Without a
// reservation small requests would take all memory that becomes free, and a large one would starve.
const reserveAfter = 500 * time.Millisecond

// reservationTimeout is how long a reservation stays valid while the scheduler doesn't consider its request. The
// scheduler considers the first requests of the queue every 50 ms. Without the timeout, requests that precede it in the
// queue would wait for the reserved memory, and it for them.
const reservationTimeout = 200 * time.Millisecond

// reservation reserves the free memory of an engine for a request; the zero value reserves none.
type reservation struct {
	id, address string
	tier        kingcuphook.Tier
	// considered is when the request was last found to fit into no engine.
	considered time.Time
}

// excludes reports whether the free memory of the engine is reserved for a request that precedes this one.
func (v reservation) excludes(now time.Time, address string, r *kingcuphook.Request, t kingcuphook.Tier) bool {
	return v.address == address && v.precedes(now, r, t)
}

// precedes reports whether there is a valid reservation for another request that is no less urgent.
func (v reservation) precedes(now time.Time, r *kingcuphook.Request, t kingcuphook.Tier) bool {
	return v.id != "" && v.id != r.ID() && v.tier <= t && now.Sub(v.considered) <= reservationTimeout
}

// Hold records that a request of the tier waits because it fits into none of the engines, which have a free slot.
// The engine with the most free memory is reserved for a request that has waited for reserveAfter.
func (m *Memory) Hold(now time.Time, r *kingcuphook.Request, t kingcuphook.Tier, addresses []string) {
	m.countHeld(r.ID())
	v := m.reservation
	if now.Sub(r.Arrived()) < reserveAfter || v.precedes(now, r, t) {
		return
	}
	best, least := "", 0
	for _, address := range addresses {
		if v.id == r.ID() && v.address == address {
			m.reservation.considered = now
			return
		}
		if e := m.engines[address]; e != nil && (best == "" || e.tokens+e.others < least) {
			best, least = address, e.tokens+e.others
		}
	}
	if best != "" {
		m.reservation = reservation{id: r.ID(), address: best, tier: t, considered: now}
	}
}

// countHeld counts a request in Counts.Held when it is held for the first time.
func (m *Memory) countHeld(id string) {
	if m.waiting[id] {
		return
	}
	if m.waiting == nil {
		m.waiting = make(map[string]bool)
	}
	m.waiting[id] = true
	if m.Counts != nil {
		m.Counts.Held.Add(1)
	}
}

// Forget removes the state of a request that is no longer queued, and its reservation.
func (m *Memory) Forget(id string) {
	delete(m.waiting, id)
	if m.reservation.id == id {
		m.reservation = reservation{}
	}
}
