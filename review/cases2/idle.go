package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleRouters is the number of routers, as in nilecup-hq. idleRate is the number of requests per second that its
	// sheet states for all routers together.
	idleRouters = 8
	idleRate    = 86
	// idleTime is how long requests are sent, lossAt when all routers but one are lost.
	idleTime = 85 * time.Second
	lossAt   = 5 * time.Second
	// contact is contactMs, and leastClients the number of clients that must have tried.
	contact      = 4 * time.Second
	leastClients = 7
)

// tries has what became of the connections to a router.
type tries struct {
	mu   sync.Mutex
	list []try
	// kept are connections that are left idle, as their clients do.
	kept []net.Conn
	// ready has when the router answered that it is ready.
	ready []time.Duration
}

// try is one new connection to the router that is left, with the answer to its first request; 0 if it got none.
type try struct {
	at     time.Duration
	status int
	code   string
}

// idle sends each request on a new connection, which its client leaves open, while all routers but one are lost.
func idle(w *world, trouble bool) (bool, error) {
	run := func(c net.Conn, s *runner, r *http.Request) bool {
		time.Sleep(30 * time.Millisecond)
		s.answer(c, r, "balance")
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
	for i := 1; i <= idleRouters; i++ {
		r, err := w.start(i)
		if err != nil {
			return false, err
		}
		routers = append(routers, r)
	}
	left := routers[0]
	t := &tries{}
	begun := time.Now()
	if trouble {
		time.AfterFunc(lossAt, func() {
			for _, r := range routers[1:] {
				r.kill()
			}
			w.record.note("all routers but %s are lost for good", left.name)
		})
	}
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() { t.watch(w, left, begun, done) })
	var requests sync.WaitGroup
	for n := range int(idleTime.Seconds() * idleRate) {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * time.Second / idleRate)))
		r := routers[n%len(routers)]
		if r.hasEnded() {
			r = left // the platform forwards no new connection to a router that is lost
		}
		requests.Go(func() { t.lookUp(r, r == left, time.Since(begun)) })
	}
	requests.Wait()
	close(done)
	wg.Wait()
	for _, c := range t.kept {
		c.Close()
	}
	return t.judge(w), nil
}

// watch asks the router each second whether it is ready, and records what its new connections got meanwhile.
func (t *tries) watch(w *world, r *router, begun time.Time, done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		ready := r.isReady(client)
		t.mu.Lock()
		now := time.Since(begun)
		if ready {
			t.ready = append(t.ready, now)
		}
		counts := make(map[string]int)
		for _, x := range t.list {
			if x.at > now-time.Second {
				counts[fmt.Sprintf("%d %s", x.status, x.code)]++
			}
		}
		w.record.note("%s ready %v, %d connections left idle by clients; answers on new connections in the last second: %v", r.name, ready, len(t.kept), counts)
		t.mu.Unlock()
	}
}

// lookUp sends one safe request on a new connection, which stays open.
func (t *tries) lookUp(r *router, counts bool, at time.Duration) {
	x := try{at: at}
	c, err := net.DialTimeout("tcp", r.front, time.Second)
	if err == nil {
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(c, "GET /lookup/2f HTTP/1.1\r\nHost: %s\r\n%s: %016x\r\nX-Kingcuphook-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\n\r\n",
			host, headerAttempt, rand.Uint64(), key)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			x.status = resp.StatusCode
			if resp.StatusCode != http.StatusOK {
				x.code = string(text)
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if counts {
		t.list = append(t.list, x)
	}
	switch {
	case c == nil:
	case x.status == http.StatusOK:
		t.kept = append(t.kept, c)
	default:
		c.Close()
	}
}

// judge reports whether there was no time of contact in which the router was ready and none of the new connections
// was taken, with enough of them. A connection on which a request got any answer but the refusal of connections is
// taken.
func (t *tries) judge(w *world) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for from := time.Duration(0); from+contact <= idleTime; from += time.Second {
		refused, taken, ready := 0, 0, 0
		for _, x := range t.list {
			switch {
			case x.at < from || x.at >= from+contact:
			case x.status == 0 || x.code == "out-of-memory\n":
				refused++
			default:
				taken++
			}
		}
		for _, at := range t.ready {
			if at >= from && at < from+contact {
				ready++
			}
		}
		if taken == 0 && refused >= leastClients && ready >= int(contact.Seconds())-1 {
			w.record.note("RECOVER: from %v to %v none of %d new connections was taken, and the router was ready", from, from+contact, refused)
			return false
		}
	}
	return true
}
