package dispatcher

import (
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// reservation is the retry that a call has spent from its budget and not made yet. An
// attempt is cancelled only for a retry that is reserved: many attempts fall silent at once,
// and the budget may allow a retry to few of them. It is safe for concurrent use.
type reservation struct {
	mu sync.Mutex
	// held is the reserved retry with its delay; nil if there is none.
	held *time.Duration
	// isMoving is set from the reservation until the call has another slot or ends.
	isMoving bool
}

// reserve reserves a retry with spend, unless one is held, and reports whether one is held.
func (v *reservation) reserve(spend func() (time.Duration, bool)) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.held != nil {
		return true
	}
	delay, ok := spend()
	if ok {
		v.held, v.isMoving = &delay, true
	}
	return ok
}

// endMove reports whether the call was moving, which ends.
func (v *reservation) endMove() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	wasMoving := v.isMoving
	v.isMoving = false
	return wasMoving
}

// take ends the reservation. It returns the delay before the retry and whether one was
// held.
func (v *reservation) take() (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.held == nil {
		return 0, false
	}
	delay := *v.held
	v.held = nil
	return delay, true
}

// retryReserver returns a function that reserves the retry for which the attempt on slot is
// to be cancelled. It reports false if no retry could follow. Its argument is set if data
// of the answer has come.
func (r *run) retryReserver(slot kingcuphook.Slot) func(received bool) bool {
	n, partial := r.attempts, r.answer.Position() > 0
	excluded := append(r.excluded(), slot.Choice().Upstream.Address())
	return func(received bool) bool {
		resumes := r.request.Stream() && (partial || received)
		if n >= r.maxAttempts() {
			return false
		}
		return r.reserved.reserve(func() (time.Duration, bool) { return r.d.spendMove(r.request, excluded, resumes, max(n, 1)) })
	}
}

// spendMove is like spend for a retry that needs a slot at once, beside the other calls that
// are moving.
func (d *Dispatcher) spendMove(r *kingcuphook.Request, excluded []string, resumes bool, n int) (time.Duration, bool) {
	moving := d.addMoving(r, 1)
	if d.HasVacancy == nil || d.HasVacancy(r, excluded, resumes, moving) {
		if delay, ok := d.spend(r, time.Now(), n); ok {
			return delay, true
		}
	}
	d.addMoving(r, -1)
	return 0, false
}

// addMoving adds n to the calls that are moving in the pool of r and returns their number.
func (d *Dispatcher) addMoving(r *kingcuphook.Request, n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.moving[r.Pool()] += n
	moving := d.moving[r.Pool()]
	if moving == 0 {
		delete(d.moving, r.Pool())
	}
	return moving
}

// endMove records that the call has another slot or needs none.
func (r *run) endMove() {
	if r.reserved.endMove() {
		r.d.addMoving(r.request, -1)
	}
}

// spendRetry uses the reserved retry, or spends one from the budget. It returns the delay
// before the retry and whether there is one.
func (r *run) spendRetry() (time.Duration, bool) {
	if delay, ok := r.reserved.take(); ok {
		return delay, true
	}
	return r.d.spend(r.request, time.Now(), max(r.attempts, 1))
}

// refundRetry returns the reserved retry to the budget if it was not made.
func (r *run) refundRetry() {
	if _, ok := r.reserved.take(); ok {
		r.endMove()
		r.d.refund(r.request, time.Now())
	}
}
