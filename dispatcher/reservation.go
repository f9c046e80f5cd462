package dispatcher

import (
	"slices"
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
		v.held = &delay
	}
	return ok
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
	excluded := append(slices.Concat(r.cannotResume, r.failed), slot.Choice().Upstream.Address())
	return func(received bool) bool {
		resumes := r.request.Stream() && (partial || received)
		if n >= r.maxAttempts() || r.d.HasVacancy != nil && !r.d.HasVacancy(r.request, excluded, resumes) {
			return false
		}
		return r.reserved.reserve(func() (time.Duration, bool) { return r.d.spend(r.request, time.Now(), max(n, 1)) })
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
		r.d.refund(r.request, time.Now())
	}
}
