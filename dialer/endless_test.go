package dialer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/rationer"
)

const (
	endlessCalls  = 200
	endlessBudget = 16 << 20
	// maxHeap is the heap that endlessCalls calls may use together, with their upstream.
	maxHeap = 64 << 20
)

// An upstream that sent bytes without end, in any part of a response, took the memory of a router.
func TestEndlessResponses(t *testing.T) {
	const plain, chunked = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("x", 1000)
	for name, c := range map[string]struct {
		head, more string
		stream     bool
	}{
		"short lines":     {head: "HTTP/1.1 200 OK\r\n", more: "X:\r\n"},
		"long lines":      {head: "HTTP/1.1 200 OK\r\n", more: "X-More: " + line + "\r\n"},
		"interim":         {more: "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"interim lines":   {more: "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":            {head: plain, more: line},
		"chunks":          {head: chunked, more: "3e8\r\n" + line + "\r\n"},
		"chunk length":    {head: chunked, more: "0"},
		"chunk extension": {head: chunked + "3e8;", more: line},
		"extensions":      {head: chunked, more: "1;" + line + "\r\nx\r\n"},
		"extensions late": {head: chunked + "3\r\n:x\n\r\n", more: "1;" + line + "\r\nx\r\n", stream: true},
		"interim stream":  {more: "HTTP/1.1 100 Continue\r\n\r\n", stream: true},
		"trailers":        {head: chunked + "0\r\n", more: "X-More: " + line + "\r\n"},
		"stream head":     {head: "HTTP/1.1 200 OK\r\n", more: "X:\r\n", stream: true},
		"event":           {head: plain + "data: ", more: line, stream: true},
		"not started":     {head: "HTTP/1.1 503 Busy\r\n\r\n", more: line, stream: true},
		"trailers later":  {head: chunked + "3\r\n:x\n\r\n0\r\n", more: "X-More: " + line + "\r\n", stream: true},
	} {
		t.Run(name, func(t *testing.T) {
			u := serveEndless(t, c.head, c.more, c.stream)
			d := &Dialer{DialTimeout: 10 * time.Second, Memory: &rationer.Rationer{Bytes: endlessBudget}}
			d.Init()
			defer d.Close()
			if heap := peakHeap(t, d, u, c.stream); heap > maxHeap {
				t.Errorf("%d MiB used, want at most %d", heap>>20, maxHeap>>20)
			}
			if peak := d.Memory.Usage().Peak; peak > endlessBudget {
				t.Errorf("%d bytes held, want at most %d", peak, endlessBudget)
			}
			for until := time.Now().Add(5 * time.Second); d.Memory.Usage().Held > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(until) {
					t.Fatalf("usage %+v after all calls have ended", d.Memory.Usage())
				}
			}
		})
	}
}

// serveEndless starts an upstream that sends head and then more, without end.
func serveEndless(t *testing.T, head, more string, stream bool) *kingcuphook.Upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, more)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	kind := kingcuphook.UpstreamKindService
	if stream {
		kind = kingcuphook.UpstreamKindEngine
	}
	return kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String(), Kind: kind})
}

// peakHeap makes endlessCalls calls at the same time, which must fail within 20 s, and returns by how
// much the heap grew.
func peakHeap(t *testing.T, d *Dialer, u *kingcuphook.Upstream, stream bool) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	before := heapInUse()
	// Garbage doesn't count: the collector runs as often as this limit demands.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(before + maxHeap*3/4))
	var ended atomic.Int64
	var wg sync.WaitGroup
	for i := range endlessCalls {
		wg.Go(func() {
			defer ended.Add(1)
			err := runEndless(ctx, d, u, numbered(i), stream)
			isUnknown := errors.Is(err, kingcuphook.ErrOutcomeUnknown) || errors.Is(err, kingcuphook.ErrBrokenStream)
			if !isUnknown || errors.Is(err, kingcuphook.ErrUnavailable) || ctx.Err() != nil {
				t.Errorf("error %v, context %v, want an unknown outcome before the deadline", err, ctx.Err())
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

func runEndless(ctx context.Context, d *Dialer, u *kingcuphook.Upstream, a *kingcuphook.Attempt, stream bool) error {
	if !stream {
		_, err := d.Call(ctx, u, a)
		return err
	}
	s, err := d.Start(ctx, u, a)
	for err == nil {
		_, err = s.Next(ctx)
	}
	if s != nil {
		_ = s.Close()
	}
	return fmt.Errorf("stream: %w", err)
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}
