package attacher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// Calls beside an upstream that sends bytes without end were lost with the memory of their router.
func TestAnswersWithoutEndEndInTrueErrors(t *testing.T) {
	const calls = 60
	for i, fault := range standin.EndlessAnswerFaults() {
		t.Run(string(fault), func(t *testing.T) {
			w := newTestPlatform(t)
			w.upstreams[0].SetAnswerFault(func(*http.Request) standin.AnswerFault { return fault })
			p := w.start(loopback(fmt.Sprintf("10.%d", 140+i)), w.server.Listener.Addr().String())
			w.waitFor("readiness", p.isReady)
			statuses := make([]int, calls)
			var group sync.WaitGroup
			for n := range calls {
				group.Go(func() { statuses[n] = w.callOnce(p, n) })
			}
			group.Wait()
			runs := w.runsByID()
			count := map[int]int{}
			for n, status := range statuses {
				count[status]++
				if ran := runs[callID(n)]; ran > 1 || status != http.StatusServiceUnavailable && ran != 1 || status == http.StatusServiceUnavailable && ran != 0 {
					t.Errorf("call %d: status %d, ran %d times", n, status, ran)
				}
			}
			t.Log(count)
			w.True(count[http.StatusOK] > 0)
			w.True(count[http.StatusBadGateway] > 0)
			w.Equal(count[http.StatusOK]+count[http.StatusBadGateway]+count[http.StatusServiceUnavailable], calls)
			w.True(strings.Contains(p.log.String(), "head of a response without end") == (fault != standin.AnswerFaultEndlessBody))
		})
	}
}

func callID(n int) string { return fmt.Sprintf("%016x", n+1) }

// runsByID counts the runs of each call.
func (w *testPlatform) runsByID() map[string]int {
	runs := map[string]int{}
	for _, u := range w.upstreams {
		for _, r := range u.Runs() {
			runs[r.ID]++
		}
	}
	return runs
}

// callOnce sends a call that may run once and returns its status; -1 means no whole response.
func (w *testPlatform) callOnce(p *process, n int) int {
	c := standin.Call{
		Kind: standin.KindNonIdempotent, ID: callID(n), Key: w.keys[0], Deadline: 8 * time.Second, Body: strings.NewReader(callID(n)),
	}
	r, err := c.Request(context.Background(), p.front)
	if err != nil {
		return -1
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return -1
	}
	return resp.StatusCode
}

// Without a stated memory nothing bounded what callers and upstreams send.
func TestUnstatedMemoryHasBudget(t *testing.T) {
	is := is.New(t)
	is.Equal(memoryBudget(0), int64(defaultMemoryBudget))
	is.Equal(memoryBudget(100), int64(40))
}
