package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// playChangedPath sends requests whose paths begin with two slashes and have escaped bytes, on a
// route whose prefix is a slash, and compares the paths that the runner gets.
func playChangedPath(ctx context.Context, w *world) (bool, error) {
	c := config{
		version: 7, services: []string{otherService}, engines: map[string]bool{},
		routes: []route{{name: "r-root", prefix: "/", kind: "safe", service: otherService, timeout: 3 * time.Second, attempts: 1}},
	}
	err := w.start(ctx, 2, c, func() error {
		return w.addRunner(&runner{id: "i-0", service: otherService, slots: 64, work: 10 * time.Millisecond}, "1")
	})
	if err != nil {
		return false, err
	}
	sleep(ctx, contactTime+time.Second)
	paths := []string{"/cups/a%2Fb?x=1", "/cups/50%25", "/cups/"}
	if w.trouble {
		paths = append(paths, "//cups/a%2Fb?x=1", "//cups/50%25", "//cups/?")
	}
	broken := false
	for _, path := range paths {
		id := newAttemptID()
		status, err := w.get(w.routers[0], path, id)
		if err != nil {
			return false, err
		}
		for _, run := range w.allRuns() {
			if run.id != id {
				continue
			}
			w.record.add("request %s sent with path %q, status %d: the runner got %q", id, path, status, run.path)
			broken = broken || run.path != path
		}
	}
	return broken, nil
}

// get sends a request with a path as it stands and returns the status.
func (w *world) get(r *router, path, id string) (int, error) {
	c, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		return 0, fmt.Errorf("harness: %w", err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\nAuthorization: Token %s\r\nConnection: close\r\n\r\n",
		path, host, headerAttempt, id, headerDeadline, apiKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, fmt.Errorf("harness: %w", err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}
