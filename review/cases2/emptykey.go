package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// emptyKeyRate is the number of requests per second, emptyKeyTime how long they are sent.
	emptyKeyRate = 16
	emptyKeyTime = 14 * time.Second
	// lossFrom and lossUntil are when answers of one runner of three are lost, and lossShare the share of them.
	lossFrom, lossUntil = 5 * time.Second, 9 * time.Second
	lossShare           = 0.4
)

// executions has what was run.
type executions struct {
	mu   sync.Mutex
	runs map[string][]string
}

// add records a run and returns how many there are of the request now.
func (e *executions) add(attempt, runner string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[attempt] = append(e.runs[attempt], runner)
	return len(e.runs[attempt])
}

// emptyKey sends unsafe requests that have an empty header Idempotency-Key, while one runner loses answers.
func emptyKey(w *world, trouble bool) (bool, error) {
	e := &executions{runs: make(map[string][]string)}
	var begun time.Time
	run := func(c net.Conn, s *runner, r *http.Request) bool {
		attempt := r.Header.Get(headerAttempt)
		n := e.add(attempt, s.id)
		w.record.note("%s runs %s, run %d of this request", s.id, attempt, n)
		time.Sleep(30 * time.Millisecond)
		since := time.Since(begun)
		if trouble && s.id == "i-0" && since > lossFrom && since < lossUntil && rand.Float64() < lossShare {
			w.record.note("%s has run %s; its answer is lost, the connection is reset", s.id, attempt)
			reset(c)
			return false
		}
		s.answer(c, r, "token redeemed")
		return true
	}
	for n := range 3 {
		if err := w.startRunner(n, ledgerService, run); err != nil {
			return false, err
		}
	}
	if err := w.put("op/config", configuration(1)); err != nil {
		return false, err
	}
	var routers []*router
	for i := 1; i <= 2; i++ {
		r, err := w.start(i)
		if err != nil {
			return false, err
		}
		routers = append(routers, r)
	}
	time.Sleep(time.Second)
	begun = time.Now()
	var wg sync.WaitGroup
	for n := range int(emptyKeyTime.Seconds() * emptyKeyRate) {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * time.Second / emptyKeyRate)))
		wg.Go(func() { redeem(w, routers[n%len(routers)]) })
	}
	wg.Wait()
	time.Sleep(time.Second)
	return e.judge(w), nil
}

// redeem sends one unsafe request once. It is not repeated, whatever the answer is.
func redeem(w *world, r *router) {
	attempt := fmt.Sprintf("%016x", rand.Uint64())
	c, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		w.record.note("%s: no connection: %v", attempt, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	const body = `{"token":"9c41d07b"}`
	w.record.note("%s sent to %s", attempt, r.name)
	fmt.Fprintf(c, "POST /redeem/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Kingcuphook-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\n"+
		"Idempotency-Key: \r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", host, headerAttempt, attempt, key, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.record.note("%s: no answer: %v", attempt, err)
		return
	}
	resp.Body.Close()
	w.record.note("%s answered %d", attempt, resp.StatusCode)
}

// judge reports whether no request has run more than once.
func (e *executions) judge(w *world) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	twice := 0
	for attempt, runs := range e.runs {
		if len(runs) > 1 {
			twice++
			w.record.note("TWICE: %s ran %d times: %v", attempt, len(runs), runs)
		}
	}
	w.record.note("%d requests ran, %d of them more than once", len(e.runs), twice)
	return twice == 0
}
