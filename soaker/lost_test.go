package soaker

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestConnectionThatEndsWithoutAnswerIsNoticed guards against a client that sends a request
// again by itself and so hides one that got no answer.
func TestConnectionThatEndsWithoutAnswerIsNoticed(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   Outcome
	}{
		"none":        {"", OutcomeUnanswered},
		"half head":   {"HTTP/1.1 200 OK\r\nContent-Le", OutcomeCut},
		"half answer": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", OutcomeCut},
		"whole":       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwhole"[:42], OutcomeComplete},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		requests := make(chan int)
		go func() { requests <- answerOnce(l, test.answer) }()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		line := &line{router: &router{callers: l.Addr().String()}}
		a := line.exchange(context.Background(), r, time.Now().Add(5*time.Second), 0)
		l.Close()
		if n := <-requests; a.outcome != test.want || n != 1 {
			t.Errorf("%s: outcome %q after %d requests, want %q after 1", name, a.outcome, n, test.want)
		}
	}
}

// answerOnce reads the requests of each connection, answers each with the text and closes the
// connection, until the listener is closed. It returns the number of requests.
func answerOnce(l net.Listener, text string) int {
	n := 0
	for {
		conn, err := l.Accept()
		if err != nil {
			return n
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			n++
		}
		_, _ = conn.Write([]byte(text))
		conn.Close()
	}
}

// TestLostCallIsReported guards against excuses that hide a call that a running router lost.
func TestLostCallIsReported(t *testing.T) {
	now := time.Now()
	sound := reach{ran: []*upstream{{}}}
	broken := reach{ran: []*upstream{{troubles: []period{{begin: now.Add(-time.Second)}}}}}
	none, rejected := reach{}, reach{rejected: 1}
	env := &environment{parts: []*crashingPart{{"bad", []time.Time{now.Add(time.Second)}}, {"unseen", nil}}}
	for name, test := range map[string]struct {
		outcome Outcome
		status  int
		took    time.Duration
		reach   reach
		part    string
		want    bool
	}{
		"unanswered at once":           {OutcomeUnanswered, 0, crossingTime / 2, none, "", false},
		"unanswered later":             {OutcomeUnanswered, 0, 2 * crossingTime, none, "", true},
		"unanswered, passed on":        {OutcomeUnanswered, 0, crossingTime / 2, broken, "", true},
		"unanswered, rejected":         {OutcomeUnanswered, 0, crossingTime / 2, rejected, "", true},
		"cut":                          {OutcomeCut, 200, time.Second, sound, "", true},
		"cut by its upstream":          {OutcomeCut, 200, time.Second, broken, "", false},
		"cut at its deadline":          {OutcomeCut, 200, callTimeout, sound, "", false},
		"failed":                       {OutcomeFailed, 502, time.Second, sound, "", true},
		"failed before any run":        {OutcomeFailed, 502, time.Second, rejected, "", false},
		"refused, complete answer":     {OutcomeRefused, 503, time.Second, none, "", false},
		"failed, part crashed":         {OutcomeFailed, 502, 1500 * time.Millisecond, sound, "bad", false},
		"failed before the part":       {OutcomeFailed, 502, 500 * time.Millisecond, sound, "bad", true},
		"failed, part has not crashed": {OutcomeFailed, 502, 1500 * time.Millisecond, sound, "unseen", true},
		"cut, part crashed":            {OutcomeCut, 200, 1500 * time.Millisecond, sound, "bad", true},
		"unanswered, part crashed":     {OutcomeUnanswered, 0, 1500 * time.Millisecond, sound, "bad", true},
	} {
		c := &call{timeout: callTimeout, sent: now, written: now, ended: now.Add(test.took), outcome: test.outcome, status: test.status, parts: []string{test.part}}
		if why := env.lost(c, test.reach); (why != "") != test.want {
			t.Errorf("%s: %q, reported is to be %v", name, why, test.want)
		}
	}
}
