package forwarder

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// A stream whose upstream leaves the rest of the body unread was cut by the user timeout.
func TestStreamOutlivesUnreadBody(t *testing.T) {
	const length = 2 * userTimeout
	u, _ := serveEarly(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", func(c *net.TCPConn) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(length / 20) {
			_, _ = io.WriteString(c, "9\r\ndata: x\n\n\r\n")
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		time.Sleep(time.Second)
	})
	f := &Forwarder{Codec: codec{}, DialTimeout: 5 * time.Second}
	defer f.Close()
	begun := time.Now()
	s, err := f.Start(t.Context(), u, attempt("POST", "/", strings.Repeat("b", 4*longEarlyBody)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	frame, err := s.Next(t.Context())
	for err == nil && frame.Kind() == kingcuphook.FrameKindData {
		frame, err = s.Next(t.Context())
	}
	if err != nil {
		t.Errorf("cut after %v: %v", time.Since(begun), err)
	}
}
