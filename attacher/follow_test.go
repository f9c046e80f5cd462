package attacher

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/delegator"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// startFleet runs routers of one data centre.
func (w *world) startFleet(network, n int) []*process {
	w.t.Helper()
	ips := make([]string, n)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.0.%d.%d", network, i+1)
		needsLoopback(w.t, ips[i])
	}
	fleet := make([]*process, n)
	for i, ip := range ips {
		fleet[i] = w.start(ip, w.server.Listener.Addr().String(), ips[0], ips[1])
	}
	// All stop at the same time at the end of the test.
	w.t.Cleanup(func() {
		for _, p := range fleet {
			p.stop()
		}
	})
	for _, p := range fleet {
		w.eventually("readiness", p.isReady)
	}
	return fleet
}

// mostWatches returns the largest number of watches open at once within a second.
func (w *world) mostWatches() int64 {
	most := int64(0)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		most = max(most, w.watches.Load())
	}
	return most
}

// refuses reports whether a router no longer takes a key.
func (p *process) refuses(key string) bool {
	status, _, err := p.call(standin.KindStream, key)
	return err == nil && status == http.StatusUnauthorized
}

// applyTime is how long a change may take until it is in force everywhere.
const applyTime = 3 * time.Second

// withdrawKey withdraws the key of the organisation, and looks how long the routers
// take it.
func (w *world) withdrawKey(fleet []*process) {
	w.t.Helper()
	w.keys = []string{"other"}
	w.declare()
	changed := time.Now()
	for _, p := range fleet {
		w.eventually("the end of the key", func() bool { return p.refuses("secret") })
	}
	if d := time.Since(changed); d > applyTime {
		w.t.Errorf("a change was in force everywhere after %v, want at most %v", d, applyTime)
	}
}

func TestFewRoutersFollowTheStore(t *testing.T) {
	w := newWorld(t)
	fleet := w.startFleet(11, 7)
	w.eventually("the end of the other watches", func() bool { return w.mostWatches() <= delegator.Count })
	w.withdrawKey(fleet)
}

func TestRoutersOutliveThoseThatFollowTheStore(t *testing.T) {
	w := newWorld(t)
	fleet := w.startFleet(12, 6)
	w.eventually("the end of the other watches", func() bool { return w.mostWatches() <= delegator.Count })
	for _, p := range fleet[:4] { // at least one of those that follow the store
		p.stop()
	}
	for _, p := range fleet[:4] {
		w.NoErr(<-p.ended)
	}
	w.withdrawKey(fleet[4:])
}

func TestFleetComesBackWithTheStore(t *testing.T) {
	w := newWorld(t)
	fleet := w.startFleet(13, 6)
	w.eventually("the end of the other watches", func() bool { return w.mostWatches() <= delegator.Count })
	w.refuseAll.Store(true)
	for _, p := range fleet {
		w.eventually("the loss of the store", func() bool { return strings.Contains(p.log.String(), "KCH1104") })
	}
	w.keys = []string{"other"}
	w.declare()
	w.refuseAll.Store(false)
	back := time.Now()
	for _, p := range fleet {
		w.eventually("the end of the key", func() bool { return p.refuses("secret") })
	}
	if d := time.Since(back); d > 4*time.Second {
		t.Errorf("all knew the change %v after the return of the store, want at most 4 s", d)
	}
	w.eventually("the end of the other watches", func() bool { return w.mostWatches() <= delegator.Count })
}
