package attacher

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/delegator"
	"github.com/kingcuphook/kingcuphook/platform/standin"
	"github.com/kingcuphook/kingcuphook/subscriber"
)

// startFleet runs n routers of one data centre and waits until all are ready.
func (w *testPlatform) startFleet(network, n int) []*process {
	w.t.Helper()
	return w.startAll(network, n, loopback(fmt.Sprintf("%d.1", network)), loopback(fmt.Sprintf("%d.%d", network, min(n, 2))))
}

// startAll starts n routers that know of the given others, and ends all at the same time at the end of the test.
func (w *testPlatform) startAll(network, n int, seeds ...string) []*process {
	w.t.Helper()
	ips := make([]string, n)
	for i := range ips {
		ips[i] = loopback(fmt.Sprintf("%d.%d", network, i+1))
		requireLoopback(w.t, ips[i])
	}
	fleet := make([]*process, n)
	for i, ip := range ips {
		fleet[i] = w.start(ip, w.server.Listener.Addr().String(), seeds...)
	}
	w.t.Cleanup(func() {
		for _, p := range fleet {
			p.stop()
		}
	})
	for _, p := range fleet {
		w.waitFor("readiness", p.isReady)
	}
	return fleet
}

// maxWatches returns the highest number of open watch calls within a second.
func (w *testPlatform) maxWatches() int64 {
	most := int64(0)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		most = max(most, w.watches.Load())
	}
	return most
}

// rejects reports whether a router rejects a key.
func (p *process) rejects(key string) bool {
	status, _, err := p.call(standin.KindStream, key)
	return err == nil && status == http.StatusUnauthorized
}

// applyTime is the time within which all routers must apply a change.
const applyTime = 3 * time.Second

// revokeKey revokes the key of the organisation, and fails the test if a router of
// the fleet accepts it for too long.
func (w *testPlatform) revokeKey(fleet []*process) {
	w.t.Helper()
	w.keys = []string{"other"}
	w.declare()
	changed := time.Now()
	for _, p := range fleet {
		w.waitFor("the revoked key to be rejected", func() bool { return p.rejects("secret") })
	}
	if d := time.Since(changed); d > applyTime {
		w.t.Errorf("all routers applied the change after %v, want at most %v", d, applyTime)
	}
}

// Only the delegates of a data centre watch the store for long, to limit its load, and
// a change must still reach all routers in time.
func TestFewRoutersFollowTheStore(t *testing.T) {
	w := newTestPlatform(t)
	fleet := w.startFleet(11, 7)
	w.waitFor("all but the delegates to stop watching", func() bool { return w.maxWatches() <= delegator.Count })
	w.revokeKey(fleet)
}

func TestOtherRoutersReplaceStoppedDelegates(t *testing.T) {
	w := newTestPlatform(t)
	fleet := w.startFleet(12, 6)
	w.waitFor("all but the delegates to stop watching", func() bool { return w.maxWatches() <= delegator.Count })
	for _, p := range fleet[:4] { // at least one of them follows the store
		p.stop()
	}
	for _, p := range fleet[:4] {
		w.NoErr(<-p.ended)
	}
	w.revokeKey(fleet[4:])
}

// All routers try to follow a store that is unavailable. Once it is available again,
// a change made meanwhile must reach all in time, and only the delegates go on watching.
func TestFleetRecoversAfterStoreOutage(t *testing.T) {
	w := newTestPlatform(t)
	fleet := w.startFleet(13, 6)
	w.waitFor("all but the delegates to stop watching", func() bool { return w.maxWatches() <= delegator.Count })
	w.storeDown.Store(true)
	for _, p := range fleet {
		w.waitFor("the log event of the unavailable store", func() bool { return strings.Contains(p.log.String(), "KCH1104") })
	}
	w.keys = []string{"other"}
	w.declare()
	w.storeDown.Store(false)
	back := time.Now()
	for _, p := range fleet {
		w.waitFor("the revoked key to be rejected", func() bool { return p.rejects("secret") })
	}
	if d := time.Since(back); d > 4*time.Second {
		t.Errorf("all routers applied the change %v after the store was available again, want at most 4 s", d)
	}
	w.waitFor("all but the delegates to stop watching", func() bool { return w.maxWatches() <= delegator.Count })
}

// The control loop wrote the role while its reader, whose context had ended, read it: a data race.
func TestRoleIsNotReadWhileItIsWritten(t *testing.T) {
	is := is.New(t)
	c := &control{
		inbox: make(chan func(time.Time)),
		store: &subscriber.Subscriber{},
		peers: &peers{joined: time.Now()},
	}
	c.delegator.Self, c.self = netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.1")
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		got := make(chan role)
		go func() { got <- c.role(ctx) }()
		event := <-c.inbox
		cancel()
		event(time.Now())
		if r := <-got; !r.joined.IsZero() {
			is.Equal(r.joined, c.peers.joined)
		}
	}
}
