package permitter

import (
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// newBrittleLoad returns a fleet under load whose upstreams have been brittle for some time.
func newBrittleLoad(t *testing.T, routers, tolerated int, load float64) *brittleFleet {
	f := newBrittleFleet(t, routers, load*float64(borne))
	f.run(settleTime)
	f.announce(tolerated)
	f.run(standin.BrittleDelay)
	return f
}

// check runs the fleet and fails the test if an upstream falls over or less than a share of what
// the upstreams bear is used.
func (f *brittleFleet) check(d time.Duration, share float64) {
	f.t.Helper()
	before, refusedBefore := f.falls()
	runs := f.runs
	f.run(d)
	falls, refused := f.falls()
	used := float64(f.runs-runs) / d.Seconds() / min(f.requests, float64(borne))
	f.t.Logf("%d falls, %d refused, %.2f used", falls-before, refused-refusedBefore, used)
	if falls > before {
		f.t.Errorf("%d falls, want none", falls-before)
	}
	if used < share {
		f.t.Errorf("%.2f of what the upstreams bear was used, want at least %.2f", used, share)
	}
}

// forFleets runs a test with fleets that are loaded beyond what the upstreams bear.
func forFleets(t *testing.T, test func(f *brittleFleet)) {
	t.Helper()
	for name, routers := range map[string]int{"8": 8, "16": 16, "300": 300} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(newBrittleLoad(t, routers, 1, 1.5))
		})
	}
}

// The places of requests that callers gave up were used before the upstream had noticed it.
func TestCancelledRequestsKnockNoUpstreamOver(t *testing.T) {
	forFleets(t, func(f *brittleFleet) {
		f.cancelled = 0.2
		f.check(20*time.Second, 0.6)
	})
}

// Lost messages must cost places, never issue them twice.
func TestLostMessagesKnockNoUpstreamOver(t *testing.T) {
	forFleets(t, func(f *brittleFleet) {
		f.loss = 0.1
		f.check(20*time.Second, 0.3)
	})
}

// The successor of an issuer that was killed counts on the places that it had issued.
func TestKilledIssuerKnocksNoUpstreamOver(t *testing.T) {
	forFleets(t, func(f *brittleFleet) {
		for _, r := range f.routers {
			r.down = len(r.issuer.rooms) > 0
		}
		// The routers that are killed may be the first and the second for an upstream.
		f.check(10*time.Second, 0.1)
		f.meet()
		f.check(10*time.Second, 0.5)
	})
}

// Routers that start know nothing of what others hold.
func TestStartOfRoutersKnocksNoUpstreamOver(t *testing.T) {
	forFleets(t, func(f *brittleFleet) {
		for n := range f.routers {
			if n%2 == 0 {
				f.routers[n].down = true
			}
		}
		f.meet()
		f.run(2 * time.Second)
		for n, r := range f.routers {
			if r.down {
				f.routers[n] = f.newRouter(r.address)
				f.routers[n].starting = true
			}
		}
		f.meet()
		f.run(100 * time.Millisecond) // routers know each other before they are ready
		for _, r := range f.routers {
			r.starting = false
		}
		f.check(15*time.Second, 0.5)
	})
}

// A whole fleet that starts before upstreams which have been brittle for long learns it from
// their first answers.
func TestStartOfFleetKnocksNoUpstreamOver(t *testing.T) {
	for name, routers := range map[string]int{"8": 8, "300": 300} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newBrittleFleet(t, routers, 0)
			f.announce(1)
			f.run(2 * standin.BrittleDelay)
			for n, r := range f.routers {
				f.routers[n] = f.newRouter(r.address)
			}
			f.meet()
			f.requests = 1.5 * float64(borne)
			f.check(10*time.Second, 0.3)
		})
	}
}

// An upstream that is no longer brittle gets requests without places within 4 s.
func TestEndOfBrittleness(t *testing.T) {
	forFleets(t, func(f *brittleFleet) {
		f.announced = nil
		for _, u := range f.upstreams {
			u.room.SetSound()
		}
		f.run(4 * time.Second)
		for _, r := range f.routers {
			if r.Brittle() > 0 {
				t.Errorf("%s still takes %d upstreams as brittle", r.address, r.Brittle())
			}
		}
	})
}

// Values that come and go, change or can't be read end nothing, and are reported once.
func TestStrangeBrittlenessEndsNothing(t *testing.T) {
	for name, announced := range map[string]func(n int) kingcuphook.Brittleness{
		"missing in some": func(n int) kingcuphook.Brittleness {
			if n%3 == 0 {
				return kingcuphook.Brittleness{}
			}
			return kingcuphook.NewBrittleness(1)
		},
		"changing":    func(n int) kingcuphook.Brittleness { return kingcuphook.NewBrittleness(n % 3) },
		"malformed":   func(int) kingcuphook.Brittleness { return kingcuphook.MalformedBrittleness() },
		"none at all": func(int) kingcuphook.Brittleness { return kingcuphook.NewBrittleness(0) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newBrittleLoad(t, 8, 1, 1.5)
			malformed := 0
			f.routers[0].OnPlacesChange = func(c PlacesChange) {
				switch c.Kind {
				case ChangeKindEnded:
					t.Errorf("%v ended", c.Program)
				case ChangeKindMalformed:
					malformed++
				}
			}
			f.announced = announced
			f.check(15*time.Second, 0.7)
			if malformed > brittleUpstreams {
				t.Errorf("%d events for malformed values", malformed)
			}
		})
	}
}
