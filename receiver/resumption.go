package receiver

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

// retryVersionUnknown is the Retry-After of a call that resumes an unknown stream. Other
// routers, or this one a little later, may know it.
const retryVersionUnknown = 500 * time.Millisecond

// resumesStream reports whether the call resumes a stream that an earlier call began.
func (s *Receiver) resumesStream(l kingcuphook.CallLabels, route *kingcuphook.Route) bool {
	return s.Pins != nil && route.Stream() && route.Resumable() && (l.ResumeAfter != "" || l.Resumes != "")
}

// findOrigin returns where the stream began that the call resumes. The error is a
// *kingcuphook.RequestError: such a call is refused rather than sent to any upstream.
func (s *Receiver) findOrigin(ctx context.Context, l kingcuphook.CallLabels, organisation string, route *kingcuphook.Route) (kingcuphook.Origin, error) {
	began := time.Now()
	origin, err := s.queryOrigin(ctx, l, organisation, route)
	log := s.Log.With("request", l.ID, "route", route.Name(), "organisation", organisation,
		"resumes", clip(l.Resumes), "resume-after", clip(l.ResumeAfter),
		"pool", origin.Pool, "version", origin.Version, "took-ms", time.Since(began).Milliseconds())
	if err != nil {
		log.Log(logger.ResumptionRefused, "error", err)
		if errors.Is(context.Cause(ctx), kingcuphook.ErrStopping) {
			return kingcuphook.Origin{}, errStopping
		}
		return kingcuphook.Origin{}, originError(err)
	}
	log.Log(logger.StreamResumed)
	return origin, nil
}

// clip returns the start of a text of the caller, for the log.
func clip(text string) string { return text[:min(len(text), kingcuphook.MaxAttemptBytes)] }

// queryOrigin returns where the stream began, or a plain error.
func (s *Receiver) queryOrigin(ctx context.Context, l kingcuphook.CallLabels, organisation string, route *kingcuphook.Route) (kingcuphook.Origin, error) {
	if len(l.Resumes) > kingcuphook.MaxAttemptBytes {
		return kingcuphook.Origin{}, fmt.Errorf("receiver: attempt ID of %d bytes: %w", len(l.Resumes), kingcuphook.ErrVersionUnknown)
	}
	origin, err := s.Pins.Find(ctx, organisation, l.Resumes, poolFor(route, cmp.Or(l.Resumes, l.ID)))
	if err != nil {
		return kingcuphook.Origin{}, fmt.Errorf("receiver: %w", err)
	}
	if !route.MayUse(origin.Pool) {
		return origin, fmt.Errorf("receiver: the route has no pool %q: %w", origin.Pool, kingcuphook.ErrVersionGone)
	}
	return origin, nil
}

// originError returns the error for the caller of a call whose stream has no origin to
// continue at.
func originError(err error) error {
	if errors.Is(err, kingcuphook.ErrVersionGone) {
		return &kingcuphook.RequestError{Code: kingcuphook.CodeVersionGone, Ran: kingcuphook.RunStateNotRun, Err: err}
	}
	return &kingcuphook.RequestError{
		Code: kingcuphook.CodeVersionUnknown, Ran: kingcuphook.RunStateNotRun, RetryAfter: retryVersionUnknown, Err: err,
	}
}
