package dispatcher_test

import (
	"context"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/kingcuphook/kingcuphook"
)

// longStream is a stream of large events. At its end it has by how much the heap has grown.
type longStream struct {
	attempt      string
	next, events int
	before, grew int64
}

const longEventBytes = 32 << 10

func (s *longStream) Start(_ context.Context, _ *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	s.attempt, s.before = a.ID(), liveHeap()
	return s, nil
}

func (s *longStream) Call(context.Context, *kingcuphook.Upstream, *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	return kingcuphook.Answer{}, kingcuphook.ErrUnavailable
}

func (s *longStream) Next(context.Context) (kingcuphook.Frame, error) {
	n := s.next
	s.next++
	switch n - s.events {
	case 0:
		s.grew = liveHeap() - s.before
		return kingcuphook.NewFrame(s.attempt, s.events, kingcuphook.FrameKindFinish, "ended"), nil
	case 1:
		return kingcuphook.NewFrame(s.attempt, s.events, kingcuphook.FrameKindEnd, "ended"), nil
	}
	return kingcuphook.NewEventFrame(s.attempt, n, strconv.Itoa(n), strings.Repeat("x", longEventBytes)), nil
}

func (s *longStream) Close() error { return nil }

func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

type discarder struct{}

func (discarder) WriteData(string) error             { return nil }
func (discarder) WriteHead(kingcuphook.Answer) error { return nil }

// Each stream kept all events that its caller had, up to 4 MiB that were in no budget of memory.
func TestStreamKeepsNoDeliveredEvents(t *testing.T) {
	runTest(t, []bool{true, true}, func(r *harness) {
		s := &longStream{events: 100}
		r.Engine = s
		_, err := r.Dispatch(context.Background(), movableStream(), discarder{})
		r.NoErr(err)
		r.True(s.next > s.events)
		r.True(s.grew < 20*longEventBytes)
	})
}
