// Package leaser holds a lease of the platform's key-value service for work
// that needs a single holder, with a fencing number that rises from holder to
// holder.
//
// A Leaser decides; it makes no call. A Runner makes the calls it asks for.
package leaser

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	defaultTTL = 30 * time.Second
	// renewals is how often a lease is renewed in its time.
	renewals = 3
	// marginDivisor is the part of the time at the end that a holder leaves
	// unused: the clocks of the store and of the holder may run apart.
	marginDivisor = 6
	// firstRetry and maxRetry bound the wait after a failed call.
	firstRetry = time.Second
	maxRetry   = 30 * time.Second
	// stagger is the wait of each later candidate for an earlier one.
	stagger = 2 * time.Second
)

// NoCandidate is the position of a router that is not to take the lease.
const NoCandidate = -1

// Action names the call that a Leaser asks for.
type Action string

// Values of Action.
const (
	// ActionNone asks for nothing but to come back after the wait.
	ActionNone Action = "none"
	// ActionGet reads the key.
	ActionGet Action = "get"
	// ActionGrant grants a lease of the time-to-live.
	ActionGrant Action = "grant"
	// ActionPut writes the value under the lease if the key is absent.
	ActionPut Action = "put"
	// ActionKeepAlive renews the lease.
	ActionKeepAlive Action = "keep-alive"
	// ActionRevoke gives the lease back.
	ActionRevoke Action = "revoke"
)

// Step is what a Leaser wants done next.
type Step struct {
	action Action
	lease  kingcuphook.LeaseID
	value  []byte
	wait   time.Duration
}

// Action returns the call to make.
func (s Step) Action() Action { return s.action }

// Lease returns the lease of the call.
func (s Step) Lease() kingcuphook.LeaseID { return s.lease }

// Value returns the value to put.
func (s Step) Value() []byte { return s.value }

// Wait returns how long to wait when the action is ActionNone.
func (s Step) Wait() time.Duration { return s.wait }

// record is the value of the key.
type record struct {
	// Owner is the holder's address, for operators to see.
	Owner string `json:"owner"`
	// Nonce tells the holder's own write from all others.
	Nonce string `json:"nonce"`
}

// Leaser is the state of one lease at one router. Its exported fields are set
// before first use. It is used by one goroutine at a time. Times passed in
// carry a monotonic reading, so that steps of the wall clock do not matter.
type Leaser struct {
	// Key is the key that stands for the lease.
	Key string
	// Owner is the address of this router.
	Owner string
	// TTL is the time-to-live; 0 means 30 s. All candidates use the same.
	TTL time.Duration
	// Rand is the source of randomness; never nil.
	Rand *rand.Rand

	started bool
	// position is the place among the candidates, from 0, or NoCandidate.
	position int
	next     Action
	notUntil time.Time
	// lease is the lease granted; 0 if none.
	lease kingcuphook.LeaseID
	nonce string
	// until is when the granted lease may end, by this router's clock, less the
	// margin. Nothing is done under the lease afterwards.
	until time.Time
	// held says that the key is known to be this router's; fence is then its
	// fencing number.
	held  bool
	fence int64
	// refused is the highest fencing number that an upstream has shown to be
	// newer than fence; it is to be exceeded once the key is confirmed.
	refused int64
	// renewed is when the latest successful renewal was sent; zero once the key
	// was read after it.
	renewed time.Time
	retry   time.Duration
}

// SetPosition takes the place of this router among the candidates, from 0, or
// NoCandidate. A holder that is no candidate any more gives the lease back.
func (l *Leaser) SetPosition(now time.Time, position int) {
	l.start(now)
	l.position = position
	if position == NoCandidate && l.held {
		l.drop(now)
	}
}

func (l *Leaser) start(now time.Time) {
	if l.started {
		return
	}
	l.started = true
	if l.TTL == 0 {
		l.TTL = defaultTTL
	}
	l.next = ActionGet
	l.notUntil = now
}

// Next returns what to do now.
func (l *Leaser) Next(now time.Time) Step {
	l.start(now)
	if l.lease != 0 && !now.Before(l.until) {
		l.drop(now)
	}
	if now.Before(l.notUntil) {
		return Step{action: ActionNone, wait: l.notUntil.Sub(now)}
	}
	if l.position == NoCandidate && l.next != ActionRevoke {
		return Step{action: ActionNone, wait: maxRetry}
	}
	s := Step{action: l.next, lease: l.lease}
	if l.next == ActionPut {
		s.value = l.value()
	}
	return s
}

// Holding returns the fencing number and the end of the time in which orders
// may be given, or ErrLeaseLost. It is asked right before every order.
func (l *Leaser) Holding(now time.Time) (fence int64, until time.Time, err error) {
	if !l.held || !now.Before(l.until) {
		return 0, time.Time{}, kingcuphook.ErrLeaseLost
	}
	return l.fence, l.until, nil
}

// Refused takes a fencing number that an upstream has seen and that is not
// lower than the holder's. Either the lease has passed on, or the store was
// restored from an older copy; reading the key tells.
func (l *Leaser) Refused(now time.Time, fence int64) {
	if !l.held || fence < l.fence {
		return
	}
	l.refused = max(l.refused, fence)
	l.next = ActionGet
	l.notUntil = now
}

