package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// unreachableEngine makes upstream a fall silent like silentEngine, and can't reach upstream b.
type unreachableEngine struct{ silentEngine }

func (e unreachableEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	if u.Address() == "b" {
		return nil, errUnsent
	}
	return e.silentEngine.Start(ctx, u, a)
}

// A stream was cut since the upstream of the one retry that the budget allowed could not be
// reached, although another one could.
func TestRetryThatWasNotSentIsStillReserved(t *testing.T) {
	runTest(t, []bool{true, true, true}, func(r *harness) {
		r.Engine = unreachableEngine{silentEngine{r.engine}}
		r.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Window{Slack: 1.25, Fleet: &retrier.Fleet{}} }
		c := &kingcuphook.Call{
			Request: kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "1", Fingerprint: 1, Stream: true}),
			Kind:    kingcuphook.UpstreamKindEngine,
			Opaque:  &kingcuphook.Opaque{MaxAttempts: 2, FirstByte: time.Second, Silence: 400 * time.Millisecond},
		}
		_, err := r.Dispatch(context.Background(), c, r)
		r.NoErr(err)
		r.Equal(len(r.engine.Runs()), 2)
	})
}
