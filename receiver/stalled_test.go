package receiver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// newRefusingHarness serves a Receiver without any route, and connects to it.
func newRefusingHarness(t *testing.T) net.Conn {
	t.Helper()
	r := newMemoryHarness(t, respondWith(http.StatusOK, "done"))
	r.Directory = func() Directory { return Directory{Tables: kingcuphook.NewTables(2, nil, nil)} }
	conn, err := net.Dial("tcp", r.address())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	return conn
}

// A refused call whose short body never came was held without an answer until its caller left.
func TestRefusalsReachCallersWhoseShortBodiesStall(t *testing.T) {
	is := is.New(t)
	conn := newRefusingHarness(t)
	_, err := fmt.Fprint(conn, "POST /v1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.NoErr(resp.Body.Close())
}

func TestConnectionIsKeptAfterRefusalOfShortBody(t *testing.T) {
	is := is.New(t)
	conn := newRefusingHarness(t)
	answers := bufio.NewReader(conn)
	for range 3 {
		_, err := fmt.Fprint(conn, "POST /v1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\n")
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond) // the call is refused meanwhile
		_, err = fmt.Fprint(conn, strings.Repeat("x", 100))
		is.NoErr(err)
		resp, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusNotFound)
		is.True(!resp.Close)
		is.NoErr(resp.Body.Close())
	}
}
