package server

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/listener"
	"github.com/kingcuphook/kingcuphook/rationer"
)

const wholeHead = "POST /redeem HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"

// dialer opens connections to a server, with TLS or without.
type dialer func() (net.Conn, error)

// serveWithBudget starts a server with a memory budget and returns it with its dialer.
func serveWithBudget(t *testing.T, bytes int64, overTLS bool) (*Server, dialer) {
	t.Helper()
	limits := Limits{MaxBodyBytes: 1 << 10, MaxHeaderBytes: 32 << 10, HeaderTimeout: time.Minute, Deadline: time.Minute, WriteTimeout: time.Second}
	s := &Server{Dispatcher: answerDone(), Tables: testTables, Memory: &rationer.Rationer{Bytes: bytes}, Limits: limits}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	dial := func() (net.Conn, error) { return net.Dial("tcp", address) }
	if overTLS {
		pair := httptest.NewUnstartedServer(nil)
		pair.StartTLS()
		pair.Close()
		s.TLS = &tls.Config{Certificates: pair.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}}
		dial = func() (net.Conn, error) { return tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true}) }
	}
	run(t, s, l)
	return s, dial
}

// exchange sends text on a new connection and returns the status; 0 if the connection is closed unread.
func (d dialer) exchange(text string) int {
	conn, err := d()
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprint(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Heads of many slow callers were in no budget of serve.
func TestHeadsDoNotExceedBudget(t *testing.T) {
	const budget, heads = 2 << 20, 40
	is := is.New(t)
	s, dial := serveWithBudget(t, budget, false)
	unfinished := strings.TrimSuffix(wholeHead, "\r\n") + strings.Repeat("X-A: a\r\n", 600)
	for range heads {
		conn, err := dial()
		is.NoErr(err)
		defer conn.Close()
		_, _ = fmt.Fprint(conn, unfinished)
	}
	waitUntil(t, func() bool { return s.Memory.Usage().Refused > 0 })
	is.True(s.Memory.Usage().Held > budget/2)
	is.True(s.Memory.Usage().Peak <= budget)
	is.True(dial.exchange(unfinished) != http.StatusOK)
}

// A connection that hides TLS from the HTTP server broke callers that had negotiated HTTP/2.
func TestCallersOverTLSSpeakHTTP2(t *testing.T) {
	is := is.New(t)
	s, dial := serveWithBudget(t, 2<<20, true)
	conn, err := dial()
	is.NoErr(err)
	is.NoErr(conn.Close())
	transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	client := &http.Client{Transport: transport}
	resp, err := client.Post("https://"+conn.RemoteAddr().String()+"/redeem", "text/plain", strings.NewReader("x"))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.ProtoMajor, 2)
	waitUntil(t, func() bool { return s.Memory.Usage().Held == listener.Bytes(true) })
	transport.CloseIdleConnections()
	waitUntil(t, func() bool { return s.Memory.Usage().Held == 0 })
}

// Connections were in no budget of serve.
func TestConnectionsDrawOnBudget(t *testing.T) {
	const connections = 10
	for _, overTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("tls=%v", overTLS), func(t *testing.T) {
			is := is.New(t)
			each := listener.Bytes(overTLS)
			s, dial := serveWithBudget(t, 14*each, overTLS) // connections may use 3/4 of it
			held := make([]net.Conn, 0, connections)
			for range connections {
				conn, err := dial()
				is.NoErr(err)
				held = append(held, conn)
			}
			waitUntil(t, func() bool { return s.Memory.Usage().Held == connections*each })
			is.True(dial.exchange(wholeHead) != http.StatusOK)
			for _, conn := range held { // there is room for requests on the connections
				_, err := fmt.Fprint(conn, wholeHead)
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				is.Equal(resp.StatusCode, http.StatusOK)
				is.NoErr(conn.Close())
			}
			waitUntil(t, func() bool { return s.Memory.Usage().Held == 0 })
			is.Equal(dial.exchange(wholeHead), http.StatusOK)
		})
	}
}

func waitUntil(t *testing.T, f func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("timed out")
		}
	}
}
