package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case of a part of prompts that crashes runners.
const (
	// badPart is the ID of the part, sharedPart that of a part that sound requests have as well.
	badPart    = "91bd3f06"
	sharedPart = "5c1e07a2"
	// partCrashesKnown is the number of crashes from which on, and after contactTime, the rule
	// bounds the further requests by maxPartRequests.
	partCrashesKnown = 5
	maxPartRequests  = 3
	// badInterval is the time between two requests with the part, soundInterval that between two
	// sound ones.
	badInterval   = 700 * time.Millisecond
	soundInterval = 5 * time.Second
	partPlayTime  = 40 * time.Second
)

// playCrashingPart sends requests with the part at a steady rate, while few sound requests come.
func playCrashingPart(ctx context.Context, w *world) (bool, error) {
	err := w.start(ctx, 3, streamConfig(), func() error {
		for n := range 12 {
			r := &runner{id: fmt.Sprintf("i-%d", n), service: modelService, slots: 64, events: 10, interval: 50 * time.Millisecond, backAfter: backTime, crashes: hasBadPart}
			if err := w.addRunner(r, "1"); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	sleep(ctx, contactTime+2*time.Second)
	var wg sync.WaitGroup
	until := time.Now().Add(partPlayTime)
	send := func(kind string, parts []string, every time.Duration) {
		for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
			s := &stream{name: fmt.Sprintf("%s-%d", kind, n), parts: parts}
			r := w.routers[n%len(w.routers)]
			wg.Go(func() { s.attempt(ctx, w, r, streamRoute+kind, streamDeadline) })
			sleep(ctx, every)
		}
	}
	wg.Go(func() { send("sound", []string{sharedPart}, soundInterval) })
	if w.trouble {
		wg.Go(func() { send("bad", []string{sharedPart, badPart}, badInterval) })
	}
	wg.Wait()
	return w.judgePart(), nil
}

func hasBadPart(r *http.Request) bool {
	return strings.Contains(r.Header.Get(headerPrefix), badPart+":")
}

// judgePart reports whether more requests with the part reached runners than the rule allows.
func (w *world) judgePart() bool {
	var crashes []callRun
	for _, run := range w.allRuns() {
		if strings.HasSuffix(run.path, "/bad") {
			crashes = append(crashes, run)
		}
	}
	sortByTime(crashes)
	late := make(map[string]bool)
	for i, run := range crashes {
		if i >= partCrashesKnown && run.at.Sub(crashes[partCrashesKnown-1].at) > contactTime {
			late[run.id] = true
		}
		w.record.add("crash %d: runner %s, request %s, at %.3f, counted as late: %v", i+1, run.runner, run.id, run.at.Sub(w.record.begun).Seconds(), late[run.id])
	}
	w.record.add("%d requests with the part reached runners later than contactMs after the fifth crash", len(late))
	return len(late) > maxPartRequests
}
