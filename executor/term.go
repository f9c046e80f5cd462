package executor

import "time"

// waitTTLs is how long a router that may have acted before waits until it acts again, in times-to-live of
// the lease. The duty must not go to another router and back within one of them.
const waitTTLs = 2

// term decides when this router may act as the holder of the lease. The times passed in have a
// monotonic clock reading.
type term struct {
	ttl time.Duration
	// acted is when this router last acted, or when it was started: a call of the process before it
	// may still have taken effect until then.
	acted time.Time
	// fence is the highest fencing number that this router has had; 0 before the first.
	fence int64
	// rejected is the highest one that the platform has rejected.
	rejected int64
	// from is when this router may act with fence.
	from time.Time
}

// eligibleAt returns when this router may act again with another fencing number than before.
func (t *term) eligibleAt() time.Time { return t.acted.Add(waitTTLs * t.ttl) }

// begin records that the lease is held with a fencing number. isGuarded is true if an earlier holder can't
// take itself for the holder any more, or the platform rejects its calls. begin reports whether the number
// is new.
func (t *term) begin(now time.Time, fence int64, isGuarded bool) bool {
	if fence <= t.fence {
		return false
	}
	t.fence = fence
	t.from = now
	if !isGuarded {
		t.from = now.Add(t.ttl)
	}
	if at := t.eligibleAt(); at.After(t.from) {
		t.from = at
	}
	return true
}

// mayAct reports whether the holder with a fencing number may act.
func (t *term) mayAct(now time.Time, fence int64) bool {
	return fence == t.fence && fence > t.rejected && !now.Before(t.from)
}

// act records that this router acted, and that its call may take effect for a while longer.
func (t *term) act(now time.Time, longer time.Duration) {
	if at := now.Add(longer); at.After(t.acted) {
		t.acted = at
	}
}

// reject records that the platform has rejected a fencing number.
func (t *term) reject(fence int64) { t.rejected = max(t.rejected, fence) }
