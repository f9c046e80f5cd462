package receiver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/listener"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// sendRefused begins a call that is refused before its body is read, and returns its connection once
// the refusal has come. The rest of the body is never sent.
func sendRefused(t *testing.T, r *harness, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	r.NoErr(err)
	_, err = fmt.Fprint(conn, "POST /nowhere HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nContent-Length: 1000000\r\n\r\nx")
	r.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.NoErr(err)
	r.NoErr(resp.Body.Close())
	r.Equal(resp.StatusCode, http.StatusNotFound)
	return conn
}

// While connections discarded refused bodies, for up to 5 s, those of new callers were refused.
func TestDiscardedBodiesLeaveRoomForNewConnections(t *testing.T) {
	const discards = 10
	r := newHarness(t, respondWith(http.StatusOK, "done"))
	r.Memory = &rationer.Rationer{Bytes: 14 * listener.ConnectionBytes} // connections may use 3/4 of it
	address := r.run(t)
	for range discards {
		defer sendRefused(t, r, address).Close()
	}
	r.Equal(r.Memory.Usage().Held/listener.ConnectionBytes, int64(discards))
	began := time.Now()
	for exchange(t, address, headStart+"Content-Length: 2\r\n\r\nok").StatusCode != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
	}
	r.True(time.Since(began) < 2*time.Second)
	for range discards { // each takes the place of a discard
		r.Equal(exchange(t, address, headStart+"Content-Length: 2\r\n\r\nok").StatusCode, http.StatusOK)
	}
	r.True(r.Memory.Usage().Peak <= r.Memory.Bytes)
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
