package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Figures of the case of a request that crashes runners.
const (
	// backTime is how long after a crash a runner is back.
	backTime = 3 * time.Second
	// crashBody marks the request that crashes runners.
	crashBody = "a question that no runner bears"
	// crashesKnown is the number of crashes from which on, and after contactTime, the rule
	// bounds the further retries by maxCrashRetries.
	crashesKnown    = 3
	maxCrashRetries = 3
	// allKills is how often all processes are killed, repeats how often the request comes between
	// two of these times, at another machine each time.
	allKills = 4
	repeats  = 6
)

// playCrashingBody sends the same request, which crashes each runner that begins to run it, again
// and again, and kills all processes of the system now and then.
func playCrashingBody(ctx context.Context, w *world) (bool, error) {
	c := config{
		version: 7, services: []string{modelService, otherService}, engines: map[string]bool{modelService: true},
		routes: []route{{name: "r-lookup", prefix: postRoute, kind: "safe", service: otherService, timeout: 3 * time.Second, attempts: 2}},
	}
	err := w.start(ctx, 3, c, func() error {
		for n := range 6 {
			r := &runner{id: fmt.Sprintf("i-%d", n), service: otherService, slots: 6, work: 30 * time.Millisecond, backAfter: backTime, crashes: isCrashing}
			if err := w.addRunner(r, "1"); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	kills := 0
	if w.trouble {
		kills = allKills
	}
	for round := range allKills + 1 {
		sleep(ctx, contactTime+500*time.Millisecond)
		for n := range repeats {
			w.post(ctx, w.routers[(round+n)%len(w.routers)], crashBody)
			w.post(ctx, w.routers[(round+n+1)%len(w.routers)], "a sound question")
			sleep(ctx, 400*time.Millisecond)
		}
		if round >= kills {
			continue
		}
		w.record.add("all routers are killed")
		for _, r := range w.routers {
			r.kill()
		}
		sleep(ctx, downFor)
		for _, r := range w.routers {
			if err := r.start(); err != nil {
				return false, err
			}
		}
		if err := w.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	return w.judgeCrashes(), nil
}

// isCrashing reports whether a request is the one that crashes runners.
func isCrashing(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/crash") }

func (w *world) post(ctx context.Context, r *router, body string) {
	path := postRoute + "sound"
	if body == crashBody {
		path = postRoute + "crash"
	}
	id := newAttemptID()
	w.sentInTouch[id] = r.inTouchAt(time.Now())
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+path, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set(headerAttempt, id)
	req.Header.Set(headerDeadline, "3000")
	req.Header.Set("Authorization", "Token "+apiKey)
	resp, err := freshClient().Do(req)
	if err != nil {
		w.record.add("request %s (%s) at %s, in touch %v: %v", id, body, r.name, w.sentInTouch[id], err)
		return
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	w.record.add("request %s (%s) at %s, in touch %v: status %d, %s", id, body, r.name, w.sentInTouch[id], resp.StatusCode, strings.TrimSpace(string(text)))
}

// judgeCrashes reports whether the request reached runners in more retries than the rule allows.
func (w *world) judgeCrashes() bool {
	var crashes []callRun
	for _, run := range w.allRuns() {
		if strings.HasSuffix(run.path, "/crash") {
			crashes = append(crashes, run)
		}
	}
	sortByTime(crashes)
	late := 0
	for i, run := range crashes {
		isLate := i >= crashesKnown && run.at.Sub(crashes[crashesKnown-1].at) > contactTime && w.sentInTouch[run.id]
		if isLate {
			late++
		}
		w.record.add("crash %d: runner %s, request %s, at %.3f, later than contactMs after the third and sent by a machine in touch: %v", i+1, run.runner, run.id, run.at.Sub(w.record.begun).Seconds(), isLate)
	}
	w.record.add("%d retries, sent by machines in touch, reached runners later than contactMs after the third crash", late)
	return late > maxCrashRetries
}
