// Package rationer bounds the memory that callers and upstreams can make a router hold:
// heads and bodies of requests, heads and bodies of answers, and events of streams. All of it is drawn
// from one budget. What finds no room must be refused, or must stay unread.
package rationer

import (
	"sync"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// SmallBytes is the most that an account may hold and still count as small.
	SmallBytes = 32 << 10
	// smallShare is the share of the budget that only small accounts may use.
	smallShare = 0.25
	// answerShare is the share that large accounts of answers leave to small ones. It is below smallShare,
	// since a request that finds no room has not run, while the work of an answer would be lost.
	answerShare = 0.15
	// tierShare is the share of the budget that each tier leaves to those above it.
	tierShare = 0.05
	// belowShare is the share of the budget up to which memory that is not held for a call has the room of
	// the lowest tier.
	belowShare = 0.05
)

// Rationer is a budget of memory. Its exported fields are set before use. It is safe for
// concurrent use. A nil Rationer has no limit.
type Rationer struct {
	// Bytes is the whole budget; 0 means no limit.
	Bytes int64

	mu sync.Mutex
	// held are the sums over all accounts.
	held sums
	// peak is the highest sum so far.
	peak int64
	// refused counts the reservations that found no room.
	refused int64
}

// sums are the bytes that accounts hold. Except for what Take has reserved, the sum of small and large never
// exceeds the budget, and large never exceeds what answerShare leaves.
type sums struct {
	// small and large are the bytes of small and large accounts.
	small, large int64
	// below are those of accounts below all calls, which are part of small or large.
	below int64
}

func (s sums) total() int64 { return s.small + s.large }

// Usage is the use of a budget.
type Usage struct {
	// Bytes is the whole budget; 0 means no limit.
	Bytes int64
	// Held is the number of bytes held now, Peak the highest number so far.
	Held, Peak int64
	// Refused counts the reservations that found no room.
	Refused int64
}

// Usage returns the current use of the budget.
func (r *Rationer) Usage() Usage {
	if r == nil {
		return Usage{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return Usage{Bytes: r.Bytes, Held: r.held.total(), Peak: r.peak, Refused: r.refused}
}

// Open returns an empty account of the highest tier, which its owner must close.
func (r *Rationer) Open() *Account {
	return &Account{rationer: r, tier: kingcuphook.HighestTier, left: smallShare}
}

// OpenAnswer returns an empty account for what a request gets that may have run. It finds room where
// large accounts of requests have used up theirs. Its owner must close it.
func (r *Rationer) OpenAnswer() *Account {
	return &Account{rationer: r, tier: kingcuphook.HighestTier, left: answerShare}
}

// hasRoom reports whether the budget allows these sums, of which the account holds n bytes.
func (r *Rationer) hasRoom(s sums, a *Account, n int64) bool {
	if r.Bytes <= 0 {
		return true
	}
	share := 1 - tierShare*float64(a.tier.Declared().Index())
	budget := float64(r.Bytes)
	if a.isBelow() && float64(s.below) > belowShare*budget {
		share -= tierShare
	}
	if n > SmallBytes && float64(s.large) > (share-a.left)*budget {
		return false
	}
	return float64(s.total()) <= share*budget
}

// Account is the memory that is held for one call, in one direction. It is safe for concurrent
// use.
type Account struct {
	rationer *Rationer
	// held is the number of bytes held; the account is small while that is at most SmallBytes.
	// The mutex of the rationer guards it.
	held int64
	tier kingcuphook.Tier
	// left is the share of the budget that the account leaves to small ones once it is large.
	left float64
}

// SetTier sets the tier of the account. The lower it is, the earlier the account finds no more
// room. Memory that is not held for a call has the tier kingcuphook.LowestTier+1, below all calls; it is
// set before the first Grow.
func (a *Account) SetTier(tier kingcuphook.Tier) {
	if r := a.rationer; r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
	}
	a.tier = tier
}

// Grow reserves n more bytes. It returns an error that wraps kingcuphook.ErrOutOfMemory and
// reserves nothing if there is no room for them.
func (a *Account) Grow(n int64) error {
	r := a.rationer
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.with(a, a.held+n)
	if n > 0 && !r.hasRoom(s, a, a.held+n) {
		r.refused++
		return kingcuphook.ErrOutOfMemory
	}
	r.set(a, s, a.held+n)
	return nil
}

// Take reserves n bytes that are in memory already, also beyond the budget: others then find no room.
func (a *Account) Take(n int64) {
	r := a.rationer
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(a, r.with(a, a.held+n), a.held+n)
}

// Held returns the number of bytes held.
func (a *Account) Held() int64 {
	if r := a.rationer; r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
	}
	return a.held
}

// Shrink returns n bytes to the budget.
func (a *Account) Shrink(n int64) { _ = a.Grow(-n) }

// Close returns all bytes of the account to the budget. The account may be used again.
func (a *Account) Close() {
	r := a.rationer
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(a, r.with(a, 0), 0)
}

// isBelow reports whether the memory is not held for a call.
func (a *Account) isBelow() bool { return a.tier > kingcuphook.LowestTier }

// with returns the sums as they would be if the account held n bytes.
func (r *Rationer) with(a *Account, n int64) sums {
	s := r.held
	s.add(a, a.held, -1)
	s.add(a, n, 1)
	return s
}

// set sets the bytes of the account and the sums with them.
func (r *Rationer) set(a *Account, s sums, n int64) {
	a.held = n
	r.held = s
	r.peak = max(r.peak, s.total())
}

// add adds sign times the n bytes of the account.
func (s *sums) add(a *Account, n, sign int64) {
	if n <= SmallBytes {
		s.small += sign * n
	} else {
		s.large += sign * n
	}
	if a.isBelow() {
		s.below += sign * n
	}
}
