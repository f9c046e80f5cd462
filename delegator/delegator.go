// Package delegator decides which routers of a data centre follow the store
// themselves; the others hear from those. All routers of the data centre reach
// the same decision from what they tell one another, by rendezvous hashing. It
// takes no lock: two that follow at once do no harm, and when one is gone the
// next by rank takes its place. It is a pure decision: the time is passed in.
package delegator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Count is how many routers of a data centre follow the store: two may be lost
	// at the same moment.
	Count = 3
	// MaxTold bounds the candidates that a router tells the others of: the
	// delegates and the next one.
	MaxTold = Count + 1
	// kept is how long a router counts that was not heard of.
	kept = 2500 * time.Millisecond
)

// Candidate is a router that can follow the store.
type Candidate struct {
	// Address is its IP number.
	Address netip.Addr
	// Age is how long ago it was heard; 0 is now.
	Age time.Duration
}

// Delegator decides for one router. Its exported field is set before use. It is
// used by one goroutine.
type Delegator struct {
	// Self is the IP number of this router.
	Self netip.Addr

	// heard has when each other candidate of the data centre was heard last.
	heard map[netip.Addr]time.Time
	// withdrawn has when a router said last that it can't follow the store. What
	// others heard of it before that no longer counts.
	withdrawn map[netip.Addr]time.Time
	// away says that this router can't follow the store.
	away bool
}

// Heard notes that a router was heard the given time ago, by this one or by
// another, and could follow the store then.
func (d *Delegator) Heard(now time.Time, c Candidate) {
	at := now.Add(-c.Age)
	if c.Address == d.Self || c.Age >= kept || !at.After(d.withdrawn[c.Address]) {
		return
	}
	if d.heard == nil {
		d.heard = make(map[netip.Addr]time.Time)
	}
	if at.After(d.heard[c.Address]) {
		d.heard[c.Address] = at
	}
}

// Withdrawn notes that a router says that it can't follow the store.
func (d *Delegator) Withdrawn(now time.Time, a netip.Addr) {
	if d.withdrawn == nil {
		d.withdrawn = make(map[netip.Addr]time.Time)
	}
	d.withdrawn[a] = now
	delete(d.heard, a)
}

// SetAway tells whether this router can't follow the store.
func (d *Delegator) SetAway(away bool) { d.away = away }

// Delegates returns the routers that follow the store, by rank. Whether this
// router is one of them is told by Follows.
func (d *Delegator) Delegates(now time.Time) []netip.Addr {
	list := d.ranked(now)
	return list[:min(len(list), Count)]
}

// Follows reports whether this router follows the store itself. One that can't
// does so all the same as long as nobody else can, so that it finds out when the
// store is back.
func (d *Delegator) Follows(now time.Time) bool {
	list := d.Delegates(now)
	return len(list) == 0 || slices.Contains(list, d.Self)
}

// Told returns the candidates that the other routers of the data centre are told
// of.
func (d *Delegator) Told(now time.Time) []Candidate {
	list := d.ranked(now)
	told := make([]Candidate, 0, MaxTold)
	for _, a := range list[:min(len(list), MaxTold)] {
		if a != d.Self {
			told = append(told, Candidate{Address: a, Age: now.Sub(d.heard[a])})
		}
	}
	return told
}

// ranked returns the candidates, highest rank first, and forgets those that were
// not heard of for too long.
func (d *Delegator) ranked(now time.Time) []netip.Addr {
	list := make([]netip.Addr, 0, len(d.heard)+1)
	for a, at := range d.heard {
		if now.Sub(at) >= kept {
			delete(d.heard, a)
			continue
		}
		list = append(list, a)
	}
	for a, at := range d.withdrawn {
		if now.Sub(at) >= kept {
			delete(d.withdrawn, a)
		}
	}
	if !d.away {
		list = append(list, d.Self)
	}
	slices.SortFunc(list, func(a, b netip.Addr) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), a.Compare(b))
	})
	return list
}

func rank(a netip.Addr) uint64 {
	b := a.As16()
	return xxhash.Sum64(b[:])
}
