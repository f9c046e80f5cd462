package dispatcher_test

import (
	"context"
	"testing"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/dispatcher"
)

// instant is an engine without delays.
type instant struct{ frames int }

func (e instant) Start(_ context.Context, _ *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	return &instantStream{attempt: a.ID(), frames: e.frames}, nil
}

func (e instant) Call(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	return kingcuphook.NewAnswer(200, "text/plain", nil), nil
}

type instantStream struct {
	attempt string
	next    int
	frames  int
}

func (s *instantStream) Next(context.Context) (kingcuphook.Frame, error) {
	n := s.next
	s.next++
	switch {
	case n < s.frames:
		return kingcuphook.NewFrame(s.attempt, n, kingcuphook.FrameKindData, "token "), nil
	case n == s.frames:
		return kingcuphook.NewFrame(s.attempt, s.frames, kingcuphook.FrameKindFinish, "stop"), nil
	default:
		return kingcuphook.NewFrame(s.attempt, s.frames, kingcuphook.FrameKindEnd, ""), nil
	}
}

func (s *instantStream) Close() error { return nil }

// discard takes every frame.
type discard struct{}

func (discard) WriteData(string) error { return nil }

// BenchmarkDispatch runs calls of 1 and of 221 frames, so that the difference
// gives the cost of a frame.
func BenchmarkDispatch(b *testing.B) {
	for name, frames := range map[string]int{"frames=1": 1, "frames=221": 221} {
		b.Run(name, func(b *testing.B) {
			r := &rig{upstreams: []*kingcuphook.Upstream{kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "a", Resumes: true})}}
			d := &dispatcher.Dispatcher{Allocator: r, Engine: instant{frames}}
			c := &kingcuphook.Call{
				Kind:    kingcuphook.UpstreamKindEngine,
				Request: kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r", Stream: true, Fingerprint: 1}),
			}
			b.ReportAllocs()
			for b.Loop() {
				r.slots = r.slots[:0]
				if _, err := d.Dispatch(context.Background(), c, discard{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
