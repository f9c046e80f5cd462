package attacher

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/forwarder"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// stopLoad sends calls of each kind to the first router for a time, and those that are refused to
// the next one. It waits for the results.
func stopLoad(length time.Duration, routers ...*process) *stopTrial {
	s := &stopTrial{}
	var calls sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, kind := range []standin.Kind{standin.KindStream, standin.KindResumableStream, standin.KindNonIdempotent} {
			calls.Go(func() {
				var status int
				var err error
				for _, p := range routers {
					status, _, err = p.call(kind, "secret")
					if status != 0 && status != http.StatusServiceUnavailable {
						break
					}
				}
				s.add(status, err)
			})
		}
	}
	calls.Wait()
	return s
}

// helper returns the router through which a router sent its last calls.
func (f *cutFleet) helper(router int) *process {
	f.t.Helper()
	lines := strings.Split(f.routers[router].log.String(), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		for j, source := range f.sources {
			if strings.Contains(lines[i], logger.RequestRelayed.Message) && strings.Contains(lines[i], " peer="+source.String()+" ") {
				return f.routers[j]
			}
		}
	}
	f.t.Fatal("no call was relayed")
	return nil
}

// Relayed calls were cut at the end of a stop of their router, or of the one that relays them.
func TestPlannedStopCutsNoRelayedCalls(t *testing.T) {
	for i, stopped := range []string{"router", "helper"} {
		t.Run(stopped, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t, 171+i, 3)
			for _, u := range f.upstreams {
				u.EventInterval = 50 * time.Millisecond // a second for each stream
			}
			f.cut(1, forwarder.FaultHang)
			time.Sleep(cutNoticed)
			stopLoad(time.Second, f.routers[0])
			p := f.routers[0]
			if stopped == "helper" {
				p = f.helper(0)
			}
			time.AfterFunc(700*time.Millisecond, p.stop)
			result := stopLoad(f.grace+time.Second, f.routers[0])
			t.Logf("whole %d, cut %d, refused %d, closed %d", result.whole, result.cut, result.refused, result.closed)
			f.Equal(result.cut, 0)
			if stopped == "helper" {
				f.True(result.whole > result.refused+result.closed)
			}
		})
	}
}

// A helper stopped under a relayed stream whose upstream had sent nothing for 3 s.
func TestPlannedStopOfHelperAwaitsSilentUpstream(t *testing.T) {
	w := newTestPlatform(t)
	w.grace = 12 * time.Second
	for _, u := range w.upstreams {
		u.Events = 2
	}
	f := newCutFleetOn(w, 174, 3)
	f.cut(1, forwarder.FaultHang)
	time.Sleep(cutNoticed)
	stopLoad(time.Second, f.routers[0])
	for _, u := range f.upstreams {
		u.EventInterval = 4 * time.Second
	}
	calls := make(chan error, 4)
	for range cap(calls) {
		go func() { calls <- f.readStream(f.routers[0]) }()
	}
	time.Sleep(200 * time.Millisecond)
	f.helper(0).stop()
	for range cap(calls) {
		f.NoErr(<-calls)
	}
}

// readStream sends a call for a stream and reads it to its end.
func (f *cutFleet) readStream(p *process) error {
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	c := standin.Call{Kind: standin.KindStream, ID: id, Key: "secret", Deadline: 9 * time.Second, Body: strings.NewReader("question")}
	r, err := c.Request(f.t.Context(), p.front)
	if err != nil {
		return err
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Calls that were sent once more, or resumed, at a router that was stopped next were cut.
func TestPlannedStopsInTurnCutNoCalls(t *testing.T) {
	w := newTestPlatform(t)
	var streams atomic.Int64
	for _, u := range w.upstreams {
		u.SetAbort(func(r *http.Request, event int) bool {
			isFirst := strings.Contains(r.URL.Path, string(standin.KindResumableStream)) && r.Header.Get("Last-Event-Id") == ""
			return isFirst && event == 7 && streams.Add(1)%8 == 0
		})
	}
	routers := w.startFleet(173, 3)
	stopLoad(time.Second, routers...)
	time.AfterFunc(500*time.Millisecond, routers[0].stop)
	time.AfterFunc(1500*time.Millisecond, routers[1].stop)
	result := stopLoad(w.grace+2*time.Second, routers...)
	t.Logf("whole %d, cut %d, refused %d, closed %d", result.whole, result.cut, result.refused, result.closed)
	w.Equal(result.cut, 0)
	w.True(result.whole > result.refused+result.closed)
	w.True(streams.Load() >= 8)
}
