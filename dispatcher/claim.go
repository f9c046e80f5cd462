package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/claimer"
	"github.com/kingcuphook/kingcuphook/tracker"
)

// needsClaim reports whether a request needs an idempotency claim before it is
// dispatched.
func needsClaim(r *kingcuphook.Request) bool { return r.NonIdempotent() && r.IdempotencyKey() != "" }

// claim acquires the idempotency claim of the call. If an earlier call holds it,
// claim replays its stored outcome or returns an error.
func (r *run) claim(ctx context.Context) (kingcuphook.Outcome, error) {
	if r.d.Claimer == nil {
		return kingcuphook.Outcome{}, claimError(codeClaimsUnavailable, 0, kingcuphook.ErrUnavailable)
	}
	h := claimer.HashOf(r.request.Organisation(), r.request.IdempotencyKey())
	t, err := r.d.Claimer.Claim(ctx, h, r.request.Fingerprint())
	if err != nil {
		return kingcuphook.Outcome{}, claimFailure(ctx, err)
	}
	if t.Held() {
		r.ticket = t
		return kingcuphook.Outcome{}, r.tracker.Apply(tracker.EventClaim)
	}
	if t.Fingerprint() != r.request.Fingerprint() {
		return kingcuphook.Outcome{}, claimError(kingcuphook.CodeKeyReused, 0, kingcuphook.ErrConflict)
	}
	stored, ok := t.Outcome()
	if !ok {
		return kingcuphook.Outcome{}, claimError(kingcuphook.CodeAlreadyClaimed, claimedRetryAfter, kingcuphook.ErrOutcomeUnknown)
	}
	return r.replay(stored)
}

// claimFailure returns the error for a call whose claim could not be written or
// read. The call itself was not run, but an earlier call with the same key may
// have been, so the run state is unknown.
func claimFailure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return claimError(codeClaimsUnavailable, claimsRetryAfter, err)
}

func claimError(code string, after time.Duration, err error) error {
	return &kingcuphook.RequestError{
		Code:       code,
		Ran:        kingcuphook.RunStateUnknown,
		RetryAfter: after,
		Err:        fmt.Errorf("dispatcher: claim: %w", err),
	}
}

// replay returns the stored outcome of an earlier call with the same key.
func (r *run) replay(o claimer.Outcome) (kingcuphook.Outcome, error) {
	if err := r.tracker.Apply(tracker.EventReplay); err != nil {
		return kingcuphook.Outcome{}, err
	}
	r.replayed = true
	if r.call.Kind == kingcuphook.UpstreamKindService {
		answer := kingcuphook.NewAnswer(o.Status, o.ContentType, o.Body)
		return kingcuphook.Outcome{Answer: answer, Replayed: true}, nil
	}
	out := kingcuphook.Outcome{Finish: o.Finish, Tokens: o.Tokens, Replayed: true}
	return out, r.write(string(o.Body))
}

// storeOutcome stores the outcome of a call that holds a claim, for replays.
func (r *run) storeOutcome(out kingcuphook.Outcome) {
	if !r.ticket.Held() {
		return
	}
	o := claimer.Outcome{Finish: out.Finish, Tokens: out.Tokens, Body: []byte(r.answer.Text())}
	if r.call.Kind == kingcuphook.UpstreamKindService {
		a := out.Answer
		o = claimer.Outcome{Status: a.Status(), ContentType: a.ContentType(), Body: a.Body()}
	}
	r.d.Claimer.StoreOutcome(r.ticket, o)
}
