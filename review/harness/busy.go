package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playBusySilence has one runner after the other fall silent and go on, while five of six slots of all
// runners are taken, and counts the streams on kept connections that are cut. Each runner lets few
// calls wait and turns others away.
func playBusySilence(ctx context.Context, w *world) (bool, error) {
	const routers, runners, slots, queue, clients = 6, 3, 32, 4, 80
	var list []*runner
	c := streamConfig()
	c.routes[0].gapAim = gapAim
	err := w.start(ctx, routers, c, func() error {
		for n := range runners {
			r := &runner{id: fmt.Sprintf("i-%d", n), service: modelService, slots: slots, queue: queue, events: 58, interval: 60 * time.Millisecond}
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
	until := time.Now().Add(24 * time.Second)
	kept := make([][]*stream, clients)
	for i := range clients {
		wg.Go(func() {
			sleep(ctx, time.Duration(i)*3500*time.Millisecond/time.Duration(clients))
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
				s := &stream{name: fmt.Sprintf("c%d-%d", i, n), client: client}
				kept[i] = append(kept[i], s)
				if wait := s.attempt(ctx, w, w.routers[i%len(w.routers)], streamRoute+"x", streamDeadline); !s.whole {
					sleep(ctx, max(wait, 300*time.Millisecond))
				}
			}
		})
	}
	sleep(ctx, 6*time.Second)
	for range 2 {
		for _, r := range list {
			if w.trouble {
				w.record.add("runner %s falls silent for %v", r.id, silence)
				r.fallSilent(silence)
			}
			sleep(ctx, 3*time.Second)
		}
	}
	wg.Wait()
	sleep(ctx, time.Second)
	all, cut, refused, failed := 0, 0, 0, 0
	for _, streams := range kept {
		for _, s := range streams {
			all++
			t := s.tries[0]
			switch {
			case s.whole:
			case t.status == http.StatusOK:
				cut++
				w.record.add("stream %s at %s: cut after %d of 58 events: %v", s.name, t.router, t.got, t.err)
			case t.status == http.StatusServiceUnavailable:
				refused++
			default:
				failed++
			}
		}
	}
	w.judgeTwice()
	w.record.add("of %d streams on kept connections %d were cut after some events, %d refused, %d failed otherwise", all, cut, refused, failed)
	return cut > maxLost, nil
}
