package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// outage is how long the store turns all calls away with 503.
const outage = 4500 * time.Millisecond

// playUnrecorded begins streams at two versions that have served side by side from the start, while
// the store turns all calls away, and kills all routers just before the store is back.
func playUnrecorded(ctx context.Context, w *world) (bool, error) {
	const streams = 24
	err := w.start(ctx, 3, streamConfig(), func() error {
		for n := range 8 {
			r := &runner{id: fmt.Sprintf("i-%d", n), service: modelService, slots: 64, events: 58, interval: 200 * time.Millisecond}
			if err := w.addRunner(r, fmt.Sprint(1+n%2)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	sleep(ctx, 8*time.Second)
	if w.trouble {
		w.record.add("the store turns all calls away")
		w.storeStatus.Store(http.StatusServiceUnavailable)
	}
	sleep(ctx, outage/3)
	var wg sync.WaitGroup
	list := make([]*stream, streams)
	for i := range list {
		list[i] = &stream{name: fmt.Sprintf("s%d", i)}
		wg.Go(func() { w.follow(ctx, list[i], i) })
	}
	sleep(ctx, outage*2/3)
	if w.trouble {
		w.record.add("all routers are killed")
		for _, r := range w.routers {
			r.kill()
		}
		w.storeStatus.Store(0)
		sleep(ctx, downFor)
		for _, r := range w.routers {
			if err := r.start(); err != nil {
				return false, err
			}
		}
	}
	sleep(ctx, contactTime+500*time.Millisecond)
	fresh := make([]*stream, streams)
	for i := range fresh {
		fresh[i] = &stream{name: fmt.Sprintf("n%d", i)}
		wg.Go(func() { fresh[i].attempt(ctx, w, w.routers[i%len(w.routers)], streamRoute+"new", streamDeadline) })
		sleep(ctx, 100*time.Millisecond)
	}
	wg.Wait()
	return w.judgeResumptions(list, fresh), nil
}
