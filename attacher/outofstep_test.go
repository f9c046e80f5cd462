package attacher

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/digester"
	"github.com/kingcuphook/kingcuphook/pinner"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
	"github.com/kingcuphook/kingcuphook/subscriber"
)

// cutStore returns the address of a server that passes calls to the store on until the returned
// switch is set, and then answers none of them.
func (w *testPlatform) cutStore() (string, *atomic.Bool) {
	cut, end := &atomic.Bool{}, make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		reply := httptest.NewRecorder()
		w.served.ServeHTTP(reply, r)
		if cut.Load() {
			<-end
			panic(http.ErrAbortHandler)
		}
		for name, values := range reply.Header() {
			rw.Header()[name] = values
		}
		rw.WriteHeader(reply.Code)
		_, _ = rw.Write(reply.Body.Bytes())
	}))
	w.t.Cleanup(func() { close(end); server.Close() })
	return server.Listener.Addr().String(), cut
}

// replaceVersion replaces the only upstream in service, of version 1, by one of version 2.
func (w *testPlatform) replaceVersion() {
	w.t.Helper()
	old, err := standin.Registration{Address: w.addresses[0], Version: "1", Leaving: true, Born: time.Unix(1_700_000_000, 0), Sequence: w.seq.Add(1)}.Encode()
	w.put(platform.RegistrationPrefix+w.upstreams[0].Instance, old, err)
	w.registerVersion(w.upstreams[1].Instance, w.addresses[1], "2")
}

// Two routers that were cut off from the store and all others confirmed each other's tables, and
// took a stream of a version that had come meanwhile for one of the version that they saw.
func TestResumedStreamIsNotJoinedByRoutersThatAreCutOff(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "1")
	w.NoErr(w.store.Delete(t.Context(), platform.RegistrationPrefix+"i-1", kingcuphook.RevisionAny))
	store, cut := w.cutStore()
	inTouch := w.start(loopback("91.1"), w.server.Listener.Addr().String())
	pair := []*process{w.start(loopback("91.2"), store), w.start(loopback("91.3"), store, loopback("91.2"))}
	for _, p := range append(pair, inTouch) {
		w.waitFor("readiness", p.isReady)
	}
	time.Sleep(4 * time.Second) // until the pair know each other and the record
	cut.Store(true)
	w.replaceVersion()
	time.Sleep(2200 * time.Millisecond) // longer than the versions in service are taken for known
	for _, s := range w.begin(inTouch, 3) {
		w.Equal(w.upstreamOf(s.id), "i-1")
		for _, p := range pair {
			began := time.Now()
			status, _ := w.resumeStream(p, s, s.id)
			w.Equal(status, http.StatusServiceUnavailable) // and not joined to version 1
			w.True(time.Since(began) < time.Second)
		}
	}
}

// A digest that had waited in the socket while the router was paused, or whose sender was out of step
// itself, made the router take its tables for those in force.
func TestOldDigestDoesNotConfirmTables(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	peer := netip.MustParseAddr("127.0.0.1")
	for name, test := range map[string]struct {
		// turns are when the control loop had its last turns, before now.
		turns  []time.Duration
		digest digester.Fields
		want   time.Time
	}{
		"current":               {[]time.Duration{200 * time.Millisecond}, digester.Fields{Current: true, CurrentAge: 120 * time.Millisecond}, now.Add(-120 * time.Millisecond)},
		"sender doesn't know":   {[]time.Duration{200 * time.Millisecond}, digester.Fields{CanFollow: true}, time.Time{}},
		"sender is out of step": {[]time.Duration{200 * time.Millisecond}, digester.Fields{CanFollow: true, Current: true, CurrentAge: time.Minute}, time.Time{}},
		"newer revision":        {[]time.Duration{200 * time.Millisecond}, digester.Fields{Current: true, Revision: 1}, time.Time{}},
		"after a pause":         {[]time.Duration{time.Second}, digester.Fields{Current: true}, time.Time{}},
		"soon after a pause":    {[]time.Duration{5 * time.Second, 100 * time.Millisecond}, digester.Fields{Current: true}, time.Time{}},
		"later":                 {[]time.Duration{5 * time.Second, 600 * time.Millisecond, 300 * time.Millisecond}, digester.Fields{Current: true}, now},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &control{store: &subscriber.Subscriber{}, peers: newPeers(nil, 0)}
			for _, before := range test.turns {
				c.beginTurn(now.Add(-before))
			}
			c.beginTurn(now)
			d, err := digester.Decode(digester.New(test.digest).Encode())
			is.NoErr(err)
			c.compareRevision(now, peer, d)
			is.Equal(c.currentAt, test.want)
		})
	}
}

// The monotonic clock stands still while a VM is suspended, so that what its router knew stayed fresh.
func TestSuspendedRouterDistrustsWhatItKnew(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	upstream := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{SoftwareVersion: "1"})
	pool := kingcuphook.NewPool(kingcuphook.PoolFields{Name: "models", Upstreams: []*kingcuphook.Upstream{upstream}})
	for _, wall := range []time.Duration{200 * time.Millisecond, 5 * time.Second} {
		c := &control{a: &Attacher{pins: &pins{}}, currentAt: now}
		p := &c.a.pins.pinner
		p.Observe(now, kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{pool}))
		p.Apply(now, now, pinner.Record{Pool: "models", Versions: []pinner.RecordedVersion{{Version: "1"}}}, 1)
		p.Confirm(now)
		c.recordGap(now, 200*time.Millisecond, wall)
		_, err := p.Find(now, now, 1, "models")
		is.Equal(err == nil, wall < time.Second)
		is.Equal(c.currentAt.IsZero(), wall > time.Second)
		is.Equal(c.isDrained(now), wall < time.Second)
	}
}
