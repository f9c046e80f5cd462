package receiver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/listener"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// refusedStart begins a call that is refused before its body is read.
const refusedStart = "POST /nowhere HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nContent-Length: 1000000\r\n\r\nx"

// pipes is a listener of connections in memory, which a test in virtual time can wait for.
type pipes struct {
	conns chan net.Conn
	once  sync.Once
	ended chan struct{}
}

// pipe is a connection in memory.
type pipe struct{ net.Conn }

// CloseWrite does nothing: the response of a test states its length.
func (pipe) CloseWrite() error { return nil }

// Accept implements net.Listener.
func (l *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return pipe{c}, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipes) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

// Addr implements net.Listener.
func (l *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// send sends text on a new connection and returns the status of the response. The connection stays open
// until the test ends.
func (l *pipes) send(t *testing.T, text string) int {
	t.Helper()
	r := is.New(t)
	conn, server := net.Pipe()
	t.Cleanup(func() { conn.Close() })
	l.conns <- server
	synctest.Wait() // until a discard that makes room has ended
	_, err := conn.Write([]byte(text))
	r.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.NoErr(err)
	r.NoErr(resp.Body.Close())
	return resp.StatusCode
}

// While connections discarded refused bodies, for up to 5 s, those of new callers were refused.
func TestDiscardedBodiesLeaveRoomForNewConnections(t *testing.T) {
	const (
		discards = 10
		interval = 20 * time.Millisecond  // between their starts
		minTime  = 500 * time.Millisecond // of a discard
	)
	r := newHarness(t, respondWith(http.StatusOK, "done"))
	r.Memory = &rationer.Rationer{Bytes: 14 * listener.ConnectionBytes} // connections may use 3/4 of it
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &pipes{conns: make(chan net.Conn), ended: make(chan struct{})}
		r.serve(t, l)
		began := time.Now()
		for range discards {
			is.Equal(l.send(t, refusedStart), http.StatusNotFound)
			time.Sleep(interval)
		}
		is.Equal(r.Memory.Usage().Held/listener.ConnectionBytes, int64(discards))
		time.Sleep(time.Until(began.Add(minTime - time.Millisecond)))
		is.Equal(l.send(t, headStart+"Content-Length: 2\r\n\r\nok"), http.StatusServiceUnavailable) // all are young
		for i := range discards {                                                                   // each takes the place of a discard that is old enough
			due := began.Add(time.Duration(i)*interval + minTime)
			time.Sleep(time.Until(due))
			is.Equal(l.send(t, headStart+"Content-Length: 2\r\n\r\nok"), http.StatusOK)
		}
		synctest.Wait()
		is.Equal(r.Memory.Usage().Held/listener.ConnectionBytes, int64(discards))
		is.Equal(l.send(t, headStart+"Content-Length: 2\r\n\r\nok"), http.StatusServiceUnavailable) // none is left
		is.True(r.Memory.Usage().Peak <= r.Memory.Bytes)
	})
}

// What was read of a refused body kept its memory while the rest was discarded, for up to 5 s.
func TestRefusedBodyReturnsItsMemory(t *testing.T) {
	r := newMemoryHarness(t, respondWith(http.StatusOK, "done"))
	conn, err := net.Dial("tcp", r.address())
	r.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /plain/ HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s",
		4*largeBytes, strings.Repeat("x", 2*largeBytes+1)) // a byte more than the limit
	r.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.NoErr(err)
	r.NoErr(resp.Body.Close())
	r.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	began := time.Now()
	waitUntil(t, func() bool { return r.Memory.Usage().Held < rationer.SmallBytes })
	r.True(time.Since(began) < time.Second)
	r.Equal(r.InFlight(), 1) // the rest is still discarded
}
