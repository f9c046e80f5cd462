package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Figures of the case of a sound runner that falls silent.
const (
	// silence is how long the runner is silent: a second or so.
	silence = 1300 * time.Millisecond
	// gapAim is the longest pause between two events with which a stream of the route is on time.
	gapAim = 250 * time.Millisecond
	// dropTime is how long after a request goes on at another runner the one before may still
	// work on it.
	dropTime = 400 * time.Millisecond
)

// playSilentRunner has one runner after the other fall silent and go on, while streams run there.
func playSilentRunner(ctx context.Context, w *world) (bool, error) {
	const runners, streams = 3, 40
	var list []*runner
	c := streamConfig()
	c.routes[0].gapAim = gapAim
	err := w.start(ctx, 3, c, func() error {
		for n := range runners {
			r := &runner{id: fmt.Sprintf("i-%d", n), service: modelService, slots: 64, events: 58, interval: 60 * time.Millisecond}
			list = append(list, r)
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
	wg.Go(func() {
		for i := range streams {
			s := &stream{name: fmt.Sprintf("s%d", i)}
			wg.Go(func() { s.attempt(ctx, w, w.routers[i%len(w.routers)], streamRoute+"x", streamDeadline) })
			sleep(ctx, 300*time.Millisecond)
		}
	})
	sleep(ctx, 2*time.Second)
	for _, r := range list {
		if w.trouble {
			w.record.add("runner %s falls silent for %v", r.id, silence)
			r.fallSilent(silence)
		}
		sleep(ctx, 3500*time.Millisecond)
	}
	wg.Wait()
	sleep(ctx, time.Second)
	return w.judgeTwice(), nil
}

// judgeTwice reports whether requests went on at another runner while the one before still worked
// on them dropTime later.
func (w *world) judgeTwice() bool {
	byID := make(map[string][]callRun)
	for _, run := range w.allRuns() {
		byID[run.id] = append(byID[run.id], run)
	}
	twice := 0
	for id, runs := range byID {
		sortByTime(runs)
		for i := 1; i < len(runs); i++ {
			before, after := runs[i-1], runs[i]
			overlap := before.endedAt.Sub(after.at)
			if before.endedAt.IsZero() || overlap > dropTime {
				twice++
			}
			w.record.add("request %s ran at %s from %.3f to %.3f, and went on at %s at %.3f, after event %s: both worked for %v",
				id, before.runner, before.at.Sub(w.record.begun).Seconds(), before.endedAt.Sub(w.record.begun).Seconds(), after.runner, after.at.Sub(w.record.begun).Seconds(), after.lastEvent, overlap)
		}
	}
	w.record.add("%d requests went on at another runner while the one before still worked on them %v later", twice, dropTime)
	return twice > 0
}
