package receiver

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// rawCall is a call that is written whole before its response is read.
type rawCall struct {
	id      string
	bytes   int
	chunked bool
	// pause is the time between two pieces of the body.
	pause time.Duration
	// deadline is the time that the call may take; empty means that of its route.
	deadline string
	// expects is true if the call asks for the status 100 before its body, which it sends in any case.
	expects bool
}

const (
	rawPieces  = 16
	largeBytes = 1 << 20
)

// send sends the call and returns its response.
func (c rawCall) send(address string) (reply, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return reply{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	length := fmt.Sprintf("Content-Length: %d", c.bytes)
	if c.chunked {
		length = "Transfer-Encoding: chunked"
	}
	if c.expects {
		length += "\r\nExpect: 100-continue"
	}
	if _, err := fmt.Fprintf(conn, "POST /plain/ HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Id: %s\r\nX-Deadline: %s\r\n%s\r\n\r\n", c.id, c.deadline, length); err != nil {
		return reply{}, err
	}
	piece := strings.Repeat("x", c.bytes/rawPieces)
	if c.chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	for range rawPieces {
		time.Sleep(c.pause)
		if _, err := conn.Write([]byte(piece)); err != nil {
			return reply{}, err
		}
	}
	if c.chunked {
		_, _ = conn.Write([]byte("0\r\n\r\n"))
	}
	answers := bufio.NewReader(conn)
	resp, err := http.ReadResponse(answers, nil)
	if err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(answers, nil)
	}
	if err != nil {
		return reply{}, err
	}
	return reply{StatusCode: resp.StatusCode, Header: resp.Header}, resp.Body.Close()
}

// newMemoryHarness serves a Receiver with a budget of eight large bodies.
func newMemoryHarness(t *testing.T, d dispatchFunc) *harness {
	t.Helper()
	r := newHarness(t, d)
	r.Memory = &rationer.Rationer{Bytes: 8 * largeBytes}
	current := tables()
	r.Directory = func() Directory { return Directory{Tables: current, MaxBodyBytes: 2 * largeBytes} }
	return r
}

func (r *harness) address() string { return strings.TrimPrefix(r.url, "http://") }

// Large bodies of many callers at once once took all the memory of the process.
func TestLargeBodiesDoNotExceedBudget(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(fmt.Sprintf("chunked=%v/pause=%v", chunked, pause), func(t *testing.T) {
				testLargeBodies(t, chunked, pause)
			})
		}
	}
}

func testLargeBodies(t *testing.T, chunked bool, pause time.Duration) {
	releasing := make(chan struct{})
	release := sync.OnceFunc(func() { close(releasing) })
	var ran sync.Map
	var held sync.WaitGroup
	r := newMemoryHarness(t, func(ctx context.Context, c *kingcuphook.Call, w kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
		ran.Store(c.Request.ID(), len(c.Body))
		if len(c.Body) >= largeBytes {
			<-releasing
		}
		return respondWith(http.StatusOK, "done")(ctx, c, w)
	})
	t.Cleanup(release)
	statuses := make(map[string]int)
	var mu sync.Mutex
	for i := range 24 {
		call := rawCall{id: fmt.Sprintf("large-%d", i), bytes: largeBytes, chunked: chunked, pause: pause}
		held.Go(func() {
			resp, err := call.send(r.address())
			if err != nil {
				t.Errorf("%s: %v", call.id, err)
				return
			}
			if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
				t.Errorf("%s: refused without Retry-After", call.id)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[call.id] = resp.StatusCode
		})
	}
	for i := range 40 {
		resp, err := rawCall{id: fmt.Sprintf("small-%d", i), bytes: 160, chunked: i%2 == 0}.send(r.address())
		r.NoErr(err)
		r.Equal(resp.StatusCode, http.StatusOK)
	}
	refused := func() bool { return r.Memory.Usage().Refused > 0 }
	waitUntil(t, refused)
	release()
	held.Wait()
	served := 0
	for id, status := range statuses {
		body, hasRun := ran.Load(id)
		r.Equal(hasRun, status == http.StatusOK)
		if hasRun {
			r.Equal(body, largeBytes)
			served++
		}
	}
	r.True(served > 0)
	waitUntil(t, func() bool { return r.Memory.Usage().Held == 0 })
	r.True(r.Memory.Usage().Peak <= r.Memory.Bytes)
}

func waitUntil(t *testing.T, f func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("timed out")
		}
	}
}

// A caller that sent its body slowly once kept its memory and its connection for ever.
func TestTricklingBodyEndsAtDeadline(t *testing.T) {
	is := is.New(t)
	r := newMemoryHarness(t, func(context.Context, *kingcuphook.Call, kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
		t.Error("dispatched")
		return kingcuphook.Outcome{}, kingcuphook.ErrNotFound
	})
	conn, err := net.Dial("tcp", r.address())
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /plain/ HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Deadline: 200ms\r\nContent-Length: 1000000\r\n\r\nx")
	is.NoErr(err)
	waitUntil(t, func() bool { return r.Memory.Usage().Held > largeBytes/2 })
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	waitUntil(t, func() bool { return r.Memory.Usage().Held == 0 })
}

func TestMemoryIsReturnedAfterPanicAndLeave(t *testing.T) {
	is := is.New(t)
	r := newMemoryHarness(t, func(ctx context.Context, c *kingcuphook.Call, _ kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
		if c.Request.ID() == "panic" {
			panic("test")
		}
		<-ctx.Done()
		return kingcuphook.Outcome{}, context.Cause(ctx)
	})
	resp, err := rawCall{id: "panic", bytes: largeBytes}.send(r.address())
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	conn, err := net.Dial("tcp", r.address())
	is.NoErr(err)
	_, err = fmt.Fprintf(conn, "POST /plain/ HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", 100_000))
	is.NoErr(err)
	waitUntil(t, func() bool { return r.Memory.Usage().Held >= 100_000 && r.InFlight() == 1 })
	is.NoErr(conn.Close())
	waitUntil(t, func() bool { return r.Memory.Usage().Held == 0 })
}

// Large answers were in no budget while callers were slow to read them.
func TestAnswersForSlowCallersAreCounted(t *testing.T) {
	is := is.New(t)
	const answerBytes = 24 * largeBytes // more than the buffers of a connection
	large := strings.Repeat("x", answerBytes)
	r := newMemoryHarness(t, func(ctx context.Context, c *kingcuphook.Call, w kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
		if c.Request.ID() == "slow" {
			return respondWith(http.StatusOK, large)(ctx, c, w)
		}
		return respondWith(http.StatusOK, "done")(ctx, c, w)
	})
	slow, err := net.Dial("tcp", r.address())
	is.NoErr(err)
	defer slow.Close()
	_, err = fmt.Fprint(slow, "POST /plain/ HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Id: slow\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	waitUntil(t, func() bool { return r.Memory.Usage().Held >= answerBytes })
	resp, err := rawCall{id: "large", bytes: largeBytes}.send(r.address())
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.NoErr(slow.Close())
	waitUntil(t, func() bool { return r.Memory.Usage().Held == 0 })
	resp, err = rawCall{id: "next", bytes: largeBytes}.send(r.address())
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}
