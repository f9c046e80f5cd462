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

func TestSentinelsSurviveTheWire(t *testing.T) {
	is := is.New(t)
	for _, tr := range translations {
		err := Status(fmt.Errorf("wrapped: %w", tr.err))
		is.True(errors.Is(Sentinel(context.Background(), err, true), tr.err))
	}
}

func TestUnnamedErrorIsUnknownForWritesOnly(t *testing.T) {
	is := is.New(t)
	lost := status.Error(codes.Unavailable, "connection reset")
	is.Equal(Sentinel(context.Background(), lost, true), kingcuphook.ErrOutcomeUnknown)
	is.Equal(Sentinel(context.Background(), lost, false), kingcuphook.ErrUnavailable)
}
