package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// writeEndless writes head once and then text repeatedly until a write fails.
func writeEndless(w net.Conn, head, text string) {
	_, err := io.WriteString(w, head)
	for err == nil {
		_, err = io.WriteString(w, text)
	}
}

const (
	// endlessCalls is the number of concurrent calls that receive endless data, and
	// maxMemory the heap that they may use together.
	endlessCalls = 200
	maxMemory    = 96 << 20
	// endlessBudget is the budget of memory of these calls.
	endlessBudget = 16 << 20
	// gcPercent is the setting of kingcuphook attach.
	gcPercent = 40
)

// TestEndlessResponses checks that calls fail in time and within bounded memory when
// upstreams send an endless response. Each case repeats data in another part of the
// response.
func TestEndlessResponses(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("x", 1000)
	for name, bytes := range map[string][2]string{
		"status-line":     {"HTTP/1.1 200 ", line},
		"no-protocol":     {"", line},
		"head":            {"HTTP/1.1 200 OK\r\n", "X-More: " + line + "\r\n"},
		"short-lines":     {"HTTP/1.1 200 OK\r\n", "X:\r\n"},
		"one-header":      {"HTTP/1.1 200 OK\r\nX-More: ", line},
		"interim-answers": {"", "HTTP/1.1 103 Early Hints\r\nX-More: " + line + "\r\n\r\n"},
		"interim-lines":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":            {"HTTP/1.1 200 OK\r\n\r\n", line},
		"chunks":          {chunked, "3e8\r\n" + line + "\r\n"},
		"chunk-length":    {chunked, "0"},
		"chunk-extension": {chunked + "3e8;", line},
		"chunk-extensions": {
			chunked, "1;" + line + "\r\nx\r\n",
		},
		"trailers": {chunked + "0\r\n", "X-More: " + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(_ int64, w net.Conn) bool { writeEndless(w, bytes[0], bytes[1]); return false })
			u.seen = make(chan string, endlessCalls)
			f := &Forwarder{Codec: codec{}, DialTimeout: 10 * time.Second, Memory: &rationer.Rationer{Bytes: endlessBudget}}
			defer f.Close()
			most := callConcurrently(t, func(ctx context.Context) error {
				_, err := f.Call(ctx, u.entry, attempt("POST", "/", ""))
				return err
			})
			t.Logf("%d MiB", most>>20)
			if most > maxMemory {
				t.Errorf("%d MiB used by %d endless answers, want at most %d MiB", most>>20, endlessCalls, maxMemory>>20)
			}
			checkReleased(t, f.Memory)
		})
	}
}

// TestEndlessEvents checks that streams fail in time and within bounded memory when
// an upstream sends an event that never ends, in one line or in many.
func TestEndlessEvents(t *testing.T) {
	line := "data: " + strings.Repeat("x", 1000) + "\n"
	for name, text := range map[string]string{"line": strings.Repeat("x", 1000), "lines": line} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(_ int64, w net.Conn) bool {
				writeEndless(w, "HTTP/1.1 200 OK\r\n\r\ndata: first\n\n", text)
				return false
			})
			u.seen = make(chan string, endlessCalls)
			f := &Forwarder{Codec: codec{}, DialTimeout: 10 * time.Second, Memory: &rationer.Rationer{Bytes: endlessBudget}}
			defer f.Close()
			most := callConcurrently(t, func(ctx context.Context) error {
				s, err := f.Start(ctx, u.entry, attempt("POST", "/", ""))
				if err != nil {
					return err
				}
				defer func() { _ = s.Close() }()
				for {
					if _, err := s.Next(ctx); err != nil {
						return err
					}
				}
			})
			if most > maxMemory {
				t.Errorf("%d MiB used by %d endless streams, want at most %d MiB", most>>20, endlessCalls, maxMemory>>20)
			}
			checkReleased(t, f.Memory)
		})
	}
}

// checkReleased checks that all memory returns to the budget once the connections are closed.
func checkReleased(t *testing.T, r *rationer.Rationer) {
	t.Helper()
	until := time.Now().Add(5 * time.Second)
	for r.Usage().Held != 0 && time.Now().Before(until) {
		time.Sleep(time.Millisecond)
	}
	if left := r.Usage().Held; left != 0 {
		t.Errorf("%d bytes still count against the memory budget, want 0", left)
	}
}

