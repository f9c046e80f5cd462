package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Headers of calls and answers.
const (
	headerAttempt     = "X-Kingcuphook-Attempt-Id"
	headerDeadline    = "X-Kingcuphook-Deadline-Ms"
	headerModel       = "X-Kingcuphook-Model"
	headerUsage       = "X-Kingcuphook-Token-Usage"
	headerPrefix      = "X-Kingcuphook-Prompt-Prefix"
	headerInstance    = "X-Kingcuphook-Instance-Id"
	headerExpect      = "X-Kingcuphook-Expect-Instance"
	headerStamp       = "X-Kingcuphook-Response-Stamp"
	headerNotExecuted = "X-Kingcuphook-Not-Executed"
	headerLastEvent   = "Last-Event-Id"
	headerResumes     = "Resumes"
	eventStreamType   = "text/event-stream"
)

// runner is a server of a service. It answers under one ID at one address, also after it was
// crashed and started again.
type runner struct {
	w           *world
	id, service string
	slots       int
	// events and interval are those of its streams; 0 events answers in one piece after work.
	events         int
	interval, work time.Duration
	// queue is how many calls wait beyond slots; a call beyond both is turned away. With 0, all
	// calls run at once.
	queue int
	// crashes reports whether a call crashes the runner, which then is back after backAfter.
	crashes   func(r *http.Request) bool
	backAfter time.Duration

	// silentUntil is until when the runner's program neither sends nor reads, in Unix
	// nanoseconds, while it goes on with its work.
	silentUntil atomic.Int64
	// admitted counts the calls that run or wait, running holds a value for each that runs.
	admitted atomic.Int64
	running  chan struct{}

	mu      sync.Mutex
	address string
	version string
	// draining is true once it reports that it is leaving.
	draining bool
	server   *http.Server
	conns    map[net.Conn]bool
	born     time.Time
	seq      int64
	stopped  chan struct{}
	fell     []time.Time
	runs     []callRun
}

// runnerCount counts the runners of this process.
var runnerCount atomic.Int64

// callRun is a call that a runner began to run.
type callRun struct {
	runner, version string
	id, path        string
	lastEvent       string
	at              time.Time
	bytes           int64
	// endedAt is when the runner stopped its work on the call; zero while it works.
	endedAt time.Time
}

// start starts the runner with a version of its software and registers it. It keeps its address.
func (r *runner) start(version string) error {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	if address == "" {
		// An address of its own, so that no other connection takes its port while it is away.
		address = fmt.Sprintf("127.3.%d.%d:0", 1+os.Getpid()%250, runnerCount.Add(1))
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	r.mu.Lock()
	r.address, r.version = l.Addr().String(), version
	r.born, r.seq = time.Now(), 0
	r.conns = make(map[net.Conn]bool)
	r.running = make(chan struct{}, max(r.slots, 1))
	stopped := make(chan struct{})
	r.stopped = stopped
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: r.handler(version), ConnState: r.track}
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	r.w.record.add("runner %s starts at %s, version %q", r.id, l.Addr(), version)
	if err := r.register(); err != nil {
		return err
	}
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(heartbeatTime):
				_ = r.register()
			}
		}
	}()
	return nil
}

// register writes the entry of the runner.
func (r *runner) register() error {
	r.mu.Lock()
	r.seq++
	value := map[string]any{
		"service": r.service, "address": r.address, "zone": "cairo-a", "version": r.version, "batchSlots": r.slots,
		"state": r.state(), "warmupLeftMs": 0, "seq": r.seq, "born": r.born.UnixMilli(),
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	}
	r.mu.Unlock()
	return r.w.put("servers/"+r.id, value)
}

// state returns the state in its entry. The caller holds mu.
func (r *runner) state() string {
	if r.draining {
		return "draining"
	}
	return "ready"
}

// drain reports that the runner is leaving, and takes it away after drainTime: its entry is removed,
// and it ends.
func (r *runner) drain(ctx context.Context) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.w.record.add("runner %s drains", r.id)
	_ = r.register()
	sleep(ctx, drainTime)
	r.crash()
	_ = r.w.store.Delete(context.Background(), "servers/"+r.id, kingcuphook.RevisionAny)
	r.w.record.add("runner %s has left", r.id)
}

func (r *runner) track(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateClosed {
		delete(r.conns, c)
	} else {
		r.conns[c] = true
	}
}

