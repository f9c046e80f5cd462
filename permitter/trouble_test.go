package permitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	loadedRequests = 200
	loadedRouters  = 30
)

// limits are limits for tests of troubles.
var limits = []float64{0.1, 1, 4, 40}

// forLimits runs a test with each limit, on a fleet that is under load and has been told.
func forLimits(t *testing.T, test func(f *fleet, perSecond float64)) {
	t.Helper()
	for _, perSecond := range limits {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, loadedRouters, loadedRequests)
			f.announce(perSecond)
			f.run(5 * time.Second)
			test(f, perSecond)
		})
	}
}

// Lost messages must make the fleet send less, never more.
func TestLimitHoldsWhileMessagesAreLost(t *testing.T) {
	forLimits(t, func(f *fleet, perSecond float64) {
		start := f.now
		f.loss = 0.4
		f.run(30 * time.Second)
		f.checkWindows(start, perSecond)
	})
}

// While the routers of two data centres don't reach each other, and don't know that, each
// side may turn to an issuer of its own.
func TestLimitHoldsWhileFleetIsPartitioned(t *testing.T) {
	forLimits(t, func(f *fleet, perSecond float64) {
		start := f.now
		half := make(map[*simulated]bool)
		for _, r := range f.routers[:loadedRouters/2] {
			half[r] = true
		}
		f.unreachable = func(from, to *simulated) bool { return half[from] != half[to] }
		f.run(20 * time.Second)
		f.unreachable = nil
		f.run(20 * time.Second)
		f.checkWindows(start, perSecond)
	})
}

// The issuer ends without notice; the others still have it in their lists for a while.
func TestLimitHoldsAndIsUsedAfterLossOfIssuer(t *testing.T) {
	forLimits(t, func(f *fleet, perSecond float64) {
		start := f.now
		issuer := f.routers[0].issuerFor(f)
		for _, r := range f.routers {
			r.down = r.address == issuer
		}
		f.run(2 * time.Second)
		for _, known := range []string{"in", "no longer in"} {
			resumed := f.now
			f.run(20 * time.Second)
			if used := float64(f.arrived(resumed)) / 20; used < perSecond/2 {
				f.t.Errorf("limit %v: %.2f calls a second while the lost issuer is %s the lists", perSecond, used, known)
			}
			f.meet()
		}
		f.checkWindows(start, perSecond)
	})
}

// All routers start again at the same moment, and know only some of the others at first.
func TestLimitHoldsWhileFleetStartsAgain(t *testing.T) {
	forLimits(t, func(f *fleet, perSecond float64) {
		for i, r := range f.routers {
			r.Permitter = &Permitter{Self: r.address}
			r.told = time.Time{}
			other := f.routers[(i+1)%len(f.routers)]
			r.SetRouters(f.now, []string{other.address})
		}
		start := f.now
		f.run(2 * time.Second)
		f.meet()
		f.run(20 * time.Second)
		f.checkWindows(start, perSecond)
	})
}

// One router after the other starts again, as in a planned stop of the whole fleet.
func TestLimitHoldsDuringRollingRestart(t *testing.T) {
	forLimits(t, func(f *fleet, perSecond float64) {
		start := f.now
		for _, r := range f.routers {
			r.Stop()
			f.run(500 * time.Millisecond)
			r.down = true
			f.run(500 * time.Millisecond)
			r.Permitter = &Permitter{Self: r.address}
			r.down, r.told = false, time.Time{}
			f.meet()
		}
		f.checkWindows(start, perSecond)
	})
}

// An upstream that no longer announces a limit is in full use within seconds, and not by all
// routers at once.
func TestUpstreamIsUsedAgainAfterEndOfLimit(t *testing.T) {
	forLimits(t, func(f *fleet, perSecond float64) {
		f.announced = nil
		ended := f.now
		f.run(time.Second)
		if n := f.arrived(ended); n > loadedRequests/2 {
			f.t.Errorf("limit %v: %d calls in the first second", perSecond, n)
		}
		f.run(11 * time.Second)
		f.checkUnlimited()
	})
}

// The limit ends while there are no requests; the first ones find it out.
func TestEndOfLimitWithoutRequests(t *testing.T) {
	forLimits(t, func(f *fleet, _ float64) {
		f.announced = nil
		f.requests = 0
		f.run(2 * time.Minute)
		f.requests = loadedRequests
		f.run(10 * time.Second)
		f.checkUnlimited()
	})
}

// The limit still holds after a time without requests.
func TestLimitHoldsAfterTimeWithoutRequests(t *testing.T) {
	forLimits(t, func(f *fleet, perSecond float64) {
		f.requests = 0
		f.run(2 * time.Minute)
		start := f.now
		f.requests = loadedRequests
		f.run(10 * time.Second)
		f.checkWindows(start, perSecond)
	})
}

// Every other reply announces the limit.
func TestLimitHoldsWhileItAlternates(t *testing.T) {
	forLimits(t, func(f *fleet, perSecond float64) {
		f.announced = func(n int) kingcuphook.RateLimit {
			if n%2 == 0 {
				return kingcuphook.RateLimit{}
			}
			return kingcuphook.NewRateLimit(perSecond)
		}
		start := f.now
		f.run(30 * time.Second)
		f.checkWindows(start, perSecond)
	})
}

// A limit that falls holds from when the first router is told; one that rises is used.
func TestChangedLimitHolds(t *testing.T) {
	f := newFleet(t, 1, loadedRouters, loadedRequests)
	f.announce(40)
	f.run(10 * time.Second)
	f.announce(2)
	f.run(2 * time.Second)
	fallen := f.now
	f.run(10 * time.Second)
	f.checkWindows(fallen, 2)
	f.announce(20)
	f.run(5 * time.Second)
	risen := f.now
	f.run(10 * time.Second)
	f.checkWindows(risen, 20)
	if used := float64(f.arrived(risen)) / 10; used < 10 {
		t.Errorf("%.1f calls a second of a limit that has risen to 20", used)
	}
}

// checkUnlimited fails the test if a router still has a limit.
func (f *fleet) checkUnlimited() {
	f.t.Helper()
	for _, r := range f.routers {
		if n := r.Count(); n > 0 {
			f.t.Errorf("%s still has %d limits", r.address, n)
		}
	}
}

// issuerFor returns the issuer of the upstream of f.
func (r *simulated) issuerFor(f *fleet) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.issuerOf(f.now, r.limits[f.program].key, &r.limits[f.program].ranking)
}
