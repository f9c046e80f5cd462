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
	// loadCallers is how many callers a load has.
	loadCallers = 8
	// balancerLag is how late the balancer learns that a router is not ready.
	balancerLag = 50 * time.Millisecond
)

// load is a number of callers that go on until they are stopped, through a
// balancer that knows with a delay which routers are ready.
type load struct {
	fleet *fleet
	// ready has the balancer's list of routers.
	ready atomic.Pointer[[]string]
	ended chan struct{}
	wg    sync.WaitGroup

	mu       sync.Mutex
	calls    int
	failures []string
}

// begin starts the callers.
func (l *load) begin() {
	l.ended = make(chan struct{})
	l.look()
	l.wg.Go(func() {
		for !l.isEnded() {
			time.Sleep(balancerLag)
			l.look()
		}
	})
	for i := range loadCallers {
		l.wg.Go(func() {
			for n := 0; !l.isEnded(); n++ {
				l.call(i, n)
			}
		})
	}
}

func (l *load) isEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// look brings the balancer's list up to date.
func (l *load) look() {
	var ready []string
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	for _, m := range l.fleet.routers {
		if m.router.Ready() {
			ready = append(ready, "http://"+m.router.CallersAddress())
		}
	}
	l.ready.Store(&ready)
}

// call makes one call and notes whether its answer was whole.
func (l *load) call(caller, n int) {
	ready := *l.ready.Load()
	if len(ready) == 0 {
		time.Sleep(balancerLag)
		return
	}
	body := chatBody(fmt.Sprintf("caller %d call %d", caller, n), true)
	failure := post(ready[(caller+n)%len(ready)], body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if failure != "" {
		l.failures = append(l.failures, failure)
	}
}

// post makes a streamed call and returns what is wrong with its answer.
func post(url, body string) string {
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
	if got, want := contentOf(string(text)), responder.AnswerText([]byte(body)); got != want {
		return fmt.Sprintf("got %q, want %q", got, want)
	}
	return ""
}

// contentOf joins the pieces of a streamed answer.
func contentOf(events string) string {
	var b strings.Builder
	for line := range strings.Lines(events) {
		if data, ok := strings.CutPrefix(line, "data: {"); ok {
			b.WriteString(gjson.Get("{"+data, "choices.0.delta.content").String())
		}
	}
	return b.String()
}

// loadCmd begins or ends the load of a script.
func loadCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	if args[0] == "begin" {
		f.load = &load{fleet: f}
		f.load.begin()
		return
	}
	close(f.load.ended)
	f.load.wg.Wait()
	fmt.Fprintf(ts.Stdout(), "%d calls, %d failed\n", f.load.calls, len(f.load.failures))
	for _, failure := range f.load.failures {
		fmt.Fprintln(ts.Stdout(), failure)
	}
}