// crash ends the runner at once: its connections are reset and its address refuses new ones.
func (r *runner) crash() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	if server == nil {
		r.mu.Unlock()
		return
	}
	close(r.stopped)
	r.fell = append(r.fell, time.Now())
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	r.mu.Unlock()
	_ = server.Close()
}

// allRuns returns the calls that all runners began to run.
func (w *world) allRuns() []callRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []callRun
	for _, r := range w.runners {
		r.mu.Lock()
		runs = append(runs, r.runs...)
		r.mu.Unlock()
	}
	return runs
}

// addRunner adds a runner and starts it.
func (w *world) addRunner(r *runner, version string) error {
	r.w = w
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	return r.start(version)
}

// handler answers the calls of one incarnation.
func (r *runner) handler(version string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/health":
			w.Header().Set(headerInstance, r.id)
			return
		case "/kingcuphook/report":
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprint(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":594509,"handles":0}`)
			return
		}
		id := req.Header.Get(headerAttempt)
		w.Header().Set(headerAttempt, id)
		if want := req.Header.Get(headerExpect); want != "" && want != r.id {
			w.Header().Set(headerNotExecuted, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if id == "" {
			w.Header().Set(headerNotExecuted, "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body := countBody(req)
		if r.queue > 0 {
			if !r.admit(req) {
				w.Header().Set(headerNotExecuted, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer r.leave()
		}
		run := callRun{
			runner: r.id, version: version, id: id, path: req.RequestURI, lastEvent: req.Header.Get(headerLastEvent), at: time.Now(), bytes: body,
		}
		r.mu.Lock()
		n := len(r.runs)
		r.runs = append(r.runs, run)
		r.mu.Unlock()
		defer func() {
			r.mu.Lock()
			r.runs[n].endedAt = time.Now()
			r.mu.Unlock()
		}()
		if r.crashes != nil && r.crashes(req) {
			r.w.record.add("runner %s runs %s and crashes", r.id, id)
			r.crash()
			time.AfterFunc(r.backAfter, func() { r.back(version) })
			panic(http.ErrAbortHandler)
		}
		r.answer(w, req, version)
	})
}

// admit waits until the runner has a slot for a call. It reports false if the call is turned away,
// or its connection was closed while it waited.
func (r *runner) admit(req *http.Request) bool {
	if r.admitted.Add(1) > int64(r.slots+r.queue) {
		r.admitted.Add(-1)
		return false
	}
	select {
	case r.running <- struct{}{}:
		return true
	case <-req.Context().Done():
		r.admitted.Add(-1)
		return false
	}
}

func (r *runner) leave() {
	<-r.running
	r.admitted.Add(-1)
}

// fallSilent makes the runner neither send nor read for d.
func (r *runner) fallSilent(d time.Duration) { r.silentUntil.Store(time.Now().Add(d).UnixNano()) }

// back starts the runner again, unless the case has ended.
func (r *runner) back(version string) {
	r.w.mu.Lock()
	closed := r.w.closed
	r.w.mu.Unlock()
	if !closed {
		_ = r.start(version)
	}
}

func countBody(req *http.Request) int64 {
	n, buffer := int64(0), make([]byte, 64<<10)
	for {
		m, err := req.Body.Read(buffer)
		n += int64(m)
		if err != nil {
			return n
		}
	}
}

func (r *runner) answer(w http.ResponseWriter, req *http.Request, version string) {
	w.Header().Set(headerStamp, fmt.Sprintf("stamp.%s.%s", r.id, req.Header.Get(headerAttempt)))
	if r.events == 0 {
		select {
		case <-time.After(r.work):
		case <-req.Context().Done():
			return
		}
		body := fmt.Sprintf("answer of %s to %s\n", r.id, req.Header.Get(headerAttempt))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		fmt.Fprint(w, body)
		return
	}
	w.Header().Set("Content-Type", eventStreamType)
	control := http.NewResponseController(w)
	first := 0
	if last, err := strconv.Atoi(req.Header.Get(headerLastEvent)); err == nil {
		first = last + 1
	}
	for n := first; n < r.events; n++ {
		time.Sleep(time.Until(time.Unix(0, r.silentUntil.Load())))
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version)
		if control.Flush() != nil {
			return
		}
		select {
		case <-time.After(r.interval):
		case <-req.Context().Done():
			return
		}
	}
}
