package server

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendSlowly sends a call with a head line and a body of 1 MiB, and returns its status once the body is sent.
func sendSlowly(url, path, line string, chunked bool) (int, error) {
	const pieces, pieceBytes = 16, 64 << 10
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	length, piece := fmt.Sprintf("Content-Length: %d", pieces*pieceBytes), strings.Repeat("x", pieceBytes)
	if chunked {
		length, piece = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, piece)
	}
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\n%s\r\n%s\r\n\r\n", path, line, length); err != nil {
		return 0, err
	}
	for range pieces {
		time.Sleep(100 * time.Millisecond)
		if _, err := conn.Write([]byte(piece)); err != nil {
			return 0, err
		}
	}
	if chunked {
		_, _ = conn.Write([]byte("0\r\n\r\n"))
	}
	answers := bufio.NewReader(conn)
	resp, err := http.ReadResponse(answers, nil)
	if err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(answers, nil)
	}
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Refusals of calls whose bodies were still being sent were lost, since the connection was reset.
func TestRefusalsReachCallersThatAreSendingBodies(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for name, test := range map[string]struct {
			path, line string
			status     int
		}{
			"malformed header": {"/redeem", HeaderDeadline + ": -5s", http.StatusBadRequest},
			"unclean path":     {"/redeem/../admin", "X-A: a", http.StatusBadRequest},
			"too large":        {"/redeem", "X-A: a", http.StatusRequestEntityTooLarge},
		} {
			t.Run(fmt.Sprintf("%s/chunked=%v", name, chunked), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				limits := Limits{MaxBodyBytes: 128 << 10, Deadline: time.Minute, ReadTimeout: time.Minute, WriteTimeout: time.Second}
				_, url := serve(t, failOnDispatch(t), limits)
				status, err := sendSlowly(url, test.path, test.line, chunked)
				is.NoErr(err)
				is.Equal(status, test.status)
			})
		}
	}
}

// Refusals for want of a place, or late in a planned stop, were lost in the same way.
func TestRefusalsBeforeHeadersReachCallersThatAreSendingBodies(t *testing.T) {
	for name, setUp := range map[string]func(s *Server){
		"too many requests": func(s *Server) { s.open.Add(int64(s.Limits.MaxRequests)) },
		"stopping":          func(s *Server) { s.closed.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			limits := Limits{MaxBodyBytes: 4 << 20, MaxRequests: 1, Deadline: time.Minute, ReadTimeout: time.Minute, WriteTimeout: time.Second}
			_, url := serve(t, failOnDispatch(t), limits, setUp)
			status, err := sendSlowly(url, "/redeem", "X-A: a", false)
			is.NoErr(err)
			is.Equal(status, http.StatusServiceUnavailable)
		})
	}
}

// The refusal of a request whose body exceeded the read timeout was lost, since its connection was reset.
func TestRefusalReachesCallerThatIsSendingLate(t *testing.T) {
	for _, line := range []string{"X-A: a", "Expect: 100-continue"} {
		is := is.New(t)
		limits := Limits{MaxBodyBytes: 4 << 20, Deadline: time.Minute, ReadTimeout: 300 * time.Millisecond, WriteTimeout: time.Second}
		_, url := serve(t, failOnDispatch(t), limits)
		status, err := sendSlowly(url, "/redeem", line, false)
		is.NoErr(err)
		is.Equal(status, http.StatusBadRequest)
	}
}

// Requests that were refused, and whose bodies were being discarded, counted as open for up to 5 s.
func TestDiscardedBodiesAreNoOpenRequests(t *testing.T) {
	is := is.New(t)
	s, url := serve(t, answerDone(), Limits{MaxBodyBytes: 1 << 10, MaxRequests: 1, Deadline: time.Minute, WriteTimeout: time.Second})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /redeem HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000000\r\n\r\n%s", strings.Repeat("x", 2<<10))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	waitUntil(t, func() bool { return s.discards.Running() == 1 })
	status, _, _ := send(t, url+"/redeem", "x")
	is.Equal(status, http.StatusOK)
}
