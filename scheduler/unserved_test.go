package scheduler

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// TestUnservedRequestIsShedBeforeItsDeadline guards against requests that wait until
// their deadline when all upstreams are leaving, or none serves their model.
func TestUnservedRequestIsShedBeforeItsDeadline(t *testing.T) {
	is := is.New(t)
	leaving := engine("a", 4)
	leaving.Leaving = true
	for _, p := range []*kingcuphook.Pool{pool(leaving), pool(engine("b", 4, "other"))} {
		s := newScheduler(engine("a", 4))
		s.Update(start, p)
		f := fields("0", 1)
		f.Model = "m"
		s.Offer(start, kingcuphook.NewRequest(f))
		_, sheds := s.Assign(start.Add(unservedWait - time.Millisecond))
		is.Equal(len(sheds), 0) // an upstream may still appear
		_, sheds = s.Assign(start.Add(unservedWait))
		is.Equal(len(sheds), 1)
		is.True(errors.Is(sheds[0].Err(), kingcuphook.ErrNoUpstream))
		is.True(sheds[0].RetryAfter() > 0)
		is.Equal(s.Len(), 0)
	}
}
