package forwarder

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// An answer that came before the end of a long body was lost behind a peer as well.
func TestRelayedAnswerBeforeEndOfBodyIsNotLost(t *testing.T) {
	for name, want := range earlyAnswers() {
		for endName, end := range earlyEnds {
			t.Run(fmt.Sprintf("%s/%s", name, endName), func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				u, calls := serveEarly(t, want.text, end)
				const runs = 3
				for range runs {
					checkEarlyOn(ctx, t, newRelayed(t, u, soundPeer), u, want, longEarlyBody)
				}
				if n := calls.Load(); n != runs {
					t.Errorf("%d calls were sent %d times", runs, n)
				}
			})
		}
	}
}
