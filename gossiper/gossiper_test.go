package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/gossiper"
)

// settleTime is more than suspicion and spreading take in a small fleet.
const settleTime = 3 * time.Minute

func settled(n, centres int) *fleet {
	f := newFleet(n, centres, 3)
	f.run(30 * time.Second)
	return f
}

// alwaysCounts reports whether all running routers always count n members
// during d.
func (f *fleet) alwaysCounts(d time.Duration, n int) bool {
	return f.until(d, func() bool {
		return slices.ContainsFunc(f.routers, func(r *router) bool {
			return !r.stopped && !r.paused && r.g.Count(f.now) != n
		})
	}) < 0
}

func TestEightRoutersFindEachOtherAndARevision(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 3, 3)
	is.True(f.until(time.Minute, f.agrees) >= 0)
	f.put()
	is.True(f.until(3*time.Second, f.inForce) >= 0)
}

func TestShortPauseRemovesNobody(t *testing.T) {
	is := is.New(t)
	f := settled(12, 3)
	f.routers[4].paused = true
	is.True(f.alwaysCounts(6*time.Second, 12))
	f.routers[4].paused = false
	is.True(f.alwaysCounts(time.Minute, 12))
}

func TestLongPauseIsRemovedAndComesBack(t *testing.T) {
	is := is.New(t)
	f := settled(12, 3)
	f.routers[4].paused = true
	is.True(f.until(settleTime, f.agrees) >= 0) // the others remove it
	f.run(time.Minute)
	f.routers[4].paused = false
	is.True(f.until(settleTime, f.agrees) >= 0) // it is a member again
}

func TestSleeperBringsNoZombie(t *testing.T) {
	is := is.New(t)
	f := settled(12, 3)
	sleeper, crashed := f.routers[4], f.routers[7]
	sleeper.paused = true
	f.run(time.Second)
	crashed.stopped = true
	f.hint()
	is.True(f.until(settleTime, f.agrees) >= 0)
	f.run(15 * time.Minute) // the tombstones are gone
	sleeper.paused = false
	is.True(f.until(settleTime, f.agrees) >= 0)
	is.True(f.alwaysCounts(5*time.Minute, 11))
}

func TestRestartsKeepTheirPlace(t *testing.T) {
	is := is.New(t)
	f := settled(12, 3)
	for i, incarnation := range []uint64{5, 3, 9} { // a clock may have stepped back
		f.restart(f.routers[i], incarnation)
		f.run(2 * time.Second)
	}
	is.True(f.until(settleTime, f.agrees) >= 0)
	is.True(f.alwaysCounts(time.Minute, 12))
}

func TestReplacedRouterTakesANewAddress(t *testing.T) {
	is := is.New(t)
	f := settled(12, 3)
	f.routers[5].stopped = true
	f.add(200, f.routers[5].location, 7)
	f.byAddr["10.0.0.200:7000"].g.SetHints(f.now, nil)
	f.after(time.Minute, f.hint) // the list lags
	is.True(f.until(settleTime, f.agrees) >= 0)
}

func TestRegionCutRemovesNobody(t *testing.T) {
	is := is.New(t)
	f := settled(24, 6)
	f.cut = func(a, b *router) bool { return inRegion0(a) != inRegion0(b) }
	is.True(f.alwaysCounts(5*time.Minute, 24))
	here := f.routers[0].g.Members(f.now)
	away := slices.IndexFunc(here, func(m gossiper.Member) bool { return m.Region() == "region1" })
	is.True(!here[away].Reachable())
	f.cut = nil
	f.put()
	is.True(f.until(10*time.Second, f.inForce) >= 0)
	is.True(f.alwaysCounts(time.Minute, 24))
	is.True(f.routers[0].g.Members(f.now)[away].Reachable())
}

func TestLostDataCentreIsRemoved(t *testing.T) {
	is := is.New(t)
	f := settled(24, 6)
	f.crash(inCentre("centre1"))
	is.True(f.until(settleTime, f.agrees) >= 0)
}

func TestIsolatedRouterRemovesNobody(t *testing.T) {
	is := is.New(t)
	f := settled(12, 3)
	alone := f.routers[4]
	f.cut = func(a, b *router) bool { return a == alone || b == alone }
	f.run(2 * time.Minute)
	is.Equal(alone.g.Count(f.now), 12)
	f.cut = nil
	is.True(f.until(settleTime, f.agrees) >= 0)
}

func TestLeavingRouterIsForgottenAtOnce(t *testing.T) {
	is := is.New(t)
	f := settled(12, 3)
	r := f.routers[4]
	r.g.Leave(f.now)
	f.run(5 * time.Second)
	r.stopped = true
	is.True(f.until(10*time.Second, f.agrees) >= 0)
}

func TestRevisionNeverFalls(t *testing.T) {
	is := is.New(t)
	f := settled(8, 3)
	r := f.routers[0]
	r.g.SetRevision(f.now, 9, "")
	r.g.SetRevision(f.now, 4, "")
	is.Equal(r.g.Request(f.now, f.routers[1].address).Revision, int64(9))
}

// TestMembershipUnderFaults applies random faults and then checks that all
// running routers agree on who runs, and keep agreeing.
func TestMembershipUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkMembership(t, seed) })
	}
}

func checkMembership(t *testing.T, seed uint64) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(seed, 8))
	f := settled(18, 6)
	for i := range 40 {
		r := f.routers[rng.IntN(len(f.routers))]
		switch rng.IntN(7) {
		case 0:
			r.paused = !r.stopped
		case 1:
			r.stopped = r.stopped || f.running() > 9
		case 2:
			if !r.stopped {
				f.restart(r, uint64(rng.IntN(50)))
			}
		case 3:
			f.add(500+i, r.location, uint64(i))
			f.hint()
		case 4:
			f.cut = func(a, b *router) bool { return inRegion0(a) != inRegion0(b) }
		case 5:
			f.loss = 0.2 * rng.Float64()
		case 6:
			f.resume()
			f.cut = nil
		}
		f.put()
		f.run(time.Duration(rng.IntN(30_000)) * time.Millisecond)
	}
	f.resume()
	f.cut, f.loss = nil, 0
	f.after(time.Minute, f.hint)
	is.True(f.until(10*time.Minute, f.agrees) >= 0)
	is.True(f.until(3*time.Second, f.inForce) >= 0)
	is.True(f.alwaysCounts(5*time.Minute, f.running()))
}

func (f *fleet) resume() {
	for _, r := range f.routers {
		r.paused = false
	}
}

func (f *fleet) running() int {
	n := 0
	for _, r := range f.routers {
		if !r.stopped && !r.paused {
			n++
		}
	}
	return n
}
