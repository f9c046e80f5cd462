// Package leaser acquires and renews a lease in the platform's key-value service, for
// work that only one router may do at a time. Each holder has a higher fencing number
// than the one before.
//
// A Leaser is a state machine without I/O. A Runner makes the calls to the store that
// the Leaser requests, and passes the results back to it.
package leaser

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	defaultTTL = 30 * time.Second
	// renewalsPerTTL is how often a lease is renewed per time-to-live.
	renewalsPerTTL = 3
	// marginDivisor gives the safety margin as a fraction of the time-to-live. A
	// holder stops that much before the lease expires, because the clocks of the store
	// and of the holder may run at different rates.
	marginDivisor = 6
	// firstRetry and maxRetry bound the delay after a failed call. They and the times
	// below are for a lease of defaultTTL; scaled shortens them for shorter leases.
	firstRetry = time.Second
	maxRetry   = 30 * time.Second
	// delayPerPosition is the delay per position before a candidate tries to acquire a
	// free lease, so that candidates with a lower position go first.
	delayPerPosition = 2 * time.Second
	// callTimeout bounds each call to the store.
	callTimeout = 5 * time.Second
)

// NotCandidate is the position of a router that must not acquire the lease.
const NotCandidate = -1

// Leaser is the state of one lease on one router. Its exported fields are set before
// first use. It is used by one goroutine at a time. The times passed in have a
// monotonic clock reading, so that clock steps have no effect unless WallClock is set.
type Leaser struct {
	// Key is the key in the store that the holder of the lease has written.
	Key string
	// Owner is the address of this router.
	Owner string
	// TTL is the time-to-live of the lease; 0 means 30 s. All candidates must use the
	// same.
	TTL time.Duration
	// Poll is how often a candidate reads an occupied key; 0 means half of the
	// time-to-live, multiplied by the position from 1.
	Poll time.Duration
	// Rest is the least time after a lease was lost or revoked until this router tries to
	// acquire it again, so that the work can go to another candidate first.
	Rest time.Duration
	// WallClock, if set, returns the wall clock's reading at a time. The lease is then
	// not used either once the wall clock has passed its end: the monotonic clock
	// stands still while a VM is suspended.
	WallClock func(t time.Time) time.Time
	// IsRestored, if set, reports whether the store has ever come back from an older copy.
	// A key whose lease doesn't exist is then deleted.
	IsRestored func() bool
	// Rand is the source of randomness; never nil.
	Rand *rand.Rand

	started bool
	// position is the position among the candidates, from 0, or NotCandidate.
	position int
	next     Action
	notUntil time.Time
	// lease is the lease granted; 0 if none.
	lease kingcuphook.LeaseID
	nonce string
	// until is the earliest time at which the granted lease may expire by this
	// router's clock, less the safety margin. The lease is not used afterwards.
	until time.Time
	// wallUntil is the same time on the wall clock; zero if WallClock is not set.
	wallUntil time.Time
	leftover  leftover
	// holder and holderFence are what the key held when it was last read, and its
	// revision; they are empty if it was absent then or is not read.
	holder      string
	holderFence int64
	// releasing is true from the decision to give the lease up until it is revoked. Results
	// of calls that were in flight then have no effect.
	releasing bool
	// held is true if this router has written the key; fence is then its fencing
	// number.
	held  bool
	fence int64
	// rejectingFence is the highest fencing number, not lower than fence, of an upstream
	// that rejected an order. A read that confirms the key raises fence above it.
	rejectingFence int64
	// renewalSent is when the latest successful renewal was sent, and zero once a read
	// has confirmed the key after it.
	renewalSent time.Time
	retryDelay  time.Duration
}

// SetPosition sets the position of this router among the candidates, from 0, or
// NotCandidate. A holder that is no longer a candidate releases the lease.
func (l *Leaser) SetPosition(now time.Time, position int) {
	l.start(now)
	l.position = position
	if position != NotCandidate {
		return
	}
	l.holder, l.holderFence = "", 0
	l.Release(now)
}

