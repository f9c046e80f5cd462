package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/tidwall/gjson"

	"github.com/kingcuphook/kingcuphook/emulator/responder"
)

const (
	// loadCallers is the number of concurrent callers of a load generator.
	loadCallers = 8
	// balancerDelay is the time between two updates of the load balancer's list of
	// ready routers.
	balancerDelay = 50 * time.Millisecond
)

// loadGenerator runs callers that make calls until they are stopped, through a
// simulated load balancer whose list of ready routers is updated with a delay.
type loadGenerator struct {
	fleet *fleet
	// ready is the load balancer's list of URLs of ready routers.
	ready atomic.Pointer[[]string]
	stop  chan struct{}
	wg    sync.WaitGroup

	mu       sync.Mutex
	calls    int
	failures []string
	// updated is when the list was last updated, oldest the greatest time between two updates.
	updated time.Time
	oldest  time.Duration
}

// start starts the load balancer and the callers.
func (l *loadGenerator) start() {
	l.stop = make(chan struct{})
	l.updateReady()
	l.wg.Go(func() {
		for !l.isStopped() {
			time.Sleep(balancerDelay)
			l.updateReady()
		}
	})
	for i := range loadCallers {
		l.wg.Go(func() {
			for n := 0; !l.isStopped(); n++ {
				l.call(i, n)
			}
		})
	}
}

func (l *loadGenerator) isStopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// updateReady updates the load balancer's list.
func (l *loadGenerator) updateReady() {
	var ready []string
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	for _, m := range l.fleet.routers {
		if m.router.Ready() {
			ready = append(ready, "http://"+m.router.CallersAddress())
		}
	}
	l.ready.Store(&ready)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.updated.IsZero() {
		l.oldest = max(l.oldest, time.Since(l.updated))
	}
	l.updated = time.Now()
}

// call makes one call and counts it, with a failure unless its answer is complete
// and correct.
func (l *loadGenerator) call(caller, n int) {
	ready := *l.ready.Load()
	if len(ready) == 0 {
		time.Sleep(balancerDelay)
		return
	}
	body := chatBody(fmt.Sprintf("caller %d call %d", caller, n), true)
	failure := postStream(ready[(caller+n)%len(ready)], body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if failure != "" {
		l.failures = append(l.failures, failure)
	}
}

// postStream makes a streamed call and describes what is wrong with its answer; it
// returns an empty string if nothing is.
func postStream(url, body string) string {
	req, err := http.NewRequest(http.MethodPost, url+responder.PathChat, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("X-Class", "till")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	if resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		return fmt.Sprintf("%d %s", resp.StatusCode, text[max(0, len(text)-300):])
	}
	if got, want := joinContent(string(text)), responder.AnswerText([]byte(body)); got != want {
		return fmt.Sprintf("got %q, want %q", got, want)
	}
	return ""
}

// joinContent returns the text of a streamed answer.
func joinContent(events string) string {
	var b strings.Builder
	for line := range strings.Lines(events) {
		if data, ok := strings.CutPrefix(line, "data: {"); ok {
			b.WriteString(gjson.Get("{"+data, "choices.0.delta.content").String())
		}
	}
	return b.String()
}

// loadCmd starts the load generator of a script, or stops it and prints its
// results.
func loadCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	if args[0] == "begin" {
		f.load = &loadGenerator{fleet: f}
		f.load.start()
		return
	}
	close(f.load.stop)
	f.load.wg.Wait()
	fmt.Fprintf(ts.Stdout(), "%d calls, %d failed\n", f.load.calls, len(f.load.failures))
	for _, failure := range f.load.failures {
		fmt.Fprintln(ts.Stdout(), failure)
	}
	fmt.Fprintf(ts.Stdout(), "the list of ready routers was up to %v old\n", f.load.oldest.Round(time.Millisecond))
}
