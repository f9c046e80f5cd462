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

// settleTime is longer than a small fleet needs to suspect a member, declare it dead
// and spread this.
const settleTime = 3 * time.Minute

func newSettledFleet(n, centres int) *fleet {
	f := newFleet(n, centres, 3)
	f.run(30 * time.Second)
	return f
}

// countStays reports whether all running routers count n members throughout d.
func (f *fleet) countStays(d time.Duration, n int) bool {
	return f.runUntil(d, func() bool {
		return slices.ContainsFunc(f.routers, func(r *router) bool {
			return !r.stopped && !r.suspended && r.g.Count(f.now) != n
		})
	}) < 0
}

func TestEightRoutersAgreeOnMembersAndRevision(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 3, 3)
	is.True(f.runUntil(time.Minute, f.converged) >= 0)
	f.writeRevision()
	is.True(f.runUntil(3*time.Second, f.allCurrent) >= 0)
}

func TestShortSuspensionRemovesNoMember(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(12, 3)
	f.routers[4].suspended = true
	is.True(f.countStays(6*time.Second, 12))
	f.routers[4].suspended = false
	is.True(f.countStays(time.Minute, 12))
}

func TestSuspendedRouterIsRemovedAndRejoins(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(12, 3)
	f.routers[4].suspended = true
	is.True(f.runUntil(settleTime, f.converged) >= 0) // the others remove it
	f.run(time.Minute)
	f.routers[4].suspended = false
	is.True(f.runUntil(settleTime, f.converged) >= 0) // it is a member again
}

// A router that was suspended for longer than the tombstones are kept still lists a
// member that crashed meanwhile, and must not reintroduce it.
func TestResumedRouterDoesNotReintroduceDeadMember(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(12, 3)
	resumed, crashed := f.routers[4], f.routers[7]
	resumed.suspended = true
	f.run(time.Second)
	crashed.stopped = true
	f.setHints()
	is.True(f.runUntil(settleTime, f.converged) >= 0)
	f.run(15 * time.Minute) // the tombstones have expired
	resumed.suspended = false
	is.True(f.runUntil(settleTime, f.converged) >= 0)
	is.True(f.countStays(5*time.Minute, 11))
}

func TestRestartedRoutersRemainMembers(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(12, 3)
	for i, incarnation := range []uint64{5, 3, 9} { // clocks differ, so incarnations are in no order
		f.restart(f.routers[i], incarnation)
		f.run(2 * time.Second)
	}
	is.True(f.runUntil(settleTime, f.converged) >= 0)
	is.True(f.countStays(time.Minute, 12))
}

func TestReplacementWithNewAddressJoins(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(12, 3)
	f.routers[5].stopped = true
	f.add(200, f.routers[5].location, 7)
	f.byAddress["10.0.0.200:7000"].g.SetHints(f.now, nil)
	f.after(time.Minute, f.setHints) // the list is updated late
	is.True(f.runUntil(settleTime, f.converged) >= 0)
}

func TestPartitionedRegionRemovesNoMember(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(24, 6)
	f.partitioned = func(a, b *router) bool { return inRegion0(a) != inRegion0(b) }
	is.True(f.countStays(5*time.Minute, 24))
	members := f.routers[0].g.Members(f.now)
	remote := slices.IndexFunc(members, func(m gossiper.Member) bool { return m.Region() == "region1" })
	is.True(!members[remote].Reachable())
	f.partitioned = nil
	f.writeRevision()
	is.True(f.runUntil(10*time.Second, f.allCurrent) >= 0)
	is.True(f.countStays(time.Minute, 24))
	is.True(f.routers[0].g.Members(f.now)[remote].Reachable())
}

func TestLostDataCentreIsRemoved(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(24, 6)
	f.crash(inCentre("centre1"))
	is.True(f.runUntil(settleTime, f.converged) >= 0)
}

func TestIsolatedRouterRemovesNoMember(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(12, 3)
	isolated := f.routers[4]
	f.partitioned = func(a, b *router) bool { return a == isolated || b == isolated }
	f.run(2 * time.Minute)
	is.Equal(isolated.g.Count(f.now), 12)
	f.partitioned = nil
	is.True(f.runUntil(settleTime, f.converged) >= 0)
}

func TestLeavingRouterIsRemovedWithoutTimeout(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(12, 3)
	r := f.routers[4]
	r.g.Leave(f.now)
	f.run(5 * time.Second)
	r.stopped = true
	is.True(f.runUntil(10*time.Second, f.converged) >= 0)
}

func TestRevisionNeverDecreases(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(8, 3)
	r := f.routers[0]
	r.g.SetRevision(f.now, 9, "")
	r.g.SetRevision(f.now, 4, "")
	is.Equal(r.g.Request(f.now, f.routers[1].address).Revision, int64(9))
}

// TestMembershipUnderFaults applies random faults and then checks that all running
// routers agree on which routers run, and continue to do so.
func TestMembershipUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkMembership(t, seed) })
	}
}

func checkMembership(t *testing.T, seed uint64) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(seed, 8))
	f := newSettledFleet(18, 6)
	for i := range 40 {
		r := f.routers[rng.IntN(len(f.routers))]
		switch rng.IntN(7) {
		case 0:
			r.suspended = !r.stopped
		case 1:
			r.stopped = r.stopped || f.running() > 9
		case 2:
			if !r.stopped {
				f.restart(r, uint64(rng.IntN(50)))
			}
		case 3:
			f.add(500+i, r.location, uint64(i))
			f.setHints()
		case 4:
			f.partitioned = func(a, b *router) bool { return inRegion0(a) != inRegion0(b) }
		case 5:
			f.loss = 0.2 * rng.Float64()
		case 6:
			f.resume()
			f.partitioned = nil
		}
		f.writeRevision()
		f.run(time.Duration(rng.IntN(30_000)) * time.Millisecond)
	}
	f.resume()
	f.partitioned, f.loss = nil, 0
	f.after(time.Minute, f.setHints)
	is.True(f.runUntil(10*time.Minute, f.converged) >= 0)
	is.True(f.runUntil(3*time.Second, f.allCurrent) >= 0)
	is.True(f.countStays(5*time.Minute, f.running()))
}

func (f *fleet) resume() {
	for _, r := range f.routers {
		r.suspended = false
	}
}

func (f *fleet) running() int {
	n := 0
	for _, r := range f.routers {
		if !r.stopped && !r.suspended {
			n++
		}
	}
	return n
}
