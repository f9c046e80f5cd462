package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
)

// checkParts returns an error if a part of the prompt is quarantined. An attempt that it lets
// through on trial is not checked again.
func (r *run) checkParts() error {
	if r.onTrial {
		return nil
	}
	verdict, part := r.d.Isolator.Check(time.Now(), r.request.Parts())
	switch verdict {
	case isolator.VerdictTrial:
		r.onTrial = true
		return nil
	case isolator.VerdictQuarantined:
		return &finalError{&kingcuphook.RequestError{
			Code:       codeQuarantined,
			Ran:        r.tracker.RunState(),
			RetryAfter: partRetryAfter,
			Err:        fmt.Errorf("dispatcher: prompt part %s crashes upstreams: %w", isolator.FormatPart(part), kingcuphook.ErrQuarantined),
		}}
	default:
		return nil
	}
}

// recordBroken records a failed attempt with the isolator, and reports whether the request
// may have crashed the upstream.
func (r *run) recordBroken(a *isolator.Attempt, u *kingcuphook.Upstream, err error) bool {
	now := time.Now()
	switch {
	case errors.Is(err, errPreempted), errors.Is(err, kingcuphook.ErrPathLost):
		return false
	case errors.Is(err, kingcuphook.ErrNotSent):
		r.d.Isolator.RecordCrash(now, u)
		return false
	case errors.Is(err, errUnresponsive) || isCrash(err) && !errors.Is(err, kingcuphook.ErrUnavailable):
		return a.BrokenOff(now)
	default:
		return false
	}
}
