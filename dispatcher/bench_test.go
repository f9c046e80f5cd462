package dispatcher_test

import (
	"context"
	"testing"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/dispatcher"
)

// instantEngine answers without delays.
type instantEngine struct{ frames int }

func (e instantEngine) Start(_ context.Context, _ *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	return &instantStream{attempt: a.ID(), frames: e.frames}, nil
}

func (e instantEngine) Call(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Answer, error) {
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

// discardWriter accepts every write.
type discardWriter struct{}

func (discardWriter) WriteData(string) error { return nil }

// BenchmarkDispatch runs calls with 1 and with 221 frames; the difference gives
// the cost per frame.
func BenchmarkDispatch(b *testing.B) {
	for name, frames := range map[string]int{"frames=1": 1, "frames=221": 221} {
		b.Run(name, func(b *testing.B) {
			r := &harness{upstreams: []*kingcuphook.Upstream{kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "a", Resumes: true})}}
			d := &dispatcher.Dispatcher{Allocator: r, Engine: instantEngine{frames}}
			c := &kingcuphook.Call{
				Kind:    kingcuphook.UpstreamKindEngine,
				Request: kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r", Stream: true, Fingerprint: 1}),
			}
			b.ReportAllocs()
			for b.Loop() {
				r.slots = r.slots[:0]
				if _, err := d.Dispatch(context.Background(), c, discardWriter{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
