package discarder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

const (
	start      = "POST / HTTP/1.1\r\nHost: a.example\r\n"
	longLength = maxPostHandlerBytes + 1
)

// serve refuses all requests with err and returns a connection to the server.
func serve(t *testing.T, d *Discarder, err error) (net.Conn, *bufio.Reader) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Track(r)
		d.Refuse(r.Context(), w, r, err, func() {
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}))
	t.Cleanup(server.Close)
	conn, dialErr := net.Dial("tcp", server.Listener.Addr().String())
	if dialErr != nil {
		t.Fatal(dialErr)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second)) // less than timeout
	return conn, bufio.NewReader(conn)
}

// A refusal must arrive although the body is not sent to its end, and the connection be kept only if the body
// was read.
func TestRefusalArrives(t *testing.T) {
	refused := errors.New("refused")
	for name, test := range map[string]struct {
		err     error
		request string
		isKept  bool
	}{
		"no body":              {refused, start + "\r\n", true},
		"whole body":           {refused, start + "Content-Length: 2\r\n\r\nok", true},
		"part of a short body": {refused, start + "Content-Length: 2\r\n\r\no", false},
		"part of a long body":  {refused, start + fmt.Sprintf("Content-Length: %d\r\n\r\no", longLength), false},
		"chunked body":         {refused, start + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n", false},
		"out of memory":        {kingcuphook.ErrOutOfMemory, start + "Content-Length: 2\r\n\r\nok", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn, r := serve(t, &Discarder{}, test.err)
			_, err := io.WriteString(conn, test.request)
			is.NoErr(err)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.Equal(resp.Close, !test.isKept)
		})
	}
}

// EndOldest must leave a discard time for its refusal to arrive, and then close its connection at once.
func TestEndOldestClosesConnection(t *testing.T) {
	is := is.New(t)
	var d Discarder
	is.True(!d.EndOldest()) // there is none
	conn, r := serve(t, &d, errors.New("refused"))
	sent := time.Now()
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\no", start, longLength)
	is.NoErr(err)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	for d.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	for !d.EndOldest() {
		is.True(time.Since(sent) < timeout)
		time.Sleep(time.Millisecond)
	}
	is.True(time.Since(sent) >= minTime)
	is.Equal(d.Running(), 0)
	_, err = io.Copy(io.Discard, r) // until the connection is closed
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
}

func TestCallerAwaitsRequestForBodyUntilItIsRead(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
	Track(r)
	is.True(!isAwaiting(r))
	r.Header.Set("Expect", "100-continue")
	is.True(isAwaiting(r)) // not tracked
	Track(r)
	is.True(isAwaiting(r))
	_, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.True(!isAwaiting(r))
}
