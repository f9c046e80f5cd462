package receiver

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

// logBuffer is a log that is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// A panic closed the connection without a response, and the log had no event for it.
func TestPanicDoesNotLoseTheResponse(t *testing.T) {
	for _, streams := range []bool{false, true} {
		out := &logBuffer{}
		r := newHarness(t, func(_ context.Context, _ *kingcuphook.Call, w kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
			if streams {
				_ = w.(kingcuphook.HeadWriter).WriteHead(kingcuphook.NewOpaqueAnswer(http.StatusOK, http.Header{}, nil))
				_ = w.WriteData("id: 1\ndata: a\n\n")
			}
			panic("fault")
		})
		r.Log = logger.New(out, "logfmt", logger.LevelInfo)
		resp, text, err := r.call("/plain/", "")
		r.Equal(err != nil, streams) // a stream is aborted, so that it doesn't look complete
		if !streams {
			r.Equal(resp.StatusCode, http.StatusBadGateway)
			r.Equal(text, "internal\n")
		}
		r.True(strings.Contains(out.String(), "KCH1202"))
		r.True(strings.Contains(out.String(), "request=id-1"))
		r.True(strings.Contains(out.String(), "panic_test.go")) // the stack
		r.Equal(r.InFlight(), 0)
	}
}
