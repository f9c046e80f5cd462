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
)

// endless writes text again and again until the other side closes.
func endless(w net.Conn, head, text string) {
	_, err := io.WriteString(w, head)
	for err == nil {
		_, err = io.WriteString(w, text)
	}
}

const (
	// troubled is how many connections send without end at the same time, memory what
	// all of them together may take.
	troubled = 200
	memory   = 96 << 20
	// gcPercent is that of kingcuphook attach.
	gcPercent = 40
)

// TestBytesWithoutEnd has many upstreams send bytes that are no answer, without end,
// wherever that is possible, and looks at how the calls end and what they cost.
func TestBytesWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("x", 1000)
	for name, bytes := range map[string][2]string{
		"status-line":     {"HTTP/1.1 200 ", line},
		"no-protocol":     {"", line},
		"head":            {"HTTP/1.1 200 OK\r\n", "X-More: " + line + "\r\n"},
		"one-header":      {"HTTP/1.1 200 OK\r\nX-More: ", line},
		"interim-answers": {"", "HTTP/1.1 103 Early Hints\r\nX-More: " + line + "\r\n\r\n"},
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
			u := newUpstream(t, func(_ int64, w net.Conn) bool { endless(w, bytes[0], bytes[1]); return false })
			u.seen = make(chan string, troubled)
			f := &Forwarder{Codec: codec{}, DialTimeout: 10 * time.Second}
			defer f.Close()
			most := callMany(t, func(ctx context.Context) error {
				_, err := f.Call(ctx, u.row, attempt("POST", "/", ""))
				return err
			})
			t.Logf("%d MiB", most>>20)
			if most > memory {
				t.Errorf("%d MiB for %d such answers, want at most %d MiB", most>>20, troubled, memory>>20)
			}
			if left := f.buffered.Load(); left != 0 {
				t.Errorf("%d bytes of memory are still counted", left)
			}
		})
	}
}

func TestEventsWithoutEnd(t *testing.T) {
	line := "data: " + strings.Repeat("x", 1000) + "\n"
	for name, text := range map[string]string{"line": strings.Repeat("x", 1000), "lines": line} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(_ int64, w net.Conn) bool {
				endless(w, "HTTP/1.1 200 OK\r\n\r\ndata: first\n\n", text)
				return false
			})
			u.seen = make(chan string, troubled)
			f := &Forwarder{Codec: codec{}, DialTimeout: 10 * time.Second}
			defer f.Close()
			most := callMany(t, func(ctx context.Context) error {
				s, err := f.Start(ctx, u.row, attempt("POST", "/", ""))
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
			if most > memory {
				t.Errorf("%d MiB for %d such streams, want at most %d MiB", most>>20, troubled, memory>>20)
			}
		})
	}
}

// callMany makes calls at the same time that all must end with an error and soon. It
// returns the most memory that was in use meanwhile beyond that before.
func callMany(t *testing.T, call func(context.Context) error) uint64 {
	t.Helper()
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	before := heap()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var ended atomic.Int64
	var wg sync.WaitGroup
	for range troubled {
		wg.Go(func() {
			defer ended.Add(1)
			if err := call(ctx); err == nil || ctx.Err() != nil {
				t.Errorf("err %v, context %v; want an error before the deadline", err, ctx.Err())
			} else if errors.Is(err, kingcuphook.ErrUnavailable) {
				t.Errorf("%v: says that the call has not run, which nobody knows", err)
			}
		})
	}
	most := before
	for ended.Load() < troubled {
		most = max(most, heap())
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return most - before
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}

// TestSmallAnswersPassBesideLargeOnes has answers without end take all the memory that
// there is for answers, while small ones come.
func TestSmallAnswersPassBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{Codec: codec{}, MaxBufferedBytes: 1}
	defer f.Close()
	u := newUpstream(t, func(_ int64, w net.Conn) bool {
		fmt.Fprint(w, reply("", strings.Repeat("x", freeAnswer)))
		return true
	})
	a, err := f.Call(t.Context(), u.row, attempt("POST", "/", ""))
	is.NoErr(err)
	is.Equal(len(a.Body()), freeAnswer)
	large := newUpstream(t, func(_ int64, w net.Conn) bool {
		fmt.Fprint(w, reply("", strings.Repeat("x", freeAnswer+2)))
		return true
	})
	_, err = f.Call(t.Context(), large.row, attempt("POST", "/", ""))
	is.True(errors.Is(err, kingcuphook.ErrTooLarge))
	is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown)) // it has run
}

// TestLateSecondAnswers has an upstream send a second copy of an answer, late, on a
// connection that is in use again. No call may get what belongs to another one, and the
// connection is not used for long.
func TestLateSecondAnswers(t *testing.T) {
	for _, body := range []string{"", "late"} {
		t.Run("body-"+body, func(t *testing.T) {
			is := is.New(t)
			foreign := reply("X-Reply: "+string(kingcuphook.ReplyKindForeign)+"\r\n", body)
			u := newUpstream(t, func(n int64, w net.Conn) bool {
				switch n {
				case 1:
					fmt.Fprint(w, reply("", "first"))
				case 2: // the second copy is there before the answer
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
			a, err := f.Call(t.Context(), u.row, attempt("POST", "/1", ""))
			is.NoErr(err)
			is.Equal(string(a.Body()), "first")
			_, err = f.Call(t.Context(), u.row, attempt("POST", "/2", ""))
			is.True(errors.Is(err, kingcuphook.ErrForeignFrame))
			is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown)) // it may have run
			for n := range 3 {
				a, err = f.Call(t.Context(), u.row, attempt("POST", fmt.Sprint("/", n+3), ""))
				is.NoErr(err)
				is.Equal(string(a.Body()), "own")
			}
			is.Equal(u.conns.Load(), int64(2))
		})
	}
}

// TestCutAnswersAreNotWhole cuts answers short at several lengths.
func TestCutAnswersAreNotWhole(t *testing.T) {
	for _, length := range []int{1, firstChunk, firstChunk + 1, firstChunk + nextChunk, 100_000} {
		is := is.New(t)
		whole := strings.Repeat("x", length)
		u := newUpstream(t, func(n int64, w net.Conn) bool {
			text := reply("", whole)
			fmt.Fprint(w, text[:len(text)-int(n%2)])
			return false
		})
		f := &Forwarder{Codec: codec{}}
		defer f.Close()
		_, err := f.Call(t.Context(), u.row, attempt("POST", "/", ""))
		is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
		a, err := f.Call(t.Context(), u.row, attempt("POST", "/", ""))
		is.NoErr(err)
		is.Equal(string(a.Body()), whole)
	}
}
