package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/rationer"
	"github.com/kingcuphook/kingcuphook/transporter"
)

// manyLines returns a head of as many short lines as fit into n bytes.
func manyLines(n int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// 250 heads of 64 KiB in short lines, which the transport kept while it waited for more, took the heap of a router to 287 MB.
func TestHeadsOfManyLinesTakeLittleMemory(t *testing.T) {
	for _, calls := range []int{250, 1000} {
		t.Run(fmt.Sprint(calls), func(t *testing.T) {
			f := &Forwarder{Codec: codec{}, DialTimeout: 10 * time.Second}
			defer f.Close()
			grown := hold(t, f, calls, manyLines(60<<10), false)
			t.Logf("%d heads: %d KiB", calls, grown>>10)
			if grown > 48<<20 {
				t.Errorf("%d MiB held by %d heads, want at most 48", grown>>20, calls)
			}
		})
	}
}

// What was received below the limits of each call was kept while its end was awaited, without a bound on the sum.
func TestUnfinishedAnswersShareMemory(t *testing.T) {
	const budget = 16 << 20
	line := strings.Repeat("x", 8000) + "\r\n"
	for name, c := range map[string]struct {
		text   string
		stream bool
	}{
		"head, long lines":  {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: "+line, 7), false},
		"head, short lines": {manyLines(1200), false},
		"length":            {"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 190_000), false},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + strings.Repeat("x", 190_000), false},
		"event":             {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("data: "+line, 8), true},
		"event in one line": {"HTTP/1.1 200 OK\r\n\r\ndata: " + strings.Repeat("x", 60_000), true},
		"no stream":         {"HTTP/1.1 404 Not Found\r\n\r\n" + strings.Repeat("x", 190_000), true},
	} {
		for _, calls := range []int{250, 1000} {
			t.Run(fmt.Sprint(name, " ", calls), func(t *testing.T) {
				f := &Forwarder{Codec: codec{}, DialTimeout: 10 * time.Second, Memory: &rationer.Rationer{Bytes: budget}}
				defer f.Close()
				grown := hold(t, f, calls, c.text, c.stream)
				t.Logf("%d answers: %d KiB", calls, grown>>10)
				if most := int64(budget + calls*connBytes); grown > most {
					t.Errorf("%d MiB held by %d answers, want at most %d", grown>>20, calls, most>>20)
				}
				checkReleased(t, f.Memory)
			})
		}
	}
}

// connBytes is the memory that a connection takes at both ends beside what it carries.
const connBytes = 24 << 10

// A head that comes byte by byte must take no memory, and must not hold its call beyond the deadline.
func TestSlowHeadEndsWithItsCall(t *testing.T) {
	f := &Forwarder{Codec: codec{}, Memory: &rationer.Rationer{Bytes: 16 << 20}}
	defer f.Close()
	u := newUpstream(t, func(_ int64, w net.Conn) bool {
		_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			time.Sleep(10 * time.Millisecond)
			_, err = io.WriteString(w, "x")
		}
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	begun := time.Now()
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() { runHeld(ctx, t, f, u, false) })
	}
	group.Wait()
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("calls took %v, want 0.5 s", took)
	}
	if peak := f.Memory.Usage().Peak; peak > 50<<10 {
		t.Errorf("%d bytes held by 50 heads", peak)
	}
}

// The heads of relayed connections were bounded by the HTTP transport alone.
func TestRelayedHeadIsBounded(t *testing.T) {
	u := newUpstream(t, func(_ int64, w net.Conn) bool { writeEndless(w, "HTTP/1.1 200 OK\r\n", "X:\r\n"); return false })
	f := newRelayed(t, u.entry, soundPeer)
	_, err := f.Call(t.Context(), u.entry, attempt("POST", "/", ""))
	if !errors.Is(err, transporter.ErrHead) || !errors.Is(err, kingcuphook.ErrOutcomeUnknown) || errors.Is(err, kingcuphook.ErrPathLost) {
		t.Errorf("error %v, want that of the head", err)
	}
	if n := f.HeadsRejected(); n != 1 {
		t.Errorf("%d heads rejected, want 1", n)
	}
}

// runHeld runs a call or a stream and checks that it fails with an unknown outcome.
func runHeld(ctx context.Context, t *testing.T, f *Forwarder, u *upstream, stream bool) {
	if !stream {
		_, err := f.Call(ctx, u.entry, attempt("POST", "/", ""))
		if !errors.Is(err, kingcuphook.ErrOutcomeUnknown) {
			t.Errorf("error %v, want one of an unknown outcome", err)
		}
		return
	}
	s, err := f.Start(ctx, u.entry, attempt("POST", "/", ""))
	if err == nil {
		_, err = s.Next(ctx)
		_ = s.Close()
	}
	if err == nil || errors.Is(err, kingcuphook.ErrUnavailable) {
		t.Errorf("error %v, want one of an unknown outcome", err)
	}
}

// hold makes calls whose upstream sends text, which is no whole answer, and is silent then. It
// returns by how much the heap has grown once all is sent or all calls have ended.
func hold(t *testing.T, f *Forwarder, calls int, text string, stream bool) int64 {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var sent, ended atomic.Int64
	u := newUpstream(t, func(_ int64, w net.Conn) bool {
		_, _ = io.WriteString(w, text)
		sent.Add(1)
		_, _ = w.Read(make([]byte, 1)) // until the router closes the connection
		return false
	})
	u.seen = make(chan string, calls)
	before := liveHeap()
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			defer ended.Add(1)
			runHeld(ctx, t, f, u, stream)
		})
	}
	for until := time.Now().Add(20 * time.Second); sent.Load() < int64(calls) && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // until what was sent is read
	grown := liveHeap() - before
	t.Logf("%d of %d calls have ended", ended.Load(), calls)
	sound := newUpstream(t, func(_ int64, w net.Conn) bool {
		_, _ = io.WriteString(w, reply("X-Own: 1\r\n", "answer"))
		return false
	})
	if answer, err := f.Call(ctx, sound.entry, attempt("POST", "/", "")); string(answer.Body()) != "answer" {
		t.Errorf("a small call beside the heads: %v", err)
	}
	cancel()
	wg.Wait()
	return grown
}

// liveHeap returns the size of the heap and the stacks without garbage.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
