package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Figures of the case in which runners start again with another version of their software.
const (
	// restartTime is how long a runner is away when it crashes and starts again.
	restartTime = 2 * time.Second
	// nextAfter is how long after a runner is back the next one crashes.
	nextAfter = 100 * time.Millisecond
	// maxMixed is how many streams may hold events of two versions.
	maxMixed = 2
)

// sortByTime sorts runs by when they began.
func sortByTime(runs []callRun) {
	slices.SortFunc(runs, func(a, b callRun) int { return a.at.Compare(b.at) })
}

// playRestartedVersion has the runners of a service crash one after the other. Each is back under
// its ID and at its address, with a new version of its software, and registers at once.
func playRestartedVersion(ctx context.Context, w *world) (bool, error) {
	const runners, streams = 4, 90
	var list []*runner
	err := w.start(ctx, 3, streamConfig(), func() error {
		for n := range runners {
			r := &runner{id: fmt.Sprintf("i-%d", n), service: modelService, slots: 64, events: 58, interval: 100 * time.Millisecond}
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
	sleep(ctx, 8*time.Second)
	var wg sync.WaitGroup
	all := make([]*stream, streams)
	wg.Go(func() {
		for i := range all {
			all[i] = &stream{name: fmt.Sprintf("s%d", i)}
			wg.Go(func() { w.follow(ctx, all[i], i) })
			sleep(ctx, 130*time.Millisecond)
		}
	})
	sleep(ctx, 2*time.Second)
	if w.trouble {
		for _, r := range list {
			w.record.add("runner %s crashes", r.id)
			r.crash()
			sleep(ctx, restartTime)
			if err := r.start("2"); err != nil {
				return false, err
			}
			sleep(ctx, nextAfter)
		}
	}
	wg.Wait()
	mixed := 0
	for _, s := range all {
		if versions := s.versions(); len(versions) > 1 {
			mixed++
			w.record.add("stream %s has events of the versions %v in order, whole %v", s.name, versions, s.whole)
		}
	}
	w.record.add("%d of %d streams hold events of two versions", mixed, len(all))
	return mixed > maxMixed, nil
}