// Got takes the outcome of ActionGet.
func (l *Leaser) Got(now time.Time, e kingcuphook.Entry, err error) {
	switch {
	case errors.Is(err, kingcuphook.ErrNotFound):
		l.gotNothing(now)
	case err != nil:
		l.backOff(now)
	case l.lease != 0 && l.owns(e):
		l.hold(now, e.Revision())
	case l.lease != 0:
		l.drop(now)
	default:
		l.retry = 0
		l.wait(now, ActionGet, l.TTL/2*time.Duration(l.position+1))
	}
}

// gotNothing takes a read that found the key absent.
func (l *Leaser) gotNothing(now time.Time) {
	if l.lease != 0 {
		// A put whose reply was lost may still arrive: without its lease it
		// will fail.
		l.drop(now)
		return
	}
	l.retry = 0
	l.next = ActionGrant
	l.notUntil = now.Add(time.Duration(l.position) * stagger)
}

// Granted takes the outcome of ActionGrant, which was sent at the given time.
func (l *Leaser) Granted(now, sent time.Time, id kingcuphook.LeaseID, err error) {
	if err != nil {
		l.next = ActionGet
		l.backOff(now)
		return
	}
	l.lease = id
	l.nonce = strconv.FormatUint(l.Rand.Uint64(), 36)
	l.extend(sent)
	l.next = ActionPut
	l.notUntil = now
}

// Written takes the outcome of ActionPut.
func (l *Leaser) Written(now time.Time, revision int64, err error) {
	switch {
	case err == nil:
		l.hold(now, revision)
	case errors.Is(err, kingcuphook.ErrOutcomeUnknown):
		l.next = ActionGet
		l.notUntil = now
	default:
		l.drop(now)
	}
}

// KeptAlive takes the outcome of ActionKeepAlive, which was sent at the given
// time.
func (l *Leaser) KeptAlive(now, sent time.Time, err error) {
	switch {
	case err == nil:
		// The key may be gone although the lease lives, as after a restore of
		// the store: only reading it again extends the holding.
		l.renewed = sent
		l.next = ActionGet
		l.notUntil = now
	case errors.Is(err, kingcuphook.ErrLeaseLost):
		l.forget()
		l.wait(now, ActionGet, firstRetry)
	default:
		l.backOff(now)
	}
}

// Revoked takes the outcome of ActionRevoke. A lease that could not be given
// back ends by itself.
func (l *Leaser) Revoked(now time.Time, _ error) {
	l.forget()
	l.next = ActionGet
	l.backOff(now)
}

// owns reports whether e is this router's own write.
func (l *Leaser) owns(e kingcuphook.Entry) bool {
	var r record
	return json.Unmarshal(e.Value(), &r) == nil && r.Nonce == l.nonce && r.Owner == l.Owner
}

func (l *Leaser) value() []byte {
	b, err := json.Marshal(record{Owner: l.Owner, Nonce: l.nonce})
	if err != nil {
		panic(err) // Two strings always encode.
	}
	return b
}

// hold takes the key as this router's.
func (l *Leaser) hold(now time.Time, revision int64) {
	confirmed := l.held && l.renewed.IsZero()
	l.held = true
	if !l.renewed.IsZero() {
		l.extend(l.renewed)
		l.renewed = time.Time{}
	}
	l.fence = max(l.fence, revision)
	if l.refused >= l.fence {
		l.fence = l.refused + 1
	}
	l.retry = 0
	l.wait(now, ActionKeepAlive, l.TTL/renewals)
	if confirmed {
		// The read took the place of a renewal that may be due.
		l.notUntil = now
	}
}

// extend counts the time-to-live from when the call was sent: the store cannot
// have begun earlier.
func (l *Leaser) extend(sent time.Time) {
	l.until = sent.Add(l.TTL - l.TTL/marginDivisor)
}

// drop stops all work under the lease and gives it back.
func (l *Leaser) drop(now time.Time) {
	l.held = false
	l.until = time.Time{}
	l.next = ActionRevoke
	l.notUntil = now
}

// forget leaves the lease to end by itself.
func (l *Leaser) forget() {
	l.held = false
	l.lease = 0
	l.fence = 0
	l.refused = 0
	l.renewed = time.Time{}
	l.until = time.Time{}
}

// backOff repeats the next action after a delay that grows.
func (l *Leaser) backOff(now time.Time) {
	l.retry = min(max(2*l.retry, firstRetry), maxRetry)
	d := l.retry
	if l.held {
		// While holding, retries are bounded by the time left to renew.
		d = min(d, l.TTL/renewals/2)
	}
	l.wait(now, l.next, d)
}

// wait sets the next action and the time for it, spread by up to a quarter.
func (l *Leaser) wait(now time.Time, a Action, d time.Duration) {
	l.next = a
	l.notUntil = now.Add(d - time.Duration(l.Rand.Int64N(int64(d)/4+1)))
}