// callConcurrently makes endlessCalls calls at the same time, which must all fail
// within 20 s. It returns by how much the heap grew at its peak.
func callConcurrently(t *testing.T, call func(context.Context) error) uint64 {
	t.Helper()
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	before := heapInUse()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var ended atomic.Int64
	var wg sync.WaitGroup
	for range endlessCalls {
		wg.Go(func() {
			defer ended.Add(1)
			if err := call(ctx); err == nil || ctx.Err() != nil {
				t.Errorf("err %v, context %v; want an error before the deadline", err, ctx.Err())
			} else if errors.Is(err, kingcuphook.ErrUnavailable) {
				t.Errorf("%v: wraps ErrUnavailable, though the call may have run", err)
			}
		})
	}
	most := before
	for ended.Load() < endlessCalls {
		most = max(most, heapInUse())
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return most - before
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}

// TestLargeAnswersLeaveRoomForSmallOnes checks that large answers can't keep small ones from being
// read: with the share of large accounts used up, a small one passes, and a large one fails until
// there is room again.
func TestLargeAnswersLeaveRoomForSmallOnes(t *testing.T) {
	for form, test := range map[string]struct {
		small  int
		format func(text string) string
	}{
		"length": {16 << 10, func(text string) string { return reply("", text) }},
		"chunks": {15 << 10, chunkedReply}, // counted with their copy
	} {
		t.Run(form, func(t *testing.T) {
			is := is.New(t)
			f := &Forwarder{Codec: codec{}, Memory: &rationer.Rationer{Bytes: 16 * rationer.SmallBytes}}
			defer f.Close()
			others := f.Memory.OpenAnswer()
			is.NoErr(others.Grow(13 * rationer.SmallBytes))
			call := func(size int) (int, error) {
				u := newUpstream(t, func(_ int64, w net.Conn) bool {
					fmt.Fprint(w, test.format(strings.Repeat("x", size)))
					return false
				})
				a, err := f.Call(t.Context(), u.entry, attempt("POST", "/", ""))
				return len(a.Body()), err
			}
			n, err := call(test.small)
			is.NoErr(err)
			is.Equal(n, test.small)
			_, err = call(rationer.SmallBytes + 1)
			is.True(errors.Is(err, kingcuphook.ErrOutOfMemory))
			is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown)) // the upstream ran the call
			others.Close()
			n, err = call(rationer.SmallBytes + 1)
			is.NoErr(err)
			is.Equal(n, rationer.SmallBytes+1)
		})
	}
}

// chunkedReply returns a response of status 200 with the body in one chunk.
func chunkedReply(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// TestDuplicateAnswerOnReusedConnection has an upstream send a second, late copy of an
// answer on a connection that already carries the next call. No call may get the
// answer to another one, and the connection must not be used for later calls.
func TestDuplicateAnswerOnReusedConnection(t *testing.T) {
	for _, body := range []string{"", "late"} {
		t.Run("body-"+body, func(t *testing.T) {
			is := is.New(t)
			foreign := reply("X-Reply: "+string(kingcuphook.ReplyKindForeign)+"\r\n", body)
			u := newUpstream(t, func(n int64, w net.Conn) bool {
				switch n {
				case 1:
					fmt.Fprint(w, reply("", "first"))
				case 2: // the duplicate arrives before the answer to this call
					fmt.Fprint(w, foreign)
					time.Sleep(50 * time.Millisecond)
					fmt.Fprint(w, reply("X-Reply: "+string(kingcuphook.ReplyKindForeign)+"\r\n", "second"))
				default:
					fmt.Fprint(w, reply("", "own"))
				}
				return true
			})
			f := &Forwarder{Codec: codec{}}
			defer f.Close()
			a, err := f.Call(t.Context(), u.entry, attempt("POST", "/1", ""))
			is.NoErr(err)
			is.Equal(string(a.Body()), "first")
			_, err = f.Call(t.Context(), u.entry, attempt("POST", "/2", ""))
			is.True(errors.Is(err, kingcuphook.ErrForeignFrame))
			is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown)) // it may have run
			for n := range 3 {
				a, err = f.Call(t.Context(), u.entry, attempt("POST", fmt.Sprint("/", n+3), ""))
				is.NoErr(err)
				is.Equal(string(a.Body()), "own")
			}
			is.Equal(u.conns.Load(), int64(2))
		})
	}
}

// TestTruncatedAnswerFails checks for answers of several lengths, around the sizes of
// the read buffers, that one without its last byte is an error and a complete one is
// returned unchanged, with a length and in chunks.
func TestTruncatedAnswerFails(t *testing.T) {
	for _, length := range []int{1, 1 << 10, 1<<10 + 1, 4 << 10, 4<<10 + 1, 16 << 10, 17 << 10, 100_000} {
		for _, format := range []func(body string) string{chunkedReply, func(body string) string { return reply("", body) }} {
			is := is.New(t)
			whole := strings.Repeat("x", length)
			u := newUpstream(t, func(n int64, w net.Conn) bool {
				text := format(whole)
				fmt.Fprint(w, text[:len(text)-int(n%2)])
				return false
			})
			f := &Forwarder{Codec: codec{}}
			defer f.Close()
			_, err := f.Call(t.Context(), u.entry, attempt("POST", "/", ""))
			is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
			a, err := f.Call(t.Context(), u.entry, attempt("POST", "/", ""))
			is.NoErr(err)
			is.Equal(string(a.Body()), whole)
		}
	}
}
