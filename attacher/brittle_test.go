package attacher

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	brittleUpstreams, brittleSlots = 4, 4
	brittleRunTime                 = 100 * time.Millisecond
	// borne is the number of calls a second that the upstreams bear together.
	borne = brittleUpstreams * brittleSlots * 10
)

// limitRoom replaces the upstreams by ones with few slots and little room to wait.
func (w *testPlatform) limitRoom() {
	for _, u := range w.upstreams {
		w.NoErr(w.store.Delete(w.t.Context(), platform.RegistrationPrefix+u.Instance, kingcuphook.RevisionAny))
	}
	w.upstreams, w.addresses = nil, nil
	for i := range brittleUpstreams {
		u := &standin.Upstream{Instance: fmt.Sprintf("b-%d", i)}
		u.Limit(brittleSlots, brittleSlots, brittleRunTime)
		server := httptest.NewServer(u)
		w.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		address := server.Listener.Addr().String()
		w.upstreams, w.addresses = append(w.upstreams, u), append(w.addresses, address)
		value, err := standin.Registration{Address: address, Slots: brittleSlots, Born: time.Unix(1_700_000_000, 0), Sequence: w.seq.Add(1)}.Encode()
		w.put(platform.RegistrationPrefix+u.Instance, value, err)
	}
}

// Sixteen routers that judge by sums of load, which are a part of a second old, sent the same
// free slot several calls and knocked brittle upstreams over.
func TestSteadyLoadKnocksNoBrittleUpstreamOver(t *testing.T) {
	for i, test := range []struct{ routers, tolerated, perSecond int }{
		{8, 3, borne * 3 / 2}, {8, 1, borne / 2}, {16, 6, borne * 3},
	} {
		t.Run(fmt.Sprintf("%d/%d/%d", test.routers, test.tolerated, test.perSecond), func(t *testing.T) {
			w := newTestPlatform(t)
			w.limitRoom()
			routers := w.startFleet(40+i, test.routers)
			time.Sleep(3 * time.Second) // until the routers issue permits
			for _, u := range w.upstreams {
				u.SetBrittle(strconv.Itoa(test.tolerated), test.tolerated, 0)
			}
			const loaded = 10 * time.Second
			interval := time.Second * time.Duration(test.routers) / time.Duration(test.perSecond)
			w.load(routers, standin.BrittleDelay+500*time.Millisecond, interval)
			since := time.Now()
			statuses := w.load(routers, loaded, interval)
			falls, refused, runs := 0, 0, 0
			for _, u := range w.upstreams {
				falls += u.Falls()
				refused += len(u.Rejected())
				runs += len(callsSince(u, since))
			}
			t.Logf("%d falls, %d refused, %d runs, statuses %v", falls, refused, runs, statuses)
			if falls > 0 {
				t.Errorf("%d falls, want none", falls)
			}
			if least := int(0.7 * float64(min(test.perSecond, borne)) * loaded.Seconds()); runs < least || statuses[http.StatusOK] < least {
				t.Errorf("%d runs, %d of them answered, want at least %d", runs, statuses[http.StatusOK], least)
			}
		})
	}
}
