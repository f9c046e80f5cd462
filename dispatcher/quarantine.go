package dispatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/quarantiner"
)

// verdictInterval is the interval at which the verdict on a suspect that must wait
// is checked again.
const verdictInterval = 100 * time.Millisecond

// recordCrash records that the upstream crashed while it ran the call, and shares
// this with the peers before the call is retried here or resent by its caller. An opaque
// call is no suspect of the crash if the upstream had gone on after it began the answer.
func (r *run) recordCrash(ctx context.Context, u *kingcuphook.Upstream, suspect bool) {
	r.d.count(func(n *Counts) { n.Crashes++ })
	if !suspect && r.call.Opaque != nil {
		return
	}
	r.d.Quarantiner.RecordCrash(time.Now(), r.request.Fingerprint(), isolator.FormatProgram(u.Program()))
	if r.d.OnCrash != nil {
		r.d.OnCrash(r.request, u)
	}
	r.d.notifyPeers(ctx)
}

// notifyPeers calls ShareSuspects with a timeout of Limits.ShareTimeout.
func (d *Dispatcher) notifyPeers(ctx context.Context) {
	if d.ShareSuspects == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.Limits.ShareTimeout)
	defer cancel()
	d.ShareSuspects(ctx)
}

// awaitVerdict waits while the quarantiner holds the call, and reports whether the
// call is suspected of crashing upstreams. It returns an error for a quarantined
// call, or if the call is still held after Limits.HoldTimeout.
func (r *run) awaitVerdict(ctx context.Context) (bool, error) {
	until := time.Now().Add(r.d.Limits.HoldTimeout)
	for {
		now := time.Now()
		switch r.d.Quarantiner.Check(now, r.request.Fingerprint()) {
		case quarantiner.VerdictClear:
			return false, nil
		case quarantiner.VerdictSuspect:
			return true, nil
		case quarantiner.VerdictQuarantined:
			return false, fmt.Errorf("dispatcher: body %016x: %w", r.request.Fingerprint(), kingcuphook.ErrQuarantined)
		}
		if !now.Before(until) {
			return false, &kingcuphook.RequestError{
				Code:       codeSuspect,
				Ran:        r.tracker.RunState(),
				RetryAfter: suspectRetryAfter,
				Err:        fmt.Errorf("dispatcher: suspect of crashes: %w", kingcuphook.ErrUnavailable),
			}
		}
		if !pauser.Pause(ctx, verdictInterval) {
			return false, ctx.Err()
		}
	}
}
