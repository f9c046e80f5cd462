package translator

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/kingcuphook/kingcuphook"
)

func TestSentinelRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, tr := range translations {
		err := Status(fmt.Errorf("wrapped: %w", tr.err))
		is.True(errors.Is(Sentinel(context.Background(), err, true), tr.err))
	}
}

// An error without a reason comes from the connection, not the store. A write may then
// have taken effect; a read may simply be repeated.
func TestErrorWithoutReasonIsUnknownForWritesOnly(t *testing.T) {
	is := is.New(t)
	lost := status.Error(codes.Unavailable, "connection reset")
	is.Equal(Sentinel(context.Background(), lost, true), kingcuphook.ErrOutcomeUnknown)
	is.Equal(Sentinel(context.Background(), lost, false), kingcuphook.ErrUnavailable)
}
