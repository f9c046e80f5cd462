package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
)

// maxTrialWait is how long the request of a trial of a part may wait for a slot. It is far below
// the time between two trials, so that no two run at once.
const maxTrialWait = time.Minute

// partTrial is the trial of a quarantined part that an attempt runs.
type partTrial struct {
	// part is the hash of the part.
	part uint64
	// begun is when the isolator let the attempt through.
	begun time.Time
}

// checkParts returns an error if a part of the prompt is quarantined. An attempt that runs a
// trial is not checked again for maxTrialWait.
func (r *run) checkParts() error {
	now := time.Now()
	if r.partTrial != nil && now.Sub(r.partTrial.begun) < maxTrialWait {
		return nil
	}
	verdict, part := r.d.Isolator.Check(now, r.request.Parts())
	switch verdict {
	case isolator.VerdictTrial:
		r.partTrial = &partTrial{part: part, begun: now}
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

// endPartTrial ends the trial of a part, if the attempt that ended with err ran one.
func (r *run) endPartTrial(err error) {
	if r.partTrial == nil {
		return
	}
	r.d.Isolator.EndTrial(time.Now(), r.partTrial.part, !errors.Is(err, kingcuphook.ErrUnavailable))
	r.partTrial = nil
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
