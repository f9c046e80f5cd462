package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Headers of requests and answers.
const (
	headerAttempt     = "X-Kingcuphook-Attempt-Id"
	headerInstance    = "X-Kingcuphook-Expect-Instance"
	headerNotExecuted = "X-Kingcuphook-Not-Executed"
	headerStamp       = "X-Kingcuphook-Response-Stamp"
)

// runner is a stand-in of a runner. It serves the requests on a connection one after the other.
type runner struct {
	id, address string
	born        time.Time
	// run runs a request and answers it; false means that the connection has ended.
	run func(c net.Conn, s *runner, r *http.Request) bool
}

// startRunner starts and registers runner n, from 0, of a service.
func (w *world) startRunner(n int, service string, run func(c net.Conn, s *runner, r *http.Request) bool) error {
	l, err := net.Listen("tcp", w.address(runnerHost+n, 0))
	if err != nil {
		return err
	}
	s := &runner{id: "i-" + strconv.Itoa(n), address: l.Addr().String(), born: time.Now(), run: run}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return w.put("servers/"+s.id, map[string]any{
		"service": service, "address": s.address, "zone": "cairo-a", "version": "1", "batchSlots": 64, "state": "ready", "warmupLeftMs": 0,
		"seq": w.seq, "born": s.born.UnixMilli(),
	})
}

func (s *runner) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch {
		case r.Header.Get(headerAttempt) == "":
			fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotExecuted)
		case r.Header.Get(headerInstance) != "" && r.Header.Get(headerInstance) != s.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
				headerAttempt, r.Header.Get(headerAttempt), headerNotExecuted)
		case !s.run(c, s, r):
			return
		}
	}
}

// answer answers a request in one piece.
func (s *runner) answer(c net.Conn, r *http.Request, text string) {
	id := r.Header.Get(headerAttempt)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		headerAttempt, id, headerStamp, s.id, id, len(text), text)
}

// reset ends a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// stream answers a request with events, the first of which comes after a delay.
func (s *runner) stream(c net.Conn, r *http.Request, first, gap time.Duration, events int) {
	id := r.Header.Get(headerAttempt)
	time.Sleep(first)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttempt, id, headerStamp, s.id, id)
	for n := 1; n <= events; n++ {
		text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		time.Sleep(gap)
	}
	fmt.Fprint(c, "0\r\n\r\n")
}
