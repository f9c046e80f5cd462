package executor

import "time"

// Bounds of the delay after a failed call.
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// backoff delays calls after failed ones.
type backoff struct {
	delay time.Duration
	until time.Time
	// cause is the error of the last call; nil if it was answered.
	cause error
}

// failed records a failed call.
func (b *backoff) failed(now time.Time, cause error) {
	b.delay = min(max(2*b.delay, firstBackoff), maxBackoff)
	b.until = now.Add(b.delay)
	b.cause = cause
}

// answered records a call that the platform answered.
func (b *backoff) answered() { *b = backoff{} }

// pending returns the error of the last call if the delay after it has not passed, else nil.
func (b *backoff) pending(now time.Time) error {
	if !now.Before(b.until) {
		return nil
	}
	return b.cause
}
