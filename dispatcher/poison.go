package dispatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/quarantiner"
)

// judgeInterval is the time between two looks at a call that must wait because
// it is a suspect.
const judgeInterval = 100 * time.Millisecond

// crashed notes that the upstream of the call crashed, and lets the peers know
// before the call is tried again or its caller can send it again.
func (r *run) crashed(ctx context.Context, u *kingcuphook.Upstream) {
	r.d.count(func(n *Counts) { n.Crashes++ })
	r.d.Quarantiner.RecordCrash(time.Now(), r.request.Fingerprint(), u.Address())
	r.d.share(ctx)
}

// share tells the peers of the suspects and returns when they know, or after a
// bounded time.
func (d *Dispatcher) share(ctx context.Context) {
	if d.Share == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.Limits.ShareWait)
	defer cancel()
	d.Share(ctx)
}

// judge waits until the call may run, and reports whether it is a suspect.
func (r *run) judge(ctx context.Context) (bool, error) {
	until := time.Now().Add(r.d.Limits.HoldWait)
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
				Ran:        r.tracker.Says(),
				RetryAfter: suspectRetryAfter,
				Err:        fmt.Errorf("dispatcher: suspect of crashes: %w", kingcuphook.ErrUnavailable),
			}
		}
		if !pauser.Pause(ctx, judgeInterval) {
			return false, ctx.Err()
		}
	}
}
