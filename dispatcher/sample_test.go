package dispatcher

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

func TestRejectionIsNotAnUpstreamFailure(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	is.True(!failedSample(ctx, kingcuphook.ErrRejected, kingcuphook.Sample{}).Failed)
	is.True(!failedSample(ctx, errors.Join(kingcuphook.ErrOutcomeUnknown, kingcuphook.ErrOutOfMemory), kingcuphook.Sample{}).Failed)
	is.True(failedSample(ctx, kingcuphook.ErrBrokenStream, kingcuphook.Sample{}).Failed)
}