// Release gives up the lease if one was granted.
func (l *Leaser) Release(now time.Time) {
	if l.lease != 0 {
		l.release(now)
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

// Next returns the next call to make, or how long to wait for it.
func (l *Leaser) Next(now time.Time) Step {
	l.start(now)
	if l.lease != 0 && !now.Before(l.until) {
		l.release(now)
	}
	if now.Before(l.notUntil) {
		return Step{action: ActionNone, wait: l.notUntil.Sub(now)}
	}
	if l.position == NotCandidate && l.next != ActionRevoke {
		return Step{action: ActionNone, wait: maxRetry}
	}
	s := Step{action: l.next, lease: l.lease}
	switch l.next {
	case ActionPut:
		s.value = l.value()
	case ActionProbe:
		s.lease = l.leftover.lease
	case ActionDelete:
		s.revision = l.leftover.revision
	}
	return s
}

// Holding returns the fencing number of the held lease and the time until which
// orders may be given, or ErrLeaseLost. It must be called right before each order.
func (l *Leaser) Holding(now time.Time) (fence int64, until time.Time, err error) {
	if !l.held || !now.Before(l.until) || l.isOverByWallClock(now) {
		return 0, time.Time{}, kingcuphook.ErrLeaseLost
	}
	return l.fence, l.until, nil
}

// isOverByWallClock reports whether the wall clock has passed the end of the lease.
func (l *Leaser) isOverByWallClock(now time.Time) bool {
	return !l.wallUntil.IsZero() && !l.WallClock(now).Before(l.wallUntil)
}

// Rejected handles the rejection of an order by an upstream that follows an order with
// the given fencing number. If that is not lower than the holder's, either another
// router has acquired the lease or the store was restored from an older copy. The key
// is read to find out which.
func (l *Leaser) Rejected(now time.Time, fence int64) {
	if !l.held || fence < l.fence {
		return
	}
	l.rejectingFence = max(l.rejectingFence, fence)
	l.next = ActionGet
	l.notUntil = now
}

// Got handles the result of ActionGet.
func (l *Leaser) Got(now time.Time, e kingcuphook.Entry, err error) {
	if l.releasing {
		return
	}
	l.recordHolder(e, err)
	switch {
	case errors.Is(err, kingcuphook.ErrNotFound):
		l.handleAbsentKey(now)
	case err != nil:
		l.backoff(now)
	case l.lease != 0 && l.owns(e):
		l.confirm(now, e.Revision())
	case l.lease != 0:
		l.release(now)
	case l.leftover.observe(now, l.TTL, e) && l.IsRestored != nil && l.IsRestored():
		l.next = ActionProbe
		l.notUntil = now
	default:
		l.retryDelay = 0
		l.schedule(now, ActionGet, l.pollInterval())
	}
}

// pollInterval returns how long to wait before an occupied key is read again.
func (l *Leaser) pollInterval() time.Duration {
	if l.Poll > 0 {
		return l.Poll
	}
	return l.TTL / 2 * time.Duration(l.position+1)
}

// handleAbsentKey handles a read that found no key.
func (l *Leaser) handleAbsentKey(now time.Time) {
	if l.lease != 0 {
		// A put whose outcome is unknown may still reach the store. It fails once its
		// lease is revoked.
		l.release(now)
		return
	}
	l.retryDelay = 0
	l.next = ActionGrant
	l.notUntil = now.Add(time.Duration(l.position) * l.scaled(delayPerPosition))
}

// Granted handles the result of ActionGrant, which was sent at the given time.
func (l *Leaser) Granted(now, sent time.Time, id kingcuphook.LeaseID, err error) {
	if err != nil {
		l.next = ActionGet
		l.backoff(now)
		return
	}
	l.lease = id
	l.nonce = strconv.FormatUint(l.Rand.Uint64(), 36)
	l.extend(sent)
	l.next = ActionPut
	l.notUntil = now
}

// Written handles the result of ActionPut.
func (l *Leaser) Written(now time.Time, revision int64, err error) {
	switch {
	case l.releasing:
	case err == nil:
		l.confirm(now, revision)
	case errors.Is(err, kingcuphook.ErrOutcomeUnknown):
		l.next = ActionGet
		l.notUntil = now
	default:
		l.release(now)
	}
}

// KeptAlive handles the result of ActionKeepAlive, which was sent at the given time.
func (l *Leaser) KeptAlive(now, sent time.Time, err error) {
	switch {
	case l.releasing:
	case err == nil:
		// The key may be missing although the lease exists, as after a restore of the
		// store. So until is extended only after a read has confirmed the key.
		l.renewalSent = sent
		l.next = ActionGet
		l.notUntil = now
	case errors.Is(err, kingcuphook.ErrLeaseLost):
		l.reset()
		l.schedule(now, ActionGet, max(l.scaled(firstRetry), l.Rest))
	default:
		l.backoff(now)
	}
}

// Revoked handles the result of ActionRevoke. If the call failed, the lease expires
// without it.
func (l *Leaser) Revoked(now time.Time, _ error) {
	l.reset()
	l.next = ActionGet
	l.backoff(now)
	l.notUntil = later(l.notUntil, now.Add(l.Rest))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// confirm records that a write or a read has confirmed this router as the holder.
func (l *Leaser) confirm(now time.Time, revision int64) {
	confirmed := l.held && l.renewalSent.IsZero()
	l.held = true
	if !l.renewalSent.IsZero() {
		l.extend(l.renewalSent)
		l.renewalSent = time.Time{}
	}
	l.fence = max(l.fence, revision)
	if l.rejectingFence >= l.fence {
		l.fence = l.rejectingFence + 1
	}
	l.retryDelay = 0
	l.schedule(now, ActionKeepAlive, l.TTL/renewalsPerTTL)
	if confirmed {
		// The read was made in place of a renewal, which may be due.
		l.notUntil = now
	}
}

// extend sets until from the time at which the call was sent, since the store can't
// have started the time-to-live earlier.
func (l *Leaser) extend(sent time.Time) {
	l.until = sent.Add(l.TTL - l.TTL/marginDivisor)
	if l.WallClock != nil {
		l.wallUntil = l.WallClock(sent).Add(l.TTL - l.TTL/marginDivisor)
	}
}

// scaled returns a time that suits a lease of defaultTTL, shortened in proportion for a
// shorter one.
func (l *Leaser) scaled(d time.Duration) time.Duration {
	if l.TTL == 0 || l.TTL >= defaultTTL {
		return d
	}
	return time.Duration(float64(d) * float64(l.TTL) / float64(defaultTTL))
}

// release ends the use of the lease and schedules its revocation.
func (l *Leaser) release(now time.Time) {
	l.held = false
	l.releasing = true
	l.until, l.wallUntil = time.Time{}, time.Time{}
	l.next = ActionRevoke
	l.notUntil = now
}

// reset clears the state of a lease that is revoked or left to expire.
func (l *Leaser) reset() {
	l.held = false
	l.releasing = false
	l.lease = 0
	l.fence = 0
	l.rejectingFence = 0
	l.renewalSent = time.Time{}
	l.until, l.wallUntil = time.Time{}, time.Time{}
}

// backoff schedules the next action after an exponential delay.
func (l *Leaser) backoff(now time.Time) {
	l.retryDelay = min(max(2*l.retryDelay, l.scaled(firstRetry)), l.scaled(maxRetry))
	d := l.retryDelay
	if l.held {
		// A holder retries at least twice per renewal interval, so that it can renew in
		// time.
		d = min(d, l.TTL/renewalsPerTTL/2)
	}
	l.schedule(now, l.next, d)
}

// schedule sets the next action and its time after the delay d, of which up to a
// quarter is randomly left out.
func (l *Leaser) schedule(now time.Time, a Action, d time.Duration) {
	l.next = a
	l.notUntil = now.Add(d - time.Duration(l.Rand.Int64N(int64(d)/4+1)))
}
