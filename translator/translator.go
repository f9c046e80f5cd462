// Package translator converts the errors of the key-value store to gRPC statuses and
// back, so that client and server agree on the effect of a failed call.
package translator

import (
	"context"
	"errors"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/kingcuphook/kingcuphook"
)

const domain = "kingcuphook"

// translation maps a sentinel error to the reason and code that represent it in a gRPC
// status.
type translation struct {
	err    error
	reason string
	code   codes.Code
}

var translations = []translation{
	{kingcuphook.ErrNotFound, "not-found", codes.NotFound},
	{kingcuphook.ErrConflict, "conflict", codes.Aborted},
	{kingcuphook.ErrRateLimited, "rate-limited", codes.ResourceExhausted},
	{kingcuphook.ErrTooLarge, "too-large", codes.InvalidArgument},
	{kingcuphook.ErrCompacted, "compacted", codes.OutOfRange},
	{kingcuphook.ErrLeaseLost, "lease-lost", codes.FailedPrecondition},
	{kingcuphook.ErrUnavailable, "unavailable", codes.Unavailable},
	{kingcuphook.ErrOutcomeUnknown, "outcome-unknown", codes.Unknown},
}

// Status returns the gRPC status error for err. An error that wraps no sentinel error
// gets the code Unknown and no reason.
func Status(err error) error {
	for _, t := range translations {
		if errors.Is(err, t.err) {
			return withReason(t, err)
		}
	}
	return status.Error(codes.Unknown, err.Error())
}

func withReason(t translation, err error) error {
	s := status.New(t.code, err.Error())
	detailed, detailErr := s.WithDetails(&errdetails.ErrorInfo{Reason: t.reason, Domain: domain})
	if detailErr != nil {
		return s.Err()
	}
	return detailed.Err()
}

// Sentinel returns the sentinel error that a gRPC error represents. An error without a
// known reason means that the call or its reply was lost: the result is ErrOutcomeUnknown
// if changes is true, which means that the call modifies something. Otherwise it is the
// error of ctx, or ErrUnavailable if ctx is still active.
func Sentinel(ctx context.Context, err error, changes bool) error {
	for _, detail := range status.Convert(err).Details() {
		info, ok := detail.(*errdetails.ErrorInfo)
		if !ok || info.GetDomain() != domain {
			continue
		}
		for _, t := range translations {
			if t.reason == info.GetReason() {
				return t.err
			}
		}
	}
	if changes {
		return kingcuphook.ErrOutcomeUnknown
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return kingcuphook.ErrUnavailable
}
