package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pipelineClients is the number of clients, each with one connection. They begin one after the other.
	pipelineClients = 24
	// pipelineTime is how long requests are sent, termAt when the router gets SIGTERM.
	pipelineTime, termAt = 8 * time.Second, 4 * time.Second
	// pairGap is the time from the last answer to a pair to the next pair of the same client.
	pairGap = time.Second
	// lossSlack is lossSlackMs, grace is graceS.
	lossSlack, grace = 200 * time.Millisecond, 8 * time.Second
	// firstEvent, eventGap and eventCount make a stream take 1 s.
	firstEvent, eventGap, eventCount = 400 * time.Millisecond, 40 * time.Millisecond, 14
)

// losses counts the requests that were lost.
type losses struct {
	mu    sync.Mutex
	count int
}

func (l *losses) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
}

// pipeline sends a stream and an unsafe request together on kept connections, while the router gets SIGTERM.
func pipeline(w *world, trouble bool) (bool, error) {
	run := func(c net.Conn, s *runner, r *http.Request) bool {
		w.record.note("%s runs %s", s.id, r.Header.Get(headerAttempt))
		if strings.HasPrefix(r.URL.Path, "/query/") {
			s.stream(c, r, firstEvent, eventGap, eventCount)
			return true
		}
		time.Sleep(30 * time.Millisecond)
		s.answer(c, r, "token redeemed")
		return true
	}
	for n := range 3 {
		if err := w.startRunner(n, ledgerService, run); err != nil {
			return false, err
		}
		if err := w.startRunner(n+3, poolService, run); err != nil {
			return false, err
		}
	}
	if err := w.put("op/config", configuration(1)); err != nil {
		return false, err
	}
	for i := 1; i <= 2; i++ {
		if _, err := w.start(i); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	r := w.routers[0]
	begun := time.Now()
	lost := &losses{}
	var wg sync.WaitGroup
	for range pipelineClients {
		wg.Go(func() { lost.client(w, r, begun) })
		time.Sleep(2 * time.Second / pipelineClients)
	}
	if trouble {
		time.Sleep(time.Until(begun.Add(termAt)))
		w.record.note("SIGTERM to %s", r.name)
		_ = r.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-r.ended:
			w.record.note("%s has ended", r.name)
		case <-time.After(grace):
			w.record.note("%s has not ended within graceS", r.name)
		}
	}
	wg.Wait()
	w.record.note("%d requests were lost", lost.count)
	return lost.count == 0, nil
}

// client sends pairs of requests on one connection until the router closes it. A request counts as lost if the
// connection ends without a complete answer to it later than lossSlack after it was sent.
func (l *losses) client(w *world, r *router, begun time.Time) {
	c, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		w.record.note("no connection: %v", err)
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for time.Since(begun) < pipelineTime {
		text, ids := "", make([]string, 0, 2)
		for _, path := range []string{"/query/2f", "/redeem/2f"} {
			id := fmt.Sprintf("%016x", rand.Uint64())
			ids = append(ids, id)
			text += fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Kingcuphook-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\n{}",
				path, host, headerAttempt, id, key)
		}
		sent := time.Now()
		if _, err := c.Write([]byte(text)); err != nil {
			w.record.note("%v not sent: %v", ids, err)
			return
		}
		w.record.note("%s (query) and %s (redeem) sent to %s", ids[0], ids[1], r.name)
		closed := false
		for _, id := range ids {
			_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if err != nil {
				took := time.Since(sent)
				w.record.note("%s: the connection ended without an answer %d ms after it was sent: %v", id, took.Milliseconds(), err)
				if took > lossSlack {
					l.add()
				}
				return
			}
			closed = closed || resp.Close
			w.record.note("%s answered %d, the connection closes: %v", id, resp.StatusCode, resp.Close)
		}
		if closed {
			return
		}
		time.Sleep(pairGap)
	}
}
