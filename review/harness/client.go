package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// attempts counts the attempts of all clients.
var attempts atomic.Int64

func newAttemptID() string { return fmt.Sprintf("%016x", time.Now().UnixNano()^attempts.Add(1)<<40) }

// freshClient opens a connection for each attempt, as clients do when they try again.
func freshClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// stream is a stream that a client asks for, with the client's attempts for it.
type stream struct {
	name  string
	first string
	// parts are the IDs of the parts of its prompt before the last; nil means one shared part.
	parts []string
	// client makes the attempts; nil means one with a new connection for each.
	client *http.Client
	// begunAt is when its first event came, and events those that came.
	begunAt time.Time
	events  []event
	// whole is true once it has ended as complete.
	whole bool
	tries []try
}

// event is an event of a stream: its ID and its data, which is the version of its runner.
type event struct {
	id      int
	version string
}

// try is one attempt of a client.
type try struct {
	id, router string
	at         time.Time
	inTouch    bool
	resumes    bool
	status     int
	got        int
	err        error
}

// attempt makes one attempt for the stream at a router and returns the time that the router asks
// the client to wait.
func (s *stream) attempt(ctx context.Context, w *world, r *router, path string, left time.Duration) time.Duration {
	id := newAttemptID()
	t := try{id: id, router: r.name, at: time.Now(), inTouch: r.inTouchAt(time.Now()), resumes: len(s.events) > 0}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+path, strings.NewReader("question "+s.name))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set(headerAttempt, id)
	req.Header.Set(headerModel, "m")
	req.Header.Set(headerUsage, "200,290")
	parts := s.parts
	if parts == nil {
		parts = []string{sharedPart}
	}
	req.Header.Set(headerPrefix, strings.Join(append(slices.Clone(parts), id[8:]), ":100,")+":100")
	req.Header.Set(headerDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+apiKey)
	if t.resumes {
		req.Header.Set(headerLastEvent, strconv.Itoa(s.events[len(s.events)-1].id))
		req.Header.Set(headerResumes, s.first)
	}
	wait := time.Duration(0)
	client := s.client
	if client == nil {
		client = freshClient()
	}
	resp, err := client.Do(req)
	if err == nil {
		t.status = resp.StatusCode
		if seconds, e := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); e == nil {
			wait = time.Duration(seconds * float64(time.Second))
		}
		if resp.StatusCode == http.StatusOK && resp.Header.Get(headerStamp) != "" {
			t.got, err = s.read(resp.Body, id)
		}
		resp.Body.Close()
	}
	t.err = err
	s.tries = append(s.tries, t)
	w.record.add("client %s: attempt %s at %s, in touch %v, resumes %v: status %d, %d events, whole %v, error %v", s.name, id, r.name, t.inTouch, t.resumes, t.status, t.got, s.whole, err)
	return wait
}

// read reads the events of an answer until it ends, and returns their number.
func (s *stream) read(body io.Reader, attempt string) (int, error) {
	n, lines := 0, bufio.NewReader(body)
	var e event
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			s.whole = err == io.EOF //nolint:errorlint // only a bare io.EOF marks the end
			if s.whole {
				return n, nil
			}
			return n, err
		}
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			e.id, _ = strconv.Atoi(id)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			e.version = data
		}
		if line != "" {
			continue
		}
		if len(s.events) == 0 {
			s.first, s.begunAt = attempt, time.Now()
		}
		s.events = append(s.events, e)
		n++
	}
}

// versions returns the versions of the runners whose events the stream has, in order.
func (s *stream) versions() []string {
	var list []string
	for _, e := range s.events {
		if len(list) == 0 || list[len(list)-1] != e.version {
			list = append(list, e.version)
		}
	}
	return list
}
