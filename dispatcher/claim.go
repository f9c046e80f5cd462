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

// claims reports whether a request needs a claim before it is dispatched.
func claims(r *kingcuphook.Request) bool { return r.NonIdempotent() && r.Key() != "" }

// claim takes the claim of the call, or ends the call with what is known of the
// one that has it.
func (r *run) claim(ctx context.Context) (kingcuphook.Outcome, error) {
	if r.d.Claimer == nil {
		return kingcuphook.Outcome{}, claimError(codeClaimsUnavailable, 0, kingcuphook.ErrUnavailable)
	}
	h := claimer.HashOf(r.request.Organisation(), r.request.Key())
	t, err := r.d.Claimer.Claim(ctx, h, r.request.Fingerprint())
	if err != nil {
		return kingcuphook.Outcome{}, unclaimed(ctx, err)
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

// unclaimed returns the error of a call whose claim the store did not answer.
// The call itself was not run, but an earlier call with the same key may have
// been, so the caller is told that the outcome is unknown.
func unclaimed(ctx context.Context, err error) error {
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

// replay answers with a stored outcome.
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

// settle stores the outcome of a claimed call beside its claim.
func (r *run) settle(out kingcuphook.Outcome) {
	if !r.ticket.Held() {
		return
	}
	o := claimer.Outcome{Finish: out.Finish, Tokens: out.Tokens, Body: []byte(r.answer.Text())}
	if r.call.Kind == kingcuphook.UpstreamKindService {
		a := out.Answer
		o = claimer.Outcome{Status: a.Status(), ContentType: a.ContentType(), Body: a.Body()}
	}
	r.d.Claimer.Settle(r.ticket, o)
}
