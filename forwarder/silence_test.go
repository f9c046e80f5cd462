package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/kingcuphook/kingcuphook"
)

// The kernel ended the call of a sound upstream that had acknowledged nothing for 1.2 s.
func TestSilenceOfSoundUpstreamEndsNoCall(t *testing.T) {
	is := is.New(t)
	address := serveAfterSilence(t, 2500*time.Millisecond)
	f := &Forwarder{Codec: codec{}}
	defer f.Close()
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: address, Instance: "i-1"})
	answer, err := f.Call(t.Context(), u, attempt("POST", "/", strings.Repeat("x", 4<<20)))
	is.NoErr(err)
	is.Equal(string(answer.Body()), "done")
}

// serveAfterSilence starts an upstream that reads nothing of its first connection for the
// given time, and then answers one call. Only a few KB fit into the connection meanwhile, so
// that the rest of a long body is not acknowledged.
func serveAfterSilence(t *testing.T, silence time.Duration) (address string) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		time.Sleep(silence)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(c, reply("", "done"))
	}()
	return l.Addr().String()
}
