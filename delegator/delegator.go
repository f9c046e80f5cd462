// Package delegator decides which routers of a data centre, the delegates, follow the
// store themselves; the others get updates from the delegates. Routers exchange their
// lists of candidates, and rank the addresses by a hash, as in rendezvous hashing, so
// that all reach the same decision. No lock is needed: too many delegates do no harm,
// and when one fails the next by rank takes its place. The package does no I/O, and the
// time is passed in.
package delegator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Count is the number of delegates in a data centre: two of them may fail at the
	// same time.
	Count = 3
	// MaxCandidates is the maximum number of candidates that a router sends to the
	// others: the delegates and the next by rank.
	MaxCandidates = Count + 1
	// candidateTTL is how long after its last message a router stays a candidate.
	candidateTTL = 2500 * time.Millisecond
)

// Candidate is a router that is able to follow the store.
type Candidate struct {
	// Address is its IP address.
	Address netip.Addr
	// Age is the time since its last message.
	Age time.Duration
}

// Delegator decides for one router. Its exported field is set before use. It is not
// safe for concurrent use.
type Delegator struct {
	// Self is the IP address of this router.
	Self netip.Addr

	// lastMessage has the time of the last message of each other candidate of the data
	// centre, received by this router or by another.
	lastMessage map[netip.Addr]time.Time
	// withdrawnAt has the time at which a router last reported that it is unable to
	// follow the store. Earlier messages from it no longer count.
	withdrawnAt map[netip.Addr]time.Time
	// unable is set while this router is unable to follow the store.
	unable bool
}

// RecordCandidate records a candidate, from its own message or as reported by another
// router. It ignores this router, expired candidates, and messages that are not newer
// than the last call of RecordWithdrawal for their router.
func (d *Delegator) RecordCandidate(now time.Time, c Candidate) {
	at := now.Add(-c.Age)
	if c.Address == d.Self || c.Age >= candidateTTL || !at.After(d.withdrawnAt[c.Address]) {
		return
	}
	if d.lastMessage == nil {
		d.lastMessage = make(map[netip.Addr]time.Time)
	}
	if at.After(d.lastMessage[c.Address]) {
		d.lastMessage[c.Address] = at
	}
}

// RecordWithdrawal records that a router reports that it is unable to follow the store.
func (d *Delegator) RecordWithdrawal(now time.Time, a netip.Addr) {
	if d.withdrawnAt == nil {
		d.withdrawnAt = make(map[netip.Addr]time.Time)
	}
	d.withdrawnAt[a] = now
	delete(d.lastMessage, a)
}

// SetUnable sets whether this router is unable to follow the store.
func (d *Delegator) SetUnable(unable bool) { d.unable = unable }

// Delegates returns the first Count candidates by rank. The result is empty if there
// are no candidates; Follows reports what this router does then.
func (d *Delegator) Delegates(now time.Time) []netip.Addr {
	list := d.ranked(now)
	return list[:min(len(list), Count)]
}

// Follows reports whether this router follows the store itself. A router that is unable
// to must still try while there is no candidate at all, to notice when the store is
// available again.
func (d *Delegator) Follows(now time.Time) bool {
	list := d.Delegates(now)
	return len(list) == 0 || slices.Contains(list, d.Self)
}

// Candidates returns the candidates to be sent to the other routers of the data
// centre: the first MaxCandidates by rank, without this router.
func (d *Delegator) Candidates(now time.Time) []Candidate {
	list := d.ranked(now)
	candidates := make([]Candidate, 0, MaxCandidates)
	for _, a := range list[:min(len(list), MaxCandidates)] {
		if a != d.Self {
			candidates = append(candidates, Candidate{Address: a, Age: now.Sub(d.lastMessage[a])})
		}
	}
	return candidates
}

// ranked returns the candidates in order of rank, after deleting the expired ones.
func (d *Delegator) ranked(now time.Time) []netip.Addr {
	list := make([]netip.Addr, 0, len(d.lastMessage)+1)
	for a, at := range d.lastMessage {
		if now.Sub(at) >= candidateTTL {
			delete(d.lastMessage, a)
			continue
		}
		list = append(list, a)
	}
	for a, at := range d.withdrawnAt {
		if now.Sub(at) >= candidateTTL {
			delete(d.withdrawnAt, a)
		}
	}
	if !d.unable {
		list = append(list, d.Self)
	}
	slices.SortFunc(list, func(a, b netip.Addr) int {
		return cmp.Or(cmp.Compare(hash(b), hash(a)), a.Compare(b))
	})
	return list
}

// hash returns the hash by which routers are ranked, the highest first.
func hash(a netip.Addr) uint64 {
	b := a.As16()
	return xxhash.Sum64(b[:])
}
