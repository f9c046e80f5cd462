package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/kingcuphook/kingcuphook"
)

// A broken stream looked complete to a caller of HTTP/1.0: its connection ended as after a whole one.
func TestFailedStreamOfHTTP10IsReset(t *testing.T) {
	r := newHarness(t, nil)
	r.Dispatcher = dispatchFunc(func(_ context.Context, _ *kingcuphook.Call, w kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
		head, ok := w.(kingcuphook.HeadWriter)
		r.True(ok)
		r.NoErr(head.WriteHead(kingcuphook.NewOpaqueAnswer(http.StatusOK, http.Header{}, nil)))
		r.NoErr(w.WriteData("data: 1\n\n"))
		return kingcuphook.Outcome{}, kingcuphook.ErrBrokenStream
	})
	c, err := net.Dial("tcp", r.run(t))
	r.NoErr(err)
	_, err = fmt.Fprint(c, "GET /stream/ HTTP/1.0\r\nHost: a.example\r\nX-Key: secret\r\n\r\n")
	r.NoErr(err)
	_, err = io.ReadAll(c)
	r.True(errors.Is(err, syscall.ECONNRESET))
	r.NoErr(c.Close())
}
