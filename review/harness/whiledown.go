package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case in which a second version comes while all machines are down.
const (
	// downFor is how long all machines are down, after their processes were killed.
	downFor = 2 * time.Second
	// streamDeadline is how long clients wait for a stream, and retryPause how long they wait
	// between two attempts unless a router asks for longer.
	streamDeadline = 15 * time.Second
	retryPause     = 1500 * time.Millisecond
	maxTries       = 6
	streamRoute    = "/lohu930/"
	modelService   = "huvo11a"
	otherService   = "wuno96b"
	// releaseGap is the time between two runners of a release, one of which is replaced at a time.
	releaseGap = time.Second
	// minTakenUp is the number of streams that are taken up again from which on the rule holds.
	minTakenUp = 12
)

func streamConfig() config {
	return config{
		version: 7, services: []string{modelService, otherService}, engines: map[string]bool{modelService: true},
		routes: []route{{name: "r-fi6y7z5", prefix: streamRoute, kind: "streaming", service: modelService, timeout: streamDeadline, attempts: 2, resumable: true}},
	}
}

// playVersionWhileDown kills all routers while streams run that began at the only version. While
// they are down, a release of half of the runners begins: one after the other, a runner of a second
// version starts and one of the first drains and leaves. The others of the first version serve all
// the time. The clients take their streams up again at the routers that are back.
func playVersionWhileDown(ctx context.Context, w *world) (bool, error) {
	const first, replaced, streams = 8, 4, 24
	newRunner := func(n int) *runner {
		return &runner{id: fmt.Sprintf("i-%d", n), service: modelService, slots: 64, events: 58, interval: 200 * time.Millisecond}
	}
	err := w.start(ctx, 3, streamConfig(), func() error {
		for n := range first {
			if err := w.addRunner(newRunner(n), "1"); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	sleep(ctx, 8*time.Second)
	var wg sync.WaitGroup
	list := make([]*stream, streams)
	for i := range list {
		list[i] = &stream{name: fmt.Sprintf("s%d", i)}
		wg.Go(func() { w.follow(ctx, list[i], i) })
	}
	sleep(ctx, 3*time.Second)
	if w.trouble {
		w.record.add("all routers are killed")
		for _, r := range w.routers {
			r.kill()
		}
		released := make(chan error, 1)
		go func() {
			released <- w.release(ctx, replaced, func() *runner { return newRunner(first + int(releasedCount.Add(1))) })
		}()
		sleep(ctx, downFor)
		for _, r := range w.routers {
			if err := r.start(); err != nil {
				return false, err
			}
		}
		if err := <-released; err != nil {
			return false, err
		}
		sleep(ctx, contactTime+500*time.Millisecond-releaseGap*replaced+downFor)
	} else {
		sleep(ctx, downFor+contactTime+500*time.Millisecond)
	}
	// New streams, from when the machines are in touch again.
	fresh := make([]*stream, streams)
	for i := range fresh {
		fresh[i] = &stream{name: fmt.Sprintf("n%d", i)}
		wg.Go(func() { fresh[i].attempt(ctx, w, w.routers[i%len(w.routers)], streamRoute+"new", streamDeadline) })
		sleep(ctx, 100*time.Millisecond)
	}
	wg.Wait()
	return w.judgeResumptions(list, fresh), nil
}

// releasedCount numbers the runners that a release starts.
var releasedCount atomic.Int64

// release replaces the first n runners, one after the other: the new one starts first, the old one
// drains.
func (w *world) release(ctx context.Context, n int, newRunner func() *runner) error {
	w.mu.Lock()
	old := slices.Clone(w.runners[:n])
	w.mu.Unlock()
	for _, r := range old {
		if err := w.addRunner(newRunner(), "2"); err != nil {
			return err
		}
		go r.drain(ctx)
		sleep(ctx, releaseGap)
	}
	return nil
}

// follow asks for a stream at a router and takes it up again at the others until it is whole, its
// deadline has passed or the client has tried often enough.
func (w *world) follow(ctx context.Context, s *stream, i int) {
	until := time.Now().Add(streamDeadline)
	for n := range maxTries {
		left := time.Until(until)
		if left <= 0 || ctx.Err() != nil || s.whole {
			return
		}
		wait := s.attempt(ctx, w, w.routers[(i+n)%len(w.routers)], streamRoute+"old", left)
		if s.whole {
			return
		}
		sleep(ctx, max(wait, retryPause))
	}
}

// judgeResumptions reports whether the rule LOST for streams that are taken up again is broken, by
// the attempts at machines in touch.
func (w *world) judgeResumptions(resumed, fresh []*stream) bool {
	takenUp, wentOn, begun := 0, 0, 0
	for _, s := range resumed {
		tried, got := false, false
		for _, t := range s.tries {
			if t.resumes && t.inTouch {
				tried, got = true, got || t.got > 0
			}
		}
		if tried {
			takenUp++
		}
		if got {
			wentOn++
		}
	}
	for _, s := range fresh {
		if len(s.events) > 0 {
			begun++
		}
	}
	w.record.add("%d streams were taken up again at machines in touch, %d of them went on; %d of %d new streams began", takenUp, wentOn, begun, len(fresh))
	if takenUp < minTakenUp || begun == 0 {
		return false
	}
	return float64(wentOn)/float64(takenUp) < 0.5*float64(begun)/float64(len(fresh))
}
