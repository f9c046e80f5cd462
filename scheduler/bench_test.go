package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/admitter"
	"github.com/kingcuphook/kingcuphook/limiter"
	"github.com/kingcuphook/kingcuphook/preemptor"
	"github.com/kingcuphook/kingcuphook/selector"
)

// BenchmarkAssign measures the end of one request, the arrival of another and the
// following call of Assign, with the real selector and limiter, by the number of
// upstreams, all of them full, and of queued requests.
func BenchmarkAssign(b *testing.B) {
	for _, upstreams := range []int{12, 600} {
		for _, waiting := range []int{0, 10_000} {
			b.Run(fmt.Sprintf("%d-upstreams/%d-waiting", upstreams, waiting), func(b *testing.B) {
				benchmarkAssign(b, upstreams, waiting)
			})
		}
	}
}

func benchmarkAssign(b *testing.B, upstreams, waiting int) {
	s := &Scheduler{
		Admitter:  &admitter.Admitter{},
		Limiter:   &limiter.Limiter{},
		Selector:  &selector.Selector{},
		Preemptor: &preemptor.Preemptor{},
	}
	f := kingcuphook.PoolFields{Name: "pool", MaxQueued: 2*waiting + 1000}
	for i := range upstreams {
		f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(engine(fmt.Sprint("10.0.0.", i, ":80"), 4)))
	}
	s.Update(start, kingcuphook.NewPool(f))
	n := 0
	offer := func(now time.Time) {
		n++
		s.Offer(now, kingcuphook.NewRequest(kingcuphook.RequestFields{
			ID: fmt.Sprint(n), Tier: 1, Class: "till", Organisation: fmt.Sprint(n % 10), Arrived: now, PromptTokens: 1000,
		}))
	}
	var running []kingcuphook.Assignment
	for range 4*upstreams + waiting {
		offer(start)
	}
	running, _ = s.Assign(start)
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		if len(running) > 0 {
			ended := running[0]
			running = running[1:]
			s.Finished(now, ended.Choice.Upstream.Address(), ended.Request, kingcuphook.Sample{Tokens: 100, FirstToken: time.Millisecond})
		}
		offer(now)
		assignments, _ := s.Assign(now)
		running = append(running, assignments...)
	}
}
